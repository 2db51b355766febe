package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

var (
	start    = time.Unix(1_000, 0)
	engine   = &follower.Engine{Slots: 8, CacheTokens: 200_000}
	location = dispatcher.Location{Domain: "ams", Region: "nl"}
)

func target(id, domain string) follower.Target {
	return follower.Target{ID: id, Service: "s", Address: id, Domain: domain, Slots: 8}
}

// newState returns a state with the given targets.
func newState(targets ...follower.Target) *dispatcher.State {
	state := dispatcher.New(dispatcher.DefaultOptions(), location, 7)
	setTargets(state, targets...)
	return state
}

func setTargets(state *dispatcher.State, targets ...follower.Target) {
	byID := map[string]follower.Target{}
	for _, t := range targets {
		byID[t.ID] = t
	}
	state.Update(start, dispatcher.TargetsChanged{
		Targets: byID, Regions: map[string]string{"ams": "nl", "ehv": "nl", "fra": "de"},
	})
}

func turn() dispatcher.Request {
	return dispatcher.Request{
		Service: "s", Engine: engine, PromptTokens: 14_000, Remaining: 3 * time.Second, BodyBytes: 17_000,
		Prompt: []forwarder.PromptSegment{{ID: 1, Tokens: 12_600}, {ID: 2, Tokens: 1_400}},
	}
}

func requestPlacement(state *dispatcher.State, now time.Time, r dispatcher.Request) dispatcher.Command {
	return state.Update(now, dispatcher.PlacementRequested{Request: r})[0]
}

// place requests a placement and returns the ID of the chosen target, or the reason of the
// rejection.
func place(state *dispatcher.State, now time.Time, r dispatcher.Request) (string, dispatcher.Ticket) {
	switch c := requestPlacement(state, now, r).(type) {
	case dispatcher.Send:
		return c.Target.ID, c.Ticket
	case dispatcher.Reject:
		return c.Reason, 0
	}
	return "", 0
}

func TestChoice(t *testing.T) {
	leaving := target("a", "ams")
	leaving.Leaving = true
	excluding := turn()
	excluding.Excluded = []string{"a"}
	only := turn()
	only.RequiredTarget = "b"
	tests := []struct {
		name    string
		targets []follower.Target
		request dispatcher.Request
		want    string
	}{
		{"own failure domain", []follower.Target{target("a", "ams"), target("b", "fra")}, turn(), "a"},
		{"own region", []follower.Target{target("a", "fra"), target("b", "ehv")}, turn(), "b"},
		{"leaving", []follower.Target{leaving, target("b", "fra")}, turn(), "b"},
		{"excluded", []follower.Target{target("a", "ams"), target("b", "fra")}, excluding, "b"},
		{"required target", []follower.Target{target("a", "ams"), target("b", "fra")}, only, "b"},
		{"none", nil, turn(), "noTarget"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, _ := place(newState(test.targets...), start, test.request)
			if got != test.want {
				t.Errorf("call went to %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against long conversations that are rejected for good once the daemon that sent them is gone: its
// targets may have them cached, which no other daemon knows.
func TestLongHistoryIsTriedAtIdleTarget(t *testing.T) {
	long := turn()
	long.PromptTokens, long.Prompt = 400_000, []forwarder.PromptSegment{{ID: 1, Tokens: 12_600}, {ID: 2, Tokens: 387_400}}
	started := long
	started.ProgramStarted = true
	short := started
	short.Remaining = time.Millisecond
	tests := []struct {
		name    string
		running int
		request dispatcher.Request
		want    string
	}{
		{"first turn", 0, long, "tooSlow"},
		{"later turn", 0, started, "a"},
		{"later turn at a busy target", 1, started, "tooSlow"},
		{"too little time for any turn", 0, short, "tooSlow"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := newState(target("a", "ams"))
			for range test.running {
				place(state, start, turn())
			}
			if got, _ := place(state, start, test.request); got != test.want {
				t.Errorf("call went to %q, want %q", got, test.want)
			}
		})
	}
}

// TestPromptIsReused sends turns with one long shared prompt. They must go to the target that
// has the prompt cached until its load costs more than prefilling the prompt elsewhere.
func TestPromptIsReused(t *testing.T) {
	state := newState(target("a", "ams"), target("b", "ams"), target("c", "ams"))
	first, ticket := place(state, start, turn())
	state.Update(start.Add(80*time.Millisecond), dispatcher.ResponseStarted{Ticket: ticket})
	state.Update(start.Add(200*time.Millisecond), dispatcher.AttemptEnded{Ticket: ticket, Result: dispatcher.Completed})
	for i := range 3 {
		if got, _ := place(state, start.Add(time.Second), turn()); got != first {
			t.Errorf("turn %d went to %s, want %s, which has the prompt cached", i, got, first)
		}
	}
	used := map[string]bool{}
	for range 200 {
		got, _ := place(state, start.Add(time.Second), turn())
		used[got] = true
	}
	if len(used) != 3 {
		t.Errorf("200 turns at once used %d of 3 targets, want all", len(used))
	}
}

// TestPartlyCachedHistory checks that of a session's history only the part that was sent to a target
// counts as cached there. A target that had served an early turn counted as having the whole history.
func TestPartlyCachedHistory(t *testing.T) {
	state := newState(target("a", "ams"))
	request := turn()
	place(state, start, request)
	request.Prompt = []forwarder.PromptSegment{{ID: 1, Tokens: 12_600}, {ID: 2, Tokens: 5_000}}
	request.PromptTokens = 17_600
	command, ok := requestPlacement(state, start, request).(dispatcher.Send)
	if want := 14_000; !ok || command.CachedTokens != want {
		t.Errorf("%d tokens count as cached, want %d", command.CachedTokens, want)
	}
}

// TestFullTarget checks that a target without room gets no calls for a short time, and that a
// call is rejected at once if all targets are full.
func TestFullTarget(t *testing.T) {
	state := newState(target("a", "ams"), target("b", "fra"))
	_, ticket := place(state, start, turn())
	state.Update(start, dispatcher.AttemptEnded{Ticket: ticket, Result: dispatcher.TargetFull})
	second, ticket := place(state, start, turn())
	state.Update(start, dispatcher.AttemptEnded{Ticket: ticket, Result: dispatcher.TargetFull})
	third, _ := place(state, start, turn())
	later, _ := place(state, start.Add(time.Second), turn())
	if diff := cmp.Diff([]string{"b", "targetsFull", "a"}, []string{second, third, later}); diff != "" {
		t.Errorf("choices differ (-want +got):\n%s", diff)
	}
}

// TestFailingTarget checks that a target that returns an error is avoided after the first one
// and used again later, and that it is used at once if there is no other.
func TestFailingTarget(t *testing.T) {
	fail := func(state *dispatcher.State) string {
		name, ticket := place(state, start, turn())
		state.Update(start, dispatcher.AttemptEnded{Ticket: ticket, Result: dispatcher.Failed})
		return name
	}
	state := newState(target("a", "ams"), target("b", "fra"))
	first := fail(state)
	other, _ := place(state, start, turn())
	back, _ := place(state, start.Add(10*time.Second), turn())
	if diff := cmp.Diff([]string{"a", "b", "a"}, []string{first, other, back}); diff != "" {
		t.Errorf("choices differ (-want +got):\n%s", diff)
	}
	single := newState(target("a", "ams"))
	for i := range 10 {
		if name := fail(single); name != "a" {
			t.Fatalf("call %d was rejected (%s) though there is no other target", i, name)
		}
	}
}

// TestRestartedTarget checks that no prompt counts as cached at a target that has restarted
// under the same ID.
func TestRestartedTarget(t *testing.T) {
	state := newState(target("a", "ams"))
	place(state, start, turn())
	again := target("a", "ams")
	again.StartedAt = 5
	setTargets(state, again)
	command, ok := requestPlacement(state, start, turn()).(dispatcher.Send)
	if !ok || command.CachedTokens != 0 {
		t.Errorf("%d tokens count as cached at the restarted target, want 0", command.CachedTokens)
	}
}

func TestQueuePriority(t *testing.T) {
	tests := []struct {
		priority        int
		started, missed bool
		want            int
	}{
		{0, true, false, 2}, {0, false, false, 3}, {0, false, true, 4}, {1, true, false, 4}, {1, false, false, 5}, {9, false, true, 9},
	}
	for _, test := range tests {
		r := turn()
		r.Priority, r.ProgramStarted, r.ObjectiveMissed = test.priority, test.started, test.missed
		command, _ := requestPlacement(newState(target("a", "ams")), start, r).(dispatcher.Send)
		if command.QueuePriority != test.want {
			t.Errorf("queue priority of %+v is %d", test, command.QueuePriority)
		}
	}
}

// TestRetryAfterIsSpread checks that rejected callers do not return together.
func TestRetryAfterIsSpread(t *testing.T) {
	state := newState()
	times := map[time.Duration]bool{}
	for range 50 {
		rejection, ok := requestPlacement(state, start, turn()).(dispatcher.Reject)
		if !ok || rejection.RetryAfter <= 0 || rejection.RetryAfter > 2*time.Second {
			t.Fatalf("got %+v, want a rejection with a time of at most 2 s", rejection)
		}
		times[rejection.RetryAfter] = true
	}
	if len(times) < 25 {
		t.Errorf("50 rejected callers return at %d different times, want at least 25", len(times))
	}
}

// TestAffinity checks that calls for one object prefer one target, and that different objects
// spread over all targets.
func TestAffinity(t *testing.T) {
	plain := dispatcher.Request{Service: "s", Remaining: time.Second}
	chosen := map[string]bool{}
	for object := range 30 {
		plain.AffinityKey = fmt.Sprint("object", object)
		names := map[string]bool{}
		for range 3 {
			state := newState(target("a", "ams"), target("b", "ams"), target("c", "ams"))
			name, _ := place(state, start, plain)
			names[name] = true
			chosen[name] = true
		}
		if len(names) != 1 {
			t.Errorf("calls of object %d went to %v, want one target", object, names)
		}
	}
	if len(chosen) != 3 {
		t.Errorf("calls of 30 objects went to %d of 3 targets, want all", len(chosen))
	}
}
