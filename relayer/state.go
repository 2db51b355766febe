package relayer

import (
	"cmp"
	"slices"
	"time"
)

// AccessMode says how the store can be reached.
type AccessMode int

const (
	// Direct means that the store answers this daemon.
	Direct AccessMode = iota
	// Relayed means that the store answers another daemon that can be reached.
	Relayed
	// Outage means that other daemons can be reached and that none reaches the store.
	Outage
	// Alone means that neither the store nor another daemon can be reached.
	Alone
)

// String returns the reach's name in logs.
func (r AccessMode) String() string { return [...]string{"direct", "relayed", "outage", "alone"}[r] }

// Options configure a State.
type Options struct {
	// DownAfter is the time without an answer, from the first failure, after which the
	// direct path counts as lost.
	DownAfter time.Duration
	// QueryInterval is the interval at which other daemons are asked while it is lost.
	QueryInterval time.Duration
	// QueryTimeout bounds one question.
	QueryTimeout time.Duration
	// ReplyMaxAge is how long an answer is believed.
	ReplyMaxAge time.Duration
	// ResponseMaxAge is how long an answer of the store proves that it is up; ProbeTimeout
	// bounds the read that proves it anew.
	ResponseMaxAge time.Duration
	ProbeTimeout   time.Duration
	// MaxPeers bounds the daemons that are asked at once.
	MaxPeers int
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options {
	return Options{
		DownAfter: 200 * time.Millisecond, QueryInterval: 300 * time.Millisecond, QueryTimeout: 250 * time.Millisecond,
		ReplyMaxAge: time.Second, ResponseMaxAge: 150 * time.Millisecond, ProbeTimeout: 180 * time.Millisecond,
		MaxPeers: 8,
	}
}

// Message is an input of State.
type Message interface{ message() }

// DirectResponded says that the store has answered this daemon.
type DirectResponded struct{}

// DirectFailed says that a direct call was refused or not answered.
type DirectFailed struct{}

// PeerReported is the answer of another daemon to the question whether it reaches the store.
type PeerReported struct {
	Host string
	// Up is false also when there was no answer; Heard tells the two apart.
	Up      bool
	Replied bool
}

func (DirectResponded) message() {}
func (DirectFailed) message()    {}
func (PeerReported) message()    {}

// said is what another daemon answered last.
type said struct {
	up bool
	at time.Time
}

// State is what is known about the ways to the store. It is not safe for concurrent use.
type State struct {
	options Options
	// failing is the time of the first failure since the last answer.
	failing  time.Time
	answered time.Time
	asked    time.Time
	peers    map[string]said
}

// newState returns a state that takes the direct path to be good.
func newState(options Options) *State { return &State{options: options, peers: map[string]said{}} }

// Update applies a message. It reports whether other daemons are to be asked now.
func (s *State) Update(now time.Time, message Message) (ask bool) {
	switch m := message.(type) {
	case DirectResponded:
		s.failing, s.answered = time.Time{}, now
	case DirectFailed:
		if s.failing.IsZero() {
			s.failing = now
		}
	case PeerReported:
		if m.Replied {
			s.peers[m.Host] = said{up: m.Up, at: now}
		} else {
			delete(s.peers, m.Host)
		}
	}
	if s.lost(now) && now.Sub(s.asked) >= s.options.QueryInterval {
		s.asked = now
		return true
	}
	return false
}

// proven reports whether the store has answered just now and not failed since.
func (s *State) proven(now time.Time) bool {
	return s.failing.IsZero() && now.Sub(s.answered) <= s.options.ResponseMaxAge
}

func (s *State) lost(now time.Time) bool {
	return !s.failing.IsZero() && now.Sub(s.failing) >= s.options.DownAfter
}

// reach returns how the store can be reached, and the daemon that relays.
func (s *State) reach(now time.Time) (AccessMode, string) {
	if !s.lost(now) {
		return Direct, ""
	}
	heard := false
	var up []string
	for host, p := range s.peers {
		if now.Sub(p.at) > s.options.ReplyMaxAge {
			continue
		}
		heard = true
		if p.up {
			up = append(up, host)
		}
	}
	switch {
	case len(up) > 0:
		// The daemon that answered last is the most likely to answer again.
		return Relayed, slices.MaxFunc(up, func(a, b string) int {
			return cmp.Or(s.peers[a].at.Compare(s.peers[b].at), cmp.Compare(a, b))
		})
	case heard:
		return Outage, ""
	}
	return Alone, ""
}
