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
	start  = time.Unix(1_000, 0)
	engine = &follower.Engine{Slots: 8, CacheTokens: 200_000}
	place  = dispatcher.Location{Domain: "ams", Region: "nl"}
)

func target(id, domain string) follower.Target {
	return follower.Target{ID: id, Service: "s", Address: id, Domain: domain, Slots: 8}
}

// newState returns a state with the given targets.
func newState(targets ...follower.Target) *dispatcher.State {
	state := dispatcher.New(dispatcher.DefaultOptions(), place, 7)
	change(state, targets...)
	return state
}

func change(state *dispatcher.State, targets ...follower.Target) {
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

func ask(state *dispatcher.State, now time.Time, r dispatcher.Request) dispatcher.Command {
	return state.Update(now, dispatcher.PlacementRequested{Request: r})[0]
}

// sent asks for a target and returns its name, or the reason of a refusal.
func sent(state *dispatcher.State, now time.Time, r dispatcher.Request) (string, dispatcher.Ticket) {
	switch c := ask(state, now, r).(type) {
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
		{"tried before", []follower.Target{target("a", "ams"), target("b", "fra")}, excluding, "b"},
		{"bound to one", []follower.Target{target("a", "ams"), target("b", "fra")}, only, "b"},
		{"none", nil, turn(), "noTarget"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, _ := sent(newState(test.targets...), start, test.request)
			if got != test.want {
				t.Errorf("call went to %q, want %q", got, test.want)
			}
		})
	}
}

// TestPromptIsReused replays turns with one long shared prompt: they follow the target that
// has read it, until its load costs more than reading the prompt elsewhere.
func TestPromptIsReused(t *testing.T) {
	state := newState(target("a", "ams"), target("b", "ams"), target("c", "ams"))
	first, ticket := sent(state, start, turn())
	state.Update(start.Add(80*time.Millisecond), dispatcher.ResponseStarted{Ticket: ticket})
	state.Update(start.Add(200*time.Millisecond), dispatcher.AttemptEnded{Ticket: ticket, Result: dispatcher.Completed})
	for i := range 3 {
		if got, _ := sent(state, start.Add(time.Second), turn()); got != first {
			t.Errorf("turn %d went to %s, though %s has its prompt", i, got, first)
		}
	}
	used := map[string]bool{}
	for range 200 {
		got, _ := sent(state, start.Add(time.Second), turn())
		used[got] = true
	}
	if len(used) != 3 {
		t.Errorf("a burst used %d of 3 targets", len(used))
	}
}

// TestFullTarget replays a target without room: it is avoided for a moment, and a call is
// refused at once when all are full.
func TestFullTarget(t *testing.T) {
	state := newState(target("a", "ams"), target("b", "fra"))
	_, ticket := sent(state, start, turn())
	state.Update(start, dispatcher.AttemptEnded{Ticket: ticket, Result: dispatcher.TargetFull})
	second, ticket := sent(state, start, turn())
	state.Update(start, dispatcher.AttemptEnded{Ticket: ticket, Result: dispatcher.TargetFull})
	third, _ := sent(state, start, turn())
	later, _ := sent(state, start.Add(time.Second), turn())
	if diff := cmp.Diff([]string{"b", "targetsFull", "a"}, []string{second, third, later}); diff != "" {
		t.Errorf("choices differ (-want +got):\n%s", diff)
	}
}

// TestFailingTarget replays a target that answers with errors: it is avoided after the
// first one and used again later, and used at once if it is the only one.
func TestFailingTarget(t *testing.T) {
	fail := func(state *dispatcher.State) string {
		name, ticket := sent(state, start, turn())
		state.Update(start, dispatcher.AttemptEnded{Ticket: ticket, Result: dispatcher.Failed})
		return name
	}
	state := newState(target("a", "ams"), target("b", "fra"))
	first := fail(state)
	other, _ := sent(state, start, turn())
	back, _ := sent(state, start.Add(10*time.Second), turn())
	if diff := cmp.Diff([]string{"a", "b", "a"}, []string{first, other, back}); diff != "" {
		t.Errorf("choices differ (-want +got):\n%s", diff)
	}
	single := newState(target("a", "ams"))
	for i := range 10 {
		if name := fail(single); name != "a" {
			t.Fatalf("call %d was refused (%s) though there is no other target", i, name)
		}
	}
}

// TestRestartedTarget checks that a target that starts again under its name is not taken to
// hold a prompt.
func TestRestartedTarget(t *testing.T) {
	state := newState(target("a", "ams"))
	sent(state, start, turn())
	again := target("a", "ams")
	again.StartedAt = 5
	change(state, again)
	command, ok := ask(state, start, turn()).(dispatcher.Send)
	if !ok || command.CachedTokens != 0 {
		t.Errorf("the restarted target is believed to hold %d tokens", command.CachedTokens)
	}
}

func TestRank(t *testing.T) {
	tests := []struct {
		priority       int
		underWay, late bool
		want           int
	}{
		{0, true, false, 2}, {0, false, false, 3}, {0, false, true, 4}, {1, true, false, 4}, {1, false, false, 5}, {9, false, true, 9},
	}
	for _, test := range tests {
		r := turn()
		r.Priority, r.ProgramStarted, r.ObjectiveMissed = test.priority, test.underWay, test.late
		command, _ := ask(newState(target("a", "ams")), start, r).(dispatcher.Send)
		if command.QueuePriority != test.want {
			t.Errorf("rank of %+v is %d", test, command.QueuePriority)
		}
	}
}

// TestRetryAfterIsSpread checks that refused callers do not return together.
func TestRetryAfterIsSpread(t *testing.T) {
	state := newState()
	times := map[time.Duration]bool{}
	for range 50 {
		refused, ok := ask(state, start, turn()).(dispatcher.Reject)
		if !ok || refused.RetryAfter <= 0 || refused.RetryAfter > 2*time.Second {
			t.Fatalf("refusal %+v", refused)
		}
		times[refused.RetryAfter] = true
	}
	if len(times) < 25 {
		t.Errorf("50 refused callers return at %d times", len(times))
	}
}

// TestAffinity checks that calls of one object prefer one target, and that objects spread.
func TestAffinity(t *testing.T) {
	plain := dispatcher.Request{Service: "s", Remaining: time.Second}
	chosen := map[string]bool{}
	for object := range 30 {
		plain.AffinityKey = fmt.Sprint("object", object)
		names := map[string]bool{}
		for range 3 {
			state := newState(target("a", "ams"), target("b", "ams"), target("c", "ams"))
			name, _ := sent(state, start, plain)
			names[name] = true
			chosen[name] = true
		}
		if len(names) != 1 {
			t.Errorf("calls of object %d went to %v", object, names)
		}
	}
	if len(chosen) != 3 {
		t.Errorf("30 objects use %d of 3 targets", len(chosen))
	}
}
