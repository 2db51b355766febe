package retainer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/retainer"
)

// Guards against holding caches whose program does not return in time, dropping those whose
// program does, and exports that cost more than recomputing.
func TestPausePolicy(t *testing.T) {
	pauses := retainer.NewPauseStats()
	for i := range 100 {
		pauses.Observe("lookup", 300*time.Millisecond+time.Duration(i)*time.Millisecond)
		pauses.Observe("mail", 8*time.Second+time.Duration(i)*200*time.Millisecond)
		pauses.Observe("person", 5*time.Minute+time.Duration(i)*time.Second)
	}
	policy := retainer.NewPausePolicy(pauses, retainer.DefaultLimits())
	pause := func(tool string, evictionAge time.Duration, exportSeconds float64) retainer.Pause {
		return retainer.Pause{
			Tool: tool, Tokens: 16_000, EvictionAge: evictionAge, PrefillPerSec: 8_000, ExportSeconds: exportSeconds,
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
		{"export costs less than recomputing", pause("person", 30*time.Second, 0.5), retainer.Export},
		{"export costs more than recomputing", pause("person", 30*time.Second, 5), retainer.Drop},
		{"nothing is evicted", pause("mail", 0, 0), retainer.Leave},
	} {
		if got := policy.Decide(time.Time{}, c.pause).Action; got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against memory that stays held after the end of a program, and against releasing
// the memory of a live program.
func TestOrphans(t *testing.T) {
	live := map[string]bool{"b": true}
	got := retainer.Orphans([]string{"a", "b", "c"}, func(p string) bool { return live[p] })
	if diff := cmp.Diff([]string{"a", "c"}, got); diff != "" {
		t.Errorf("orphans (-want +got):\n%s", diff)
	}
}
