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

// desk drives one state by hand.
type desk struct {
	t       *testing.T
	state   *State
	now     time.Time
	tickets []AppendRecords
	log     []encoder.Record
	other   []Command // neither records nor answers
	answers []Response
	serial  int
}

const rootID = "nl-ams-0a"

func newDesk(t *testing.T, options Options) *desk {
	d := &desk{t: t, now: time.Unix(1_700_000_000, 0)}
	options.ShardsPerDomain = 1
	d.state = New(options, func(v Violation) { t.Errorf("violation: %s", v) })
	d.send(ShardAcquired{Shard: "nl-ams/0", Epoch: 1})
	return d
}

func (d *desk) send(m Message) {
	for _, command := range d.state.Update(d.now, m) {
		switch c := command.(type) {
		case AppendRecords:
			d.tickets = append(d.tickets, c)
		case Response:
			d.answers = append(d.answers, c)
		default:
			d.other = append(d.other, c)
		}
	}
}

func (d *desk) commit() {
	for len(d.tickets) > 0 {
		ticket := d.tickets[0]
		d.tickets = d.tickets[1:]
		d.log = append(d.log, ticket.Records...)
		d.send(RecordsCommitted{Ticket: ticket.Ticket})
	}
}

func (d *desk) pass(wait time.Duration) {
	d.now = d.now.Add(wait)
	d.send(Tick{})
}

// call sends a request that change may alter, and returns its id.
func (d *desk) call(change func(*CallRequest)) {
	d.serial++
	r := CallRequest{
		ID: fmt.Sprint(d.serial), Client: "c", Service: "s", Program: rootID, NewProgram: true, Kind: KindModel, Repeatable: true,
		Append: true, PromptTokens: 10, MaxTokens: 90,
		Messages: []provider.ChatMessage{{Role: "user", Content: "question"}},
	}
	if change != nil {
		change(&r)
	}
	d.send(CallArrived{Request: r})
}

// finish completes the last dispatched attempt.
func (d *desk) finish(outcome Outcome, result Result) {
	d.t.Helper()
	for i := len(d.other) - 1; i >= 0; i-- {
		if c, ok := d.other[i].(DispatchAttempt); ok {
			d.send(AttemptFinished{CallID: c.CallID, Attempt: c.Attempt, Outcome: outcome, Result: result})
			return
		}
	}
	d.t.Fatal("nothing was dispatched")
}

func (d *desk) turn() {
	d.t.Helper()
	d.call(nil)
	d.finish(OutcomeDone, Result{Text: "reply", Usage: provider.Usage{PromptTokens: 10, CompletionTokens: 90}})
	d.commit()
}

// restart continues with a new state from what is durable.
func (d *desk) restart(snapshot []byte) {
	old := d.state
	d.state = New(old.options, old.report)
	d.tickets, d.other = nil, nil
	d.send(ShardAcquired{Shard: "nl-ams/0", Epoch: 2, Snapshot: snapshot, Records: d.log})
}

func (d *desk) last() string {
	if len(d.answers) == 0 {
		return "none"
	}
	a := d.answers[len(d.answers)-1]
	return strings.TrimSpace(fmt.Sprintf("%s %d %s", a.Outcome, a.Step, a.Code))
}

func payout(key string) func(*CallRequest) {
	return func(r *CallRequest) {
		r.Kind, r.Repeatable, r.IdempotencyKey, r.Messages = KindPlain, false, key, nil
		r.Invoke = provider.InvokeRequest{Method: "POST", Path: "/payouts"}
	}
}

func (d *desk) dispatches() int {
	n := 0
	for _, command := range d.other {
		if _, ok := command.(DispatchAttempt); ok {
			n++
		}
	}
	return n
}

// Guards against answers that differ from section 3.3 to 3.5 of the design. Each
// case plays a short scene; want is the last answer and the number of dispatches.
func TestScenes(t *testing.T) {
	tests := []struct {
		name       string
		options    Options
		scene      func(d *desk)
		want       string
		dispatched int
	}{
		{"a turn is done only when durable", Options{}, func(d *desk) { d.call(nil); d.finish(OutcomeDone, Result{}) }, "none", 1},
		{"a durable turn is done", Options{}, (*desk).turn, "done 1", 1},
		{"a payout waits for its intent", Options{}, func(d *desk) { d.call(payout("k")) }, "none", 0},
		{"a payout is refused in an outage", Options{}, func(d *desk) { d.send(StoreReachabilityChanged{}); d.call(payout("k")) }, "notRun 0 storeUnavailable", 0},
		{"a payout is refused without a lease", Options{}, func(d *desk) { d.send(LeaseChanged{}); d.call(payout("k")) }, "notRun 0 storeUnavailable", 0},
		{"a payout whose lease ends before dispatch does not run", Options{}, func(d *desk) {
			d.call(payout("k"))
			d.send(LeaseChanged{})
			d.commit()
		}, "none", 0},
		{"a repeated key gets the recorded result", Options{}, func(d *desk) {
			d.call(payout("k"))
			d.commit()
			d.finish(OutcomeDone, Result{})
			d.commit()
			d.call(payout("k"))
		}, "done 1", 1},
		{"a key with other content is refused", Options{}, func(d *desk) {
			d.call(payout("k"))
			d.call(func(r *CallRequest) { payout("k")(r); r.Invoke.Path = "/invoices" })
		}, "notRun 0 stepConflict", 0},
		{"a refused payout may run under the same key", Options{}, func(d *desk) {
			d.call(payout("k"))
			d.commit()
			d.finish(OutcomeNotRun, Result{})
			d.commit()
			d.call(payout("k"))
			d.commit()
			d.finish(OutcomeDone, Result{})
			d.commit()
		}, "done 1", 2},
		{"a payout in doubt stays unknown", Options{}, func(d *desk) {
			d.call(payout("k"))
			d.commit()
			d.finish(OutcomeUnknown, Result{})
			d.commit()
			d.call(payout("k"))
		}, "unknown 1", 1},
		{"a payout in progress at a takeover is unknown and does not run again", Options{}, func(d *desk) {
			d.call(payout("k"))
			d.commit()
			d.restart(nil)
			d.commit()
			d.call(payout("k"))
		}, "unknown 1 ownerChanged", 0},
		{"a retained key expires", Options{KeyRetention: time.Minute}, func(d *desk) {
			d.call(payout("k"))
			d.commit()
			d.finish(OutcomeDone, Result{})
			d.commit()
			for range keepCalls {
				d.turn()
			}
			d.pass(2 * time.Minute)
			d.call(func(r *CallRequest) { payout("k")(r); r.Step = 1; r.IdempotencyKey = "" })
		}, "unknown 1 resultExpired", 5},
		{"a step out of order is refused", Options{}, func(d *desk) { d.turn(); d.call(func(r *CallRequest) { r.Step = 3 }) }, "notRun 3 stepOutOfOrder", 1},
		{"another client sees no program", Options{}, func(d *desk) { d.turn(); d.call(func(r *CallRequest) { r.Client = "d" }) }, "notRun 0 programNotFound", 1},
		{"an unknown program is not created silently", Options{}, func(d *desk) { d.call(func(r *CallRequest) { r.NewProgram = false }) }, "notRun 0 programNotFound", 0},
		{"ignorance without a lease is no answer", Options{}, func(d *desk) {
			d.turn()
			d.send(LeaseChanged{})
			d.call(func(r *CallRequest) { r.Step = 3 })
		}, "notRun 3 notOwner", 1},
		{"another shard's program is not served", Options{}, func(d *desk) { d.call(func(r *CallRequest) { r.Program = "de-fra-1" }) }, "notRun 0 notOwner", 0},
		{"a shorter history is refused", Options{}, func(d *desk) { d.turn(); d.call(func(r *CallRequest) { r.Append = false }) }, "done 1", 1},
		{"a changed history is refused", Options{}, func(d *desk) {
			d.turn()
			d.call(func(r *CallRequest) {
				r.Append = false
				r.Messages = []provider.ChatMessage{{Role: "user", Content: "question"}, {Role: "assistant", Content: "other"}, {Role: "user"}}
			})
		}, "notRun 0 historyMismatch", 1},
		{"the complete history is accepted", Options{}, func(d *desk) {
			d.turn()
			d.call(func(r *CallRequest) {
				r.Append = false
				r.Messages = []provider.ChatMessage{{Role: "user", Content: "question"}, {Role: "assistant", Content: "reply"}, {Role: "user"}}
			})
			d.finish(OutcomeDone, Result{})
			d.commit()
		}, "done 2", 2},
		{"a result that is not durable is reported so", Options{}, func(d *desk) {
			d.send(StoreReachabilityChanged{})
			d.call(nil)
			d.finish(OutcomeDone, Result{Text: "reply"})
			d.pass(10 * time.Second)
		}, "unknown 1 notDurable", 1},
		{"the next step runs on a result that is not durable", Options{}, func(d *desk) {
			d.send(LeaseChanged{})
			d.call(nil)
			d.finish(OutcomeDone, Result{Text: "reply"})
			d.call(func(r *CallRequest) { r.Step = 2 })
		}, "none", 2},
		{"the bound of pending records holds", Options{MaxPendingRecords: 8}, func(d *desk) {
			for i := range 9 {
				d.call(func(r *CallRequest) { r.Program = fmt.Sprintf("nl-ams-%d", i) })
			}
		}, "notRun 0 storeUnavailable", 2},
		{"a hung call ends as unknown", Options{CallTimeout: time.Second}, func(d *desk) {
			d.call(nil)
			d.pass(time.Second)
			d.pass(5 * time.Second)
			d.commit()
		}, "unknown 1 timeout", 1},
		{"a moving shard takes no new call", Options{}, func(d *desk) {
			d.turn()
			d.send(ShardClosing{Shard: "nl-ams/0"})
			d.call(nil)
		}, "notRun 0 ownerChanging", 1},
		{"an appended call reserves the recorded history", Options{}, func(d *desk) {
			d.call(func(r *CallRequest) { r.Budget.Tokens = 300 })
			d.finish(OutcomeDone, Result{Text: strings.Repeat("long ", 120), Usage: provider.Usage{PromptTokens: 10, CompletionTokens: 90}})
			d.commit()
			d.call(nil)
		}, "notRun 0 budgetExceeded", 1},
		{"turns are limited", Options{}, func(d *desk) {
			d.call(func(r *CallRequest) { r.Limits.MaxTurns = 1 })
			d.finish(OutcomeDone, Result{})
			d.commit()
			d.call(nil)
		}, "notRun 0 budgetExceeded", 1},
		{"an ended program refuses calls", Options{}, func(d *desk) {
			d.call(func(r *CallRequest) { r.EndProgram = true })
			d.finish(OutcomeDone, Result{})
			d.commit()
			d.call(func(r *CallRequest) { r.Step = 2 })
		}, "notRun 2 programEnded", 1},
		{"a cancelled program is acknowledged when durable", Options{}, func(d *desk) {
			d.turn()
			d.send(CancelRequested{Program: rootID, Client: "c", RequestID: "x"})
			d.commit()
		}, "done 0", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDesk(t, test.options)
			test.scene(d)
			if diff := cmp.Diff([]any{test.want, test.dispatched}, []any{d.last(), d.dispatches()}); diff != "" {
				t.Errorf("last answer and dispatches differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a snapshot that loses part of a program, and against a tail that
// grows without bound.
func TestSnapshotAndSegments(t *testing.T) {
	d := newDesk(t, Options{MaxTailBytes: 100})
	segments := 0
	for range 20 {
		d.turn()
		if c, ok := d.other[len(d.other)-1].(StoreSegment); ok {
			segments += len(c.Messages)
			d.send(SegmentStored{Program: c.Program, Name: c.Name})
			d.commit()
		}
	}
	p := d.state.program(rootID)
	if p.History.Bytes > 200 || p.History.From != segments || p.History.Count != 40 {
		t.Errorf("tail of %d bytes from message %d of %d after %d in segments", p.History.Bytes, p.History.From, p.History.Count, segments)
	}
	want, _ := d.state.Program(rootID)
	snapshot := d.state.Snapshot("nl-ams/0")
	d.restart(snapshot)
	got, _ := d.state.Program(rootID)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("program after the takeover differs (-want +got):\n%s", diff)
	}
	d.call(func(r *CallRequest) { r.Step = 18 })
	if a := d.answers[len(d.answers)-1]; a.Result.Text != "reply" && a.Segment == "" {
		t.Errorf("answer to the retry of an older step is %+v", a)
	}
}

// Guards against a lookup that is taken for permission to run, and against a
// result that the target kept and the caller does not get.
func TestLookupAfterTakeover(t *testing.T) {
	for _, test := range []struct {
		found Outcome
		want  string
	}{{OutcomeDone, "done 1"}, {OutcomeNotRun, "unknown 1 ownerChanged"}} {
		d := newDesk(t, Options{})
		d.call(func(r *CallRequest) { payout("k")(r); r.SupportsLookup = true })
		d.commit()
		d.restart(nil)
		lookup, ok := d.other[0].(LookupAttempt)
		if !ok || lookup.IdempotencyKey != rootID+"/key/k" {
			t.Fatalf("commands after the takeover are %+v", d.other)
		}
		d.send(AttemptFinished{CallID: lookup.CallID, Attempt: lookup.Attempt, Outcome: test.found})
		d.commit()
		d.call(payout("k"))
		if diff := cmp.Diff(test.want, d.last()); diff != "" {
			t.Errorf("answer differs (-want +got):\n%s", diff)
		}
	}
}

// Guards against ids whose shard or root depends on who computes them.
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
