package recorder

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// slowStore returns ranges in parts, with a pause before each, or none at all if it is silent.
type slowStore struct {
	provider.RowStore
	reads  atomic.Int64
	silent bool
}

func (s *slowStore) Range(ctx context.Context, _ provider.RowRange) (provider.RowPage, error) {
	s.reads.Add(1)
	for range 10 {
		select {
		case <-ctx.Done():
			return provider.RowPage{}, provider.NewError("store.range", provider.KindUnknown, context.Cause(ctx))
		case <-time.After(50 * time.Millisecond):
		}
		if !s.silent {
			provider.ReportProgress(ctx, 1)
		}
	}
	return provider.RowPage{}, nil
}

// Guards against reads that are repeated while their response arrives over a full link, which fills
// the link further, and against waiting for a response of which nothing arrives.
func TestReadIsNotRepeatedWhileItArrives(t *testing.T) {
	tests := []struct {
		name    string
		silent  bool
		fails   bool
		minimum int64
		maximum int64
	}{
		{"arriving", false, false, 1, 1},
		{"silent", true, true, 2, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &slowStore{RowStore: emulator.NewRowStore(), silent: test.silent}
				r := New(store, nil, nil, Options{
					Batcher: batcher.DefaultOptions(), Accountant: accountant.DefaultOptions(), Host: "a", Incarnation: "a", CacheBytes: 1, MaxChainBytes: 1 << 20, WorkBytes: 16 << 20, LendBytes: 16 << 20, RowBytes: 1,
				}, zap.NewNop())
				ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
				defer cancel()
				_, err := r.readRange(ctx, provider.RowRange{Table: "turns", Partition: "t1"})
				if reads := store.reads.Load(); (err != nil) != test.fails || reads < test.minimum || reads > test.maximum {
					t.Errorf("%d reads, error %v; want %d to %d reads, error: %t", reads, err, test.minimum, test.maximum, test.fails)
				}
			})
		})
	}
}
