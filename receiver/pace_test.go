package receiver

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against bodies that keep a call open, and against ending those of callers inside the platform's limits.
func TestIsTooSlow(t *testing.T) {
	limits := DefaultOptions().Pace
	tests := []struct {
		name string
		pace pace
		want bool
	}{
		{"body that begins", pace{stalled: time.Second, age: time.Second}, false},
		{"pause shorter than the idle timeout", pace{stalled: 14 * time.Second, age: 14 * time.Second, bytes: 1}, false},
		{"largest body at 100 KB a second", pace{age: 42 * time.Second, bytes: 4 << 20}, false},
		{"stalled body", pace{stalled: 16 * time.Second, age: 20 * time.Second, bytes: 4 << 20}, true},
		{"ten bytes a second", pace{stalled: 100 * time.Millisecond, age: 16 * time.Second, bytes: 160}, true},
		{"body without end", pace{age: 61 * time.Second, bytes: 4 << 20}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := limits.isTooSlow(test.pace); got != test.want {
				t.Errorf("isTooSlow is %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against ending the body of an ordinary caller before those that have stalled or trickle.
func TestSlower(t *testing.T) {
	limits := DefaultOptions().Pace
	want := []pace{
		{stalled: 9 * time.Second, age: 10 * time.Second, bytes: 30_000},
		{stalled: 2 * time.Second, age: 30 * time.Second},
		{age: 5 * time.Second, bytes: 50},
		{age: 5 * time.Second, bytes: 500_000},
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, func(a, b pace) int {
		if limits.slower(a, b) {
			return -1
		}
		return 1
	})
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(pace{})); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// Guards against memory that stalled bodies keep from others, against ending bodies that have just begun, and
// against ending all of them after the process stood still.
func TestCallerWaits(t *testing.T) {
	var ended []string
	waits := newCallerWaits(DefaultOptions().Pace)
	add := func(name string, reading bool, age time.Duration) *callerWait {
		w := waits.add(reading, nil, nil, func() { ended = append(ended, name) })
		w.began = time.Now().Add(-age)
		w.waitingSince.Store(0)
		return w
	}
	isBody := func(w *callerWait) bool { return w.reading }
	add("young", true, 100*time.Millisecond)
	add("stalled", true, 3*time.Second)
	add("long stalled", true, 30*time.Second)
	add("reader", false, 60*time.Second)
	served := add("served", true, 30*time.Second)
	served.waitingSince.Store(notWaiting)
	now := time.Now()
	var got []bool
	for range 3 {
		got = append(got, waits.evictSlowest(now, isBody, nil) != nil)
	}
	if diff := cmp.Diff([]bool{true, true, false}, got); diff != "" {
		t.Errorf("evictSlowest (-want +got):\n%s", diff)
	}
	add("slow", true, 20*time.Second)
	waits.closeSlow(now, time.Second)
	waits.closeSlow(now.Add(10*time.Second), time.Second)
	if diff := cmp.Diff([]string{"long stalled", "stalled"}, ended); diff != "" {
		t.Errorf("ended after a pause (-want +got):\n%s", diff)
	}
	waits.closeSlow(now.Add(11*time.Second), time.Second)
	if diff := cmp.Diff([]string{"long stalled", "stalled", "slow"}, ended); diff != "" {
		t.Errorf("ended (-want +got):\n%s", diff)
	}
}

// Guards against small bodies whose sum only the number of connections bounds, and against small memory that a
// call keeps after it took large memory.
func TestSmallMemory(t *testing.T) {
	pool, small := newMemoryPool(100<<10), newMemoryPool(40<<10)
	var reclaimed []poolKind
	first := memoryShare{pool: pool, small: small}
	second := memoryShare{pool: pool, small: small, reclaim: func(kind poolKind, _ int64) { reclaimed = append(reclaimed, kind) }}
	got := []bool{
		first.grow(4 << 10), first.grow(smallBytes), second.grow(smallBytes), first.grow(64 << 10), second.grow(smallBytes),
	}
	if diff := cmp.Diff([]bool{true, true, false, true, true}, got); diff != "" {
		t.Errorf("grow (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]poolKind{smallPool}, reclaimed); diff != "" {
		t.Errorf("reclaimed pools (-want +got):\n%s", diff)
	}
	if kinds := []int32{first.kind.Load(), second.kind.Load()}; !cmp.Equal(kinds, []int32{int32(largePool), int32(smallPool)}) {
		t.Errorf("the shares are in pools of the kinds %v", kinds)
	}
	first.shrink(40 << 10)
	if !second.grow(60 << 10) {
		t.Error("the rest of a share that was reduced is still taken")
	}
	first.release()
	second.release()
	if all := (memoryShare{pool: pool}); !all.grow(100 << 10) {
		t.Error("large memory is still taken after the release of all shares")
	}
	if !small.semaphore.TryAcquire(small.capacity) {
		t.Error("small memory is still taken after the release of all shares")
	}
}

// Guards against memory for large bodies that stays taken because only calls that hold none of it are ended: with
// many stalled small bodies, calls with larger ones were rejected until the large ones ended by themselves.
func TestMemoryIsReclaimedFromItsPool(t *testing.T) {
	r := New(Dependencies{}, nil, DefaultOptions())
	var ended []string
	add := func(name string, size int, reading bool, age time.Duration) {
		share := &memoryShare{pool: r.bodyMemory, small: r.smallBodyMemory}
		if !share.grow(size) {
			t.Fatalf("no memory for %s", name)
		}
		w := r.waits.add(reading, share, &memoryShare{}, func() { ended = append(ended, name) })
		w.began = time.Now().Add(-age)
		w.waitingSince.Store(0)
	}
	add("small", 1000, true, 9*time.Second)
	add("large", 1<<20, true, 3*time.Second)
	add("large whose response is not read", 1<<20, false, 4*time.Second)
	add("large that stalls for a shorter time", 1<<20, true, 2*time.Second)
	// One large body is not enough, two are.
	r.reclaimBodyMemory(largePool, 1<<20+1)
	r.reclaimBodyMemory(smallPool, 1)
	if diff := cmp.Diff([]string{"large whose response is not read", "large", "small"}, ended); diff != "" {
		t.Errorf("ended (-want +got):\n%s", diff)
	}
}
