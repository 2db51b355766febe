package surveyor

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/ranker"
)

const (
	// orderKey is the key of the order in which the daemons of a failure domain collect.
	orderKey = "targetLoad"
	// messageOverhead is the size of a report and its reply without the targets.
	messageOverhead = 150
	// maxMisses is the number of replies that are missing in a row until a daemon is passed over. A daemon
	// with a small share of a core replies late at times, and two collectors each know a part only.
	maxMisses = 2
)

// Options configure a State and a Runner.
type Options struct {
	// Interval is the time between two reports in a small failure domain.
	Interval time.Duration
	// ActiveTime is how long a daemon reports after its last call.
	ActiveTime time.Duration
	// MaxAge is the age from which on a report does not count.
	MaxAge time.Duration
	// ReplyTimeout is how long a daemon waits for a reply, CallTimeout how long a call goes on after that,
	// since a new connection takes longer.
	ReplyTimeout time.Duration
	CallTimeout  time.Duration
	// SuspendTime is how long a daemon is passed over that does not reply.
	SuspendTime time.Duration
	// MaxReportsPerSecond bounds the reports that a collector gets, MaxBytesPerSecond the bytes of a
	// daemon's reports and their replies.
	MaxReportsPerSecond float64
	MaxBytesPerSecond   float64
	// LogInterval is the least time between two commands CollectorChanged.
	LogInterval time.Duration
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options {
	return Options{
		Interval: 100 * time.Millisecond, ActiveTime: time.Second, MaxAge: 500 * time.Millisecond,
		ReplyTimeout: 100 * time.Millisecond, CallTimeout: 400 * time.Millisecond, SuspendTime: 2 * time.Second,
		MaxReportsPerSecond: 160, MaxBytesPerSecond: 2_000, LogInterval: 10 * time.Second,
	}
}

// State decides when and to whom a daemon reports, and collects the reports of others. It is not safe for
// concurrent use.
type State struct {
	host      string
	options   Options
	ids       map[targetKey][]string
	collected *collection
	// suspendedUntil holds the times until which daemons are passed over, misses the replies in a row that
	// the collector did not send in time.
	suspendedUntil map[string]time.Time
	misses         int
	collector      string
	// lastActive is when this daemon last had calls.
	lastActive time.Time
	nextAt     time.Time
	// changes counts the collectors since loggedAt.
	changes  int
	loggedAt time.Time
	// sumAt is the time of the last sum.
	sumAt time.Time
}

// New returns a state of the daemon on the given host.
func New(host string, options Options) *State {
	return &State{
		host: host, options: options, ids: map[targetKey][]string{}, collected: newCollection(), suspendedUntil: map[string]time.Time{},
	}
}

// NextAt returns the time of the next report.
func (s *State) NextAt() time.Time { return s.nextAt }

// Collector returns the host of the daemon that collects, empty before the first report.
func (s *State) Collector() string { return s.collector }

// SumAge returns the age of the last sum. It returns false if there has been none.
func (s *State) SumAge(now time.Time) (time.Duration, bool) {
	return now.Sub(s.sumAt), !s.sumAt.IsZero()
}

// Update applies a message and returns commands.
func (s *State) Update(now time.Time, message Message) ([]Command, error) {
	switch m := message.(type) {
	case TargetsChanged:
		s.ids = make(map[targetKey][]string, len(m.IDs))
		for _, id := range m.IDs {
			s.ids[keyOf(id)] = append(s.ids[keyOf(id)], id)
		}
	case Tick:
		return s.report(now, &m), nil
	case ReportReceived:
		return s.reply(now, &m)
	case SumReceived:
		return s.receiveSum(now, &m)
	case SumMissing:
		s.recordMissing(now, &m)
	}
	return nil, nil
}

// report sends or records this daemon's calls if this is due.
func (s *State) report(now time.Time, m *Tick) []Command {
	if now.Before(s.nextAt) {
		return nil
	}
	s.nextAt = now.Add(s.interval(len(m.Peers) + 1))
	if len(m.Calls) > 0 {
		s.lastActive = now
	}
	if len(m.Peers) == 0 || s.lastActive.IsZero() || now.Sub(s.lastActive) > s.options.ActiveTime {
		return nil
	}
	own := load{}
	for id, calls := range m.Calls {
		own[keyOf(id)] += calls
	}
	// The calls of this daemon count for others that take it for the collector.
	s.collected.put(now, s.host, own)
	commands := s.chooseCollector(now, m.Peers)
	if s.collector != s.host {
		return append(commands, SendReport{Host: s.collector, Load: own.encode(), SentAt: now})
	}
	s.collected.expire(now, s.options.MaxAge)
	sum, reports, age := s.collected.sumWithout(now, s.host)
	return append(commands, s.publish(now, sum, reports, age)...)
}

// interval returns the time between two reports in a failure domain with so many daemons.
func (s *State) interval(daemons int) time.Duration {
	return max(s.options.Interval, time.Duration(float64(daemons)/s.options.MaxReportsPerSecond*float64(time.Second)))
}

// chooseCollector sets the collector to the first in order of the daemons that are not passed over.
func (s *State) chooseCollector(now time.Time, peers []string) []Command {
	maps.DeleteFunc(s.suspendedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	hosts := append(slices.Clone(peers), s.host)
	hosts = slices.DeleteFunc(hosts, func(host string) bool {
		_, suspended := s.suspendedUntil[host]
		return suspended
	})
	// This daemon itself is never passed over.
	first, _ := ranker.FirstName(orderKey, hosts)
	if first != s.collector {
		s.collector, s.misses = first, 0
		s.changes++
	}
	if s.changes == 0 || (!s.loggedAt.IsZero() && now.Sub(s.loggedAt) < s.options.LogInterval) {
		return nil
	}
	changed := CollectorChanged{Host: s.collector, Changes: s.changes}
	s.changes, s.loggedAt = 0, now
	return []Command{changed}
}

// reply records the report of another daemon and returns the sum of the others.
func (s *State) reply(now time.Time, m *ReportReceived) ([]Command, error) {
	reported, err := decodeLoad(m.Load)
	if err != nil {
		return nil, err
	}
	s.collected.put(now, m.From, reported)
	s.collected.expire(now, s.options.MaxAge)
	sum, reports, age := s.collected.sumWithout(now, m.From)
	return []Command{Reply{Load: sum.encode(), Reports: reports, Age: age}}, nil
}

func (s *State) receiveSum(now time.Time, m *SumReceived) ([]Command, error) {
	sum, err := decodeLoad(m.Load)
	if err != nil {
		s.recordMissing(now, &SumMissing{Report: m.Report, Refused: true})
		return nil, err
	}
	if m.Report.Host == s.collector {
		s.misses = 0
	}
	// Base64 takes four bytes for three.
	size := messageOverhead + float64(len(m.Report.Load)+len(m.Load))*4/3
	if at := m.Report.SentAt.Add(time.Duration(size / s.options.MaxBytesPerSecond * float64(time.Second))); at.After(s.nextAt) {
		s.nextAt = at
	}
	return s.publish(now, sum, m.Reports, now.Sub(m.Report.SentAt)+max(0, m.Age)), nil
}

// publish returns the calls of others by target ID, unless there are no reports of others or old ones only.
func (s *State) publish(now time.Time, sum load, reports int, age time.Duration) []Command {
	if reports <= 0 || age >= s.options.MaxAge {
		return nil
	}
	inFlight := make(map[string]int, len(sum))
	for key, calls := range sum {
		for _, id := range s.ids[key] {
			inFlight[id] = calls
		}
	}
	s.sumAt = now.Add(-age)
	return []Command{Publish{InFlight: inFlight, Age: age}}
}

func (s *State) recordMissing(now time.Time, m *SumMissing) {
	if m.Report.Host != s.collector {
		return
	}
	s.misses++
	if m.Refused || s.misses >= maxMisses {
		s.suspendedUntil[m.Report.Host] = now.Add(s.options.SuspendTime)
	}
}
