package committer

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

var start = time.Unix(1_000, 0)

// harness runs a state against a store without delays.
type harness struct {
	*State
	t      *testing.T
	now    time.Time
	tables *emulator.TableStore
	// lost holds transactions that were sent while holdCommits is set.
	holdCommits bool
	heldCommits []provider.Transaction
	outcomes    []Command
	puts        []PutObject
}

func newHarness(t *testing.T, options Options) *harness {
	options.Host, options.Incarnation = "a", "a1"
	b := &harness{t: t, State: New(options), now: start, tables: emulator.NewTableStore(emulator.TableStoreOptions{}, emulator.NewFaults(1))}
	b.send(Tick{})
	b.outcomes = nil
	return b
}

func (b *harness) send(message Message) {
	for _, command := range b.Update(b.now, message) {
		switch c := command.(type) {
		case CommitTransaction:
			if b.holdCommits {
				b.heldCommits = append(b.heldCommits, c.Transaction)
				continue
			}
			b.commit(c.Transaction)
		case ReadLeaseRow:
			b.send(LeaseRowRead{Row: b.tables.Get(TableLeases, "a")})
		case PutObject:
			b.puts = append(b.puts, c)
		case LeaseRenewed:
		default:
			b.outcomes = append(b.outcomes, c)
		}
	}
}

func (b *harness) commit(transaction provider.Transaction) {
	result, err := b.tables.Apply(transaction)
	b.send(CommitFinished{ID: transaction.ID, Kind: provider.KindOf(err), Versions: result.Versions})
}

func (b *harness) sleep(wait time.Duration) {
	for end := b.now.Add(wait); ; {
		next := b.Next()
		if next.IsZero() || next.After(end) {
			b.now = end
			return
		}
		b.now = next
		b.send(Tick{})
	}
}

func records(ticket Ticket, bodies ...string) AppendRequested {
	request := AppendRequested{Ticket: ticket}
	for _, body := range bodies {
		request.Records = append(request.Records, encoder.Record{Shard: "s/1", Body: body})
	}
	return request
}

func (b *harness) wantOutcomes(want ...Command) {
	b.t.Helper()
	if diff := cmp.Diff(want, b.outcomes); diff != "" {
		b.t.Errorf("commands (-want +got):\n%s", diff)
	}
	b.outcomes = nil
}

func (b *harness) fenceLease() {
	row := b.tables.Get(TableLeases, "a")
	var lease encoder.LeaseRow
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		b.t.Fatal(err)
	}
	lease.State = LeaseRowFenced
	write := provider.Write{Table: TableLeases, Key: "a", Value: encode(lease)}
	if _, err := b.tables.Apply(provider.Transaction{Writes: []provider.Write{write}}); err != nil {
		b.t.Fatal(err)
	}
}

// Guards against acknowledging a batch whose answer was lost and that did not take
// effect, against losing or repeating one that did, and against an old request that
// arrives after the same transaction was sent again.
func TestLostResponse(t *testing.T) {
	tests := []struct {
		name string
		// effect happens to the transaction whose answer was lost.
		effect func(b *harness, lost provider.Transaction)
		want   []Command
		rows   int
	}{
		{"request lost", func(*harness, provider.Transaction) {}, []Command{TicketCommitted{1, 1}}, 1},
		{"answer lost", func(b *harness, lost provider.Transaction) { _, _ = b.tables.Apply(lost) }, []Command{TicketCommitted{1, 1}}, 1},
		{"answer lost, then fenced", func(b *harness, lost provider.Transaction) {
			_, _ = b.tables.Apply(lost)
			b.fenceLease()
		}, []Command{TicketCommitted{1, 1}, LeaseLost{}}, 1},
		{"fenced, then late", func(b *harness, lost provider.Transaction) {
			b.fenceLease()
			if _, err := b.tables.Apply(lost); provider.KindOf(err) != provider.KindConflict {
				t.Errorf("a late request of a fenced holder: %v", err)
			}
		}, []Command{TicketDropped{1}, LeaseLost{}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.sleep(time.Second)
			b.holdCommits = true
			b.send(records(1, "x"))
			b.holdCommits = false
			test.effect(b, b.heldCommits[0])
			b.send(CommitFinished{ID: b.heldCommits[0].ID, Kind: provider.KindUnknown})
			b.sleep(time.Second)
			b.wantOutcomes(test.want...)
			if _, err := b.tables.Apply(b.heldCommits[0]); err == nil {
				t.Error("the transaction took effect twice")
			}
			if rows := b.tables.Rows(TableLog, "", "", 0); len(rows) != test.rows {
				t.Errorf("%d log rows, want %d", len(rows), test.rows)
			}
		})
	}
}

// Guards against taking over a lease row whose holder may still act, and against
// forgetting where the log of the earlier incarnation ends.
func TestAcquire(t *testing.T) {
	b := newHarness(t, Options{})
	b.sleep(time.Second)
	b.send(records(1, "x"))
	next := &harness{t: t, now: b.now, tables: b.tables, State: New(Options{Host: "a", Incarnation: "a2"})}
	next.send(Tick{})
	next.sleep(ClaimerLease(DefaultLease, DefaultClockRateError) - time.Millisecond)
	if next.HoldsLease() {
		t.Error("took the lease of a holder that may still act")
	}
	next.sleep(2 * time.Millisecond)
	if !next.HoldsLease() {
		t.Error("did not take an expired lease")
	}
	want := []encoder.LogRange{{Host: "a", Incarnation: "a1", Through: 1}}
	if diff := cmp.Diff(want, next.leaseRow.Past); diff != "" {
		t.Errorf("past (-want +got):\n%s", diff)
	}
	b.sleep(time.Second)
	b.send(records(2, "y"))
	b.sleep(time.Second)
	b.wantOutcomes(TicketCommitted{1, 1}, TicketDropped{2}, LeaseLost{})
	b.send(Restarted{Incarnation: "a3"})
	b.send(records(3, "z"))
	b.sleep(time.Minute)
	if rows := b.tables.Rows(TableLog, "a/a3/", "", 0); len(rows) != 1 {
		t.Errorf("a new incarnation wrote %d rows, want 1", len(rows))
	}
}

// Guards against records that overtake others, against shard rows that share a
// transaction with records, and against markers in the wrong place.
func TestRequestOrder(t *testing.T) {
	b := newHarness(t, Options{MaxRecordBytes: 10, WritesPerSec: 10})
	b.holdCommits = true
	b.sleep(100 * time.Millisecond)
	b.send(records(1, "x"))
	b.holdCommits = false
	b.send(records(2, strings.Repeat("long", 10)))
	b.send(records(3, "y"))
	b.send(AppendRequested{Ticket: 4})
	b.send(records(5, "z"))
	b.send(AppendRequested{Ticket: 6, Shards: []ShardWrite{{Row: encoder.ShardRow{Shard: "s/1"}, Version: 7}}})
	b.send(AppendRequested{Ticket: 7, Shards: []ShardWrite{{Row: encoder.ShardRow{Shard: "s/1"}, AppendLogRange: true}}})
	b.commit(b.heldCommits[0])
	b.sleep(time.Second)
	b.wantOutcomes(TicketCommitted{1, 1})
	b.send(PutFinished{Name: b.puts[0].Name, Kind: provider.KindUnknown})
	b.sleep(time.Second)
	if len(b.puts) != 2 {
		t.Fatalf("the object was sent %d times, want 2", len(b.puts))
	}
	b.send(PutFinished{Name: b.puts[1].Name})
	b.sleep(time.Second)
	b.wantOutcomes(TicketCommitted{2, 2}, TicketCommitted{3, 2}, TicketCommitted{4, 2}, TicketCommitted{5, 3},
		TicketRejected{6, provider.KindConflict}, TicketCommitted{7, 3})
	var row encoder.ShardRow
	if err := json.Unmarshal(b.tables.Get(TableShards, "s/1").Value, &row); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]encoder.LogRange{{Host: "a", Incarnation: "a1", After: 3}}, row.Logs); diff != "" {
		t.Errorf("log ranges (-want +got):\n%s", diff)
	}
	b.send(AppendRequested{Ticket: 8, TrimThrough: 2})
	b.sleep(time.Second)
	b.wantOutcomes(DeleteObject{Name: b.puts[0].Name}, TicketCommitted{8, 3})
	if rows := b.tables.Rows(TableLog, "", "", 0); len(rows) != 1 {
		t.Errorf("%d log rows after the trim, want 1", len(rows))
	}
}

// Guards against unbounded memory during an outage, against an outage that is not
// reported, and against records that an outage loses.
func TestOutage(t *testing.T) {
	b := newHarness(t, Options{MaxPendingRecords: 3})
	b.sleep(time.Second)
	b.holdCommits = true
	b.send(records(1, "x"))
	b.send(records(2, "y", "z"))
	b.send(records(3, "refused"))
	failures := 0
	for range 10 {
		b.send(CommitFinished{ID: b.heldCommits[len(b.heldCommits)-1].ID, Kind: provider.KindUnavailable})
		failures++
		b.sleep(3 * time.Second)
	}
	b.holdCommits = false
	b.commit(b.heldCommits[len(b.heldCommits)-1])
	b.sleep(time.Second)
	b.wantOutcomes(TicketRejected{3, provider.KindRefused}, StoreHealthChanged{false}, StoreHealthChanged{true}, TicketCommitted{1, 1}, TicketCommitted{2, 1})
	if len(b.heldCommits) != failures+1 {
		t.Errorf("%d attempts for %d failures", len(b.heldCommits), failures)
	}
}

// Guards against a lease that lapses on an idle daemon, against a daemon that writes
// more than its share, and against a release with requests pending.
func TestAllowanceAndRelease(t *testing.T) {
	b := newHarness(t, Options{WritesPerSec: 100})
	b.send(LiveHostsChanged{Hosts: 50})
	b.sleep(time.Minute)
	idle := b.tables.Counters().Commits
	if idle < 30 || idle > 32 {
		t.Errorf("%d renewals in a minute, want 30 or 31", idle)
	}
	for ticket := range Ticket(600) {
		b.sleep(100 * time.Millisecond)
		b.send(records(ticket, "x"))
	}
	if busy := b.tables.Counters().Commits - idle; busy < 118 || busy > 122 {
		t.Errorf("%d commits in a minute at 2 a second", busy)
	}
	b.send(ReleaseRequested{})
	b.sleep(10 * time.Second)
	if last := b.outcomes[len(b.outcomes)-1]; last != (LeaseReleased{}) || len(b.outcomes) != 601 {
		t.Errorf("%d commands, the last is %T", len(b.outcomes), last)
	}
}
