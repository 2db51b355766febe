package detector

import (
	_ "embed" // for the charts
	"math/rand/v2"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/interpreter"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

//go:embed host.chart.json
var hostChartData []byte

//go:embed target.chart.json
var targetChartData []byte

var (
	hostChart = interpreter.MustLoad(hostChartData,
		"heard", "silent", "confirmed", "lost", "recovered", "left", "removed", "restarted")
	targetChart = interpreter.MustLoad(targetChartData,
		"known", "heard", "warmed", "failed", "lost", "recovered", "left", "removed", "returned")
)

// Settings configures the detector. Zero fields get the defaults.
type Settings struct {
	// HeartbeatInterval is the interval of heartbeats.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without a reply after which a host is suspected:
	// three heartbeats. If 1 % of replies are late, 350 hosts that send four
	// heartbeats a second each see three late replies in a row every 12 minutes. The
	// probe on a new connection reduces this to about one false alarm a day; with
	// two heartbeats it would be 120. Suspicion and probe together take less than
	// the lease of 6 s.
	SuspectAfter time.Duration
	// ResultThreshold is the number of consecutive successes after which a suspected,
	// degraded or unreachable host or target is used again, and the number of
	// consecutive failures after which a degraded target is unreachable.
	ResultThreshold int
	// SlowStart is how long a new target stays in the state warming.
	SlowStart time.Duration
	// MinUrgentInterval is the minimum interval between heartbeats that are sent at
	// once for urgent changes.
	MinUrgentInterval time.Duration
	// AssignedProbeInterval is the interval between probes of a target assigned to
	// this daemon, FailedProbeInterval that between probes of a failed target.
	AssignedProbeInterval time.Duration
	FailedProbeInterval   time.Duration
	// ProbesPerSec limits the rate of target probes.
	ProbesPerSec int
	// ReturnAfter is how long a target must have been gone before the member list
	// can restore it. It exceeds the lag of the list, so that a stale list restores
	// nothing.
	ReturnAfter time.Duration
	// GoneRetention is how long a gone host or target is remembered.
	GoneRetention time.Duration
	// SubsetSize is the number of targets used for each service.
	SubsetSize int
	// MaxRumours limits the rumours in one heartbeat.
	MaxRumours int
}

// Default values of Settings.
const (
	DefaultHeartbeatInterval     = time.Second
	DefaultSuspectAfter          = 3 * time.Second
	DefaultResultThreshold       = 3
	DefaultSlowStart             = 10 * time.Second
	DefaultMinUrgentInterval     = 100 * time.Millisecond
	DefaultAssignedProbeInterval = 10 * time.Second
	DefaultFailedProbeInterval   = time.Second
	DefaultProbesPerSec          = 4
	DefaultReturnAfter           = 30 * time.Second
	DefaultGoneRetention         = 10 * time.Minute
	DefaultSubsetSize            = 64
	DefaultMaxRumours            = 16
)

func (s Settings) withDefaults() Settings {
	durations := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.HeartbeatInterval, DefaultHeartbeatInterval}, {&s.SuspectAfter, DefaultSuspectAfter}, {&s.SlowStart, DefaultSlowStart},
		{&s.MinUrgentInterval, DefaultMinUrgentInterval}, {&s.AssignedProbeInterval, DefaultAssignedProbeInterval},
		{&s.FailedProbeInterval, DefaultFailedProbeInterval},
		{&s.ReturnAfter, DefaultReturnAfter}, {&s.GoneRetention, DefaultGoneRetention},
	}
	for _, d := range durations {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	counts := []struct {
		field *int
		value int
	}{
		{&s.ResultThreshold, DefaultResultThreshold}, {&s.ProbesPerSec, DefaultProbesPerSec},
		{&s.SubsetSize, DefaultSubsetSize}, {&s.MaxRumours, DefaultMaxRumours},
	}
	for _, c := range counts {
		if *c.field == 0 {
			*c.field = c.value
		}
	}
	return s
}

// Self describes this daemon.
type Self struct {
	Host, Address, FailureDomain, Region string
	// Incarnation is random for each run.
	Incarnation string
	// Generation orders the runs of this host: Unix milliseconds of the start. If
	// the clock went back, the daemon raises it when it receives a rumour of its
	// earlier run.
	Generation int
}

// State is the detector of one daemon.
type State struct {
	self     Self
	settings Settings
	random   *rand.Rand

	sequence      int
	leaving       bool
	configVersion int
	started       time.Time

	hosts   map[string]*host
	targets map[string]*target
	domains map[string]*domain
	drained map[string]bool
	rumours rumourQueue
	// hostNames and targetNames are sorted.
	hostNames, targetNames []string
	// targetList has the targets in order of name; nil when it must be rebuilt.
	targetList []*target

	listsReceived   int
	round           int
	nextRound       time.Time
	urgent          bool
	lastUrgent      time.Time
	lastProbeTick   time.Time
	lastSweep       time.Time
	lastDomainCheck time.Time
	probeCredit     float64
	// viewChanged is set when the published view is out of date, targetsChanged when
	// its targets are. viewUrgent is set when the change adds or removes a host or
	// target for new work.
	viewChanged, targetsChanged, viewUrgent bool
	targetViews                             []TargetView
	lastView                                time.Time
	viewVersion                             int
	digests                                 [2]string
	digestStale                             bool
	repairCursor                            int
	assignmentStale                         bool
}

// New returns the state of a daemon whose only known host is its own. The first
// round of heartbeats starts after a random part of the interval.
func New(self Self, settings Settings, seed uint64, now time.Time) *State {
	settings = settings.withDefaults()
	s := &State{
		self: self, settings: settings, random: rand.New(rand.NewPCG(seed, 0)), started: now, sequence: 1,
		hosts: map[string]*host{}, targets: map[string]*target{}, domains: map[string]*domain{},
		drained: map[string]bool{}, lastProbeTick: now, lastSweep: now, digestStale: true, assignmentStale: true,
	}
	s.nextRound = now.Add(time.Duration(s.random.Float64() * float64(settings.HeartbeatInterval)))
	s.round = s.random.IntN(1 << 16)
	s.addHost(provider.Member{Host: self.Host, Address: self.Address, FailureDomain: self.FailureDomain, Region: self.Region})
	own := s.hosts[self.Host]
	own.state, own.incarnation, own.generation, own.sequence = Ready, self.Incarnation, self.Generation, 1
	s.rumours.add(s.ownFact(now), true)
	s.urgent = true
	return s
}

// Update takes one message and returns the commands to execute.
func (s *State) Update(now time.Time, message Message) []Command {
	var commands []Command
	switch m := message.(type) {
	case MemberListReceived:
		s.updateList(now, m.Members)
	case HeartbeatReceived:
		commands = s.updateHeartbeat(now, m)
	case HeartbeatMissed:
		s.recordHostFailure(now, m.Host)
	case ProbeFinished:
		commands = s.updateProbe(now, m)
	case TargetCallFinished:
		commands = s.updateTargetResult(now, m.Target, m.OK)
	case HostCallFinished:
		commands = s.updateHostCall(now, m)
	case TargetLeaving:
		s.targetLeaving(now, m.Target, int(now.UnixMilli()))
	case DrainsChanged:
		s.drained = map[string]bool{}
		for _, name := range m.Names {
			s.drained[name] = true
		}
		s.viewChanged, s.targetsChanged, s.viewUrgent = true, true, true
	case ConfigChanged:
		if m.Version > s.configVersion {
			s.configVersion, s.urgent = m.Version, true
		}
	case LeaveRequested:
		s.leave(now)
	case Tick:
		commands = s.tick(now)
	}
	commands = append(commands, s.flushUrgent(now)...)
	return append(commands, s.publishView(now)...)
}

func (s *State) tick(now time.Time) []Command {
	var commands []Command
	if !now.Before(s.nextRound) {
		s.round++
		s.nextRound = s.nextRound.Add(s.settings.HeartbeatInterval)
		if s.nextRound.Before(now) {
			// If the process was suspended, missed rounds are skipped.
			s.nextRound = now.Add(s.settings.HeartbeatInterval)
		}
		commands = append(commands, s.sendHeartbeats(now)...)
	}
	commands = append(commands, s.suspectSilentHosts(now)...)
	commands = append(commands, s.checkDomains(now)...)
	commands = append(commands, s.probeTargets(now)...)
	s.sweep(now)
	return commands
}

// leave marks this host as leaving and announces it to the peers.
func (s *State) leave(now time.Time) {
	if s.leaving {
		return
	}
	s.leaving = true
	s.sequence++
	own := s.hosts[s.self.Host]
	own.sequence, own.leaving = s.sequence, true
	s.fireHostEvent(own, "left")
	s.rumours.add(s.ownFact(now), true)
	s.urgent, s.digestStale = true, true
}

// flushUrgent sends heartbeats at once if an urgent change is pending, instead of
// waiting for the next round.
func (s *State) flushUrgent(now time.Time) []Command {
	if !s.urgent || now.Sub(s.lastUrgent) < s.settings.MinUrgentInterval {
		return nil
	}
	s.urgent, s.lastUrgent = false, now
	var commands []Command
	for _, peer := range s.heartbeatPeers() {
		commands = append(commands, s.heartbeatTo(now, peer))
	}
	return commands
}

func (s *State) ownState() string {
	if s.leaving {
		return Leaving
	}
	return Ready
}

// locationAnnouncePeriod is how long after the start heartbeats carry the address
// and location of the sender, for peers whose member list does not have it yet.
const locationAnnouncePeriod = 10 * time.Second

// heartbeatsPerIdentity is the mean number of heartbeats of a ready host for one
// that carries its identity. One in eight is enough, since a new run and leaving
// also spread as rumours.
const heartbeatsPerIdentity = 8

func (s *State) newHeartbeat(now time.Time, to *host, repair bool) encoder.Heartbeat {
	h := encoder.Heartbeat{Host: s.self.Host, ConfigVersion: s.configVersion}
	justStarted := now.Sub(s.started) < locationAnnouncePeriod
	if justStarted || s.leaving || s.random.IntN(heartbeatsPerIdentity) == 0 {
		h.Incarnation, h.Generation, h.Sequence, h.State = s.self.Incarnation, s.self.Generation, s.sequence, s.ownState()
	}
	if justStarted {
		h.Address, h.FailureDomain, h.Region = s.self.Address, s.self.FailureDomain, s.self.Region
	}
	sameDomain := to == nil || to.member.FailureDomain == s.self.FailureDomain
	h.Digest = s.currentDigest(sameDomain)
	h.Rumours = s.rumours.next(s.settings.MaxRumours, len(s.hosts), sameDomain)
	if repair {
		h.Rumours = append(h.Rumours, s.nextRepairs(s.settings.MaxRumours-len(h.Rumours), sameDomain)...)
	}
	return h
}

func (s *State) heartbeatTo(now time.Time, to *host) Command {
	return SendHeartbeat{To: to.member.Host, Address: to.member.Address, Heartbeat: s.newHeartbeat(now, to, to.digestDiffers)}
}
