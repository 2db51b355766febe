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

// Settings of the detector; zero fields get the defaults.
type Settings struct {
	// HeartbeatInterval is the interval of heartbeats.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a host is suspected: three heartbeats.
	// If 1 % of answers are late, 350 hosts with four heartbeats a second each see
	// three late ones in a row every 12 minutes, and the probe on a new connection
	// leaves about one false alarm a day; with two heartbeats it would be 120.
	// Suspicion and probe together stay below the lease of 6 s.
	SuspectAfter time.Duration
	// ResultThreshold is the number of successive answers after which a suspected or
	// unreachable subject is used again.
	ResultThreshold int
	// SlowStart is the time for which a new target is warming.
	SlowStart time.Duration
	// MinUrgentInterval is the least time between heartbeats sent at once for urgent news.
	MinUrgentInterval time.Duration
	// AssignedProbeInterval is the interval of probes of a target assigned to this daemon,
	// FailedProbeInterval of one that failed.
	AssignedProbeInterval time.Duration
	FailedProbeInterval   time.Duration
	// ProbesPerSec bounds the probes of targets.
	ProbesPerSec int
	// ReturnAfter is the time for which a target must have been gone before the
	// list can bring it back. It is longer than the list lags.
	ReturnAfter time.Duration
	// GoneRetention is the time for which a gone subject is remembered.
	GoneRetention time.Duration
	// SubsetSize is the number of targets used for each service.
	SubsetSize int
	// MaxRumours bounds the rumours of one heartbeat.
	MaxRumours int
}

// Defaults of Settings.
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
		{&s.MinUrgentInterval, DefaultMinUrgentInterval}, {&s.AssignedProbeInterval, DefaultAssignedProbeInterval}, {&s.FailedProbeInterval, DefaultFailedProbeInterval},
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
	// Generation orders the runs of this host: Unix milliseconds of the start. A
	// daemon whose clock went back raises it when it hears of its earlier run.
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
	rumours rumours
	// hostNames and targetNames are sorted.
	hostNames, targetNames []string
	// targetList has the targets in order of name; nil when it must be built again.
	targetList []*target

	lists       int
	round       int
	nextRound   time.Time
	urgent      bool
	lastUrgent  time.Time
	lastProbes  time.Time
	lastSweep   time.Time
	lastDomains time.Time
	probeCredit float64
	// changed says that the view is old, targetsChanged that its targets are, and
	// pressing that the change is decisive for new work.
	changed, targetsChanged, pressing bool
	targetViews                       []TargetView
	lastView                          time.Time
	viewVersion                       int
	digests                           [2]string
	digestStale                       bool
	repairCursor                      int
	assignStale                       bool
}

// New returns the state of a daemon that knows only itself. The first heartbeat
// is sent after a random part of the interval.
func New(self Self, settings Settings, seed uint64, now time.Time) *State {
	settings = settings.withDefaults()
	s := &State{
		self: self, settings: settings, random: rand.New(rand.NewPCG(seed, 0)), started: now, sequence: 1,
		hosts: map[string]*host{}, targets: map[string]*target{}, domains: map[string]*domain{},
		drained: map[string]bool{}, lastProbes: now, lastSweep: now, digestStale: true, assignStale: true,
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
		s.hostFailed(now, m.Host)
	case ProbeFinished:
		commands = s.updateProbe(now, m)
	case TargetCallFinished:
		commands = s.updateTraffic(now, m.Target, m.OK)
	case HostCallFinished:
		commands = s.updateHostObserved(now, m)
	case TargetLeaving:
		s.targetLeaving(now, m.Target, int(now.UnixMilli()))
	case DrainsChanged:
		s.drained = map[string]bool{}
		for _, name := range m.Names {
			s.drained[name] = true
		}
		s.changed, s.targetsChanged, s.pressing = true, true, true
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
	return append(commands, s.publish(now)...)
}

func (s *State) tick(now time.Time) []Command {
	var commands []Command
	if !now.Before(s.nextRound) {
		s.round++
		s.nextRound = s.nextRound.Add(s.settings.HeartbeatInterval)
		if s.nextRound.Before(now) {
			// After a pause of the process one round is enough.
			s.nextRound = now.Add(s.settings.HeartbeatInterval)
		}
		commands = append(commands, s.beat(now)...)
	}
	commands = append(commands, s.checkSilence(now)...)
	commands = append(commands, s.checkDomains(now)...)
	commands = append(commands, s.probeTargets(now)...)
	s.sweep(now)
	return commands
}

// leave announces the shutdown of this host.
func (s *State) leave(now time.Time) {
	if s.leaving {
		return
	}
	s.leaving = true
	s.sequence++
	own := s.hosts[s.self.Host]
	own.sequence, own.left = s.sequence, true
	s.fireHost(own, "left")
	s.rumours.add(s.ownFact(now), true)
	s.urgent, s.digestStale = true, true
}

// flushUrgent sends urgent news at once instead of with the next round.
func (s *State) flushUrgent(now time.Time) []Command {
	if !s.urgent || now.Sub(s.lastUrgent) < s.settings.MinUrgentInterval {
		return nil
	}
	s.urgent, s.lastUrgent = false, now
	var commands []Command
	for _, peer := range s.peers() {
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

// placeFor is the time after the start for which heartbeats carry the address and
// the place of the sender, for peers whose list does not have it yet.
const placeFor = 10 * time.Second

// identityEvery is the mean number of heartbeats of a ready host to one that
// carries its identity: a new run and leaving are also spread as rumours.
const identityEvery = 8

func (s *State) heartbeat(now time.Time, to *host, repair bool) encoder.Heartbeat {
	h := encoder.Heartbeat{Host: s.self.Host, ConfigVersion: s.configVersion}
	young := now.Sub(s.started) < placeFor
	if young || s.leaving || s.random.IntN(identityEvery) == 0 {
		h.Incarnation, h.Generation, h.Sequence, h.State = s.self.Incarnation, s.self.Generation, s.sequence, s.ownState()
	}
	if young {
		h.Address, h.FailureDomain, h.Region = s.self.Address, s.self.FailureDomain, s.self.Region
	}
	same := to == nil || to.member.FailureDomain == s.self.FailureDomain
	h.Digest = s.currentDigest(same)
	h.Rumours = s.rumours.take(s.settings.MaxRumours, len(s.hosts), same)
	if repair {
		h.Rumours = append(h.Rumours, s.repairs(s.settings.MaxRumours-len(h.Rumours), same)...)
	}
	return h
}

func (s *State) heartbeatTo(now time.Time, to *host) Command {
	return SendHeartbeat{To: to.member.Host, Address: to.member.Address, Heartbeat: s.heartbeat(now, to, to.digestDiffers)}
}
