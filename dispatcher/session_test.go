package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
)

// respond reports the complete response of an attempt.
func respond(state *dispatcher.State, now time.Time, ticket dispatcher.Ticket) {
	state.Update(now, dispatcher.ResponseStarted{Ticket: ticket})
	state.Update(now, dispatcher.AttemptEnded{Ticket: ticket, Result: dispatcher.Completed})
}

// Guards against turns that count as moved although their session stayed, and the reverse: the share of
// moved turns is what operators judge a change of targets by.
func TestMovedSessions(t *testing.T) {
	session := func(key, required string) dispatcher.Request {
		return dispatcher.Request{Service: "s", Remaining: time.Second, AffinityKey: key, RequiredTarget: required}
	}
	type seen struct {
		Previous string
		Moved    bool
	}
	type step struct {
		request dispatcher.Request
		// lost is set if the target does not respond.
		lost bool
		want seen
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"first turn", []step{{session("x", "a"), false, seen{}}}},
		{"same target", []step{{session("x", "a"), false, seen{}}, {session("x", "a"), false, seen{"a", false}}}},
		{"other target", []step{{session("x", "a"), false, seen{}}, {session("x", "b"), false, seen{"a", true}}, {session("x", "b"), false, seen{"b", false}}}},
		{"other session", []step{{session("x", "a"), false, seen{}}, {session("y", "b"), false, seen{}}}},
		{"no session", []step{{session("", "a"), false, seen{}}, {session("", "b"), false, seen{}}}},
		{"target that did not respond", []step{
			{session("x", "a"), false, seen{}}, {session("x", "b"), true, seen{"a", true}}, {session("x", "a"), false, seen{"a", false}},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := newState(target("a", "ams"), target("b", "ams"))
			for i, s := range test.steps {
				send, ok := requestPlacement(state, start, s.request).(dispatcher.Send)
				if !ok {
					t.Fatalf("turn %d was rejected", i)
				}
				if diff := cmp.Diff(s.want, seen{send.PreviousTarget, send.Moved()}); diff != "" {
					t.Errorf("turn %d differs (-want +got):\n%s", i, diff)
				}
				if s.lost {
					state.Update(start, dispatcher.AttemptEnded{Ticket: send.Ticket, Result: dispatcher.Cancelled})
					continue
				}
				respond(state, start, send.Ticket)
			}
		})
	}
}

// Guards against memory that grows with the number of sessions.
func TestOldSessionsAreForgotten(t *testing.T) {
	const sessions, remembered = 6000, 4096
	state := newState(target("a", "ams"))
	count := func() int {
		known := 0
		for i := range sessions {
			r := dispatcher.Request{Service: "s", Remaining: time.Second, AffinityKey: fmt.Sprint(sessions - i)}
			send, _ := requestPlacement(state, start, r).(dispatcher.Send)
			if send.PreviousTarget != "" {
				known++
			}
			state.Update(start, dispatcher.AttemptEnded{Ticket: send.Ticket, Result: dispatcher.Cancelled})
		}
		return known
	}
	for i := range sessions {
		r := dispatcher.Request{Service: "s", Remaining: time.Second, AffinityKey: fmt.Sprint(i + 1)}
		_, ticket := place(state, start, r)
		respond(state, start, ticket)
	}
	if got := count(); got != remembered {
		t.Errorf("the last targets of %d of %d sessions are known, want %d", got, sessions, remembered)
	}
}

// Guards against sessions that have another ID on another daemon or for another turn, so that moves
// cannot be counted over the logs of all daemons.
func TestSessionID(t *testing.T) {
	id := func(seed uint64, r dispatcher.Request) dispatcher.SessionID {
		state := dispatcher.New(dispatcher.DefaultOptions(), location, seed)
		setTargets(state, target("a", "ams"))
		send, _ := requestPlacement(state, start, r).(dispatcher.Send)
		return send.Session
	}
	first, later, other := sessionTurn(1, 500), sessionTurn(1, 900), sessionTurn(2, 500)
	if id(1, first) != id(2, later) || id(1, first) == 0 {
		t.Errorf("turns of a session have the IDs %x and %x, want equal ones", id(1, first), id(2, later))
	}
	if id(1, first) == id(1, other) {
		t.Errorf("two sessions have the ID %x", id(1, first))
	}
	if got := id(1, dispatcher.Request{Service: "s", Remaining: time.Second}); got != 0 {
		t.Errorf("a call without a session has the ID %x", got)
	}
}
