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

// NewRoundRobin returns the baseline; seed moves its starting point, so that the
// daemons of a deployment do not step together.
func NewRoundRobin(fleet *Fleet, services []string, seed uint64) *RoundRobin {
	b := &RoundRobin{fleet: fleet, next: map[string]int{}}
	for _, s := range services {
		b.next[s] = int(seed % 1_000)
	}
	return b
}

// Decide implements the baseline.
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
			return plainChoice(n, r, false)
		}
		full = n
	}
	return plainChoice(full, r, true)
}

// LeastLoaded sends each call to the target with the fewest calls, as reported
// and corrected by the daemon's own calls since.
type LeastLoaded struct{ fleet *Fleet }

// NewLeastLoaded returns the baseline.
func NewLeastLoaded(fleet *Fleet) *LeastLoaded { return &LeastLoaded{fleet: fleet} }

// Decide implements the baseline. Ties are broken by a hash of the program, so
// that daemons with equal reports do not all choose the same target.
func (b *LeastLoaded) Decide(_ time.Time, r *Request) Choice {
	var best, full *Node
	lowest, rank := math.Inf(1), uint64(0)
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
		if calls < lowest || (calls == lowest && h < rank) {
			best, lowest, rank = n, calls, h
		}
	}
	if best == nil {
		return plainChoice(full, r, true)
	}
	return plainChoice(best, r, false)
}

// Affinity sends all calls of a program to one target by rendezvous hashing and
// to the next by rank when that one has no free slot.
type Affinity struct{ fleet *Fleet }

// NewAffinity returns the baseline.
func NewAffinity(fleet *Fleet) *Affinity { return &Affinity{fleet: fleet} }

// Decide implements the baseline.
func (b *Affinity) Decide(_ time.Time, r *Request) Choice {
	var best, full *Node
	var rank uint64
	salt := xxhash.Sum64String(r.Program)
	for _, n := range b.fleet.Accepting(r.Service) {
		if !usable(n, r) {
			continue
		}
		if r.HasSlot != nil && !r.HasSlot(n) {
			full = n
			continue
		}
		if h := mix(salt ^ xxhash.Sum64String(n.target.Name)); best == nil || h > rank {
			best, rank = n, h
		}
	}
	if best == nil {
		return plainChoice(full, r, true)
	}
	return plainChoice(best, r, false)
}

func plainChoice(n *Node, r *Request, full bool) Choice {
	if n == nil {
		return Choice{}
	}
	return Choice{Node: n, Service: r.Service, UncachedTokens: r.PromptTokens, Full: full}
}

// mix is the finaliser of a 64-bit hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
