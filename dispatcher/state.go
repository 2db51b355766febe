package dispatcher

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// delayMemory is the time after which an observed delay says nothing any more:
	// the queue of a target turns over within about a second.
	delayMemory = 1500 * time.Millisecond
	// delayWeight and slownessWeight are the weights of a new observation.
	delayWeight    = 0.4
	slownessWeight = 0.2
	// maxSlowness bounds the effect of one observation.
	maxSlowness = 10
)

// Location is where the daemon runs.
type Location struct {
	Domain string
	Region string
}

// Options configure a State.
type Options struct {
	// PrefillTokensPerMs is the number of prompt tokens that an engine reads in a millisecond.
	PrefillTokensPerMs float64
	// FirstEventTime is the time to the first event of a cached prompt at an idle engine.
	FirstEventTime time.Duration
	// PlainResponseTime is the time to the answer of a plain service.
	PlainResponseTime time.Duration
	// SlotTime is how long one call occupies an engine's slot.
	SlotTime time.Duration
	// OtherDomainCost and OtherRegion are the costs of a target elsewhere: the way there
	// and back, and the price of the bytes.
	OtherDomainCost time.Duration
	OtherRegionCost time.Duration
	// RegionBytesPerMs is the rate of the link between regions, in bytes a millisecond.
	RegionBytesPerMs float64
	// FullBackoff is the time for which a target that refused for lack of room is avoided.
	FullBackoff time.Duration
	// MinFailureBackoff and LongestPause bound the time for which a failing target is avoided.
	MinFailureBackoff time.Duration
	MaxFailureBackoff time.Duration
	// AffinityBonus is the advantage of the target that calls of one object prefer.
	AffinityBonus time.Duration
	// MinRetryAfter and LongestRetryAfter bound the time until a refused caller may
	// come back.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options {
	return Options{
		PrefillTokensPerMs: 200, FirstEventTime: 25 * time.Millisecond, PlainResponseTime: 20 * time.Millisecond,
		SlotTime: 250 * time.Millisecond, OtherDomainCost: 6 * time.Millisecond, OtherRegionCost: 40 * time.Millisecond,
		RegionBytesPerMs: 1000, FullBackoff: 60 * time.Millisecond,
		MinFailureBackoff: 200 * time.Millisecond, MaxFailureBackoff: 3 * time.Second, AffinityBonus: 4 * time.Millisecond,
		MinRetryAfter: 100 * time.Millisecond, MaxRetryAfter: 800 * time.Millisecond,
	}
}

// State is the daemon's model of its targets. It is not safe for concurrent use.
type State struct {
	options  Options
	place    Location
	random   *rand.Rand
	nodes    map[string]*node
	services map[string][]*node
	flights  map[Ticket]*flight
	next     Ticket
}

// New returns a state without targets. The seed decides ties and jitter.
func New(options Options, place Location, seed uint64) *State {
	return &State{
		options: options, place: place, random: rand.New(rand.NewPCG(seed, seed)),
		nodes: map[string]*node{}, services: map[string][]*node{}, flights: map[Ticket]*flight{},
	}
}

// Update applies a message.
func (s *State) Update(now time.Time, message Message) []Command {
	switch m := message.(type) {
	case TargetsChanged:
		s.change(m)
	case PlacementRequested:
		return []Command{s.choose(now, &m.Request)}
	case ResponseStarted:
		s.start(now, m.Ticket)
	case AttemptEnded:
		s.end(now, m)
	}
	return nil
}

func (s *State) change(m TargetsChanged) {
	for id, t := range m.Targets {
		n := s.nodes[id]
		switch {
		case n == nil:
			n = newNode(t)
			s.nodes[id] = n
		case n.target.StartedAt != t.StartedAt || n.target.Address != t.Address:
			n.renew(t)
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

// candidate is a target with its price.
type candidate struct {
	node   *node
	cached int
	// unloaded is the time to the first event at an idle target, cost the expected one
	// with load, way and price of bytes.
	unloaded time.Duration
	expected time.Duration
	cost     time.Duration
}

// choose returns the cheapest target that is likely to take the call. Targets that
// failed or had no room are used when there is no other.
func (s *State) choose(now time.Time, r *Request) Command {
	var best, avoided *candidate
	full := 0
	preferred := s.preferred(r)
	for _, n := range s.services[r.Service] {
		if n.target.Leaving || slices.Contains(r.Excluded, n.target.ID) || (r.RequiredTarget != "" && r.RequiredTarget != n.target.ID) {
			continue
		}
		if now.Before(n.full) {
			full++
			continue
		}
		c := s.price(now, n, r)
		if n == preferred {
			c.cost -= s.options.AffinityBonus
		}
		list := &best
		if now.Before(n.retry) {
			list = &avoided
		}
		if *list == nil || c.cost < (*list).cost {
			*list = c
		}
	}
	if best == nil {
		best = avoided
	}
	switch {
	case best == nil && full > 0:
		return s.refuse("targetsFull", s.options.FullBackoff)
	case best == nil:
		return s.refuse("noTarget", s.options.MinRetryAfter)
	case best.expected > r.Remaining:
		return s.refuse("tooSlow", best.expected-r.Remaining)
	}
	return s.send(now, best, r)
}

// preferred returns the target that calls with the same affinity, or the same shared
// prompt, prefer in this failure domain. All daemons agree on it without a message.
func (s *State) preferred(r *Request) *node {
	key := r.AffinityKey
	if key == "" && len(r.Prompt) > 0 {
		key = string(binaryID(r.Prompt[0].ID))
	}
	if key == "" {
		return nil
	}
	var best *node
	var highest uint64
	for _, n := range s.services[r.Service] {
		if n.target.Leaving || (r.Engine != nil && n.target.Domain != s.place.Domain) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(key))
		_, _ = h.Write([]byte(n.target.ID))
		if weight := mix(h.Sum64()); best == nil || weight > highest {
			best, highest = n, weight
		}
	}
	return best
}

func binaryID(id uint64) []byte {
	var b [8]byte
	for i := range b {
		b[i] = byte(id >> (8 * i))
	}
	return b[:]
}

// mix spreads the last bytes of a hash over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (s *State) price(now time.Time, n *node, r *Request) *candidate {
	c := &candidate{node: n}
	slots := max(1, n.target.Slots)
	if r.Engine == nil {
		c.unloaded = s.options.PlainResponseTime
		waiting := max(0, n.inFlight+1-slots)
		c.expected = c.unloaded + s.options.PlainResponseTime*time.Duration(waiting)/time.Duration(slots)
		c.expected += s.options.PlainResponseTime * time.Duration(n.inFlight) / time.Duration(slots)
	} else {
		c.cached = n.cached(r.Prompt)
		unread := max(0, r.PromptTokens-c.cached)
		c.unloaded = s.options.FirstEventTime + s.reading(unread)
		c.expected = c.unloaded + s.reading(n.unread)
		waiting := max(0, n.inFlight+1-slots)
		c.expected += s.options.SlotTime * time.Duration(waiting) / time.Duration(slots)
		c.expected += time.Millisecond * time.Duration(n.inFlight)
	}
	c.expected = time.Duration(float64(c.expected)*n.slowness) + n.backlog(now)
	if now.Before(n.target.WarmAt) {
		c.expected *= 2
	}
	c.cost = c.expected + s.way(n, r) + time.Duration(s.random.Int64N(int64(time.Millisecond)))
	return c
}

func (s *State) reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.options.PrefillTokensPerMs * float64(time.Millisecond))
}

// way is the cost of a target's place.
func (s *State) way(n *node, r *Request) time.Duration {
	switch {
	case n.target.Domain == s.place.Domain:
		return 0
	case n.region == s.place.Region:
		return s.options.OtherDomainCost
	}
	return s.options.OtherRegionCost + time.Duration(float64(r.BodyBytes)/s.options.RegionBytesPerMs*float64(time.Millisecond))
}

func (s *State) send(now time.Time, c *candidate, r *Request) Command {
	s.next++
	n := c.node
	f := &flight{node: n, sent: now, unloaded: c.unloaded}
	before := n.inFlight
	n.inFlight++
	if r.Engine != nil {
		f.uncached = max(0, r.PromptTokens-c.cached)
		n.unread += f.uncached
		// Calls that follow at once can count on the prompt: the engine reads it once.
		n.hold(r.Prompt, r.Engine.CacheTokens)
	}
	s.flights[s.next] = f
	return Send{
		Ticket: s.next, Target: n.target, QueuePriority: rank(r), CachedTokens: c.cached, ExpectedFirstEvent: c.expected, InFlight: before,
	}
}

const (
	// ranks are 0 to 9; calls without one count as 5.
	firstRank = 2
	lastRank  = 9
)

// rank orders calls in a target's queue: urgent routes first; within a route turns of
// programs under way before new programs, which would otherwise all end late together,
// and those that can still meet their objective before those that cannot.
func rank(r *Request) int {
	if r.Engine == nil {
		return -1
	}
	value := firstRank + 2*r.Priority
	if !r.ProgramStarted {
		value++
	}
	if r.ObjectiveMissed {
		value++
	}
	return min(value, lastRank)
}

func (s *State) refuse(reason string, wait time.Duration) Command {
	wait = min(max(wait, s.options.MinRetryAfter), s.options.MaxRetryAfter)
	// Jitter keeps refused callers from returning together.
	return Reject{Reason: reason, RetryAfter: wait + time.Duration(s.random.Int64N(int64(wait)/2+1))}
}

func (s *State) start(now time.Time, ticket Ticket) {
	f := s.flights[ticket]
	if f == nil || f.started {
		return
	}
	f.started = true
	f.node.unread -= f.uncached
	f.node.failures = 0
	f.node.observe(now, now.Sub(f.sent), f.unloaded)
}

func (s *State) end(now time.Time, m AttemptEnded) {
	f := s.flights[m.Ticket]
	if f == nil {
		return
	}
	delete(s.flights, m.Ticket)
	n := f.node
	n.inFlight--
	if !f.started {
		n.unread -= f.uncached
	}
	switch m.Result {
	case TargetFull:
		n.full = now.Add(s.options.FullBackoff)
	case Failed, Misdirected:
		n.failures++
		pause := min(s.options.MinFailureBackoff<<min(n.failures-1, 8), s.options.MaxFailureBackoff)
		n.retry = now.Add(pause)
	case Completed:
		n.failures, n.retry = 0, time.Time{}
	case Cancelled:
	}
}
