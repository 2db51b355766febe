package assembler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/relayer"
)

// Guards against a loop that no longer runs after a panic, and against one that is restarted without
// end.
func TestSupervisor(t *testing.T) {
	tests := []struct {
		name   string
		panics int
		// pause is the time between two panics.
		pause                  time.Duration
		runs, rebuilds, failed int
	}{
		{"no panic", 0, 0, 1, 0, 0},
		{"one panic", 1, time.Second, 2, 1, 0},
		{"rare panics", 2 * maxPanics, panicWindow, 2*maxPanics + 1, 2 * maxPanics, 0},
		{"frequent panics", 2 * maxPanics, time.Second, maxPanics, maxPanics - 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			now := time.Unix(1, 0)
			counted, failed, runs, rebuilds := 0, 0, 0, 0
			s := &supervisor{
				log: zap.NewNop(), count: func(string) { counted++ }, fail: func(string) { failed++ }, now: func() time.Time { return now },
			}
			s.run(t.Context(), "loop", func(context.Context) {
				now = now.Add(test.pause)
				if runs++; runs <= test.panics {
					panic("malformed row")
				}
			}, func() { rebuilds++ })
			want := []int{test.runs, test.rebuilds, test.failed, min(test.runs, test.panics)}
			if diff := cmp.Diff(want, []int{runs, rebuilds, failed, counted}); diff != "" {
				t.Errorf("runs, rebuilds, failures, counted panics (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a follower that knows fewer targets after a panic than the store lists, and against
// one that keeps a state that a panic may have left half changed.
func TestFollowerReadsTablesAnewAfterPanic(t *testing.T) {
	rows := emulator.NewRowStore()
	apply := func(id string) {
		t.Helper()
		write := provider.RowWrite{RowKey: provider.RowKey{Table: "targets", Key: id}, Value: []byte(`{"Service":"s"}`)}
		if _, err := rows.Apply(t.Context(), provider.RowTransaction{Writes: []provider.RowWrite{write}}); err != nil {
			t.Fatal(err)
		}
	}
	var published atomic.Pointer[map[string]follower.Target]
	runner := newTestRunner(&published, func() relayer.AccessMode { return relayer.Direct })
	var poisoned atomic.Bool
	runner.dispatch = func(m dispatcher.Message) {
		changed, ok := m.(dispatcher.TargetsChanged)
		if _, listed := changed.Targets["poison"]; ok && listed && poisoned.CompareAndSwap(false, true) {
			panic("malformed target")
		}
	}
	f := runner.targetFeed(rows)
	counted := atomic.Int64{}
	s := &supervisor{
		log: zap.NewNop(), count: func(string) { counted.Add(1) }, now: time.Now,
		fail: func(string) { t.Error("the process would have ended") },
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.run(ctx, "follower", runner.run, func() { runner.rebuild(f) })
	go f.run(ctx)
	want := map[string]bool{}
	for _, id := range []string{"a", "poison", "b"} {
		apply(id)
		want[id] = true
		time.Sleep(50 * time.Millisecond) // for the change to arrive
	}
	var got map[string]bool
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		got = map[string]bool{}
		if targets := published.Load(); targets != nil {
			for id := range *targets {
				got[id] = true
			}
		}
		if cmp.Equal(want, got) {
			break
		}
	}
	if diff := cmp.Diff(want, got); diff != "" || counted.Load() != 1 {
		t.Errorf("targets after %d panics (-want +got):\n%s", counted.Load(), diff)
	}
}
