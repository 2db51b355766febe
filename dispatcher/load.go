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
	// used. With two, twelve daemons that get the same report at once make the idlest target the busiest.
	drawnTargets = 1
	// reserveShare is the share of the slots of the best of these targets that must be free. Otherwise, the call
	// may go to another failure domain. With less, the domain to which the callers of another one have moved
	// keeps too many of their calls.
	reserveShare = 1.0 / 3
)

// EngineCalls returns, for each engine of this daemon's failure domain with calls of this daemon, their
// number.
func (s *State) EngineCalls() map[string]int {
	calls := map[string]int{}
	for _, a := range s.attempts {
		if a.service != nil && a.node.target.Domain == s.location.Domain {
			calls[a.node.target.ID]++
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
}

// loads returns the load of the targets for a call.
func (s *State) loads(now time.Time, r *Request) loads {
	l := loads{domain: s.location.Domain}
	if r.Engine == nil {
		return l
	}
	l.weight, l.inFlight = s.reported.weight(now), s.reported.inFlight
	return l
}

// known reports whether the load that other daemons cause is known.
func (l *loads) known() bool { return l.weight > 0 }

// of returns the calls at a target: those of this daemon, and as many of others as the last report gives.
// Nothing is reported about other failure domains, whose targets are estimated as without reports.
func (l *loads) of(n *node) float64 {
	if !l.known() || n.target.Domain != l.domain {
		return float64(n.inFlight)
	}
	return float64(n.inFlight) + l.weight*float64(l.inFlight[n.target.ID])
}

// hasFreeSlots reports whether a target has room for calls that other daemons have sent since the report.
func (l *loads) hasFreeSlots(n *node) bool {
	slots := float64(max(1, n.target.Slots))
	return l.of(n)+max(1, reserveShare*slots) <= slots
}

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
// one that had its last turn, and others drawn at random in proportion to their sizes. distant are the targets
// of other failure domains.
func (s *State) drawFew(now time.Time, r *Request, preferred *node) (few, distant []*node) {
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
			distant = append(distant, n)
		}
	}
	for range min(drawnTargets, len(others)) {
		drawn := s.random.Float64() * weight
		i := 0
		for ; i < len(others)-1 && drawn >= others[i].Weight(); i++ {
			drawn -= others[i].Weight()
		}
		few = append(few, others[i])
		weight -= others[i].Weight()
		others = slices.Delete(others, i, i+1)
	}
	return few, distant
}

// chooseOfFew returns the cheapest of a few targets, or nil if all have to be compared. A call goes to another
// failure domain only if the few hardly have free slots.
func (s *State) chooseOfFew(now time.Time, r *Request, load *loads, preferred *node) *candidate {
	few, distant := s.drawFew(now, r, preferred)
	best, _ := s.cheapest(now, r, load, few, preferred)
	if best == nil || !load.hasFreeSlots(best.node) {
		if other, _ := s.cheapest(now, r, load, distant, preferred); other != nil && (best == nil || other.cost < best.cost) {
			best = other
		}
	}
	if best == nil || best.expectedFirstEvent > r.Remaining {
		return nil
	}
	return best
}
