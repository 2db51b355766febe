package ranker_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/ranker"
)

const testKeys = 100_000

func key(i int) string { return fmt.Sprintf("session-%d", i) }

// group returns members of which those with odd numbers are twice as large.
func group(prefix string, count int) []ranker.Member {
	members := make([]ranker.Member, count)
	for i := range members {
		members[i] = ranker.NewMember(fmt.Sprintf("%s%03d", prefix, i), float64(8+8*(i%2)))
	}
	return members
}

// firsts returns the name of the first member for each test key.
func firsts(members []ranker.Member) []string {
	names := make([]string, testKeys)
	for i := range names {
		first, _ := ranker.First(key(i), members)
		names[i] = first.Name()
	}
	return names
}

// shares returns the share of the total weight of each member.
func shares(members []ranker.Member) map[string]float64 {
	total := 0.0
	for _, m := range members {
		total += m.Weight()
	}
	result := map[string]float64{}
	for _, m := range members {
		result[m.Name()] = m.Weight() / total
	}
	return result
}

// leastMoves returns the share of keys that must move so that the shares follow the weights again.
func leastMoves(before, after []ranker.Member) float64 {
	old, moves := shares(before), 0.0
	for name, share := range shares(after) {
		moves += max(0, share-old[name])
	}
	return moves
}

// Guards against more moves than the theoretical least when the members change: only keys that come from
// a member that shrinks or leaves, or go to one that grows or joins, may move, and in all at most 1.1 times
// the least.
func TestMoves(t *testing.T) {
	const most = 1.1
	members := group("t", 60)
	inDomain := func(domain int) func(ranker.Member) bool {
		return func(m ranker.Member) bool { return m.Name()[3]%6 == byte(domain) }
	}
	without := func(list []ranker.Member, drop func(ranker.Member) bool) []ranker.Member {
		return slices.DeleteFunc(slices.Clone(list), drop)
	}
	rolling := [][]ranker.Member{members}
	for i := range 6 {
		last := rolling[len(rolling)-1]
		left := without(last, func(m ranker.Member) bool { return m.Name() == members[i].Name() })
		joined := append(slices.Clone(left), ranker.NewMember(fmt.Sprintf("r%03d", i), members[i].Weight()))
		rolling = append(rolling, left, joined)
	}
	grown := slices.Clone(members)
	grown[7] = ranker.NewMember(grown[7].Name(), 2*grown[7].Weight())
	tests := []struct {
		name  string
		steps [][]ranker.Member
	}{
		{"one joins", [][]ranker.Member{members, append(slices.Clone(members), group("n", 1)...)}},
		{"ten join", [][]ranker.Member{members, append(slices.Clone(members), group("n", 10)...)}},
		{"one leaves", [][]ranker.Member{members, members[1:]}},
		{"ten leave", [][]ranker.Member{members, members[10:]}},
		{"rolling replacement", rolling},
		{"loss and return of a failure domain", [][]ranker.Member{members, without(members, inDomain(2)), members}},
		{"a weight doubles and halves", [][]ranker.Member{members, grown, members}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			moved, least := 0, 0.0
			names := firsts(test.steps[0])
			for i, after := range test.steps[1:] {
				before := test.steps[i]
				absolute := map[string]float64{}
				for _, m := range before {
					absolute[m.Name()] -= m.Weight()
				}
				for _, m := range after {
					absolute[m.Name()] += m.Weight()
				}
				next := firsts(after)
				for k, from := range names {
					to := next[k]
					if from == to {
						continue
					}
					moved++
					if absolute[from] >= 0 && absolute[to] <= 0 {
						t.Fatalf("step %d: key %d moved from %s to %s, neither of which changed", i, k, from, to)
					}
				}
				least += leastMoves(before, after) * testKeys
				names = next
			}
			t.Logf("%d moves, least %.0f", moved, least)
			if float64(moved) > most*least {
				t.Errorf("%d moves, want at most %.1f times the least, %.0f", moved, most, least)
			}
		})
	}
}

// Guards against moves between members that stay, for any weights and names.
func TestJoinMovesKeysOnlyToNewMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(0, 12, -1), 2, 20, rapid.ID[string]).Draw(t, "names")
		members := make([]ranker.Member, len(names))
		for i, n := range names {
			members[i] = ranker.NewMember(n, rapid.Float64Range(0.01, 1000).Draw(t, "weight"))
		}
		k := rapid.String().Draw(t, "key")
		before, _ := ranker.First(k, members[1:])
		after, found := ranker.First(k, members)
		if !found || after != before && after != members[0] {
			t.Errorf("first of %q was %v, and is %v after %v joined", k, before, after, members[0])
		}
		if order := ranker.Order(k, members); order[0] != after {
			t.Errorf("first of %q is %v, but its order begins with %v", k, after, order[0])
		}
	})
}

// Guards against shares that do not follow the weights: each member's share must be within 10% of its
// share of the weights. With 100,000 keys the smallest member is expected to have 735.
func TestSharesFollowWeights(t *testing.T) {
	const deviation = 0.1
	members := group("t", 60)
	members = append(members, ranker.NewMember("large", 64))
	for _, seed := range []string{"", "a", "b"} {
		counts := map[string]int{}
		for i := range testKeys {
			first, _ := ranker.First(seed+key(i), members)
			counts[first.Name()]++
		}
		for name, share := range shares(members) {
			// Four standard deviations of the sample are allowed beyond what is stated for many keys.
			expected := share * testKeys
			if got := float64(counts[name]); math.Abs(got-expected) > deviation*expected+4*math.Sqrt(expected) {
				t.Errorf("%s is first for %.0f keys, want %.0f within %.0f%%", name, got, expected, 100*deviation)
			}
		}
	}
}

// Guards against choices that depend on the order in which a process learned of the members.
func TestEqualKnowledgeGivesEqualChoices(t *testing.T) {
	members := group("t", 40)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		want := ranker.Order(key(i), members)
		shuffled := slices.Clone(members)
		random.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
		if diff := cmp.Diff(want, ranker.Order(key(i), shuffled), cmp.AllowUnexported(ranker.Member{})); diff != "" {
			t.Fatalf("orders differ (-want +got):\n%s", diff)
		}
		if first, _ := ranker.First(key(i), shuffled); first != want[0] {
			t.Fatalf("first is %v, but the order begins with %v", first, want[0])
		}
	}
}

// Guards against sessions that move because builds with and without weights run side by side: for equal
// weights the first member must be the one with the highest unweighted score.
func TestEqualWeightsKeepUnweightedOrder(t *testing.T) {
	members := make([]ranker.Member, 50)
	for i := range members {
		members[i] = ranker.NewMember(fmt.Sprintf("i-%x", 7919*i), 8)
	}
	unweighted := func(k string) string {
		best, highest := "", uint64(0)
		for _, m := range members {
			h := fnv.New64a()
			h.Write([]byte(k + m.Name()))
			x := h.Sum64()
			x = (x ^ x>>33) * 0xff51afd7ed558ccd
			x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
			if x ^= x >> 33; best == "" || x > highest {
				best, highest = m.Name(), x
			}
		}
		return best
	}
	for i := range 20_000 {
		if first, _ := ranker.First(key(i), members); first.Name() != unweighted(key(i)) {
			t.Fatalf("first of key %d is %s, want %s", i, first.Name(), unweighted(key(i)))
		}
	}
}

func TestNoFirst(t *testing.T) {
	zero := ranker.NewMember("zero", 0)
	tests := []struct {
		name    string
		members []ranker.Member
		want    string
	}{
		{"none", nil, ""},
		{"no weight", []ranker.Member{zero}, ""},
		{"weights that are no sizes", []ranker.Member{
			zero, ranker.NewMember("negative", -1), ranker.NewMember("infinite", math.Inf(1)), ranker.NewMember("nan", math.NaN()),
		}, ""},
		{"one with a weight", []ranker.Member{zero, ranker.NewMember("a", 1e-9)}, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, found := ranker.First("k", test.members)
			if first.Name() != test.want || found != (test.want != "") {
				t.Errorf("first is %q (%v), want %q", first.Name(), found, test.want)
			}
			if got := ranker.Order("k", test.members); len(got) != len(test.members) || test.want != "" && got[0].Name() != test.want {
				t.Errorf("order is %v, want all members, first %q", got, test.want)
			}
		})
	}
}

// Guards against a second host that differs from the one that a process without the first host takes.
func TestOrderNames(t *testing.T) {
	hosts := []string{"host-1", "host-2", "host-3", "host-4"}
	for i := range 200 {
		order := ranker.OrderNames(key(i), hosts)
		rest := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == order[0] })
		first, _ := ranker.FirstName(key(i), hosts)
		second, _ := ranker.FirstName(key(i), rest)
		if diff := cmp.Diff(order[:2], []string{first, second}); diff != "" {
			t.Fatalf("hosts differ (-order +first):\n%s", diff)
		}
	}
	if first, found := ranker.FirstName("k", nil); found {
		t.Errorf("first of no names is %q", first)
	}
}

// Guards against a member that gets more than its bound, and against keys that move although their first
// member has room.
func TestBounds(t *testing.T) {
	const factor = 1.25
	members := group("t", 20)
	total := 0.0
	for _, m := range members {
		total += m.Weight()
	}
	loads := map[string]int{}
	passed := 0
	const calls = 5000
	for i := range calls {
		bounds := ranker.NewBounds(factor, total, i)
		m, found := ranker.FirstWhere(key(i), members, func(m ranker.Member) bool { return loads[m.Name()] < bounds.Of(m.Weight()) })
		if !found {
			t.Fatalf("no member has room for call %d", i)
		}
		first, _ := ranker.First(key(i), members)
		if m != first {
			passed++
			if loads[first.Name()] < bounds.Of(first.Weight()) {
				t.Errorf("call %d went to %s, although %s has room", i, m.Name(), first.Name())
			}
		}
		loads[m.Name()]++
	}
	for _, m := range members {
		if most := factor * m.Weight() / total * calls; float64(loads[m.Name()]) > most+1 {
			t.Errorf("%s has %d calls, want at most %.0f", m.Name(), loads[m.Name()], most)
		}
	}
	if passed > calls/20 {
		t.Errorf("%d of %d calls passed over their first member, want at most one in 20", passed, calls)
	}
	if got := ranker.NewBounds(factor, 0, 3).Of(1); got != 0 {
		t.Errorf("the bound of a group without weight is %d, want 0", got)
	}
}

// Guards against weights that follow noise: a speed within 0.75 doublings of the level in use must not
// change it, and one beyond must change it once.
func TestLevel(t *testing.T) {
	tests := []struct {
		name  string
		sizes []float64
		want  []float64
	}{
		{"noise", []float64{1, 1.6, 0.6, 1.3, 0.7}, []float64{1, 1, 1, 1, 1}},
		{"half", []float64{0.5, 0.8, 0.31, 0.5}, []float64{0.5, 0.5, 0.5, 0.5}},
		{"between two levels", []float64{0.55, 0.7, 0.75, 0.65}, []float64{0.5, 0.5, 0.5, 0.5}},
		{"back", []float64{0.25, 0.5, 1}, []float64{0.25, 0.5, 1}},
		{"no size", []float64{0.5, 0, -1, math.NaN(), math.Inf(1)}, []float64{0.5, 0.5, 0.5, 0.5, 0.5}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var level ranker.Level
			got := make([]float64, len(test.sizes))
			for i, size := range test.sizes {
				before := level.Size()
				if changed := level.Update(size); changed != (level.Size() != before) {
					t.Errorf("update %d reports %v, but the size went from %g to %g", i, changed, before, level.Size())
				}
				got[i] = level.Size()
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("sizes differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against keys that move with each measurement: speeds that vary by a quarter around their mean
// move none in 100 rounds, and a member that becomes half as fast loses keys once.
func TestNoisySpeedsMoveFewKeys(t *testing.T) {
	const rounds, keys = 100, 2000
	random := rand.New(rand.NewPCG(2, 2))
	levels := make([]ranker.Level, 30)
	members := func() []ranker.Member {
		list := make([]ranker.Member, len(levels))
		for i := range list {
			list[i] = ranker.NewMember(fmt.Sprintf("t%d", i), 8*levels[i].Size())
		}
		return list
	}
	choose := func() []string {
		list, names := members(), make([]string, keys)
		for i := range names {
			first, _ := ranker.First(key(i), list)
			names[i] = first.Name()
		}
		return names
	}
	names := choose()
	owned := 0
	for _, n := range names {
		if n == "t3" {
			owned++
		}
	}
	moved := map[string]int{}
	for round := range rounds {
		for i := range levels {
			speed := math.Exp2(0.3 * (2*random.Float64() - 1))
			if i == 3 && round >= rounds/2 {
				speed *= 0.5
			}
			levels[i].Update(speed)
		}
		next := choose()
		for i := range next {
			if next[i] != names[i] {
				moved[names[i]]++
			}
		}
		names = next
	}
	if len(moved) != 1 || moved["t3"] == 0 || moved["t3"] > owned*2/3 {
		t.Errorf("keys moved from %v, want only from t3, and at most two thirds of its %d", moved, owned)
	}
}

// Guards against a choice that allocates: it runs for each call.
func TestFirstDoesNotAllocate(t *testing.T) {
	members := group("t", 100)
	if n := testing.AllocsPerRun(100, func() { ranker.First("key", members) }); n != 0 {
		t.Errorf("First allocates %.0f times, want 0", n)
	}
}

func BenchmarkFirst(b *testing.B) {
	for _, count := range []int{100, 1000, 5600} {
		for _, sizes := range []string{"equal", "different"} {
			members := group("i-5dbff2662", count)
			if sizes == "equal" {
				for i, m := range members {
					members[i] = ranker.NewMember(m.Name(), 8)
				}
			}
			b.Run(fmt.Sprintf("%d/%s", count, sizes), func(b *testing.B) {
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					ranker.First(key(i%1000), members)
					i++
				}
			})
		}
	}
}
