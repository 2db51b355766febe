package interpreter

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against an invalid chart that is accepted, and against an error without the
// state and the name that caused it.
func TestLoadErrors(t *testing.T) {
	tests := []struct {
		name, data       string
		kind             Kind
		state, errorName string
	}{
		{"not JSON", `{"name":`, KindSyntax, "", ""},
		{"unknown field", `{"name":"c","initial":"a","states":{"a":{"final":true}}}`, KindSyntax, "", ""},
		{"unknown transition field", `{"name":"c","initial":"a","states":{"a":{"on":{"e":{"too":"b"}}},"b":{"terminal":true}}}`, KindSyntax, "", ""},
		{"unknown initial state", `{"name":"c","initial":"x","states":{"a":{"terminal":true}}}`, KindUnknownState, "", "x"},
		{"unknown next state", `{"name":"c","initial":"a","states":{"a":{"on":{"e":"x"}}}}`, KindUnknownState, "a", "x"},
		{"unknown event", `{"name":"c","initial":"a","states":{"a":{"on":{"f":"b"}},"b":{"terminal":true}}}`, KindUnknownEvent, "a", "f"},
		{"event that no state accepts", `{"name":"c","initial":"a","states":{"a":{"terminal":true}}}`, KindUnusedEvent, "", "e"},
		{"unreachable state", `{"name":"c","initial":"a","states":{"a":{"on":{"e":"b"}},"b":{"terminal":true},"z":{"on":{"e":"b"}}}}`, KindUnreachable, "", "z"},
		{"state without exit", `{"name":"c","initial":"a","states":{"a":{"on":{"e":"b"}},"b":{}}}`, KindNoExit, "b", ""},
		{"state that only returns to itself", `{"name":"c","initial":"a","states":{"a":{"on":{"e":"a"}}}}`, KindNoExit, "a", ""},
		{"terminal state with an exit", `{"name":"c","initial":"a","states":{"a":{"terminal":true,"on":{"e":"a"}}}}`, KindTerminalExit, "a", ""},
		{"missing guard", `{"name":"c","initial":"a","states":{"a":{"on":{"e":{"to":"b","guard":"g"}}},"b":{"terminal":true}}}`, KindMissingHandler, "a", "g"},
		{"missing handler", `{"name":"c","initial":"a","states":{"a":{"on":{"e":{"to":"b","do":["h"]}}},"b":{"terminal":true}}}`, KindMissingHandler, "a", "h"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Load([]byte(test.data), "e")
			var chartError *Error
			if !errors.As(err, &chartError) {
				t.Fatalf("Load() error = %v, want *Error", err)
			}
			got := []any{chartError.Kind(), chartError.State(), chartError.Name()}
			if diff := cmp.Diff([]any{test.kind, test.state, test.errorName}, got); diff != "" {
				t.Errorf("error differs (-want +got):\n%s", diff)
			}
		})
	}
}

const doorChart = `{"name":"door","initial":"closed","states":{
	"closed":{"on":{"push":{"to":"open","guard":"unlocked","do":["count","log"]},"remove":"gone"}},
	"open":{"on":{"push":"closed"}},
	"gone":{"terminal":true}}}`

// Guards against a transition that ignores its guard, runs handlers out of order, or
// changes the state on an event that the state does not accept.
func TestFire(t *testing.T) {
	var calls []string
	locked := true
	chart, err := LoadBound([]byte(doorChart), Bindings{
		Guards: map[string]func(any) bool{"unlocked": func(any) bool { return !locked }},
		Handlers: map[string]func(any){
			"count": func(any) { calls = append(calls, "count") },
			"log":   func(any) { calls = append(calls, "log") },
		},
	}, "push", "remove")
	if err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		locked      bool
		event, want string
		ok          bool
	}{
		{true, "push", "closed", false},
		{false, "push", "open", true},
		{false, "remove", "open", false},
		{false, "push", "closed", true},
		{false, "remove", "gone", true},
		{false, "push", "gone", false},
	}
	current := chart.Initial()
	for _, step := range steps {
		locked = step.locked
		next, ok := chart.Fire(current, step.event, nil)
		if diff := cmp.Diff([]any{step.want, step.ok}, []any{next, ok}); diff != "" {
			t.Fatalf("Fire(%q, %q) differs (-want +got):\n%s", current, step.event, diff)
		}
		current = next
	}
	if diff := cmp.Diff([]string{"count", "log"}, calls); diff != "" {
		t.Errorf("handlers differ (-want +got):\n%s", diff)
	}
	if !chart.Terminal(current) {
		t.Errorf("state %q is not terminal", current)
	}
}

// Guards against a bound handler that the chart does not name, for example after its
// removal from the chart.
func TestUnusedHandler(t *testing.T) {
	_, err := LoadBound([]byte(`{"name":"c","initial":"a","states":{"a":{"terminal":true}}}`),
		Bindings{Handlers: map[string]func(any){"h": func(any) {}}})
	var chartError *Error
	if !errors.As(err, &chartError) || chartError.Kind() != KindUnusedHandler {
		t.Errorf("LoadBound() error = %v, want kind %s", err, KindUnusedHandler)
	}
}
