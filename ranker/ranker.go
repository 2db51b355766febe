package ranker

import (
	"cmp"
	"math"
	"slices"
)

// Ranked is a member of a group.
type Ranked interface {
	// Name identifies the member in its group.
	Name() string
	// Weight is the size of the member in any unit. A member without a positive, finite weight comes last
	// in the order and is never first.
	Weight() float64
}

// Member is a name with a weight.
type Member struct {
	name   string
	weight float64
}

// NewMember returns a member.
func NewMember(name string, weight float64) Member { return Member{name: name, weight: weight} }

// Name implements Ranked.
func (m Member) Name() string { return m.name }

// Weight implements Ranked.
func (m Member) Weight() float64 { return m.weight }

// First returns the first member in the order for a key. It returns false if no member has a weight.
func First[M Ranked](key string, members []M) (M, bool) {
	return FirstWhere(key, members, func(M) bool { return true })
}

// FirstWhere returns the first of the usable members in the order for a key. It returns false if there is
// none.
func FirstWhere[M Ranked](key string, members []M, usable func(M) bool) (M, bool) {
	var first M
	found := false
	lowest := math.Inf(1)
	state := hashString(fnvOffset, key)
	for _, m := range members {
		if !usable(m) {
			continue
		}
		weight := m.Weight()
		if !isWeight(weight) {
			continue
		}
		x := uniform(state, m.Name())
		// The score is not below x / weight, which needs no logarithm.
		if x/weight > lowest {
			continue
		}
		switch s := score(x, weight); {
		case !found || s < lowest:
			first, lowest, found = m, s, true
		case s == lowest && m.Name() < first.Name():
			first = m
		}
	}
	return first, found
}

// Order returns all members in the order for a key. Members without a weight come last, by name.
func Order[M Ranked](key string, members []M) []M {
	type scored struct {
		member M
		score  float64
	}
	state := hashString(fnvOffset, key)
	list := make([]scored, len(members))
	for i, m := range members {
		list[i] = scored{member: m, score: math.Inf(1)}
		if w := m.Weight(); isWeight(w) {
			list[i].score = score(uniform(state, m.Name()), w)
		}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.member.Name(), b.member.Name()))
	})
	ordered := make([]M, len(list))
	for i := range list {
		ordered[i] = list[i].member
	}
	return ordered
}

// name is a member of weight 1.
type name string

func (n name) Name() string  { return string(n) }
func (name) Weight() float64 { return 1 }

// FirstName returns the first of the names, which have equal weights, in the order for a key. It returns
// false if there is none.
func FirstName(key string, names []string) (string, bool) {
	first, found := First(key, asMembers(names))
	return string(first), found
}

// OrderNames returns names of equal weights in the order for a key.
func OrderNames(key string, names []string) []string {
	ordered := make([]string, len(names))
	for i, n := range Order(key, asMembers(names)) {
		ordered[i] = string(n)
	}
	return ordered
}

func asMembers(names []string) []name {
	members := make([]name, len(names))
	for i, n := range names {
		members[i] = name(n)
	}
	return members
}

func isWeight(w float64) bool { return w > 0 && !math.IsInf(w, 1) }

// score returns an exponentially distributed number with the given rate, from one that is uniformly
// distributed between 0 and 1. The lowest of several such numbers belongs to each of them with a
// probability proportional to its rate.
func score(x, rate float64) float64 { return -math.Log1p(-x) / rate }

// uniform returns the number in [0, 1) that belongs to a key and a name.
func uniform(key uint64, name string) float64 {
	// The complement makes equal weights give the order of the highest hashes, which builds without weights
	// use. The shift keeps the number below 1 after rounding.
	const bits = 53
	return float64(^mix(hashString(key, name))>>(64-bits)) / (1 << bits)
}

const (
	fnvOffset = 0xcbf29ce484222325
	fnvPrime  = 0x100000001b3
)

// hashString continues a 64-bit FNV-1a hash.
func hashString(h uint64, text string) uint64 {
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * fnvPrime
	}
	return h
}

// mix is the finaliser of MurmurHash3. It spreads the last bytes of a hash over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
