package dispatcher

import (
	"slices"
	"time"
)

const (
	// fullWeightAge is the age up to which a report counts fully: reports are sent at intervals of this
	// order. The weight then falls to zero at maxLoadAge.
	fullWeightAge = 150 * time.Millisecond
	maxLoadAge    = 500 * time.Millisecond
	// drawnTargets is the number of targets that are compared beside those that a session prefers or has
	// used. All daemons would choose the idlest of all targets of the same report at the same time.
	drawnTargets = 1
	// spareTargets is the number of further ones that are compared if none of these has a free slot.
	spareTargets = 1
)

// EngineCalls returns, for each engine of this daemon's failure domain with calls of this daemon, their
// number.
func (s *State) EngineCalls() map[string]int {
	calls := map[string]int{}
	for id, n := range s.nodes {
		if n.isEngine && n.inFlight > 0 && n.target.Domain == s.location.Domain {
			calls[id] = n.inFlight
		}
	}
	return calls
}

// loadReport is the last known load that other daemons of the failure domain cause.
type loadReport struct {
	inFlight map[string]int
	at       time.Time
}

func (s *State) recordLoad(m LoadReported) {
	if m.At.Before(s.reported.at) {
		return
	}
	s.reported = loadReport{inFlight: m.InFlight, at: m.At}
}

// weight returns how much the report counts at a time, 0 if it is too old.
func (l *loadReport) weight(now time.Time) float64 {
	age := now.Sub(l.at)
	switch {
	case l.at.IsZero() || age >= maxLoadAge:
		return 0
	case age <= fullWeightAge:
		return 1
	}
	return float64(maxLoadAge-age) / float64(maxLoadAge-fullWeightAge)
}

// loads returns the calls at targets for one placement.
type loads struct {
	domain   string
	weight   float64
	inFlight map[string]int
	// perSlot is the mean number of calls for each slot of the failure domain, at most 1.
	perSlot float64
}

// loads returns the load of the targets of a service as of the given time.
func (s *State) loads(now time.Time, r *Request) loads {
	l := loads{domain: s.location.Domain}
	if r.Engine == nil {
		return l
	}
	if l.weight = s.reported.weight(now); l.weight == 0 {
		return l
	}
	l.inFlight = s.reported.inFlight
	calls, slots := 0.0, 0
	for _, n := range s.service(r.Service).nodes {
		if n.target.Domain == l.domain && !n.target.Leaving {
			calls += l.of(n)
			slots += max(1, n.target.Slots)
		}
	}
	if slots > 0 {
		l.perSlot = min(1, calls/float64(slots))
	}
	return l
}

// known reports whether the load that other daemons cause is known.
func (l *loads) known() bool { return l.weight > 0 }

// of returns the calls at a target: those of this daemon, and as many of others as the last report gives.
// Nothing is reported about other failure domains. Their targets are assumed to be as busy as those of
// this one, since they would otherwise look idle to all daemons at once.
func (l *loads) of(n *node) float64 {
	own := float64(n.inFlight)
	switch {
	case !l.known():
		return own
	case n.target.Domain == l.domain:
		return own + l.weight*float64(l.inFlight[n.target.ID])
	}
	return max(own, l.weight*l.perSlot*float64(max(1, n.target.Slots)))
}

// hasFreeSlot reports whether a target has room for another call.
func (l *loads) hasFreeSlot(n *node) bool { return l.of(n)+1 <= float64(max(1, n.target.Slots)) }

// queueDelay returns the observed delay at a target that its load does not explain. A reported load takes the
// place of what this daemon has observed: the few responses that it gets from a target are older.
func (l *loads) queueDelay(now time.Time, n *node) time.Duration {
	delay := n.decayedQueueDelay(now)
	if !l.known() || n.target.Domain != l.domain {
		return delay
	}
	return time.Duration((1 - l.weight) * float64(delay))
}

// drawFew returns the targets to compare if the load of others is known: the one that the session prefers, the
// one that had its last turn, and others drawn at random in proportion to their sizes. The spare ones are for
// calls that would wait at these: further targets, and those of other failure domains.
func (s *State) drawFew(now time.Time, r *Request, preferred *node) (few, spare []*node) {
	last := s.sessions.get(sessionID(r))
	var others []*node
	weight := 0.0
	for _, n := range s.service(r.Service).nodes {
		switch {
		case !s.usable(n, r) || now.Before(n.fullUntil) || now.Before(n.avoidUntil):
		case n == preferred || n.target.ID == last:
			few = append(few, n)
		case n.target.Domain == s.location.Domain:
			others = append(others, n)
			weight += n.Weight()
		default:
			spare = append(spare, n)
		}
	}
	for number := range min(drawnTargets+spareTargets, len(others)) {
		drawn := s.random.Float64() * weight
		i := 0
		for ; i < len(others)-1 && drawn >= others[i].Weight(); i++ {
			drawn -= others[i].Weight()
		}
		if number < drawnTargets {
			few = append(few, others[i])
		} else {
			spare = append(spare, others[i])
		}
		weight -= others[i].Weight()
		others = slices.Delete(others, i, i+1)
	}
	return few, spare
}

// chooseOfFew returns the cheapest of a few targets, or nil if all have to be compared.
func (s *State) chooseOfFew(now time.Time, r *Request, load *loads, preferred *node) *candidate {
	few, spare := s.drawFew(now, r, preferred)
	best, _ := s.cheapest(now, r, load, few, preferred)
	if best == nil || !load.hasFreeSlot(best.node) {
		if other, _ := s.cheapest(now, r, load, spare, preferred); other != nil && (best == nil || other.cost < best.cost) {
			best = other
		}
	}
	if best == nil || best.expectedFirstEvent > r.Remaining {
		return nil
	}
	return best
}
