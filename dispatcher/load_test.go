package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/follower"
)

// playWithLoad plays turns and calls of a plain service, with a report before each if there is one, and returns
// the commands.
func playWithLoad(report func(now time.Time) *dispatcher.LoadReported) []dispatcher.Command {
	listed := targets(5)
	listed = append(listed, target("far", "ehv"))
	state := newState(listed...)
	var commands []dispatcher.Command
	now := start.Add(time.Minute)
	for i := range 300 {
		now = now.Add(13 * time.Millisecond)
		if report != nil {
			state.Update(now, *report(now))
		}
		request := sessionTurn(uint64(i%40), 200+i%900)
		if i%7 == 0 {
			request = dispatcher.Request{Service: "s", AffinityKey: fmt.Sprint(i % 40), Remaining: time.Second}
		}
		c := requestPlacement(state, now, request)
		commands = append(commands, c)
		if send, ok := c.(dispatcher.Send); ok && i%3 > 0 {
			state.Update(now.Add(5*time.Millisecond), dispatcher.ResponseStarted{Ticket: send.Ticket})
			state.Update(now.Add(9*time.Millisecond), dispatcher.AttemptEnded{Ticket: send.Ticket, Result: dispatcher.Completed})
		}
	}
	return commands
}

// Guards against a daemon that places otherwise than without reports although its last report is too old, for
// example because the collector has ended.
func TestOldReportsDoNotCount(t *testing.T) {
	want := playWithLoad(nil)
	got := playWithLoad(func(now time.Time) *dispatcher.LoadReported {
		return &dispatcher.LoadReported{InFlight: map[string]int{"t00": 50, "t01": 7}, At: now.Add(-500 * time.Millisecond)}
	})
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("commands differ (-without reports +with old ones):\n%s", diff)
	}
}

// Guards against calls of engines that wait at the target that their session prefers while the calls of other
// daemons fill it, and against reports that change other calls.
func TestReportedLoadIsUsed(t *testing.T) {
	listed := []follower.Target{target("a", "ams"), target("b", "ams")}
	plain := dispatcher.Request{Service: "s", AffinityKey: "key", Remaining: time.Second}
	tests := []struct {
		name    string
		request dispatcher.Request
		age     time.Duration
		moves   bool
	}{
		{"fresh report", turn(), 0, true},
		{"report of 300 ms", turn(), 300 * time.Millisecond, true},
		{"report of 500 ms", turn(), 500 * time.Millisecond, false},
		{"plain service", plain, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := start.Add(time.Minute)
			preferred, _ := place(newState(listed...), now, test.request)
			state := newState(listed...)
			state.Update(now, dispatcher.LoadReported{InFlight: map[string]int{preferred: 30}, At: now.Add(-test.age)})
			if got, _ := place(state, now, test.request); (got != preferred) != test.moves {
				t.Errorf("the call went to %s, which has 30 calls of others: %v, want it to move: %v", got, got == preferred, test.moves)
			}
		})
	}
}

// Guards against calls that are rejected, or that go to a target which may not get them, because only a few
// targets are compared.
func TestFewTargetsAreNotEnough(t *testing.T) {
	listed := targets(6)
	leaving := target("t02", "ams")
	leaving.Leaving = true
	tests := []struct {
		name string
		// prepare changes the state before the placement.
		prepare func(state *dispatcher.State, now time.Time)
		request func(r *dispatcher.Request)
		want    string
	}{
		{"one left", nil, func(r *dispatcher.Request) { r.Excluded = []string{"t00", "t01", "t03", "t04", "t05"} }, "t02"},
		{"required target", nil, func(r *dispatcher.Request) { r.RequiredTarget = "t04" }, "t04"},
		{"none left", nil, func(r *dispatcher.Request) { r.Excluded = []string{"t00", "t01", "t02", "t03", "t04", "t05"} }, "noTarget"},
		{"all failed but for one", func(state *dispatcher.State, now time.Time) {
			for _, t := range listed[1:] {
				endAt(state, now, t.ID, dispatcher.Failed)
			}
		}, nil, "t00"},
		{"all failed", func(state *dispatcher.State, now time.Time) {
			for _, t := range listed {
				endAt(state, now, t.ID, dispatcher.Failed)
			}
		}, func(r *dispatcher.Request) { r.Excluded = []string{"t00", "t01", "t02", "t03", "t05"} }, "t04"},
		{"all full", func(state *dispatcher.State, now time.Time) {
			for _, t := range listed {
				endAt(state, now, t.ID, dispatcher.TargetFull)
			}
		}, nil, "targetsFull"},
		{"leaving", func(state *dispatcher.State, _ time.Time) { setTargets(state, leaving) }, nil, "noTarget"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(20) {
				state := dispatcher.New(dispatcher.DefaultOptions(), location, seed)
				setTargets(state, listed...)
				now := start.Add(time.Minute)
				if test.prepare != nil {
					test.prepare(state, now)
				}
				state.Update(now, dispatcher.LoadReported{InFlight: map[string]int{"t00": 9, "t01": 3}, At: now})
				r := sessionTurn(seed, 300)
				if test.request != nil {
					test.request(&r)
				}
				if got, _ := place(state, now, r); got != test.want {
					t.Fatalf("seed %d: the call went to %s, want %s", seed, got, test.want)
				}
			}
		})
	}
}

// endAt sends a call to a target and ends it with a result.
func endAt(state *dispatcher.State, now time.Time, id string, result dispatcher.Result) {
	r := sessionTurn(999, 10)
	r.RequiredTarget = id
	_, ticket := place(state, now, r)
	state.Update(now, dispatcher.AttemptEnded{Ticket: ticket, Result: result})
}

// Guards against reports that contain calls which no other daemon of the failure domain can compare, or calls
// that have ended.
func TestEngineCalls(t *testing.T) {
	plain := target("plain", "ams")
	plain.Service = "p"
	state := newState(target("a", "ams"), target("b", "ams"), target("far", "ehv"), plain)
	for _, id := range []string{"a", "a", "b", "far"} {
		r := sessionTurn(1, 100)
		r.RequiredTarget = id
		place(state, start, r)
	}
	place(state, start, dispatcher.Request{Service: "p", Remaining: time.Second})
	endAt(state, start, "b", dispatcher.Completed)
	if diff := cmp.Diff(map[string]int{"a": 2, "b": 1}, state.EngineCalls()); diff != "" {
		t.Errorf("calls differ (-want +got):\n%s", diff)
	}
}
