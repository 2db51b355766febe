package retainer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/retainer"
)

// Guards against holds of caches whose program will not be back in time, against
// drops of those that will, and against exports that cost more than recomputing.
func TestExpectedPause(t *testing.T) {
	pauses := retainer.NewPauseStats()
	for i := range 100 {
		pauses.Observe("lookup", 300*time.Millisecond+time.Duration(i)*time.Millisecond)
		pauses.Observe("mail", 8*time.Second+time.Duration(i)*200*time.Millisecond)
		pauses.Observe("person", 5*time.Minute+time.Duration(i)*time.Second)
	}
	policy := retainer.NewPausePolicy(pauses, retainer.DefaultLimits())
	pause := func(tool string, residence time.Duration, export float64) retainer.Pause {
		return retainer.Pause{
			Tool: tool, Tokens: 16_000, EvictionAge: residence, PrefillPerSec: 8_000, ExportSeconds: export,
		}
	}
	for _, c := range []struct {
		name  string
		pause retainer.Pause
		want  retainer.Action
	}{
		{"returns before eviction", pause("lookup", 30*time.Second, 0), retainer.Leave},
		{"returns at about the time of eviction", pause("mail", 30*time.Second, 0), retainer.Keep},
		{"returns long after eviction", pause("person", 30*time.Second, 0), retainer.Drop},
		{"export is cheaper than recomputing", pause("person", 30*time.Second, 0.5), retainer.Export},
		{"export is dearer than recomputing", pause("person", 30*time.Second, 5), retainer.Drop},
		{"nothing is evicted", pause("mail", 0, 0), retainer.Leave},
	} {
		if got := policy.Decide(time.Time{}, c.pause).Action; got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against memory that stays held after a program's end, and against the
// release of a live program's memory.
func TestOrphans(t *testing.T) {
	live := map[string]bool{"b": true}
	got := retainer.Orphans([]string{"a", "b", "c"}, func(p string) bool { return live[p] })
	if diff := cmp.Diff([]string{"a", "c"}, got); diff != "" {
		t.Errorf("orphans (-want +got):\n%s", diff)
	}
}
