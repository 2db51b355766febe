package committer

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

var start = time.Unix(1_000, 0)

// harness runs a state against a store that responds without delay.
type harness struct {
	*State
	t      *testing.T
	now    time.Time
	tables *emulator.TableStore
	// heldCommits has the transactions that were sent, and not applied, while
	// holdCommits was set.
	holdCommits bool
	heldCommits []provider.Transaction
	outcomes    []Command
	puts        []PutObject
}

func newHarness(t *testing.T, options Options) *harness {
	options.Host, options.Incarnation = "a", "a1"
	h := &harness{t: t, State: New(options), now: start, tables: emulator.NewTableStore(emulator.TableStoreOptions{}, emulator.NewFaults(1))}
	h.send(Tick{})
	h.outcomes = nil
	return h
}

func (h *harness) send(message Message) {
	for _, command := range h.Update(h.now, message) {
		switch c := command.(type) {
		case CommitTransaction:
			if h.holdCommits {
				h.heldCommits = append(h.heldCommits, c.Transaction)
				continue
			}
			h.commit(c.Transaction)
		case ReadLeaseRow:
			h.send(LeaseRowRead{Row: h.tables.Get(TableLeases, "a")})
		case PutObject:
			h.puts = append(h.puts, c)
		case LeaseRenewed:
		default:
			h.outcomes = append(h.outcomes, c)
		}
	}
}

func (h *harness) commit(transaction provider.Transaction) {
	result, err := h.tables.Apply(transaction)
	h.send(CommitFinished{ID: transaction.ID, Kind: provider.KindOf(err), Versions: result.Versions})
}

// sleep advances the time by wait and sends the Ticks that fall due.
func (h *harness) sleep(wait time.Duration) {
	for end := h.now.Add(wait); ; {
		next := h.Next()
		if next.IsZero() || next.After(end) {
			h.now = end
			return
		}
		h.now = next
		h.send(Tick{})
	}
}

func records(ticket Ticket, bodies ...string) AppendRequested {
	request := AppendRequested{Ticket: ticket}
	for _, body := range bodies {
		request.Records = append(request.Records, encoder.Record{Shard: "s/1", Body: body})
	}
	return request
}

// wantOutcomes compares the commands that were collected since the last call.
func (h *harness) wantOutcomes(want ...Command) {
	h.t.Helper()
	if diff := cmp.Diff(want, h.outcomes); diff != "" {
		h.t.Errorf("commands (-want +got):\n%s", diff)
	}
	h.outcomes = nil
}

// fenceLease marks the lease row as fenced, as another daemon does.
func (h *harness) fenceLease() {
	row := h.tables.Get(TableLeases, "a")
	var lease encoder.LeaseRow
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		h.t.Fatal(err)
	}
	lease.State = LeaseRowFenced
	write := provider.Write{Table: TableLeases, Key: "a", Value: encode(lease)}
	if _, err := h.tables.Apply(provider.Transaction{Writes: []provider.Write{write}}); err != nil {
		h.t.Fatal(err)
	}
}

// Guards against an attempt without a response whose batch is reported committed
// though it had no effect, or is dropped or repeated though it took effect. Also guards
// against an attempt that arrives late, after the transaction was sent again or the
// daemon was fenced.
func TestLostResponse(t *testing.T) {
	tests := []struct {
		name string
		// effect applies or loses the transaction whose response was lost.
		effect func(h *harness, lost provider.Transaction)
		want   []Command
		rows   int
	}{
		{"request lost", func(*harness, provider.Transaction) {}, []Command{TicketCommitted{1, 1}}, 1},
		{"response lost", func(h *harness, lost provider.Transaction) { _, _ = h.tables.Apply(lost) }, []Command{TicketCommitted{1, 1}}, 1},
		{"response lost, then fenced", func(h *harness, lost provider.Transaction) {
			_, _ = h.tables.Apply(lost)
			h.fenceLease()
		}, []Command{TicketCommitted{1, 1}, LeaseLost{}}, 1},
		{"fenced, then the request arrives", func(h *harness, lost provider.Transaction) {
			h.fenceLease()
			if _, err := h.tables.Apply(lost); provider.KindOf(err) != provider.KindConflict {
				t.Errorf("late request of a fenced holder returned %v, want a conflict", err)
			}
		}, []Command{TicketDropped{1}, LeaseLost{}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.sleep(time.Second)
			h.holdCommits = true
			h.send(records(1, "x"))
			h.holdCommits = false
			test.effect(h, h.heldCommits[0])
			h.send(CommitFinished{ID: h.heldCommits[0].ID, Kind: provider.KindUnknown})
			h.sleep(time.Second)
			h.wantOutcomes(test.want...)
			if _, err := h.tables.Apply(h.heldCommits[0]); err == nil {
				t.Error("the transaction was applied twice")
			}
			if rows := h.tables.Rows(TableLog, "", "", 0); len(rows) != test.rows {
				t.Errorf("%d log rows, want %d", len(rows), test.rows)
			}
		})
	}
}

// Guards against a takeover of a lease row whose holder may still act, and against a
// lease row that does not list where the log of the earlier incarnation ends.
func TestAcquire(t *testing.T) {
	h := newHarness(t, Options{})
	h.sleep(time.Second)
	h.send(records(1, "x"))
	next := &harness{t: t, now: h.now, tables: h.tables, State: New(Options{Host: "a", Incarnation: "a2"})}
	next.send(Tick{})
	next.sleep(ClaimerLease(DefaultLease, DefaultClockRateError) - time.Millisecond)
	if next.HoldsLease() {
		t.Error("took over the lease while its holder may still act")
	}
	next.sleep(2 * time.Millisecond)
	if !next.HoldsLease() {
		t.Error("did not take over an expired lease")
	}
	want := []encoder.LogRange{{Host: "a", Incarnation: "a1", Through: 1}}
	if diff := cmp.Diff(want, next.leaseRow.Past); diff != "" {
		t.Errorf("past (-want +got):\n%s", diff)
	}
	h.sleep(time.Second)
	h.send(records(2, "y"))
	h.sleep(time.Second)
	h.wantOutcomes(TicketCommitted{1, 1}, TicketDropped{2}, LeaseLost{})
	h.send(Restarted{Incarnation: "a3"})
	h.send(records(3, "z"))
	h.sleep(time.Minute)
	if rows := h.tables.Rows(TableLog, "a/a3/", "", 0); len(rows) != 1 {
		t.Errorf("a new incarnation wrote %d rows, want 1", len(rows))
	}
}

// Guards against records that are committed out of order, against shard rows that
// share a transaction with records, and against markers in the wrong position.
func TestRequestOrder(t *testing.T) {
	h := newHarness(t, Options{MaxRecordBytes: 10, WritesPerSec: 10})
	h.holdCommits = true
	h.sleep(100 * time.Millisecond)
	h.send(records(1, "x"))
	h.holdCommits = false
	h.send(records(2, strings.Repeat("long", 10)))
	h.send(records(3, "y"))
	h.send(AppendRequested{Ticket: 4})
	h.send(records(5, "z"))
	h.send(AppendRequested{Ticket: 6, Shards: []ShardWrite{{Row: encoder.ShardRow{Shard: "s/1"}, Version: 7}}})
	h.send(AppendRequested{Ticket: 7, Shards: []ShardWrite{{Row: encoder.ShardRow{Shard: "s/1"}, AppendLogRange: true}}})
	h.commit(h.heldCommits[0])
	h.sleep(time.Second)
	h.wantOutcomes(TicketCommitted{1, 1})
	h.send(PutFinished{Name: h.puts[0].Name, Kind: provider.KindUnknown})
	h.sleep(time.Second)
	if len(h.puts) != 2 {
		t.Fatalf("the object was sent %d times, want 2", len(h.puts))
	}
	h.send(PutFinished{Name: h.puts[1].Name})
	h.sleep(time.Second)
	h.wantOutcomes(TicketCommitted{2, 2}, TicketCommitted{3, 2}, TicketCommitted{4, 2}, TicketCommitted{5, 3},
		TicketRejected{6, provider.KindConflict}, TicketCommitted{7, 3})
	var row encoder.ShardRow
	if err := json.Unmarshal(h.tables.Get(TableShards, "s/1").Value, &row); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]encoder.LogRange{{Host: "a", Incarnation: "a1", After: 3}}, row.Logs); diff != "" {
		t.Errorf("log ranges (-want +got):\n%s", diff)
	}
	h.send(AppendRequested{Ticket: 8, TrimThrough: 2})
	h.sleep(time.Second)
	h.wantOutcomes(DeleteObject{Name: h.puts[0].Name}, TicketCommitted{8, 3})
	if rows := h.tables.Rows(TableLog, "", "", 0); len(rows) != 1 {
		t.Errorf("%d log rows after the deletion, want 1", len(rows))
	}
}

// Guards against a deletion of log rows that is reported done though it was cut short, because it
// shared a request with records or exceeded the rows that one transaction may delete.
func TestTrim(t *testing.T) {
	const rows = 2*maxTrimRows + 50
	h := newHarness(t, Options{WritesPerSec: 1e6})
	for ticket := range Ticket(rows) {
		h.send(records(ticket, "x"))
		h.sleep(time.Millisecond)
	}
	h.outcomes = nil
	h.send(AppendRequested{Ticket: 1000, TrimThrough: 10, Records: records(0, "x").Records})
	h.send(AppendRequested{Ticket: 1001, TrimThrough: 10, Shards: []ShardWrite{{Row: encoder.ShardRow{Shard: "s/1"}, Version: AnyVersion}}})
	h.sleep(time.Second)
	h.wantOutcomes(TicketRejected{1000, provider.KindInvalid}, TicketRejected{1001, provider.KindInvalid})
	h.send(AppendRequested{Ticket: 1002, TrimThrough: rows - 1})
	h.send(records(1003, "y"))
	h.sleep(time.Second)
	h.wantOutcomes(TicketCommitted{1002, rows}, TicketCommitted{1003, rows + 1})
	if left := h.tables.Rows(TableLog, "", "", 0); len(left) != 2 {
		t.Errorf("%d log rows after the deletion, want 2", len(left))
	}
}

// Guards against transactions with more shard rows than the limit, which one request that still
// found the limit not reached exceeded.
func TestShardRowsOfTransaction(t *testing.T) {
	h := newHarness(t, Options{})
	h.sleep(time.Second)
	h.holdCommits = true
	h.send(records(1, "x"))
	held := h.heldCommits[0]
	for ticket := range Ticket(3) {
		request := AppendRequested{Ticket: 2 + ticket}
		for i := range maxShardRows/2 + 1 {
			request.Shards = append(request.Shards, ShardWrite{Row: encoder.ShardRow{Shard: fmt.Sprintf("s/%d-%d", ticket, i)}, Version: AnyVersion})
		}
		h.send(request)
	}
	h.commit(held)
	h.sleep(100 * time.Millisecond)
	if got := len(h.heldCommits[len(h.heldCommits)-1].Writes) - 1; got > maxShardRows {
		t.Errorf("a transaction writes %d shard rows, want at most %d", got, maxShardRows)
	}
}

// Guards against a delay after a failure that exceeds MaxBackoff, or that is the same for all daemons.
func TestBackoffIsBounded(t *testing.T) {
	s := New(Options{Host: "a", Incarnation: "a1", MaxBackoff: time.Second})
	shortest, longest := time.Hour, time.Duration(0)
	for range 1_000 {
		delay := s.backoff(20)
		shortest, longest = min(shortest, delay), max(longest, delay)
	}
	if longest > time.Second || longest-shortest < 500*time.Millisecond {
		t.Errorf("delays of %v to %v, want at most %v and a range of 500ms", shortest, longest, time.Second)
	}
}

// Guards against an outage of the store that lets memory grow without bound, that is
// not reported, or that loses records.
func TestOutage(t *testing.T) {
	h := newHarness(t, Options{MaxPendingRecords: 3})
	h.sleep(time.Second)
	h.holdCommits = true
	h.send(records(1, "x"))
	h.send(records(2, "y", "z"))
	h.send(records(3, "rejected"))
	failures := 0
	for range 10 {
		h.send(CommitFinished{ID: h.heldCommits[len(h.heldCommits)-1].ID, Kind: provider.KindUnavailable})
		failures++
		h.sleep(3 * time.Second)
	}
	h.holdCommits = false
	h.commit(h.heldCommits[len(h.heldCommits)-1])
	h.sleep(time.Second)
	h.wantOutcomes(TicketRejected{3, provider.KindRefused}, StoreHealthChanged{false}, StoreHealthChanged{true}, TicketCommitted{1, 1}, TicketCommitted{2, 1})
	if len(h.heldCommits) != failures+1 {
		t.Errorf("%d attempts for %d failures, want one more than failures", len(h.heldCommits), failures)
	}
}

// Guards against a lease that expires on an idle daemon, against a daemon that exceeds
// its share of the write budget, and against a release before all pending requests
// are committed.
func TestWriteShareAndRelease(t *testing.T) {
	h := newHarness(t, Options{WritesPerSec: 100})
	h.send(LiveHostsChanged{Hosts: 50})
	h.sleep(time.Minute)
	idle := h.tables.Counters().Commits
	if idle < 30 || idle > 32 {
		t.Errorf("%d renewals in a minute, want 30 or 31", idle)
	}
	for ticket := range Ticket(600) {
		h.sleep(100 * time.Millisecond)
		h.send(records(ticket, "x"))
	}
	if busy := h.tables.Counters().Commits - idle; busy < 118 || busy > 122 {
		t.Errorf("%d commits in a minute, want 118 to 122 at 2 per second", busy)
	}
	h.send(ReleaseRequested{})
	h.sleep(10 * time.Second)
	if last := h.outcomes[len(h.outcomes)-1]; last != (LeaseReleased{}) || len(h.outcomes) != 601 {
		t.Errorf("%d commands, the last is %T, want 601 and LeaseReleased", len(h.outcomes), last)
	}
}
