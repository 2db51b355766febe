package dispatcher_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/follower"
)

// newPreferringState returns a state whose calls go to the preferred targets whatever they cost.
func newPreferringState(at dispatcher.Location, seed uint64, list ...follower.Target) *dispatcher.State {
	options := dispatcher.DefaultOptions()
	options.AffinityBonus = time.Hour
	state := dispatcher.New(options, at, seed)
	setTargets(state, list...)
	return state
}

func sessionCall(i int) dispatcher.Request {
	return dispatcher.Request{Service: "s", Remaining: time.Second, AffinityKey: fmt.Sprint("session", i)}
}

// choices returns the targets of idle sessions.
func choices(state *dispatcher.State, now time.Time, sessions int) []string {
	names := make([]string, sessions)
	for i := range names {
		name, ticket := place(state, now, sessionCall(i))
		state.Update(now, dispatcher.AttemptEnded{Ticket: ticket, Result: dispatcher.Cancelled})
		names[i] = name
	}
	return names
}

// observe reports responses of a target that took the given times.
func observe(state *dispatcher.State, now time.Time, id string, took ...time.Duration) time.Time {
	for _, d := range took {
		request := sessionCall(0)
		request.RequiredTarget = id
		_, ticket := place(state, now, request)
		respond(state, now.Add(d), ticket)
		now = now.Add(d)
	}
	return now
}

// Guards against sessions that change their target although neither it nor the new one has joined, left or
// changed, and against targets that get fewer sessions than their share.
func TestOnlySessionsOfChangedTargetsMove(t *testing.T) {
	const sessions = 3000
	all := targets(30)
	for i := range all {
		all[i].Domain = []string{"ams", "ehv", "fra"}[i%3]
	}
	without := func(drop func(follower.Target) bool) []follower.Target {
		return slices.DeleteFunc(slices.Clone(all), drop)
	}
	withoutDomain := func(domain string) []follower.Target {
		return without(func(t follower.Target) bool { return t.Domain == domain })
	}
	withoutTarget := func(id string) []follower.Target {
		return without(func(t follower.Target) bool { return t.ID == id })
	}
	leaving := slices.Clone(all)
	leaving[3].Leaving = true
	tests := []struct {
		name          string
		before, after []follower.Target
		// wantLeast is the least share of the sessions that has to move.
		wantLeast float64
	}{
		{"one of ten joins", withoutTarget("t00"), all, 0.1},
		{"one of ten leaves", all, withoutTarget("t00"), 0.1},
		{"one of ten announces that it leaves", all, leaving, 0.1},
		{"one of ten joins and one leaves", withoutTarget("t00"), withoutTarget("t27"), 0.2},
		{"one joins in another failure domain", withoutTarget("t01"), all, 0},
		{"other failure domain lost", all, withoutDomain("fra"), 0},
		{"own failure domain lost", all, withoutDomain("ams"), 1},
		{"own failure domain back", withoutDomain("ams"), all, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := newPreferringState(location, 1, test.before...)
			before := choices(state, start, sessions)
			setTargets(state, test.after...)
			after := choices(state, start, sessions)
			usable := func(list []follower.Target, id string) bool {
				return slices.ContainsFunc(list, func(t follower.Target) bool { return t.ID == id && !t.Leaving })
			}
			moves := 0
			for i := range before {
				if before[i] == after[i] {
					continue
				}
				moves++
				if usable(test.after, before[i]) && usable(test.before, after[i]) {
					t.Fatalf("session %d moved from %s to %s, which both stayed", i, before[i], after[i])
				}
			}
			// Four standard deviations of the sample are allowed beyond the least.
			least := test.wantLeast * sessions
			if deviation := 4 * math.Sqrt(least); math.Abs(float64(moves)-least) > deviation {
				t.Errorf("%d sessions moved, want %.0f within %.0f", moves, least, deviation)
			}
		})
	}
}

// Guards against shares that do not follow the sizes of the targets: a target with twice the slots must be
// preferred by twice as many sessions, within 10%.
func TestPreferencesFollowSlots(t *testing.T) {
	const sessions = 12_000
	list := targets(9)
	for i := range 3 {
		list[i].Slots = 16
	}
	counts := map[string]int{}
	for _, name := range choices(newPreferringState(location, 1, list...), start, sessions) {
		counts[name]++
	}
	for _, target := range list {
		want := sessions * float64(target.Slots) / (3*16 + 6*8)
		if got := float64(counts[target.ID]); math.Abs(got/want-1) > 0.1 {
			t.Errorf("%s with %d slots is preferred by %.0f sessions, want %.0f within 10%%", target.ID, target.Slots, got, want)
		}
	}
}

// Guards against a preference for a target that is full, failing, leaving or already tried: the next one in
// the session's order must be preferred, the same at each daemon, and the first one again afterwards.
func TestUnusableTargetIsPassedOver(t *testing.T) {
	first := func(state *dispatcher.State, now time.Time, excluded ...string) (string, dispatcher.Ticket) {
		request := sessionCall(5)
		request.Excluded = excluded
		return place(state, now, request)
	}
	end := func(result dispatcher.Result) func(*dispatcher.State, string, dispatcher.Ticket) {
		return func(s *dispatcher.State, _ string, ticket dispatcher.Ticket) {
			s.Update(start, dispatcher.AttemptEnded{Ticket: ticket, Result: result})
		}
	}
	without := func(id string) []follower.Target {
		return slices.DeleteFunc(targets(9), func(t follower.Target) bool { return t.ID == id })
	}
	tests := []struct {
		name     string
		make     func(state *dispatcher.State, id string, ticket dispatcher.Ticket)
		excludes bool
		returns  bool
	}{
		{"full", end(dispatcher.TargetFull), false, true},
		{"failing", end(dispatcher.Failed), false, true},
		{"leaving", func(s *dispatcher.State, id string, _ dispatcher.Ticket) {
			s.Update(start, dispatcher.TargetLeaving{ID: id})
		}, false, false},
		{"tried", end(dispatcher.Cancelled), true, true},
		{"removed", func(s *dispatcher.State, id string, _ dispatcher.Ticket) { setTargets(s, without(id)...) }, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := newPreferringState(location, 1, targets(9)...)
			id, ticket := first(state, start)
			test.make(state, id, ticket)
			var excluded []string
			if test.excludes {
				excluded = []string{id}
			}
			second, _ := first(state, start, excluded...)
			want, _ := first(newPreferringState(location, 2, without(id)...), start)
			wantLater := want
			if test.returns {
				wantLater = id
			}
			later, _ := first(state, start.Add(10*time.Second))
			if diff := cmp.Diff([]string{want, wantLater}, []string{second, later}); diff != "" {
				t.Errorf("targets after %s was unusable differ (-want +got):\n%s", id, diff)
			}
		})
	}
}

// Guards against a target that gets all calls of a busy session: beyond its bound the calls go to the next
// targets in the session's order. With 9 equal targets a bound of 1.25 shares is 13 of 90 calls.
func TestPreferredTargetIsBounded(t *testing.T) {
	state := newPreferringState(location, 1, targets(9)...)
	counts := map[string]int{}
	for range 90 {
		name, _ := place(state, start, sessionCall(5))
		counts[name]++
	}
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	if want := 13; most != want {
		t.Errorf("the target with the most calls has %d of 90 calls of one session, want %d", most, want)
	}
}

// noisyTimes returns times that vary by up to 40% around their mean.
func noisyTimes(random *rand.Rand, count int, mean time.Duration) []time.Duration {
	times := make([]time.Duration, count)
	for i := range times {
		times[i] = time.Duration(float64(mean) * (0.6 + 0.8*random.Float64()))
	}
	return times
}

// Guards against weights that follow noise, and against daemons that prefer different targets because each
// has measured a little differently: equally fast targets keep all sessions on all daemons, however far they
// are. A target that becomes half as fast loses sessions on all daemons of its failure domain alike. A
// daemon in a failure domain without targets sees it at a distance and may differ.
func TestPreferencesFollowObservedSpeed(t *testing.T) {
	const sessions = 2000
	list := targets(8)
	for i := range list {
		list[i].Domain = []string{"ams", "fra"}[i%2]
	}
	const slow = "t02"
	daemons := []struct {
		at       dispatcher.Location
		distance map[string]time.Duration
	}{
		{location, map[string]time.Duration{"fra": 16 * time.Millisecond}},
		{location, map[string]time.Duration{"fra": 16 * time.Millisecond}},
		{dispatcher.Location{Domain: "ehv", Region: "nl"}, map[string]time.Duration{"ams": time.Millisecond, "fra": 17 * time.Millisecond}},
	}
	tests := []struct {
		name     string
		slowness time.Duration
		// minMoved and maxMoved bound the share of the slow target's sessions that move.
		minMoved, maxMoved float64
	}{
		{"equal speeds", 1, 0, 0},
		{"one slow target", 2, 0.4, 0.6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var first []string
			for i, d := range daemons {
				random := rand.New(rand.NewPCG(uint64(i), 5))
				state := newPreferringState(d.at, uint64(i), list...)
				before := choices(state, start, sessions)
				now := start
				for range 40 {
					for _, target := range list {
						mean := 15*time.Millisecond + d.distance[target.Domain]
						if target.ID == slow {
							mean = 15*time.Millisecond*test.slowness + d.distance[target.Domain]
						}
						now = observe(state, now, target.ID, noisyTimes(random, 10, mean)...)
					}
				}
				after := choices(state, now.Add(time.Minute), sessions)
				owned, moved := 0, 0
				for j := range before {
					if before[j] == slow {
						owned++
					}
					if before[j] != after[j] {
						moved++
						if before[j] != slow {
							t.Fatalf("daemon %d: session %d moved from %s to %s, which are equally fast", i, j, before[j], after[j])
						}
					}
				}
				if i == 0 {
					first = after
				}
				if d.at != location {
					continue
				}
				if share := float64(moved) / float64(owned); share < test.minMoved || share > test.maxMoved {
					t.Errorf("daemon %d: %.2f of the sessions of %s moved, want %.1f to %.1f", i, share, slow, test.minMoved, test.maxMoved)
				}
				if diff := cmp.Diff(first, after); diff != "" {
					t.Errorf("daemon %d prefers other targets than daemon 0 (-0 +%d):\n%s", i, i, diff)
				}
			}
		})
	}
}

// Guards against sessions of plain services that change their target with each call because the preferred
// one is in another failure domain, to which the distance costs more than the bonus is worth.
func TestSessionsOfPlainServicesStay(t *testing.T) {
	const sessions = 100
	list := targets(12)
	for i := range list {
		list[i].Domain = []string{"ams", "ehv", "fra"}[i%3]
	}
	own := slices.DeleteFunc(slices.Clone(list), func(t follower.Target) bool { return t.Domain != "ams" })
	tests := []struct {
		name          string
		before, after []follower.Target
	}{
		{"no change", list, list},
		{"other failure domains lost", list, own},
		{"other failure domains back", own, list},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := newState(test.before...)
			before := choices(state, start, sessions)
			setTargets(state, test.after...)
			after := choices(state, start, sessions)
			same := 0
			for i := range before {
				if before[i] == after[i] {
					same++
				}
			}
			if same != sessions {
				t.Errorf("%d of %d sessions have the same target, want all", same, sessions)
			}
		})
	}
}

// BenchmarkPlacement measures a placement among 5,600 targets in six failure domains.
func BenchmarkPlacement(b *testing.B) {
	list := targets(5600)
	for i := range list {
		list[i].ID = fmt.Sprintf("i-5dbff2662%d", i)
		list[i].Domain = []string{"ams", "ehv", "fra", "d4", "d5", "d6"}[i%6]
	}
	for _, kind := range []string{"plain", "engine"} {
		b.Run(kind, func(b *testing.B) {
			state := newState(list...)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				request := sessionCall(i)
				if kind == "engine" {
					request = sessionTurn(uint64(i), 500)
				}
				_, ticket := place(state, start, request)
				respond(state, start.Add(15*time.Millisecond), ticket)
				i++
			}
		})
	}
}
