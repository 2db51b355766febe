package sequencer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// harness drives one State and collects its commands.
type harness struct {
	t             *testing.T
	state         *State
	now           time.Time
	uncommitted   []AppendRecords
	log           []encoder.Record
	otherCommands []Command // commands other than AppendRecords and Response
	responses     []Response
	requestCount  int
}

const rootID = "nl-ams-0a"

func newHarness(t *testing.T, options Options) *harness {
	h := &harness{t: t, now: time.Unix(1_700_000_000, 0)}
	options.ShardsPerDomain = 1
	h.state = New(options, func(v Violation) { t.Errorf("violation: %s", v) })
	h.send(ShardAcquired{Shard: "nl-ams/0", Epoch: 1})
	return h
}

func (h *harness) send(m Message) {
	for _, command := range h.state.Update(h.now, m) {
		switch c := command.(type) {
		case AppendRecords:
			h.uncommitted = append(h.uncommitted, c)
		case Response:
			h.responses = append(h.responses, c)
		default:
			h.otherCommands = append(h.otherCommands, c)
		}
	}
}

func (h *harness) commit() {
	for len(h.uncommitted) > 0 {
		ticket := h.uncommitted[0]
		h.uncommitted = h.uncommitted[1:]
		h.log = append(h.log, ticket.Records...)
		h.send(RecordsCommitted{Ticket: ticket.Ticket})
	}
}

func (h *harness) advance(wait time.Duration) {
	h.now = h.now.Add(wait)
	h.send(Tick{})
}

// call sends a request for a turn, which change may modify.
func (h *harness) call(change func(*CallRequest)) {
	h.requestCount++
	r := CallRequest{
		ID: fmt.Sprint(h.requestCount), Client: "c", Service: "s", Program: rootID, NewProgram: true, Kind: KindModel, Repeatable: true,
		Append: true, PromptTokens: 10, MaxTokens: 90,
		Messages: []provider.ChatMessage{{Role: "user", Content: "question"}},
	}
	if change != nil {
		change(&r)
	}
	h.send(CallArrived{Request: r})
}

// finish reports the outcome of the last dispatched attempt.
func (h *harness) finish(outcome Outcome, result Result) {
	h.t.Helper()
	for i := len(h.otherCommands) - 1; i >= 0; i-- {
		if c, ok := h.otherCommands[i].(DispatchAttempt); ok {
			h.send(AttemptFinished{CallID: c.CallID, Attempt: c.Attempt, Outcome: outcome, Result: result})
			return
		}
	}
	h.t.Fatal("no attempt was dispatched")
}

func (h *harness) turn() {
	h.t.Helper()
	h.call(nil)
	h.finish(OutcomeDone, Result{Text: "reply", Usage: provider.Usage{PromptTokens: 10, CompletionTokens: 90}})
	h.commit()
}

// restart replaces the state by a new one that acquires the shard from the
// committed records and, if given, a snapshot.
func (h *harness) restart(snapshot []byte) {
	old := h.state
	h.state = New(old.options, old.report)
	h.uncommitted, h.otherCommands = nil, nil
	h.send(ShardAcquired{Shard: "nl-ams/0", Epoch: 2, Snapshot: snapshot, Records: h.log})
}

func (h *harness) lastResponse() string {
	if len(h.responses) == 0 {
		return "none"
	}
	a := h.responses[len(h.responses)-1]
	return strings.TrimSpace(fmt.Sprintf("%s %d %s", a.Outcome, a.Step, a.Code))
}

func payoutRequest(key string) func(*CallRequest) {
	return func(r *CallRequest) {
		r.Kind, r.Repeatable, r.IdempotencyKey, r.Messages = KindPlain, false, key, nil
		r.Invoke = provider.InvokeRequest{Method: "POST", Path: "/payouts"}
	}
}

func (h *harness) dispatchCount() int {
	n := 0
	for _, command := range h.otherCommands {
		if _, ok := command.(DispatchAttempt); ok {
			n++
		}
	}
	return n
}

// Guards against responses that differ from sections 3.3 to 3.5 of the design. Each
// case plays a short scenario; want is the last response, dispatched the number of
// dispatches.
func TestCallScenarios(t *testing.T) {
	tests := []struct {
		name       string
		options    Options
		play       func(h *harness)
		want       string
		dispatched int
	}{
		{"a turn is done only when durable", Options{}, func(h *harness) { h.call(nil); h.finish(OutcomeDone, Result{}) }, "none", 1},
		{"a durable turn is done", Options{}, (*harness).turn, "done 1", 1},
		{"a payout waits for its intent", Options{}, func(h *harness) { h.call(payoutRequest("k")) }, "none", 0},
		{"a payout is rejected in an outage", Options{}, func(h *harness) { h.send(StoreReachabilityChanged{}); h.call(payoutRequest("k")) }, "notRun 0 storeUnavailable", 0},
		{"a payout is rejected without a lease", Options{}, func(h *harness) { h.send(LeaseChanged{}); h.call(payoutRequest("k")) }, "notRun 0 storeUnavailable", 0},
		{"a payout whose lease ends before dispatch does not run", Options{}, func(h *harness) {
			h.call(payoutRequest("k"))
			h.send(LeaseChanged{})
			h.commit()
		}, "none", 0},
		{"a repeated key gets the recorded result", Options{}, func(h *harness) {
			h.call(payoutRequest("k"))
			h.commit()
			h.finish(OutcomeDone, Result{})
			h.commit()
			h.call(payoutRequest("k"))
		}, "done 1", 1},
		{"a key with other content is rejected", Options{}, func(h *harness) {
			h.call(payoutRequest("k"))
			h.call(func(r *CallRequest) { payoutRequest("k")(r); r.Invoke.Path = "/invoices" })
		}, "notRun 0 stepConflict", 0},
		{"a payout that did not run may run under the same key", Options{}, func(h *harness) {
			h.call(payoutRequest("k"))
			h.commit()
			h.finish(OutcomeNotRun, Result{})
			h.commit()
			h.call(payoutRequest("k"))
			h.commit()
			h.finish(OutcomeDone, Result{})
			h.commit()
		}, "done 1", 2},
		{"a payout with an unknown outcome stays unknown", Options{}, func(h *harness) {
			h.call(payoutRequest("k"))
			h.commit()
			h.finish(OutcomeUnknown, Result{})
			h.commit()
			h.call(payoutRequest("k"))
		}, "unknown 1", 1},
		{"a payout in progress at a takeover is unknown and does not run again", Options{}, func(h *harness) {
			h.call(payoutRequest("k"))
			h.commit()
			h.restart(nil)
			h.commit()
			h.call(payoutRequest("k"))
		}, "unknown 1 ownerChanged", 0},
		{"a retained key expires", Options{KeyRetention: time.Minute}, func(h *harness) {
			h.call(payoutRequest("k"))
			h.commit()
			h.finish(OutcomeDone, Result{})
			h.commit()
			for range minKeptCalls {
				h.turn()
			}
			h.advance(2 * time.Minute)
			h.call(func(r *CallRequest) { payoutRequest("k")(r); r.Step = 1; r.IdempotencyKey = "" })
		}, "unknown 1 resultExpired", 5},
		{"a step out of order is rejected", Options{}, func(h *harness) { h.turn(); h.call(func(r *CallRequest) { r.Step = 3 }) }, "notRun 3 stepOutOfOrder", 1},
		{"a program of another client is not found", Options{}, func(h *harness) { h.turn(); h.call(func(r *CallRequest) { r.Client = "d" }) }, "notRun 0 programNotFound", 1},
		{"an unknown program is not created without NewProgram", Options{}, func(h *harness) { h.call(func(r *CallRequest) { r.NewProgram = false }) }, "notRun 0 programNotFound", 0},
		{"a rejection that depends on the state needs a lease", Options{}, func(h *harness) {
			h.turn()
			h.send(LeaseChanged{})
			h.call(func(r *CallRequest) { r.Step = 3 })
		}, "notRun 3 notOwner", 1},
		{"another shard's program is not served", Options{}, func(h *harness) { h.call(func(r *CallRequest) { r.Program = "de-fra-1" }) }, "notRun 0 notOwner", 0},
		{"a shorter history is a retry of the last turn", Options{}, func(h *harness) { h.turn(); h.call(func(r *CallRequest) { r.Append = false }) }, "done 1", 1},
		{"a changed history is rejected", Options{}, func(h *harness) {
			h.turn()
			h.call(func(r *CallRequest) {
				r.Append = false
				r.Messages = []provider.ChatMessage{{Role: "user", Content: "question"}, {Role: "assistant", Content: "other"}, {Role: "user"}}
			})
		}, "notRun 0 historyMismatch", 1},
		{"the complete history is accepted", Options{}, func(h *harness) {
			h.turn()
			h.call(func(r *CallRequest) {
				r.Append = false
				r.Messages = []provider.ChatMessage{{Role: "user", Content: "question"}, {Role: "assistant", Content: "reply"}, {Role: "user"}}
			})
			h.finish(OutcomeDone, Result{})
			h.commit()
		}, "done 2", 2},
		{"a result that is not durable in time is unknown", Options{}, func(h *harness) {
			h.send(StoreReachabilityChanged{})
			h.call(nil)
			h.finish(OutcomeDone, Result{Text: "reply"})
			h.advance(10 * time.Second)
		}, "unknown 1 notDurable", 1},
		{"the next step runs on a result that is not durable", Options{}, func(h *harness) {
			h.send(LeaseChanged{})
			h.call(nil)
			h.finish(OutcomeDone, Result{Text: "reply"})
			h.call(func(r *CallRequest) { r.Step = 2 })
		}, "none", 2},
		{"the number of pending records is limited", Options{MaxPendingRecords: 8}, func(h *harness) {
			for i := range 9 {
				h.call(func(r *CallRequest) { r.Program = fmt.Sprintf("nl-ams-%d", i) })
			}
		}, "notRun 0 storeUnavailable", 2},
		{"a call without a result times out as unknown", Options{CallTimeout: time.Second}, func(h *harness) {
			h.call(nil)
			h.advance(time.Second)
			h.advance(5 * time.Second)
			h.commit()
		}, "unknown 1 timeout", 1},
		{"a closing shard rejects new calls", Options{}, func(h *harness) {
			h.turn()
			h.send(ShardClosing{Shard: "nl-ams/0"})
			h.call(nil)
		}, "notRun 0 ownerChanging", 1},
		{"an appended call reserves the recorded history", Options{}, func(h *harness) {
			h.call(func(r *CallRequest) { r.Budget.Tokens = 300 })
			h.finish(OutcomeDone, Result{Text: strings.Repeat("long ", 120), Usage: provider.Usage{PromptTokens: 10, CompletionTokens: 90}})
			h.commit()
			h.call(nil)
		}, "notRun 0 budgetExceeded", 1},
		{"turns are limited", Options{}, func(h *harness) {
			h.call(func(r *CallRequest) { r.Limits.MaxTurns = 1 })
			h.finish(OutcomeDone, Result{})
			h.commit()
			h.call(nil)
		}, "notRun 0 budgetExceeded", 1},
		{"an ended program rejects calls", Options{}, func(h *harness) {
			h.call(func(r *CallRequest) { r.EndProgram = true })
			h.finish(OutcomeDone, Result{})
			h.commit()
			h.call(func(r *CallRequest) { r.Step = 2 })
		}, "notRun 2 programEnded", 1},
		{"a cancellation gets its response when durable", Options{}, func(h *harness) {
			h.turn()
			h.send(CancelRequested{Program: rootID, Client: "c", RequestID: "x"})
			h.commit()
		}, "done 0", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.options)
			test.play(h)
			if diff := cmp.Diff([]any{test.want, test.dispatched}, []any{h.lastResponse(), h.dispatchCount()}); diff != "" {
				t.Errorf("last response and dispatches differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a snapshot that loses part of a program, and against a history tail
// that exceeds its limit because no segment is written.
func TestSnapshotAndSegments(t *testing.T) {
	h := newHarness(t, Options{MaxTailBytes: 100})
	segments := 0
	for range 20 {
		h.turn()
		if c, ok := h.otherCommands[len(h.otherCommands)-1].(StoreSegment); ok {
			segments += len(c.Messages)
			h.send(SegmentStored{Program: c.Program, Name: c.Name})
			h.commit()
		}
	}
	p := h.state.program(rootID)
	if p.History.TailBytes > 200 || p.History.TailStart != segments || p.History.MessageCount != 40 {
		t.Errorf("tail of %d bytes from message %d of %d after %d in segments", p.History.TailBytes, p.History.TailStart, p.History.MessageCount, segments)
	}
	want, _ := h.state.Program(rootID)
	snapshot := h.state.Snapshot("nl-ams/0")
	h.restart(snapshot)
	got, _ := h.state.Program(rootID)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("program after the takeover differs (-want +got):\n%s", diff)
	}
	h.call(func(r *CallRequest) { r.Step = 18 })
	if a := h.responses[len(h.responses)-1]; a.Result.Text != "reply" && a.Segment == "" {
		t.Errorf("response to the retry of step 18 = %+v, want its text or a segment", a)
	}
}

// Guards against running a call again after a takeover because its lookup found no
// result, and against losing a result that the lookup found.
func TestLookupAfterTakeover(t *testing.T) {
	for _, test := range []struct {
		found Outcome
		want  string
	}{{OutcomeDone, "done 1"}, {OutcomeNotRun, "unknown 1 ownerChanged"}} {
		h := newHarness(t, Options{})
		h.call(func(r *CallRequest) { payoutRequest("k")(r); r.SupportsLookup = true })
		h.commit()
		h.restart(nil)
		lookup, ok := h.otherCommands[0].(LookupAttempt)
		if !ok || lookup.IdempotencyKey != rootID+"/key/k" {
			t.Fatalf("commands after the takeover are %+v", h.otherCommands)
		}
		h.send(AttemptFinished{CallID: lookup.CallID, Attempt: lookup.Attempt, Outcome: test.found})
		h.commit()
		h.call(payoutRequest("k"))
		if diff := cmp.Diff(test.want, h.lastResponse()); diff != "" {
			t.Errorf("response differs (-want +got):\n%s", diff)
		}
	}
}

// Guards against ids whose shard or root differs between hosts.
func TestIdentity(t *testing.T) {
	root := NewProgramID("nl-ams", [16]byte{7})
	child := NewChildID(NewChildID(root, [16]byte{1}), [16]byte{2})
	keyed := KeyedProgramID([]string{"de-fra", "nl-ams"}, "c", "s", "k")
	got := []any{DomainOf(child), RootOf(child), ShardOf(child, 820) == ShardOf(root, 820),
		keyed == KeyedProgramID([]string{"nl-ams", "de-fra"}, "c", "s", "k")}
	if diff := cmp.Diff([]any{"nl-ams", root, true, true}, got); diff != "" {
		t.Errorf("ids differ (-want +got):\n%s", diff)
	}
}
