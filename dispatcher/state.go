package dispatcher

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// delayDecay is the time after which an observed delay has no effect: the queue of a
	// target turns over within about a second.
	delayDecay = 1500 * time.Millisecond
	// delaySmoothing and slownessSmoothing are the weights of a new observation.
	delaySmoothing    = 0.4
	slownessSmoothing = 0.2
	// maxSlownessRatio bounds the effect of one observation.
	maxSlownessRatio = 10
	// batchDelayShare is the share of the time to a first event that each running call
	// adds to it: an engine's steps take longer the more calls run.
	batchDelayShare = 0.04
)

// Location is the failure domain and the region of a daemon.
type Location struct {
	Domain string
	Region string
}

// Options configure a State.
type Options struct {
	// PlainResponseTime is the time to the response of a plain service.
	PlainResponseTime time.Duration
	// OtherDomainCost and OtherRegionCost are the costs of a target in another failure domain
	// or region: the round trip and the price of the bytes.
	OtherDomainCost time.Duration
	OtherRegionCost time.Duration
	// RegionBytesPerMs is the rate of the link between regions.
	RegionBytesPerMs float64
	// FullBackoff is the time for which a target that rejected a call for lack of room gets
	// no calls.
	FullBackoff time.Duration
	// A failing target is avoided for InitialFailureBackoff, which doubles with each further
	// failure up to MaxFailureBackoff.
	InitialFailureBackoff time.Duration
	MaxFailureBackoff     time.Duration
	// AffinityBonus is subtracted from the cost of the target that calls with the same
	// affinity prefer.
	AffinityBonus time.Duration
	// MinRetryAfter and MaxRetryAfter bound the time after which a rejected caller may retry,
	// before jitter.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultOptions returns the options that a daemon uses.
func DefaultOptions() Options {
	return Options{
		PlainResponseTime: 20 * time.Millisecond,
		OtherDomainCost:   6 * time.Millisecond, OtherRegionCost: 40 * time.Millisecond, RegionBytesPerMs: 1000, FullBackoff: 60 * time.Millisecond,
		InitialFailureBackoff: 200 * time.Millisecond, MaxFailureBackoff: 3 * time.Second, AffinityBonus: 4 * time.Millisecond,
		MinRetryAfter: 100 * time.Millisecond, MaxRetryAfter: 800 * time.Millisecond,
	}
}

// State is the daemon's model of its targets. It is not safe for concurrent use.
type State struct {
	options    Options
	location   Location
	random     *rand.Rand
	nodes      map[string]*node
	services   map[string]*service
	attempts   map[Ticket]*attempt
	sessions   lastTargets
	reported   loadReport
	lastTicket Ticket
}

// New returns a state without targets. The seed determines how ties are broken and the jitter.
func New(options Options, location Location, seed uint64) *State {
	return &State{
		options: options, location: location, random: rand.New(rand.NewPCG(seed, seed)),
		nodes: map[string]*node{}, services: map[string]*service{}, attempts: map[Ticket]*attempt{}, sessions: newLastTargets(),
	}
}

// Update applies a message. It returns one command for a PlacementRequested and none for
// other messages.
func (s *State) Update(now time.Time, message Message) []Command {
	switch m := message.(type) {
	case TargetsChanged:
		s.updateTargets(now, m)
	case TargetLeaving:
		if n := s.nodes[m.ID]; n != nil && n.target.StartedAt == m.StartedAt {
			n.target.Leaving = true
		}
	case PlacementRequested:
		return []Command{s.choose(now, &m.Request)}
	case LoadReported:
		s.recordLoad(m)
	case ResponseStarted:
		s.recordStart(now, m.Ticket)
	case AttemptEnded:
		s.recordEnd(now, m)
	}
	return nil
}

func (s *State) updateTargets(now time.Time, m TargetsChanged) {
	for id, t := range m.Targets {
		n := s.nodes[id]
		switch {
		case n == nil:
			n = newNode(now, t)
			s.nodes[id] = n
		case n.target.StartedAt != t.StartedAt || n.target.Address != t.Address:
			n.reset(now, t)
		}
		n.target = t
		n.region = m.Regions[t.Domain]
	}
	for _, v := range s.services {
		v.nodes = v.nodes[:0]
	}
	for id, n := range s.nodes {
		if _, listed := m.Targets[id]; !listed {
			delete(s.nodes, id)
			continue
		}
		v := s.service(n.target.Service)
		v.nodes = append(v.nodes, n)
	}
	for _, v := range s.services {
		slices.SortFunc(v.nodes, func(a, b *node) int { return cmp.Compare(a.target.ID, b.target.ID) })
	}
}

// candidate is a target with its cost for a call.
type candidate struct {
	node   *node
	prompt promptEstimate
	// idleFirstEvent is the time to the first event if the target were idle, expectedFirstEvent
	// the time with its load. cost adds the delay of other calls, the cost of the location and random
	// noise that breaks ties.
	idleFirstEvent     time.Duration
	expectedFirstEvent time.Duration
	// delayOfOthers is the time that the call takes from those that run at the target: engines prefill
	// a prompt between the tokens of other calls.
	delayOfOthers time.Duration
	cost          time.Duration
}

// choose sends the call to the candidate with the lowest cost. If the load that other daemons cause is
// known, it compares a few targets, and all only if none of these can take the call.
func (s *State) choose(now time.Time, r *Request) Command {
	preferred := s.preferred(now, r)
	load := s.loads(now, r)
	if load.known() && r.RequiredTarget == "" {
		if best := s.chooseOfFew(now, r, &load, preferred); best != nil {
			return s.send(now, best, r)
		}
	}
	best, full := s.cheapest(now, r, &load, s.service(r.Service).nodes, preferred)
	switch {
	case best == nil && full > 0:
		return s.reject("targetsFull", s.options.FullBackoff)
	case best == nil:
		return s.reject("noTarget", s.options.MinRetryAfter)
	case best.expectedFirstEvent > r.Remaining && !s.mayHaveHistory(best, r):
		return s.reject("tooSlow", best.expectedFirstEvent-r.Remaining)
	}
	return s.send(now, best, r)
}

// usable reports whether a target may get a call, apart from its state at the moment.
func (s *State) usable(n *node, r *Request) bool {
	return !n.target.Leaving && !slices.Contains(r.Excluded, n.target.ID) && (r.RequiredTarget == "" || r.RequiredTarget == n.target.ID)
}

// cheapest returns the candidate with the lowest cost and the number of targets that are full. Targets that
// failed recently are used only if there is no other. Full targets are not used: if there are only these,
// the call is rejected.
func (s *State) cheapest(now time.Time, r *Request, load *loads, nodes []*node, preferred *node) (best *candidate, full int) {
	var avoided *candidate
	for _, n := range nodes {
		if !s.usable(n, r) {
			continue
		}
		if now.Before(n.fullUntil) {
			full++
			continue
		}
		c := s.estimate(now, n, r, load, n == preferred)
		if n == preferred {
			c.cost -= s.options.AffinityBonus
		}
		choice := &best
		if now.Before(n.avoidUntil) {
			choice = &avoided
		}
		if *choice == nil || c.cost < (*choice).cost {
			*choice = c
		}
	}
	if best == nil {
		best = avoided
	}
	return best, full
}

// mayHaveHistory reports whether an idle target may serve a call in time because it has cached the
// program's history through another daemon. Only the attempt can show it: if calls with long histories
// were rejected as too slow instead, no daemon but the one that sent the history would ever serve them.
func (s *State) mayHaveHistory(c *candidate, r *Request) bool {
	if r.Engine == nil || !r.ProgramStarted || c.node.inFlight > 0 {
		return false
	}
	prefill := s.service(r.Service).engines.prefillTime(c.prompt.expectedTokens)
	return c.expectedFirstEvent-time.Duration(float64(prefill)*c.node.slowness) <= r.Remaining
}

func littleEndian(id uint64) []byte {
	var b [8]byte
	for i := range b {
		b[i] = byte(id >> (8 * i))
	}
	return b[:]
}

// mix is the finaliser of MurmurHash3. It spreads the last bytes of a hash over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (s *State) estimate(now time.Time, n *node, r *Request, load *loads, preferred bool) *candidate {
	c := &candidate{node: n}
	slots := max(1, n.target.Slots)
	if r.Engine == nil {
		c.idleFirstEvent = s.options.PlainResponseTime
		waiting := max(0, n.inFlight+1-slots)
		c.expectedFirstEvent = c.idleFirstEvent + s.options.PlainResponseTime*time.Duration(waiting)/time.Duration(slots)
		c.expectedFirstEvent += s.options.PlainResponseTime * time.Duration(n.inFlight) / time.Duration(slots)
	} else {
		v := s.service(r.Service)
		c.prompt = v.estimatePrompt(now, n, r)
		if preferred && r.ProgramStarted {
			v.expectHistory(now, n, r, &c.prompt)
		}
		c.idleFirstEvent = v.engines.idleFirstEvent(c.prompt.expectedTokens)
		c.expectedFirstEvent = c.idleFirstEvent + v.engines.prefillTime(n.pendingTokens)
		calls := load.of(n)
		waiting := max(0, calls+1-float64(slots))
		c.expectedFirstEvent += milliseconds(v.engines.slotTime * waiting / float64(slots))
		c.delayOfOthers = time.Duration(float64(v.engines.prefillTime(c.prompt.expectedTokens)) * calls)
		c.expectedFirstEvent += milliseconds(batchDelayShare * v.engines.firstEvent * calls)
	}
	c.expectedFirstEvent = time.Duration(float64(c.expectedFirstEvent)*n.slowness) + load.queueDelay(now, n)
	if now.Before(n.target.WarmAt) {
		c.expectedFirstEvent *= 2
	}
	c.cost = c.expectedFirstEvent + c.delayOfOthers + s.locationCost(n, r) + time.Duration(s.random.Int64N(int64(time.Millisecond)))
	return c
}

// locationCost returns the cost of the distance to a target.
func (s *State) locationCost(n *node, r *Request) time.Duration {
	switch {
	case n.target.Domain == s.location.Domain:
		return 0
	case n.region == s.location.Region:
		return s.options.OtherDomainCost
	}
	return s.options.OtherRegionCost + time.Duration(float64(r.BodyBytes)/s.options.RegionBytesPerMs*float64(time.Millisecond))
}

func (s *State) send(now time.Time, c *candidate, r *Request) Command {
	s.lastTicket++
	n := c.node
	a := &attempt{node: n, session: sessionID(r), sentAt: now, idleFirstEvent: c.idleFirstEvent}
	otherCalls := n.inFlight
	n.inFlight++
	if r.Engine != nil {
		a.service, a.prompt, a.pendingBefore = s.service(r.Service), c.prompt, n.pendingTokens
		n.pendingTokens += c.prompt.expectedTokens
		if len(r.Prompt) > 0 {
			last := r.Prompt[len(r.Prompt)-1]
			known, found := n.segments.Peek(last.ID)
			if found || !r.ProgramStarted {
				a.service.observeGrowth(last.Tokens - known)
			}
		}
		// The engine prefills the prompt once, so calls that follow at once can count on its cache.
		n.recordPrompt(r.Prompt, r.Engine.CacheTokens)
	}
	s.attempts[s.lastTicket] = a
	return Send{
		Ticket: s.lastTicket, Target: n.target, QueuePriority: queuePriority(r),
		CachedTokens: c.prompt.cachedTokens, ExpectedFirstEvent: c.expectedFirstEvent, InFlight: otherCalls,
		Session: a.session, PreviousTarget: s.sessions.get(a.session),
	}
}

const (
	// Queue priorities are 0 to 9. A target treats a call without one as priority 5.
	firstPriority = 2
	lastPriority  = 9
)

// queuePriority returns the order of a call in the target's queue, -1 for plain services.
// Urgent routes come first. Within a route, turns of started programs come before new
// programs, because otherwise all programs would end late together. Calls that can still meet
// their objective come before those that cannot.
func queuePriority(r *Request) int {
	if r.Engine == nil {
		return -1
	}
	priority := firstPriority + 2*r.Priority
	if !r.ProgramStarted {
		priority++
	}
	if r.ObjectiveMissed {
		priority++
	}
	return min(priority, lastPriority)
}

func (s *State) reject(reason string, wait time.Duration) Command {
	wait = min(max(wait, s.options.MinRetryAfter), s.options.MaxRetryAfter)
	// Jitter keeps rejected callers from returning together.
	return Reject{Reason: reason, RetryAfter: wait + time.Duration(s.random.Int64N(int64(wait)/2+1))}
}

func (s *State) recordStart(now time.Time, ticket Ticket) {
	a := s.attempts[ticket]
	if a == nil || a.started {
		return
	}
	a.started, a.startedAt = true, now
	n := a.node
	n.failures = 0
	s.sessions.set(a.session, n.target.ID)
	took := now.Sub(a.sentAt)
	if a.service != nil {
		n.pendingTokens -= a.prompt.expectedTokens
		a.service.observeFirstEvent(a, took)
	}
	n.observeFirstEvent(now, took, a.idleFirstEvent)
	// A target that is warming up is slow for a short time only.
	if !now.Before(n.target.WarmAt) && n.speed.observe(took, a.idleFirstEvent) {
		s.service(n.target.Service).updateSpeed(now, n)
	}
}

func (s *State) recordEnd(now time.Time, m AttemptEnded) {
	a := s.attempts[m.Ticket]
	if a == nil {
		return
	}
	delete(s.attempts, m.Ticket)
	n := a.node
	n.inFlight--
	if !a.started && a.service != nil {
		n.pendingTokens -= a.prompt.expectedTokens
	}
	switch m.Result {
	case TargetFull:
		n.fullUntil = now.Add(s.options.FullBackoff)
	case Failed, Misdirected:
		n.failures++
		backoff := min(s.options.InitialFailureBackoff<<min(n.failures-1, 8), s.options.MaxFailureBackoff)
		n.avoidUntil = now.Add(backoff)
	case Completed:
		n.failures, n.avoidUntil = 0, time.Time{}
		if a.started && a.service != nil {
			a.service.engines.observeSlotTime(now.Sub(a.startedAt) + a.idleFirstEvent)
		}
	case Cancelled:
	}
}
