package router

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RoundRobin sends each call to the next target with a free slot.
type RoundRobin struct {
	fleet *Fleet
	next  map[string]int
}

// NewRoundRobin returns the baseline. The seed sets its starting point, so that the
// daemons of a deployment do not send to the same targets in step.
func NewRoundRobin(fleet *Fleet, services []string, seed uint64) *RoundRobin {
	b := &RoundRobin{fleet: fleet, next: map[string]int{}}
	for _, s := range services {
		b.next[s] = int(seed % 1_000)
	}
	return b
}

// Decide returns the next target with a free slot. If none has one, it returns the last
// usable target with Choice.Full set.
func (b *RoundRobin) Decide(_ time.Time, r *Request) Choice {
	nodes := b.fleet.Accepting(r.Service)
	var full *Node
	for range nodes {
		n := nodes[b.next[r.Service]%len(nodes)]
		b.next[r.Service]++
		if !usable(n, r) {
			continue
		}
		if r.HasSlot == nil || r.HasSlot(n) {
			return baselineChoice(n, r, false)
		}
		full = n
	}
	return baselineChoice(full, r, true)
}

// LeastLoaded sends each call to the target with the fewest calls, counting those in the
// target's last report and the daemon's own calls since then.
type LeastLoaded struct{ fleet *Fleet }

// NewLeastLoaded returns the baseline for the targets of a fleet.
func NewLeastLoaded(fleet *Fleet) *LeastLoaded { return &LeastLoaded{fleet: fleet} }

// Decide returns the target with the fewest calls. Ties are broken by a hash of the program,
// so that daemons with equal reports do not all choose the same target.
func (b *LeastLoaded) Decide(_ time.Time, r *Request) Choice {
	var best, full *Node
	lowest, bestHash := math.Inf(1), uint64(0)
	salt := xxhash.Sum64String(r.Program) + uint64(r.PromptTokens)
	for _, n := range b.fleet.Accepting(r.Service) {
		if !usable(n, r) {
			continue
		}
		if r.HasSlot != nil && !r.HasSlot(n) {
			full = n
			continue
		}
		calls := n.Calls()
		h := mix(salt + uint64(n.index))
		if calls < lowest || (calls == lowest && h < bestHash) {
			best, lowest, bestHash = n, calls, h
		}
	}
	if best == nil {
		return baselineChoice(full, r, true)
	}
	return baselineChoice(best, r, false)
}

// Affinity sends all calls of a program to one target by rendezvous hashing. When that
// target has no free slot, the call goes to the one with the next highest hash.
type Affinity struct{ fleet *Fleet }

// NewAffinity returns the baseline for the targets of a fleet.
func NewAffinity(fleet *Fleet) *Affinity { return &Affinity{fleet: fleet} }

// Decide returns the target with the highest hash among those with a free slot.
func (b *Affinity) Decide(_ time.Time, r *Request) Choice {
	var best, full *Node
	var highest uint64
	salt := xxhash.Sum64String(r.Program)
	for _, n := range b.fleet.Accepting(r.Service) {
		if !usable(n, r) {
			continue
		}
		if r.HasSlot != nil && !r.HasSlot(n) {
			full = n
			continue
		}
		if h := mix(salt ^ xxhash.Sum64String(n.target.Name)); best == nil || h > highest {
			best, highest = n, h
		}
	}
	if best == nil {
		return baselineChoice(full, r, true)
	}
	return baselineChoice(best, r, false)
}

func baselineChoice(n *Node, r *Request, full bool) Choice {
	if n == nil {
		return Choice{}
	}
	return Choice{Node: n, Service: r.Service, UncachedTokens: r.PromptTokens, Full: full}
}

// mix is the finaliser of MurmurHash3. It spreads each bit of a hash over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
