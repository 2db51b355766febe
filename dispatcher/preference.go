package dispatcher

import (
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/ranker"
)

const (
	// loadFactor bounds the calls at a preferred target to a multiple of its share of this daemon's calls.
	loadFactor = 1.25
	// freeSlotShare is the share of a target's slots up to which the bound does not apply: with few calls,
	// a target that has one is already above its share. minFreeSlots is their least number.
	freeSlotShare = 0.25
	minFreeSlots  = 2
)

// Name implements ranker.Ranked.
func (n *node) Name() string { return n.target.ID }

// Weight implements ranker.Ranked. It is the size of the target: its slots and its observed speed.
func (n *node) Weight() float64 { return float64(max(1, n.target.Slots)) * n.speed.level.Size() }

// preferred returns the target that all turns of a session prefer: the first in the session's order that
// may get the call now and is not loaded beyond its share. A target in another failure domain is preferred
// only for plain services without a target in this one: the distance costs more than the bonus is worth.
// Daemons that observe the same speeds compute the same target without
// exchanging messages, also those that have just started. preferred returns nil if the call has no
// session or no target is eligible.
func (s *State) preferred(now time.Time, r *Request) *node {
	key := sessionKey(r)
	if key == "" {
		return nil
	}
	nodes := s.service(r.Service).nodes
	anyDomain := r.Engine == nil && !slices.ContainsFunc(nodes, func(n *node) bool {
		return n.target.Domain == s.location.Domain && !n.target.Leaving
	})
	eligible := func(n *node) bool {
		return !n.target.Leaving && !now.Before(n.fullUntil) && !now.Before(n.avoidUntil) &&
			(anyDomain || n.target.Domain == s.location.Domain) && !slices.Contains(r.Excluded, n.target.ID)
	}
	weight, load := 0.0, 0
	for _, n := range nodes {
		if eligible(n) {
			weight += n.Weight()
			load += n.inFlight
		}
	}
	bounds := ranker.NewBounds(loadFactor, weight, load)
	first, _ := ranker.FirstWhere(key, nodes, func(n *node) bool {
		return eligible(n) && n.inFlight < max(bounds.Of(n.Weight()), minFreeSlots, int(freeSlotShare*float64(n.target.Slots)))
	})
	return first
}
