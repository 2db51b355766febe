package distributor

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// Settings configures the distributor. Zero fields get the defaults.
type Settings struct {
	// PollInterval is the mean interval between polls of the store.
	PollInterval time.Duration
	// MaxPollInterval limits the interval while the store does not respond.
	MaxPollInterval time.Duration
	// PollTimeout is how long a poll may take before it counts as failed.
	PollTimeout time.Duration
	// PullTimeout is how long a peer may take to reply to PullDelta before another
	// peer is tried.
	PullTimeout time.Duration
	// QueriesPerSec limits the peers queried for their version while the daemon can't
	// serve.
	QueriesPerSec int
	// MaxDeleted limits the deleted sections that are remembered for deltas.
	MaxDeleted int
}

// Default values of Settings.
const (
	DefaultPollInterval    = time.Second
	DefaultMaxPollInterval = 4 * time.Second
	DefaultPollTimeout     = 3 * time.Second
	DefaultPullTimeout     = time.Second
	DefaultQueriesPerSec   = 32
	DefaultMaxDeleted      = 1_024
)

func (s Settings) withDefaults() Settings {
	durations := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.PollInterval, DefaultPollInterval}, {&s.MaxPollInterval, DefaultMaxPollInterval},
		{&s.PollTimeout, DefaultPollTimeout}, {&s.PullTimeout, DefaultPullTimeout},
	}
	for _, d := range durations {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if s.QueriesPerSec == 0 {
		s.QueriesPerSec = DefaultQueriesPerSec
	}
	if s.MaxDeleted == 0 {
		s.MaxDeleted = DefaultMaxDeleted
	}
	return s
}

// State is the distributor of one daemon.
type State struct {
	host     string
	settings Settings
	random   *rand.Rand
	document document

	nextPoll     time.Time
	pollSentAt   time.Time
	polling      bool
	pollInterval time.Duration
	// storeStale is set when the store has returned an older version since the last
	// read of the whole document. Its later versions may differ from those known here.
	storeStale bool
	stalePolls int

	// storeVersionSeen is set when a version came from the store, quorumConfirmed when
	// a majority of peers confirmed the version in place of the store.
	storeVersionSeen, quorumConfirmed, storeFailed bool

	healthyHosts []string
	peerVersions map[string]int
	pullPeer     string
	pullSentAt   time.Time
	failedPeers  map[string]bool
	nextQuery    time.Time
	queryCursor  int
}

// New returns the state of a daemon without a configuration. Its first poll is due
// at once.
func New(host string, settings Settings, seed uint64, now time.Time) *State {
	settings = settings.withDefaults()
	return &State{
		host: host, settings: settings, random: rand.New(rand.NewPCG(seed, 0)), document: newDocument(),
		nextPoll: now, pollInterval: settings.PollInterval, peerVersions: map[string]int{}, failedPeers: map[string]bool{},
	}
}

// Version returns the current version, 0 for none.
func (s *State) Version() int { return s.document.version }

// Serving reports whether the daemon has a configuration, and the store has supplied
// a version or a majority of peers has confirmed the current one as the highest.
func (s *State) Serving() bool {
	return s.document.version > 0 && (s.storeVersionSeen || s.quorumConfirmed)
}

// StalePolls returns the number of polls that returned a lower version than was
// current when they were sent.
func (s *State) StalePolls() int { return s.stalePolls }

// Update takes one message and returns the commands to execute.
func (s *State) Update(now time.Time, message Message) []Command {
	var commands []Command
	switch m := message.(type) {
	case PollFinished:
		commands = s.updatePoll(now, m)
	case PublishAccepted:
		commands = s.updatePublished(now, m.Delta)
	case PeerVersionReceived:
		if m.Version >= s.peerVersions[m.Host] && m.Version > 0 {
			s.peerVersions[m.Host] = m.Version
		}
		delete(s.failedPeers, m.Host)
	case DeltaReceived:
		if s.pullPeer == m.Host {
			s.pullPeer = ""
		}
		commands = s.apply(m.Delta.To, m.Delta.From, m.Delta.Sections)
		if m.Delta.To > s.document.version || len(commands) == 0 && m.Delta.To < s.peerVersions[m.Host] {
			// The delta did not lead to the version that the peer reported.
			s.failedPeers[m.Host] = true
		}
	case PullFailed:
		s.failedPeers[m.Host] = true
		if s.pullPeer == m.Host {
			s.pullPeer = ""
		}
	case DeltaRequested:
		commands = []Command{SendDelta{ReplyTo: m.ReplyTo, Delta: s.document.delta(m.From)}}
	case PeersChanged:
		s.updatePeers(m.Hosts)
	case Tick:
		commands = s.tick(now)
	}
	s.confirmQuorum()
	return append(commands, s.startPull(now)...)
}

func (s *State) updatePeers(hosts []string) {
	s.healthyHosts = slices.Clone(hosts)
	known := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		known[host] = true
	}
	maps.DeleteFunc(s.peerVersions, func(host string, _ int) bool { return !known[host] })
	maps.DeleteFunc(s.failedPeers, func(host string, _ bool) bool { return !known[host] })
}

func (s *State) updatePoll(now time.Time, m PollFinished) []Command {
	s.polling = false
	if m.Failed {
		s.storeFailed = true
		// The interval grows so that a recovering store is not polled by all daemons at
		// once.
		s.pollInterval = min(2*s.pollInterval, s.settings.MaxPollInterval)
		s.schedulePoll(now)
		return nil
	}
	s.storeFailed, s.pollInterval = false, s.settings.PollInterval
	s.schedulePoll(now)
	if m.Version < m.From {
		s.storeStale = true
		s.stalePolls++
		return []Command{ReportStaleStore{StoreVersion: m.Version, CurrentVersion: s.document.version}}
	}
	s.storeVersionSeen = s.storeVersionSeen || m.Version > 0
	if m.Version <= s.document.version {
		return nil
	}
	if s.storeStale && !m.Full {
		// The versions in between may differ from those known here, so the whole
		// document is read.
		return s.startPoll(now, 0)
	}
	from := m.From
	if m.Full {
		from, s.storeStale = 0, false
	}
	return s.apply(m.Version, from, m.Sections)
}

// updatePublished applies the changes of an accepted publish. If they do not follow
// the current version, the store is polled at the next tick.
func (s *State) updatePublished(now time.Time, delta encoder.Delta) []Command {
	s.storeVersionSeen = s.storeVersionSeen || delta.To > 0 && delta.From == s.document.version
	if !s.storeStale {
		if commands := s.apply(delta.To, delta.From, delta.Sections); commands != nil {
			return commands
		}
	}
	if delta.To > s.document.version {
		s.nextPoll = now
	}
	return nil
}

// schedulePoll sets the time of the next poll, with jitter so that daemons started
// together do not poll together.
func (s *State) schedulePoll(now time.Time) {
	s.nextPoll = now.Add(time.Duration((0.75 + s.random.Float64()/2) * float64(s.pollInterval)))
}

func (s *State) startPoll(now time.Time, from int) []Command {
	s.polling, s.pollSentAt = true, now
	return []Command{PollStore{From: from}}
}

func (s *State) tick(now time.Time) []Command {
	var commands []Command
	if s.polling && now.Sub(s.pollSentAt) >= s.settings.PollTimeout {
		commands = append(commands, s.updatePoll(now, PollFinished{Failed: true})...)
	}
	if !s.polling && !now.Before(s.nextPoll) {
		commands = append(commands, s.startPoll(now, s.document.version)...)
	}
	if s.pullPeer != "" && now.Sub(s.pullSentAt) >= s.settings.PullTimeout {
		s.failedPeers[s.pullPeer] = true
		s.pullPeer = ""
	}
	return append(commands, s.queryPeers(now)...)
}

// apply moves to a higher version and returns the commands to announce it, or nil if
// the delta does not fit. A delta fits if it starts at or before the current version,
// since it then has every section that changed since.
func (s *State) apply(version, from int, sections []encoder.Section) []Command {
	if version <= s.document.version || from > s.document.version {
		return nil
	}
	s.document.apply(version, from, sections, s.settings.MaxDeleted)
	clear(s.failedPeers)
	return []Command{ApplyDocument{Document: s.document.snapshot()}, NotifyPeers{Version: version}}
}

// startPull requests the changes from the peer with the highest version, if it is
// above the current one. If no peer has the changes and the store does not respond,
// it requests the whole document.
func (s *State) startPull(now time.Time) []Command {
	if s.pullPeer != "" {
		return nil
	}
	from := s.document.version
	best := s.highestPeer(func(host string) bool { return !s.failedPeers[host] })
	if best == "" && s.storeFailed && now.Sub(s.pullSentAt) >= s.settings.PullTimeout {
		best, from = s.highestPeer(func(string) bool { return true }), 0
	}
	if best == "" {
		return nil
	}
	s.pullPeer, s.pullSentAt = best, now
	return []Command{PullDelta{Host: best, From: from}}
}

// highestPeer returns the allowed peer with the highest version above the current
// one, or "" if there is none.
func (s *State) highestPeer(allowed func(host string) bool) string {
	best, version := "", s.document.version
	for _, host := range slices.Sorted(maps.Keys(s.peerVersions)) {
		if v := s.peerVersions[host]; v > version && allowed(host) {
			best, version = host, v
		}
	}
	return best
}

// queryPeers queries peers for their versions while the daemon can't serve and the
// store does not respond.
func (s *State) queryPeers(now time.Time) []Command {
	if s.Serving() || !s.storeFailed || now.Before(s.nextQuery) || len(s.healthyHosts) == 0 {
		return nil
	}
	s.nextQuery = now.Add(time.Second)
	clear(s.failedPeers)
	var commands []Command
	for range min(s.settings.QueriesPerSec, len(s.healthyHosts)) {
		host := s.healthyHosts[s.queryCursor%len(s.healthyHosts)]
		s.queryCursor++
		if host != s.host {
			commands = append(commands, QueryVersion{Host: host})
		}
	}
	return commands
}

// confirmQuorum lets a daemon serve that started during an outage of the store, once
// a majority of the healthy hosts has reported its version and the highest of these
// is current here. Hosts without a version do not count.
func (s *State) confirmQuorum() {
	if s.storeVersionSeen || s.quorumConfirmed || !s.storeFailed {
		return
	}
	highest, reported := 0, 0
	for _, version := range s.peerVersions {
		highest = max(highest, version)
	}
	for _, host := range s.healthyHosts {
		if s.peerVersions[host] > 0 {
			reported++
		}
	}
	majority := len(s.healthyHosts)/2 + 1
	s.quorumConfirmed = highest > 0 && reported >= majority && s.document.version >= highest
}
