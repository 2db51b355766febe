package relayer

import (
	"cmp"
	"slices"
	"time"
)

// AccessMode says how the store can be reached.
type AccessMode int

const (
	// Direct means that this daemon reaches the store.
	Direct AccessMode = iota
	// Relayed means that a peer that can be reached reaches the store.
	Relayed
	// Outage means that peers can be reached and that none of them reaches the store.
	Outage
	// Alone means that neither the store nor a peer can be reached.
	Alone
)

// String returns the access mode's name in logs.
func (m AccessMode) String() string { return [...]string{"direct", "relayed", "outage", "alone"}[m] }

// Options configure a State.
type Options struct {
	// DownAfter is the time without a response, counted from the first failure, after which
	// the direct path counts as down.
	DownAfter time.Duration
	// QueryInterval is the interval at which peers are queried while the direct path is down.
	QueryInterval time.Duration
	// QueryTimeout bounds one query.
	QueryTimeout time.Duration
	// ReplyMaxAge is how long a peer's reply is valid.
	ReplyMaxAge time.Duration
	// ResponseMaxAge is how long a response of the store proves that the store is up;
	// ProbeTimeout bounds the read that is made when there is no such response.
	ResponseMaxAge time.Duration
	ProbeTimeout   time.Duration
	// MaxPeers bounds the number of peers that are queried at once.
	MaxPeers int
	// FeedProbeWait is how long a direct feed request waits for changes while the direct path is
	// down, RelayedFeedWait how long one through a peer does.
	FeedProbeWait   time.Duration
	RelayedFeedWait time.Duration
	// FeedOverdue is the time without any part of a response, after the wait of a direct feed
	// request, from which it is overdue, FeedPatience the time after which Feed gives up.
	FeedOverdue  time.Duration
	FeedPatience time.Duration
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options {
	return Options{
		DownAfter: 200 * time.Millisecond, QueryInterval: 300 * time.Millisecond, QueryTimeout: 250 * time.Millisecond,
		ReplyMaxAge: time.Second, ResponseMaxAge: 150 * time.Millisecond, ProbeTimeout: 180 * time.Millisecond,
		MaxPeers: 8, FeedProbeWait: 20 * time.Millisecond, RelayedFeedWait: 500 * time.Millisecond,
		FeedOverdue: 700 * time.Millisecond, FeedPatience: 3 * time.Second,
	}
}

// Message is an input of State.
type Message interface{ message() }

// DirectResponded reports that the store has responded to a direct call.
type DirectResponded struct{}

// DirectFailed reports that a direct call was rejected as unavailable or got no response.
type DirectFailed struct {
	// Due is when the response was due, zero if that is not known.
	Due time.Time
}

// PeerReported reports the result of asking a peer whether it reaches the store.
type PeerReported struct {
	Host string
	// Up is also false when the peer did not reply; Replied distinguishes the two cases.
	Up      bool
	Replied bool
}

func (DirectResponded) message() {}
func (DirectFailed) message()    {}
func (PeerReported) message()    {}

// peerReport is the last reply of a peer.
type peerReport struct {
	up bool
	at time.Time
}

// State tracks which paths to the store work. It is not safe for concurrent use.
type State struct {
	options Options
	// failingSince is the time of the first failure since the last response.
	failingSince time.Time
	lastResponse time.Time
	lastQuery    time.Time
	reports      map[string]peerReport
}

// newState returns a State that assumes the direct path to work.
func newState(options Options) *State {
	return &State{options: options, reports: map[string]peerReport{}}
}

// Update applies a message. It reports whether to query peers now.
func (s *State) Update(now time.Time, message Message) (query bool) {
	switch m := message.(type) {
	case DirectResponded:
		s.failingSince, s.lastResponse = time.Time{}, now
	case DirectFailed:
		if s.failingSince.IsZero() {
			s.failingSince = now
			if m.Due.After(s.lastResponse) && m.Due.Before(now) {
				s.failingSince = m.Due
			}
		}
	case PeerReported:
		if m.Replied {
			s.reports[m.Host] = peerReport{up: m.Up, at: now}
		} else {
			delete(s.reports, m.Host)
		}
	}
	if s.directDown(now) && now.Sub(s.lastQuery) >= s.options.QueryInterval {
		s.lastQuery = now
		return true
	}
	return false
}

// recentlyUp reports whether the store has responded within ResponseMaxAge and no call has
// failed since.
func (s *State) recentlyUp(now time.Time) bool {
	return s.failingSince.IsZero() && now.Sub(s.lastResponse) <= s.options.ResponseMaxAge
}

// directDown reports whether direct calls have failed for at least DownAfter.
func (s *State) directDown(now time.Time) bool {
	return !s.failingSince.IsZero() && now.Sub(s.failingSince) >= s.options.DownAfter
}

// accessMode returns the access mode and, if it is Relayed, the host of the relaying peer.
func (s *State) accessMode(now time.Time) (AccessMode, string) {
	if !s.directDown(now) {
		return Direct, ""
	}
	replied := false
	var up []string
	for host, p := range s.reports {
		if now.Sub(p.at) > s.options.ReplyMaxAge {
			continue
		}
		replied = true
		if p.up {
			up = append(up, host)
		}
	}
	switch {
	case len(up) > 0:
		// The peer with the latest reply is the most likely to reply again.
		return Relayed, slices.MaxFunc(up, func(a, b string) int {
			return cmp.Or(s.reports[a].at.Compare(s.reports[b].at), cmp.Compare(a, b))
		})
	case replied:
		return Outage, ""
	}
	return Alone, ""
}
