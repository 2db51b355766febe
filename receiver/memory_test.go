package receiver

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against bodies that exceed the pool together, and against memory that stays taken.
func TestMemoryShare(t *testing.T) {
	const capacity = 100 << 10
	tests := []struct {
		name string
		// sizes are requested one after the other, each by a call of its own.
		sizes []int
		want  []bool
	}{
		{"small sizes need no share", []int{smallBytes, smallBytes, smallBytes, smallBytes, smallBytes}, []bool{true, true, true, true, true}},
		{"as many as the pool holds", []int{50 << 10, 50 << 10, 50 << 10}, []bool{true, true, false}},
		{"a size above the capacity takes all", []int{1 << 20, smallBytes + 1}, []bool{true, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := newMemoryPool(capacity)
			shares := make([]memoryShare, len(test.sizes))
			var got []bool
			for i, size := range test.sizes {
				shares[i].pool = pool
				got = append(got, shares[i].grow(size))
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("grow (-want +got):\n%s", diff)
			}
			for i := range shares {
				shares[i].release()
			}
			if all := (memoryShare{pool: pool}); !all.grow(capacity) {
				t.Error("memory is still taken after the release of all shares")
			}
		})
	}
}

// Guards against a body that is refused although another one is about to end, and against one that
// waits without a bound.
func TestMemoryShareWaits(t *testing.T) {
	pool := newMemoryPool(100 << 10)
	first, second := memoryShare{pool: pool}, memoryShare{pool: pool}
	if !first.grow(100 << 10) {
		t.Fatal("an empty pool has no room")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := second.await(ctx, 64<<10); err == nil {
		t.Error("a full pool has room")
	}
	time.AfterFunc(20*time.Millisecond, first.release)
	ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := second.await(ctx, 64<<10); err != nil {
		t.Errorf("no room after the release: %v", err)
	}
}
