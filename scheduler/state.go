package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/tidwall/btree"

	"github.com/dogwoodweir/dogwoodweir/admitter"
	"github.com/dogwoodweir/dogwoodweir/retainer"
	"github.com/dogwoodweir/dogwoodweir/router"
)

// Options configure a scheduler.
type Options struct {
	Location router.Location
	Profile  router.Profile
	Seed     uint64
	// Policy makes the decisions; nil means Standard.
	Policy PolicyBuilder
}

// attempt is one call at one target.
type attempt struct {
	node    *router.Node
	sentAt  time.Time
	choice  router.Choice
	waited  time.Duration
	started bool
}

// call is a call that waits or runs.
type call struct {
	ticket    Ticket
	info      CallInfo
	service   *service
	rank      time.Time
	queuedAt  time.Time
	queued    bool
	attempts  []attempt
	hedgeAt   time.Time
	uncertain bool
}

// service is the state of one service.
type service struct {
	config  Service
	queue   *btree.BTreeG[*call]
	shedder Shedder
	rates   *admitter.ClientRateLimiter
	retries *admitter.RetryBudget
	hedges  *admitter.RetryBudget
	// programs is the number of programs under way here.
	programs int
	// seconds is the smoothed time of one call in flight.
	seconds  float64
	inFlight int
}

// program is a root program under way.
type program struct {
	service  *service
	seen     time.Time
	pausedAt time.Time
	tool     string
	node     *router.Node
	tokens   int
	// counted is set for root programs, which count as under way.
	counted bool
}

// guard limits what is sent to one target.
type guard struct {
	limit   *admitter.ConcurrencyLimit
	breaker *admitter.Breaker
	state   router.State
}

// State is the scheduler of one daemon. It is not safe for concurrent use.
type State struct {
	options  Options
	policy   Policy
	fleet    *router.Fleet
	pauses   *retainer.PauseStats
	random   *rand.Rand
	services map[string]*service
	names    []string
	calls    map[Ticket]*call
	hedges   *btree.BTreeG[*call]
	programs *lru.LRU[string, *program]
	guards   map[string]*guard
	commands []Command
	now      time.Time
	admits   func(*router.Node) bool
	blocked  func(*router.Node) bool
	request  router.Request
}

// maxPrograms bounds the programs that are tracked; the least recently used are
// dropped first, which costs only their estimates.
const maxPrograms = 16_384

// programIdle is the time without a call after which a program no longer counts
// as under way.
const programIdle = 2 * time.Minute

// New returns a scheduler without services and targets.
func New(options Options) *State {
	s := &State{
		options: options, fleet: router.NewFleet(options.Location, options.Profile), pauses: retainer.NewPauseStats(),
		random:   rand.New(rand.NewPCG(options.Seed, 0xd1b54a32d192ed03)),
		services: map[string]*service{}, calls: map[Ticket]*call{}, guards: map[string]*guard{},
		hedges: btree.NewBTreeGOptions(hedgeBefore, btree.Options{NoLocks: true}),
	}
	// NewLRU fails only for sizes below 1.
	s.programs, _ = lru.NewLRU[string, *program](maxPrograms, func(_ string, p *program) {
		if p.counted {
			p.service.programs--
		}
	})
	build := options.Policy
	if build == nil {
		build = Standard()
	}
	s.policy = build(Dependencies{Fleet: s.fleet, Pauses: s.pauses, Seed: options.Seed})
	s.admits, s.blocked = s.hasSlot, s.isBlocked
	return s
}

// Fleet returns the scheduler's model of its targets, for status pages.
func (s *State) Fleet() *router.Fleet { return s.fleet }

// QueueLength returns the number of calls of a service that wait.
func (s *State) QueueLength(name string) int {
	if v := s.services[name]; v != nil {
		return v.queue.Len()
	}
	return 0
}

// ActivePrograms returns the number of programs of a service under way.
func (s *State) ActivePrograms(name string) int {
	if v := s.services[name]; v != nil {
		return v.programs
	}
	return 0
}

// Calls returns the number of calls that wait or run.
func (s *State) Calls() int { return len(s.calls) }

func rankBefore(a, b *call) bool {
	if !a.rank.Equal(b.rank) {
		return a.rank.Before(b.rank)
	}
	return a.ticket < b.ticket
}

func hedgeBefore(a, b *call) bool {
	if !a.hedgeAt.Equal(b.hedgeAt) {
		return a.hedgeAt.Before(b.hedgeAt)
	}
	return a.ticket < b.ticket
}

// Update applies a message and returns what the daemon must do. The slice is
// valid until the next call.
func (s *State) Update(now time.Time, message Message) []Command {
	s.now = now
	s.commands = s.commands[:0]
	switch m := message.(type) {
	case CallQueued:
		s.queueCall(m)
	case CallStarted:
	case FirstToken:
		s.firstToken(m)
	case CallFinished:
		s.finishCall(m)
	case CallCancelled:
		s.cancelCall(m.Ticket)
	case TargetsChanged:
		s.changeTargets(m.Targets)
	case ReportReceived:
		s.fleet.ApplyReport(m.Report)
	case CacheChanged:
		if n := s.fleet.Node(m.Event.Target); n != nil {
			s.fleet.CacheEstimate().ApplyEvent(now, n, m.Event)
		}
	case ProgramPaused:
		s.pauseProgram(m)
	case ProgramEnded:
		s.endProgram(m.Program)
	case ExportLost:
		s.fleet.ForgetExport(m.Program)
	case ServicesChanged:
		s.changeServices(m.Services)
	case Tick:
		s.tick()
	}
	return s.commands
}

func (s *State) emit(c Command) { s.commands = append(s.commands, c) }

func (s *State) changeServices(services []Service) {
	old := s.services
	s.services = make(map[string]*service, len(services))
	s.names = s.names[:0]
	for _, config := range services {
		v := old[config.Name]
		if v == nil {
			v = s.newService(config)
		} else if v.config != config {
			v.config = config
			v.rates = admitter.NewClientRateLimiter(config.RequestsPerSec)
			v.retries = admitter.NewRetryBudget(config.RetryRatio, retryBurst)
			for _, n := range s.fleet.Nodes(config.Name) {
				delete(s.guards, n.Name())
			}
		}
		if r, ok := s.policy.Router.(interface{ SetWeights(string, router.Weights) }); ok {
			r.SetWeights(config.Name, config.Weights)
		}
		s.services[config.Name] = v
		s.names = append(s.names, config.Name)
	}
	slices.Sort(s.names)
	for _, name := range sortedKeys(old) {
		if s.services[name] == nil {
			s.refuseQueue(old[name], admitter.CodeNoTarget)
		}
	}
}

// retryBurst is how many retries can be saved up: enough for the calls at one
// target that fails.
const retryBurst = 10

func (s *State) newService(config Service) *service {
	return &service{
		config: config, queue: btree.NewBTreeGOptions(rankBefore, btree.Options{NoLocks: true}),
		shedder: s.policy.NewShedder(config), rates: admitter.NewClientRateLimiter(config.RequestsPerSec),
		retries: admitter.NewRetryBudget(config.RetryRatio, retryBurst),
		hedges:  admitter.NewRetryBudget(s.policy.HedgeRatio, 5),
	}
}

func sortedKeys(services map[string]*service) []string {
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *State) changeTargets(targets []Target) {
	s.fleet.SetTargets(s.now, targets)
	for _, t := range targets {
		if g := s.guards[t.Name]; g != nil {
			if !g.state.Accepts() && t.State.Accepts() {
				g.limit.BeginSlowStart(s.now)
			}
			g.state = t.State
		}
	}
	for name := range s.guards {
		if s.fleet.Node(name) == nil {
			delete(s.guards, name)
		}
	}
	for _, name := range s.names {
		s.pump(s.services[name])
	}
}

func (s *State) guard(n *router.Node) *guard {
	t := n.Target()
	g := s.guards[t.Name]
	if g == nil {
		v := s.services[t.Service]
		config := Service{MaxConcurrency: 1}
		if v != nil {
			config = v.config
		}
		g = &guard{
			limit:   admitter.NewConcurrencyLimit(s.policy.ConcurrencyOptions(config)),
			breaker: admitter.NewBreaker(admitter.DefaultBreakerOptions()), state: t.State,
		}
		g.limit.BeginSlowStart(t.Since)
		s.guards[t.Name] = g
	}
	return g
}

func (s *State) hasSlot(n *router.Node) bool { return n.InFlight() < s.guard(n).limit.Limit(s.now) }

func (s *State) isBlocked(n *router.Node) bool {
	return s.policy.Breakers && !s.guard(n).breaker.Allows(s.now)
}
