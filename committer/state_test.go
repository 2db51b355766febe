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

// bench runs a state against a store without delays.
type bench struct {
	*State
	t      *testing.T
	now    time.Time
	tables *emulator.TableStore
	// lost holds transactions that were sent while hold is set.
	hold bool
	lost []provider.Transaction
	got  []Command
	puts []PutObject
}

func newBench(t *testing.T, options Options) *bench {
	options.Host, options.Incarnation = "a", "a1"
	b := &bench{t: t, State: New(options), now: start, tables: emulator.NewTableStore(emulator.TableStoreOptions{}, emulator.NewFaults(1))}
	b.send(Tick{})
	b.got = nil
	return b
}

func (b *bench) send(message Message) {
	for _, command := range b.Update(b.now, message) {
		switch c := command.(type) {
		case CommitTransaction:
			if b.hold {
				b.lost = append(b.lost, c.Transaction)
				continue
			}
			b.commit(c.Transaction)
		case ReadLeaseRow:
			b.send(LeaseRowRead{Row: b.tables.Get(TableLeases, "a")})
		case PutObject:
			b.puts = append(b.puts, c)
		case LeaseRenewed:
		default:
			b.got = append(b.got, c)
		}
	}
}

func (b *bench) commit(transaction provider.Transaction) {
	result, err := b.tables.Apply(transaction)
	b.send(CommitFinished{ID: transaction.ID, Kind: provider.KindOf(err), Versions: result.Versions})
}

func (b *bench) pass(wait time.Duration) {
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

func (b *bench) want(want ...Command) {
	b.t.Helper()
	if diff := cmp.Diff(want, b.got); diff != "" {
		b.t.Errorf("commands (-want +got):\n%s", diff)
	}
	b.got = nil
}

func (b *bench) fence() {
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
func TestLostAnswer(t *testing.T) {
	tests := []struct {
		name string
		// effect happens to the transaction whose answer was lost.
		effect func(b *bench, lost provider.Transaction)
		want   []Command
		rows   int
	}{
		{"request lost", func(*bench, provider.Transaction) {}, []Command{TicketCommitted{1, 1}}, 1},
		{"answer lost", func(b *bench, lost provider.Transaction) { _, _ = b.tables.Apply(lost) }, []Command{TicketCommitted{1, 1}}, 1},
		{"answer lost, then fenced", func(b *bench, lost provider.Transaction) {
			_, _ = b.tables.Apply(lost)
			b.fence()
		}, []Command{TicketCommitted{1, 1}, LeaseLost{}}, 1},
		{"fenced, then late", func(b *bench, lost provider.Transaction) {
			b.fence()
			if _, err := b.tables.Apply(lost); provider.KindOf(err) != provider.KindConflict {
				t.Errorf("a late request of a fenced holder: %v", err)
			}
		}, []Command{TicketDropped{1}, LeaseLost{}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, Options{})
			b.pass(time.Second)
			b.hold = true
			b.send(records(1, "x"))
			b.hold = false
			test.effect(b, b.lost[0])
			b.send(CommitFinished{ID: b.lost[0].ID, Kind: provider.KindUnknown})
			b.pass(time.Second)
			b.want(test.want...)
			if _, err := b.tables.Apply(b.lost[0]); err == nil {
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
	b := newBench(t, Options{})
	b.pass(time.Second)
	b.send(records(1, "x"))
	next := &bench{t: t, now: b.now, tables: b.tables, State: New(Options{Host: "a", Incarnation: "a2"})}
	next.send(Tick{})
	next.pass(ClaimerLease(DefaultLease, DefaultClockRateError) - time.Millisecond)
	if next.HoldsLease() {
		t.Error("took the lease of a holder that may still act")
	}
	next.pass(2 * time.Millisecond)
	if !next.HoldsLease() {
		t.Error("did not take an expired lease")
	}
	want := []encoder.LogRange{{Host: "a", Incarnation: "a1", Through: 1}}
	if diff := cmp.Diff(want, next.row.Past); diff != "" {
		t.Errorf("past (-want +got):\n%s", diff)
	}
	b.pass(time.Second)
	b.send(records(2, "y"))
	b.pass(time.Second)
	b.want(TicketCommitted{1, 1}, TicketDropped{2}, LeaseLost{})
	b.send(Restarted{Incarnation: "a3"})
	b.send(records(3, "z"))
	b.pass(time.Minute)
	if rows := b.tables.Rows(TableLog, "a/a3/", "", 0); len(rows) != 1 {
		t.Errorf("a new incarnation wrote %d rows, want 1", len(rows))
	}
}

// Guards against records that overtake others, against shard rows that share a
// transaction with records, and against markers in the wrong place.
func TestOrder(t *testing.T) {
	b := newBench(t, Options{MaxRecordBytes: 10, WritesPerSec: 10})
	b.hold = true
	b.pass(100 * time.Millisecond)
	b.send(records(1, "x"))
	b.hold = false
	b.send(records(2, strings.Repeat("long", 10)))
	b.send(records(3, "y"))
	b.send(AppendRequested{Ticket: 4})
	b.send(records(5, "z"))
	b.send(AppendRequested{Ticket: 6, Shards: []ShardWrite{{Row: encoder.ShardRow{Shard: "s/1"}, Version: 7}}})
	b.send(AppendRequested{Ticket: 7, Shards: []ShardWrite{{Row: encoder.ShardRow{Shard: "s/1"}, AppendLogRange: true}}})
	b.commit(b.lost[0])
	b.pass(time.Second)
	b.want(TicketCommitted{1, 1})
	b.send(PutFinished{Name: b.puts[0].Name, Kind: provider.KindUnknown})
	b.pass(time.Second)
	if len(b.puts) != 2 {
		t.Fatalf("the object was sent %d times, want 2", len(b.puts))
	}
	b.send(PutFinished{Name: b.puts[1].Name})
	b.pass(time.Second)
	b.want(TicketCommitted{2, 2}, TicketCommitted{3, 2}, TicketCommitted{4, 2}, TicketCommitted{5, 3},
		TicketRejected{6, provider.KindConflict}, TicketCommitted{7, 3})
	var row encoder.ShardRow
	if err := json.Unmarshal(b.tables.Get(TableShards, "s/1").Value, &row); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]encoder.LogRange{{Host: "a", Incarnation: "a1", After: 3}}, row.Logs); diff != "" {
		t.Errorf("log ranges (-want +got):\n%s", diff)
	}
	b.send(AppendRequested{Ticket: 8, TrimThrough: 2})
	b.pass(time.Second)
	b.want(DeleteObject{Name: b.puts[0].Name}, TicketCommitted{8, 3})
	if rows := b.tables.Rows(TableLog, "", "", 0); len(rows) != 1 {
		t.Errorf("%d log rows after the trim, want 1", len(rows))
	}
}

// Guards against unbounded memory during an outage, against an outage that is not
// reported, and against records that an outage loses.
func TestOutage(t *testing.T) {
	b := newBench(t, Options{MaxPendingRecords: 3})
	b.pass(time.Second)
	b.hold = true
	b.send(records(1, "x"))
	b.send(records(2, "y", "z"))
	b.send(records(3, "refused"))
	failures := 0
	for range 10 {
		b.send(CommitFinished{ID: b.lost[len(b.lost)-1].ID, Kind: provider.KindUnavailable})
		failures++
		b.pass(3 * time.Second)
	}
	b.hold = false
	b.commit(b.lost[len(b.lost)-1])
	b.pass(time.Second)
	b.want(TicketRejected{3, provider.KindRefused}, StoreHealthChanged{false}, StoreHealthChanged{true}, TicketCommitted{1, 1}, TicketCommitted{2, 1})
	if len(b.lost) != failures+1 {
		t.Errorf("%d attempts for %d failures", len(b.lost), failures)
	}
}

// Guards against a lease that lapses on an idle daemon, against a daemon that writes
// more than its share, and against a release with requests pending.
func TestAllowanceAndRelease(t *testing.T) {
	b := newBench(t, Options{WritesPerSec: 100})
	b.send(LiveHostsChanged{Hosts: 50})
	b.pass(time.Minute)
	idle := b.tables.Counters().Commits
	if idle < 30 || idle > 32 {
		t.Errorf("%d renewals in a minute, want 30 or 31", idle)
	}
	for ticket := range Ticket(600) {
		b.pass(100 * time.Millisecond)
		b.send(records(ticket, "x"))
	}
	if busy := b.tables.Counters().Commits - idle; busy < 118 || busy > 122 {
		t.Errorf("%d commits in a minute at 2 a second", busy)
	}
	b.send(ReleaseRequested{})
	b.pass(10 * time.Second)
	if last := b.got[len(b.got)-1]; last != (LeaseReleased{}) || len(b.got) != 601 {
		t.Errorf("%d commands, the last is %T", len(b.got), last)
	}
}
