package limiter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// bench drives one holder with messages and a clock of its own.
type bench struct {
	t       *testing.T
	now     time.Time
	holder  *holder
	pending []command
	ticket  ticket
	version int64
}

func newBench(t *testing.T, quotas ...Quota) *bench {
	b := &bench{t: t, now: time.Unix(1_000_000, 0), holder: newHolder("own", "own#1", 1), version: 100}
	cells := map[string]int{}
	first := map[string]string{}
	for _, q := range quotas {
		cells[q.Workspace], first[q.Workspace] = 1, "own"
	}
	b.update(quotasChanged{quotas: quotas, cells: cells})
	b.update(placesChanged{first: first})
	return b
}

// update passes a message and returns the answers to requests. It keeps the other commands.
func (b *bench) update(m message) []grant {
	var grants []grant
	for _, c := range b.holder.update(b.now, m) {
		if g, ok := c.(grant); ok {
			grants = append(grants, g)
		} else {
			b.pending = append(b.pending, c)
		}
	}
	return grants
}

// advance lets time pass, in which the lease is renewed.
func (b *bench) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.update(tick{})
	if b.holder.usable(b.now) {
		if _, ok := next[renewLease](b); ok {
			b.update(leaseWritten{kind: provider.KindNone, sentAt: b.now, version: b.version})
		}
	}
}

// next removes and returns the next command of a type.
func next[C command](b *bench) (C, bool) {
	for i, c := range b.pending {
		if found, ok := c.(C); ok {
			b.pending = append(b.pending[:i:i], b.pending[i+1:]...)
			return found, true
		}
	}
	var none C
	return none, false
}

// renew answers the next renewal.
func (b *bench) renew(kind provider.Kind) {
	b.t.Helper()
	if _, ok := next[renewLease](b); !ok {
		b.t.Fatal("no renewal of the lease")
	}
	b.version++
	b.update(leaseWritten{kind: kind, sentAt: b.now, version: b.version, incarnation: "own#1"})
}

// write answers the next write of a row and returns it.
func (b *bench) write(kind provider.Kind) writeRow {
	b.t.Helper()
	w, ok := next[writeRow](b)
	for end := 0; !ok && end < 100; end++ {
		b.advance(10 * time.Millisecond)
		w, ok = next[writeRow](b)
	}
	if !ok {
		b.t.Fatal("no write of a row")
	}
	b.version++
	m := rowWritten{group: w.group, kind: kind, version: b.version}
	b.update(m)
	return w
}

// ask asks for one permit that waits for up to 100 ms, and returns the answer.
func (b *bench) ask(workspace, program string) grant {
	b.t.Helper()
	b.ticket++
	grants := b.update(permitsRequested{
		ticket: b.ticket, workspace: workspace, program: program, needed: 1, first: "own",
		deadline: b.now.Add(100 * time.Millisecond), limit: b.now.Add(100 * time.Millisecond),
	})
	if len(grants) == 0 {
		b.now = b.now.Add(100 * time.Millisecond)
		grants = b.update(tick{})
	}
	for _, g := range grants {
		if g.ticket == b.ticket {
			return g
		}
	}
	b.t.Fatal("the request is not answered at its deadline")
	return grant{}
}

// takeWhole makes the holder hold the whole quota.
func (b *bench) takeWhole(workspace string) {
	b.t.Helper()
	b.renew(provider.KindNone)
	for range 50 {
		b.ask(workspace, "")
		for {
			w, ok := next[writeRow](b)
			if !ok {
				break
			}
			b.version++
			b.update(rowWritten{group: w.group, kind: provider.KindNone, version: b.version})
		}
		b.advance(20 * time.Millisecond)
	}
}

func (b *bench) parts(workspace string) int { return b.holder.holdings[workspace].bucket.parts }

var testQuota = Quota{Workspace: "w", RatePerSecond: 10, Burst: 10}

// Guards against the use of a fraction that others may have freed: after the lease has ended, nothing is
// admitted until a write under a new lease has shown that the row still has the fraction.
func TestNothingIsAdmittedAfterLapse(t *testing.T) {
	b := newBench(t, testQuota)
	b.takeWhole("w")
	if b.parts("w") == 0 {
		t.Fatal("no fraction is held")
	}
	held := b.parts("w")
	// The process is frozen.
	b.now = b.now.Add(leaseDuration)
	if got := b.ask("w", ""); got.permits != 0 {
		t.Errorf("admitted after the end of the lease: %+v", got)
	}
	b.renew(provider.KindNone)
	if got := b.ask("w", ""); got.permits != 0 {
		t.Errorf("admitted before the row was confirmed: %+v", got)
	}
	w := b.write(provider.KindNone)
	if w.conditions[0].Version == provider.VersionAbsent {
		t.Error("the row is not confirmed under the known version")
	}
	want := held
	if len(w.changes) > 0 {
		want = w.changes[0].after
	}
	if got := b.parts("w"); got != want || got == 0 {
		t.Errorf("%d parts after the confirmation, want %d", got, want)
	}
}

// Guards against a fraction that stays in use although a write that reduced it may take effect later.
func TestReducedFractionAfterUnknownOutcome(t *testing.T) {
	b := newBench(t, testQuota)
	b.takeWhole("w")
	held := b.parts("w")
	// Nobody calls for a minute, so that the fraction is returned.
	var w writeRow
	for range 100 {
		b.advance(time.Second)
		if _, ok := next[readRow](b); ok {
			row := provider.VersionedRow{RowKey: groupOf("w").key(), Version: b.holder.groups[groupOf("w")].version, Value: encodeRow(b.holder.groups[groupOf("w")].allocations)}
			b.update(rowRead{group: groupOf("w"), row: row})
		}
		var ok bool
		if w, ok = next[writeRow](b); ok && w.changes[0].after < held {
			break
		}
	}
	reduced := w.changes[0].after
	b.update(rowWritten{group: w.group, kind: provider.KindUnknown})
	if got := b.parts("w"); got != reduced {
		t.Errorf("%d parts after an unknown outcome, want %d", got, reduced)
	}
	// A read that shows the old version does not prove that the write has failed.
	b.update(rowRead{group: w.group, row: provider.VersionedRow{
		RowKey: w.group.key(), Version: w.conditions[0].Version, Value: encodeRow(map[string]*allocation{"w": {shares: []share{{"own", "own#1", held, 0}}}}),
	}})
	if got := b.parts("w"); got != reduced {
		t.Errorf("%d parts after a read of the old version, want %d", got, reduced)
	}
	// The next write excludes the earlier one.
	b.advance(time.Second)
	second := b.write(provider.KindNone)
	if diff := cmp.Diff(w.conditions, second.conditions); diff != "" {
		t.Errorf("conditions of the write that resolves the outcome (-want +got):\n%s", diff)
	}
}

// Guards against fractions of another daemon that are freed while it may still use them.
func TestFreedShares(t *testing.T) {
	group := groupOf("w")
	row := encodeRow(map[string]*allocation{"w": {shares: []share{{"other", "other#1", wholeQuota, 0}}}})
	tests := []struct {
		name string
		// rows are the reads of the other's row, one a second; the last one stays.
		rows      []provider.VersionedRow
		after     time.Duration
		wantFreed bool
	}{
		{"renewed", []provider.VersionedRow{holderRow(5, "other#1"), holderRow(6, "other#1")}, freeAfter - 2*time.Second, false},
		{"not renewed in time", []provider.VersionedRow{holderRow(5, "other#1")}, freeAfter + 3*time.Second, true},
		{"not renewed for almost the time", []provider.VersionedRow{holderRow(5, "other#1")}, freeAfter - 3*time.Second, false},
		{"another process runs on the host", []provider.VersionedRow{holderRow(5, "other#2")}, 0, true},
		{"row removed a moment ago", []provider.VersionedRow{{RowKey: holderKey("other")}}, time.Second, false},
		{"unreadable row", []provider.VersionedRow{{RowKey: holderKey("other"), Version: 5, Value: []byte("{")}}, freeAfter * 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, testQuota)
			b.renew(provider.KindNone)
			w, ok := next[writeRow](b)
			for !ok {
				b.advance(10 * time.Millisecond)
				w, ok = next[writeRow](b)
			}
			// The conflict tells the row.
			b.update(rowWritten{group: w.group, kind: provider.KindConflict, conflict: []provider.VersionedRow{{RowKey: group.key(), Version: 50, Value: row}}})
			advance := func() {
				b.advance(time.Second)
				if _, ok := next[readRow](b); ok {
					b.update(rowRead{group: group, row: provider.VersionedRow{RowKey: group.key(), Version: 50, Value: row}})
				}
			}
			for _, r := range test.rows {
				rows := []provider.VersionedRow{}
				if r.Version != provider.VersionAbsent {
					rows = append(rows, r)
				}
				b.update(holdersRead{rows: rows})
				advance()
			}
			for passed := time.Duration(0); passed < test.after; passed += time.Second {
				advance()
			}
			b.ask("w", "")
			freed := false
			for w, ok := next[writeRow](b); ok; w, ok = next[writeRow](b) {
				for _, c := range w.changes {
					freed = freed || c.after > 0
				}
				if c := w.conditions; freed && (len(c) != 2 || c[1].RowKey != holderKey("other") || c[1].Version != test.rows[len(test.rows)-1].Version) {
					t.Errorf("conditions %+v do not cover the other's row", c)
				}
			}
			if freed != test.wantFreed {
				t.Errorf("fraction of the other daemon freed: %v, want %v", freed, test.wantFreed)
			}
		})
	}
}

func holderRow(version int64, incarnation string) provider.VersionedRow {
	return provider.VersionedRow{RowKey: holderKey("other"), Version: version, Value: []byte(`{"incarnation":"` + incarnation + `","renewals":1}`)}
}

// Guards against a process that frees the fractions of a later one on its host.
func TestFreedSharesOfOwnHost(t *testing.T) {
	b := newBench(t, testQuota)
	b.renew(provider.KindNone)
	w, ok := next[writeRow](b)
	for !ok {
		b.advance(10 * time.Millisecond)
		w, ok = next[writeRow](b)
	}
	row := encodeRow(map[string]*allocation{"w": {shares: []share{{"own", "own#0", wholeQuota, 0}}}})
	b.update(rowWritten{group: w.group, kind: provider.KindConflict, conflict: []provider.VersionedRow{{RowKey: w.group.key(), Version: 50, Value: row}}})
	b.ask("w", "")
	w, ok = next[writeRow](b)
	if !ok || w.changes[0].after == 0 {
		t.Fatalf("the fraction of the earlier process is not taken: %+v", w)
	}
	want := []provider.RowCondition{{RowKey: w.group.key(), Version: 50}, {RowKey: holderKey("own"), Version: b.holder.lease.version}}
	if diff := cmp.Diff(want, w.conditions); diff != "" {
		t.Errorf("conditions (-want +got):\n%s", diff)
	}
}

// Guards against fractions that follow demand in a way that leaves a holder without its part.
func TestFairParts(t *testing.T) {
	tests := []struct {
		name   string
		need   int
		others []int
		want   int
	}{
		{"alone", 400_000, nil, 500_000},
		{"headroom for all", 200_000, []int{200_000, 300_000}, 250_000},
		{"almost all used", 450_000, []int{500_000}, 473_684},
		{"more than all, small demand", 100_000, []int{2_000_000, 3_000_000}, 100_000},
		{"more than all, large demand", 2_000_000, []int{100_000, 3_000_000}, 450_000},
		{"no demand", 0, []int{500_000}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, fairParts(test.need, test.others)); diff != "" {
				t.Errorf("parts (-want +got):\n%s", diff)
			}
		})
	}
}
