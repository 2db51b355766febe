package dispatcher

import (
	"cmp"
	"hash/fnv"
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
)

// Location is the failure domain and the region of a daemon.
type Location struct {
	Domain string
	Region string
}

// Options configure a State.
type Options struct {
	// PrefillTokensPerMs is the number of prompt tokens that an engine prefills in a millisecond.
	PrefillTokensPerMs float64
	// FirstEventTime is the time to the first event at an idle engine that has the prompt cached.
	FirstEventTime time.Duration
	// PlainResponseTime is the time to the response of a plain service.
	PlainResponseTime time.Duration
	// SlotTime is the time for which one call occupies a slot of an engine.
	SlotTime time.Duration
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
		PrefillTokensPerMs: 200, FirstEventTime: 25 * time.Millisecond, PlainResponseTime: 20 * time.Millisecond,
		SlotTime: 250 * time.Millisecond, OtherDomainCost: 6 * time.Millisecond, OtherRegionCost: 40 * time.Millisecond,
		RegionBytesPerMs: 1000, FullBackoff: 60 * time.Millisecond,
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
	services   map[string][]*node
	attempts   map[Ticket]*attempt
	lastTicket Ticket
}

// New returns a state without targets. The seed determines how ties are broken and the jitter.
func New(options Options, location Location, seed uint64) *State {
	return &State{
		options: options, location: location, random: rand.New(rand.NewPCG(seed, seed)),
		nodes: map[string]*node{}, services: map[string][]*node{}, attempts: map[Ticket]*attempt{},
	}
}

// Update applies a message. It returns one command for a PlacementRequested and none for
// other messages.
func (s *State) Update(now time.Time, message Message) []Command {
	switch m := message.(type) {
	case TargetsChanged:
		s.updateTargets(m)
	case PlacementRequested:
		return []Command{s.choose(now, &m.Request)}
	case ResponseStarted:
		s.recordStart(now, m.Ticket)
	case AttemptEnded:
		s.recordEnd(now, m)
	}
	return nil
}

func (s *State) updateTargets(m TargetsChanged) {
	for id, t := range m.Targets {
		n := s.nodes[id]
		switch {
		case n == nil:
			n = newNode(t)
			s.nodes[id] = n
		case n.target.StartedAt != t.StartedAt || n.target.Address != t.Address:
			n.reset(t)
		}
		n.target = t
		n.region = m.Regions[t.Domain]
	}
	clear(s.services)
	for id, n := range s.nodes {
		if _, listed := m.Targets[id]; !listed {
			delete(s.nodes, id)
			continue
		}
		s.services[n.target.Service] = append(s.services[n.target.Service], n)
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *node) int { return cmp.Compare(a.target.ID, b.target.ID) })
	}
}

// candidate is a target with its cost for a call.
type candidate struct {
	node         *node
	cachedTokens int
	// idleFirstEvent is the time to the first event if the target were idle, expectedFirstEvent
	// the time with its load. cost adds the cost of the location and random noise that breaks ties.
	idleFirstEvent     time.Duration
	expectedFirstEvent time.Duration
	cost               time.Duration
}

// choose sends the call to the candidate with the lowest cost. Targets that failed recently
// are used only if there is no other. Full targets are not used: if there are only these, the
// call is rejected.
func (s *State) choose(now time.Time, r *Request) Command {
	var best, avoided *candidate
	full := 0
	preferred := s.preferred(r)
	for _, n := range s.services[r.Service] {
		if n.target.Leaving || slices.Contains(r.Excluded, n.target.ID) || (r.RequiredTarget != "" && r.RequiredTarget != n.target.ID) {
			continue
		}
		if now.Before(n.fullUntil) {
			full++
			continue
		}
		c := s.estimate(now, n, r)
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
	switch {
	case best == nil && full > 0:
		return s.reject("targetsFull", s.options.FullBackoff)
	case best == nil:
		return s.reject("noTarget", s.options.MinRetryAfter)
	case best.expectedFirstEvent > r.Remaining:
		return s.reject("tooSlow", best.expectedFirstEvent-r.Remaining)
	}
	return s.send(now, best, r)
}

// preferred returns the target that all calls with the same affinity key prefer, or all calls
// with the same first prompt segment if there is no key. An engine is preferred only in this
// failure domain, a plain target in any. Daemons compute the same target without exchanging
// messages. preferred returns nil if the call has no key and no segment, or no target is
// eligible.
func (s *State) preferred(r *Request) *node {
	key := r.AffinityKey
	if key == "" && len(r.Prompt) > 0 {
		key = string(littleEndian(r.Prompt[0].ID))
	}
	if key == "" {
		return nil
	}
	var best *node
	var highest uint64
	for _, n := range s.services[r.Service] {
		if n.target.Leaving || (r.Engine != nil && n.target.Domain != s.location.Domain) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(key))
		_, _ = h.Write([]byte(n.target.ID))
		if score := mix(h.Sum64()); best == nil || score > highest {
			best, highest = n, score
		}
	}
	return best
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

func (s *State) estimate(now time.Time, n *node, r *Request) *candidate {
	c := &candidate{node: n}
	slots := max(1, n.target.Slots)
	if r.Engine == nil {
		c.idleFirstEvent = s.options.PlainResponseTime
		waiting := max(0, n.inFlight+1-slots)
		c.expectedFirstEvent = c.idleFirstEvent + s.options.PlainResponseTime*time.Duration(waiting)/time.Duration(slots)
		c.expectedFirstEvent += s.options.PlainResponseTime * time.Duration(n.inFlight) / time.Duration(slots)
	} else {
		c.cachedTokens = n.cachedTokens(r.Prompt)
		uncachedTokens := max(0, r.PromptTokens-c.cachedTokens)
		c.idleFirstEvent = s.options.FirstEventTime + s.prefillTime(uncachedTokens)
		c.expectedFirstEvent = c.idleFirstEvent + s.prefillTime(n.pendingTokens)
		waiting := max(0, n.inFlight+1-slots)
		c.expectedFirstEvent += s.options.SlotTime * time.Duration(waiting) / time.Duration(slots)
		c.expectedFirstEvent += time.Millisecond * time.Duration(n.inFlight)
	}
	c.expectedFirstEvent = time.Duration(float64(c.expectedFirstEvent)*n.slowness) + n.decayedQueueDelay(now)
	if now.Before(n.target.WarmAt) {
		c.expectedFirstEvent *= 2
	}
	c.cost = c.expectedFirstEvent + s.locationCost(n, r) + time.Duration(s.random.Int64N(int64(time.Millisecond)))
	return c
}

func (s *State) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.options.PrefillTokensPerMs * float64(time.Millisecond))
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
	a := &attempt{node: n, sentAt: now, idleFirstEvent: c.idleFirstEvent}
	otherCalls := n.inFlight
	n.inFlight++
	if r.Engine != nil {
		a.uncachedTokens = max(0, r.PromptTokens-c.cachedTokens)
		n.pendingTokens += a.uncachedTokens
		// The engine prefills the prompt once, so calls that follow at once can count on its cache.
		n.recordPrompt(r.Prompt, r.Engine.CacheTokens)
	}
	s.attempts[s.lastTicket] = a
	return Send{
		Ticket: s.lastTicket, Target: n.target, QueuePriority: queuePriority(r),
		CachedTokens: c.cachedTokens, ExpectedFirstEvent: c.expectedFirstEvent, InFlight: otherCalls,
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
	a.started = true
	a.node.pendingTokens -= a.uncachedTokens
	a.node.failures = 0
	a.node.observeFirstEvent(now, now.Sub(a.sentAt), a.idleFirstEvent)
}

func (s *State) recordEnd(now time.Time, m AttemptEnded) {
	a := s.attempts[m.Ticket]
	if a == nil {
		return
	}
	delete(s.attempts, m.Ticket)
	n := a.node
	n.inFlight--
	if !a.started {
		n.pendingTokens -= a.uncachedTokens
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
	case Cancelled:
	}
}
