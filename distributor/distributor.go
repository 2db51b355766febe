package distributor

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// Settings of the distributor; zero fields get the defaults.
type Settings struct {
	// PollInterval is the mean interval of polls of the store.
	PollInterval time.Duration
	// MaxPollInterval bounds the interval while the store does not answer.
	MaxPollInterval time.Duration
	// PollTimeout is the time after which a poll without an answer is given up.
	PollTimeout time.Duration
	// PullTimeout is the time after which another peer is asked.
	PullTimeout time.Duration
	// QueriesPerSec bounds the peers asked for their version at the start.
	QueriesPerSec int
	// MaxDeleted bounds the remembered deleted sections.
	MaxDeleted int
}

// Defaults of Settings.
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

	nextPoll  time.Time
	pollSent  time.Time
	polling   bool
	pollPause time.Duration
	// stale says that the store answered an older version since the last whole
	// read: its later versions may differ from those known here.
	stale      bool
	staleCount int

	// fromStore says that a version of the store was seen; confirmed that a quorum
	// of peers stood in for it.
	fromStore, confirmed, storeFailed bool

	unsuspected []string
	peers       map[string]int
	pulling     string
	pullSent    time.Time
	failed      map[string]bool
	nextQuery   time.Time
	queryCursor int
}

// New returns the state of a daemon without a configuration; its first poll is
// due at once.
func New(host string, settings Settings, seed uint64, now time.Time) *State {
	settings = settings.withDefaults()
	return &State{
		host: host, settings: settings, random: rand.New(rand.NewPCG(seed, 0)), document: newDocument(),
		nextPoll: now, pollPause: settings.PollInterval, peers: map[string]int{}, failed: map[string]bool{},
	}
}

// Version returns the version in force, 0 for none.
func (s *State) Version() int { return s.document.version }

// Serving reports whether a version is in force that came from the store or is
// the highest of a quorum of peers.
func (s *State) Serving() bool { return s.document.version > 0 && (s.fromStore || s.confirmed) }

// StalePolls returns the number of polls that answered an older version than was in
// force when they were sent.
func (s *State) StalePolls() int { return s.staleCount }

// Update takes one message and returns the commands to execute.
func (s *State) Update(now time.Time, message Message) []Command {
	var commands []Command
	switch m := message.(type) {
	case PollFinished:
		commands = s.updatePoll(now, m)
	case PublishAccepted:
		commands = s.updatePublished(now, m.Delta)
	case PeerVersionReceived:
		if m.Version >= s.peers[m.Host] && m.Version > 0 {
			s.peers[m.Host] = m.Version
		}
		delete(s.failed, m.Host)
	case DeltaReceived:
		if s.pulling == m.Host {
			s.pulling = ""
		}
		commands = s.apply(m.Delta.To, m.Delta.From, m.Delta.Sections)
		if m.Delta.To > s.document.version || len(commands) == 0 && m.Delta.To < s.peers[m.Host] {
			// The delta did not lead to the version that the peer claims.
			s.failed[m.Host] = true
		}
	case PullFailed:
		s.failed[m.Host] = true
		if s.pulling == m.Host {
			s.pulling = ""
		}
	case DeltaRequested:
		commands = []Command{SendDelta{ReplyTo: m.ReplyTo, Delta: s.document.delta(m.From)}}
	case PeersChanged:
		s.updatePeers(m.Hosts)
	case Tick:
		commands = s.tick(now)
	}
	s.confirm()
	return append(commands, s.pull(now)...)
}

func (s *State) updatePeers(hosts []string) {
	s.unsuspected = slices.Clone(hosts)
	known := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		known[host] = true
	}
	maps.DeleteFunc(s.peers, func(host string, _ int) bool { return !known[host] })
	maps.DeleteFunc(s.failed, func(host string, _ bool) bool { return !known[host] })
}

func (s *State) updatePoll(now time.Time, m PollFinished) []Command {
	s.polling = false
	if m.Failed {
		s.storeFailed = true
		// The pause grows so that a store that recovers is not met by all daemons
		// at once.
		s.pollPause = min(2*s.pollPause, s.settings.MaxPollInterval)
		s.schedule(now)
		return nil
	}
	s.storeFailed, s.pollPause = false, s.settings.PollInterval
	s.schedule(now)
	if m.Version < m.From {
		s.stale = true
		s.staleCount++
		return []Command{ReportStaleStore{StoreVersion: m.Version, CurrentVersion: s.document.version}}
	}
	s.fromStore = s.fromStore || m.Version > 0
	if m.Version <= s.document.version {
		return nil
	}
	if s.stale && !m.Full {
		// The versions in between may not be those known here.
		return s.poll(now, 0)
	}
	from := m.From
	if m.Full {
		from, s.stale = 0, false
	}
	return s.apply(m.Version, from, m.Sections)
}

// updatePublished applies an accepted publish. When the changes do not follow the
// version in force, the store is asked at the next tick.
func (s *State) updatePublished(now time.Time, delta encoder.Delta) []Command {
	s.fromStore = s.fromStore || delta.To > 0 && delta.From == s.document.version
	if !s.stale {
		if commands := s.apply(delta.To, delta.From, delta.Sections); commands != nil {
			return commands
		}
	}
	if delta.To > s.document.version {
		s.nextPoll = now
	}
	return nil
}

// schedule sets the next poll, with jitter so that daemons started together do
// not poll together.
func (s *State) schedule(now time.Time) {
	s.nextPoll = now.Add(time.Duration((0.75 + s.random.Float64()/2) * float64(s.pollPause)))
}

func (s *State) poll(now time.Time, from int) []Command {
	s.polling, s.pollSent = true, now
	return []Command{PollStore{From: from}}
}

func (s *State) tick(now time.Time) []Command {
	var commands []Command
	if s.polling && now.Sub(s.pollSent) >= s.settings.PollTimeout {
		commands = append(commands, s.updatePoll(now, PollFinished{Failed: true})...)
	}
	if !s.polling && !now.Before(s.nextPoll) {
		commands = append(commands, s.poll(now, s.document.version)...)
	}
	if s.pulling != "" && now.Sub(s.pullSent) >= s.settings.PullTimeout {
		s.failed[s.pulling] = true
		s.pulling = ""
	}
	return append(commands, s.query(now)...)
}

// apply moves to a higher version. A delta fits when it starts at or before the
// version in force: it then has every section that changed since.
func (s *State) apply(version, from int, sections []encoder.Section) []Command {
	if version <= s.document.version || from > s.document.version {
		return nil
	}
	s.document.apply(version, from, sections, s.settings.MaxDeleted)
	clear(s.failed)
	return []Command{ApplyDocument{Document: s.document.snapshot()}, NotifyPeers{Version: version}}
}

// pull asks the peer with the highest version above the own. When no peer has the
// changes and the store does not answer, it asks for the whole document.
func (s *State) pull(now time.Time) []Command {
	if s.pulling != "" {
		return nil
	}
	from := s.document.version
	best := s.highest(func(host string) bool { return !s.failed[host] })
	if best == "" && s.storeFailed && now.Sub(s.pullSent) >= s.settings.PullTimeout {
		best, from = s.highest(func(string) bool { return true }), 0
	}
	if best == "" {
		return nil
	}
	s.pulling, s.pullSent = best, now
	return []Command{PullDelta{Host: best, From: from}}
}

func (s *State) highest(allowed func(host string) bool) string {
	best, version := "", s.document.version
	for _, host := range slices.Sorted(maps.Keys(s.peers)) {
		if v := s.peers[host]; v > version && allowed(host) {
			best, version = host, v
		}
	}
	return best
}

// query asks peers for their versions while the store has not answered yet.
func (s *State) query(now time.Time) []Command {
	if s.Serving() || !s.storeFailed || now.Before(s.nextQuery) || len(s.unsuspected) == 0 {
		return nil
	}
	s.nextQuery = now.Add(time.Second)
	clear(s.failed)
	var commands []Command
	for range min(s.settings.QueriesPerSec, len(s.unsuspected)) {
		host := s.unsuspected[s.queryCursor%len(s.unsuspected)]
		s.queryCursor++
		if host != s.host {
			commands = append(commands, QueryVersion{Host: host})
		}
	}
	return commands
}

// confirm lets a daemon serve that started during an outage of the store: once a
// majority of the unsuspected hosts has told its version and the highest of them
// is in force here. Hosts without a version tell nothing.
func (s *State) confirm() {
	if s.fromStore || s.confirmed || !s.storeFailed {
		return
	}
	highest, answers := 0, 0
	for _, version := range s.peers {
		highest = max(highest, version)
	}
	for _, host := range s.unsuspected {
		if s.peers[host] > 0 {
			answers++
		}
	}
	majority := len(s.unsuspected)/2 + 1
	s.confirmed = highest > 0 && answers >= majority && s.document.version >= highest
}
