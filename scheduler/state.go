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
	// Policy builds the policy that makes the decisions. Nil means Standard.
	Policy PolicyBuilder
}

// attempt is one attempt of a call at one target.
type attempt struct {
	node   *router.Node
	sentAt time.Time
	choice router.Choice
	// waited is the estimated queueing time at the target.
	waited time.Duration
	// streaming is set when the first token has arrived.
	streaming bool
}

// call is a queued or running call.
type call struct {
	ticket  Ticket
	info    CallInfo
	service *service
	// priority orders the queue, earliest first.
	priority time.Time
	queuedAt time.Time
	queued   bool
	attempts []attempt
	hedgeAt  time.Time
	// mayHaveRun is set if an attempt may have run at a target.
	mayHaveRun bool
}

// service is the state of one service.
type service struct {
	config      Service
	queue       *btree.BTreeG[*call]
	shedder     Shedder
	rateLimiter *admitter.ClientRateLimiter
	retryBudget *admitter.RetryBudget
	hedgeBudget *admitter.RetryBudget
	// activePrograms is the number of active root programs.
	activePrograms int
	// meanSeconds is the smoothed duration of a call at its target.
	meanSeconds float64
	// inFlight is the number of attempts in flight.
	inFlight int
}

// program is an active program or sub-agent.
type program struct {
	service      *service
	lastActiveAt time.Time
	// pausedAt is zero while the program does not wait for a tool.
	pausedAt time.Time
	tool     string
	// node and tokens are the target of the last completed call and the length of its
	// context.
	node   *router.Node
	tokens int
	// counted is set for root programs, which count in service.activePrograms.
	counted bool
}

// targetLimits limits what is sent to one target.
type targetLimits struct {
	concurrency *admitter.ConcurrencyLimit
	breaker     *admitter.Breaker
	// state is the state in the last list of targets.
	state router.State
}

// State is the scheduler of one daemon. It is not safe for concurrent use.
type State struct {
	options    Options
	policy     Policy
	fleet      *router.Fleet
	pauseStats *retainer.PauseStats
	random     *rand.Rand
	services   map[string]*service
	// serviceNames are the keys of services in order, for a deterministic iteration.
	serviceNames []string
	calls        map[Ticket]*call
	hedgeQueue   *btree.BTreeG[*call]
	programs     *lru.LRU[string, *program]
	limits       map[string]*targetLimits
	commands     []Command
	now          time.Time
	// hasSlotFunc and isBlockedFunc are method values that are created once, and
	// request is reused, so that a decision allocates nothing for them.
	hasSlotFunc   func(*router.Node) bool
	isBlockedFunc func(*router.Node) bool
	request       router.Request
}

// maxPrograms bounds the tracked programs. The least recently used one is evicted
// first. An evicted program loses only its estimates.
const maxPrograms = 16_384

// programIdleTimeout is the time without a call after which a program no longer counts
// as active.
const programIdleTimeout = 2 * time.Minute

// New returns a scheduler without services and targets.
func New(options Options) *State {
	s := &State{
		options: options, fleet: router.NewFleet(options.Location, options.Profile), pauseStats: retainer.NewPauseStats(),
		random:   rand.New(rand.NewPCG(options.Seed, 0xd1b54a32d192ed03)),
		services: map[string]*service{}, calls: map[Ticket]*call{}, limits: map[string]*targetLimits{},
		hedgeQueue: btree.NewBTreeGOptions(lessByHedgeTime, btree.Options{NoLocks: true}),
	}
	// NewLRU fails only for sizes below 1.
	s.programs, _ = lru.NewLRU[string, *program](maxPrograms, func(_ string, p *program) {
		if p.counted {
			p.service.activePrograms--
		}
	})
	build := options.Policy
	if build == nil {
		build = Standard()
	}
	s.policy = build(Dependencies{Fleet: s.fleet, PauseStats: s.pauseStats, Seed: options.Seed})
	s.hasSlotFunc, s.isBlockedFunc = s.hasSlot, s.isBlocked
	return s
}

// Fleet returns the scheduler's view of its targets.
func (s *State) Fleet() *router.Fleet { return s.fleet }

// QueueLength returns the number of waiting calls of a service.
func (s *State) QueueLength(name string) int {
	if v := s.services[name]; v != nil {
		return v.queue.Len()
	}
	return 0
}

// ActivePrograms returns the number of active root programs of a service.
func (s *State) ActivePrograms(name string) int {
	if v := s.services[name]; v != nil {
		return v.activePrograms
	}
	return 0
}

// Calls returns the number of calls that wait or run.
func (s *State) Calls() int { return len(s.calls) }

func lessByPriority(a, b *call) bool {
	if !a.priority.Equal(b.priority) {
		return a.priority.Before(b.priority)
	}
	return a.ticket < b.ticket
}

func lessByHedgeTime(a, b *call) bool {
	if !a.hedgeAt.Equal(b.hedgeAt) {
		return a.hedgeAt.Before(b.hedgeAt)
	}
	return a.ticket < b.ticket
}

// Update applies a message and returns the commands that the daemon must execute. The
// slice is valid until the next call of Update.
func (s *State) Update(now time.Time, message Message) []Command {
	s.now = now
	s.commands = s.commands[:0]
	switch m := message.(type) {
	case CallQueued:
		s.enqueue(m)
	case CallStarted:
	case FirstToken:
		s.recordFirstToken(m)
	case CallFinished:
		s.finishCall(m)
	case CallCancelled:
		s.cancelCall(m.Ticket)
	case TargetsChanged:
		s.setTargets(m.Targets)
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
		s.setServices(m.Services)
	case Tick:
		s.tick()
	}
	return s.commands
}

func (s *State) emit(c Command) { s.commands = append(s.commands, c) }

func (s *State) setServices(services []Service) {
	old := s.services
	s.services = make(map[string]*service, len(services))
	s.serviceNames = s.serviceNames[:0]
	for _, config := range services {
		v := old[config.Name]
		if v == nil {
			v = s.newService(config)
		} else if v.config != config {
			v.config = config
			v.rateLimiter = admitter.NewClientRateLimiter(config.RequestsPerSec)
			v.retryBudget = admitter.NewRetryBudget(config.RetryRatio, retryBurst)
			for _, n := range s.fleet.Nodes(config.Name) {
				delete(s.limits, n.Name())
			}
		}
		if r, ok := s.policy.Router.(interface{ SetWeights(string, router.Weights) }); ok {
			r.SetWeights(config.Name, config.Weights)
		}
		s.services[config.Name] = v
		s.serviceNames = append(s.serviceNames, config.Name)
	}
	slices.Sort(s.serviceNames)
	for _, name := range sortedKeys(old) {
		if s.services[name] == nil {
			s.rejectQueue(old[name], admitter.CodeNoTarget)
		}
	}
}

// retryBurst is the number of retries that can be saved up. It covers the calls in
// flight at one target that fails.
const retryBurst = 10

// hedgeBurst is the number of hedges that can be saved up.
const hedgeBurst = 5

func (s *State) newService(config Service) *service {
	return &service{
		config: config, queue: btree.NewBTreeGOptions(lessByPriority, btree.Options{NoLocks: true}),
		shedder: s.policy.NewShedder(config), rateLimiter: admitter.NewClientRateLimiter(config.RequestsPerSec),
		retryBudget: admitter.NewRetryBudget(config.RetryRatio, retryBurst),
		hedgeBudget: admitter.NewRetryBudget(s.policy.HedgeRatio, hedgeBurst),
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

func (s *State) setTargets(targets []Target) {
	s.fleet.SetTargets(s.now, targets)
	for _, t := range targets {
		if l := s.limits[t.Name]; l != nil {
			if !l.state.Accepts() && t.State.Accepts() {
				l.concurrency.BeginSlowStart(s.now)
			}
			l.state = t.State
		}
	}
	for name := range s.limits {
		if s.fleet.Node(name) == nil {
			delete(s.limits, name)
		}
	}
	for _, name := range s.serviceNames {
		s.dispatch(s.services[name])
	}
}

func (s *State) limitsOf(n *router.Node) *targetLimits {
	t := n.Target()
	l := s.limits[t.Name]
	if l == nil {
		v := s.services[t.Service]
		config := Service{MaxConcurrency: 1}
		if v != nil {
			config = v.config
		}
		l = &targetLimits{
			concurrency: admitter.NewConcurrencyLimit(s.policy.ConcurrencyOptions(config)),
			breaker:     admitter.NewBreaker(admitter.DefaultBreakerOptions()), state: t.State,
		}
		l.concurrency.BeginSlowStart(t.Since)
		s.limits[t.Name] = l
	}
	return l
}

func (s *State) hasSlot(n *router.Node) bool {
	return n.InFlight() < s.limitsOf(n).concurrency.Limit(s.now)
}

func (s *State) isBlocked(n *router.Node) bool {
	return s.policy.Breakers && !s.limitsOf(n).breaker.Allows(s.now)
}
