package assembler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/relayer"
)

// movingClock is the present time plus an offset that a test sets.
type movingClock struct{ offset atomic.Int64 }

func (c *movingClock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// staleStore holds back changes while it is set, as a paused process does that has not read them.
type staleStore struct {
	*emulator.RowStore
	stale atomic.Bool
	// unreachable leaves all requests without a response.
	unreachable atomic.Bool
}

func (s *staleStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (provider.RowPage, error) {
	for s.unreachable.Load() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if s.stale.Load() {
		// The response was sent before the change; it is read after the pause.
		<-ctx.Done()
		s.stale.Store(false)
		return provider.RowPage{}, ctx.Err()
	}
	return s.RowStore.Feed(ctx, table, after, wait)
}

// TestCallAfterPauseUsesCurrentTargets guards against a process that stood still for some seconds and
// then sends a call to a target that left meanwhile. The call waits until the store has confirmed the
// targets, but not for a store that does not respond.
func TestCallAfterPauseUsesCurrentTargets(t *testing.T) {
	tests := []struct {
		name        string
		pause       time.Duration
		unreachable bool
		wantTarget  bool
	}{
		{"paused", 5 * time.Second, false, false},
		{"paused, store unreachable", 5 * time.Second, true, true},
		{"active", 0, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			store := &staleStore{RowStore: emulator.NewRowStore()}
			key := provider.RowKey{Table: "targets", Key: "a"}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if _, err := store.Apply(ctx, provider.RowTransaction{Writes: []provider.RowWrite{{RowKey: key, Value: []byte(`{"Service":"s"}`)}}}); err != nil {
				t.Fatal(err)
			}
			var published atomic.Pointer[map[string]follower.Target]
			var f *feed
			clock := &movingClock{}
			guard := newPauseGuard(clock, func() []*feed { return []*feed{f} }, zap.NewNop())
			runner := newTestRunner(&published, func() relayer.AccessMode { return relayer.Direct })
			f = runner.targetFeed(store)
			store.stale.Store(true)
			go runner.run(ctx)
			go f.run(ctx)
			listed := func() bool {
				targets := published.Load()
				return targets != nil && len(*targets) > 0
			}
			await(t, "target", listed)
			await(t, "request for changes", func() bool { return f.cancelRequest.Load() != nil })
			if _, err := store.Apply(ctx, provider.RowTransaction{Deletes: []provider.RowKey{key}}); err != nil {
				t.Fatal(err)
			}
			store.unreachable.Store(test.unreachable)
			clock.offset.Store(int64(test.pause))
			began := time.Now()
			guard.await(ctx)
			if got := listed(); got != test.wantTarget {
				t.Errorf("target in use after the pause: %v, want %v", got, test.wantTarget)
			}
			if took := time.Since(began); took > 2*refreshTimeout {
				t.Errorf("the call waited for %v, want at most %v", took, refreshTimeout)
			}
		})
	}
}
