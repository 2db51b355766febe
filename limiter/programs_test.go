package limiter

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a reservation for programs that rests on a constant, or that goes on after they have ended.
func TestReserved(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var p programs
	// Earlier programs make five calls, one each 0.5 s.
	for i := range minLengths {
		for call := range 5 {
			p.record(start.Add(time.Duration(call)*500*time.Millisecond), fmt.Sprint("old-", i))
		}
	}
	now := start.Add(20 * time.Second)
	p.record(now, "a")
	tests := []struct {
		name  string
		calls int
		after time.Duration
		want  float64
	}{
		{"first call", 0, 0, 2},
		{"one call left", 3, 0, 1},
		{"at its end", 1, 0, 0},
		{"ended", 0, 5 * time.Second, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for range test.calls {
				now = now.Add(500 * time.Millisecond)
				p.record(now, "a")
			}
			if got := p.reserved(now.Add(test.after)); got < test.want-0.2 || got > test.want+0.2 {
				t.Errorf("%v calls reserved, want %v", got, test.want)
			}
		})
	}
	if p.known("b") || !p.known("a") {
		t.Error("the programs that have begun are not told from others")
	}
}

// Guards against new programs that take the tokens of those that have begun, and against a rejection of new
// programs while the quota suffices.
func TestNewProgramsAreRejectedFirst(t *testing.T) {
	tests := []struct {
		name string
		// demand is the demand as a part of the quota, running the number of programs in progress.
		demand     float64
		running    int
		program    string
		wantReason string
	}{
		{"new program, quota used up", 1.5, 8, "new", ReasonProgram},
		{"program in progress", 1.5, 8, "running-0", ""},
		{"call without a program", 1.5, 8, "", ""},
		{"few programs in progress", 1.5, 1, "new", ""},
		{"quota suffices", 0.5, 8, "new", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, testQuota)
			b.takeWhole("w")
			h := b.holder.holdings["w"]
			h.demand = meter{mean: test.demand * testQuota.RatePerSecond, at: b.now, start: b.now.Add(-time.Hour)}
			h.bucket.tokens, h.bucket.at = 1, b.now
			h.programs = programs{byKey: map[uint64]*program{}, interval: 400 * time.Millisecond}
			for range minLengths {
				h.programs.keepLength(5)
			}
			for i := range test.running {
				h.programs.byKey[programKey(fmt.Sprint("running-", i))] = &program{calls: 2, lastCall: b.now}
			}
			if diff := cmp.Diff(test.wantReason, b.ask("w", test.program).reason); diff != "" {
				t.Errorf("reason (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a daemon that reserves nothing until programs have ended: after a start, or for a workspace
// that begins to exceed its quota, most rejections met programs in their middle.
func TestReservedBeforeProgramsEnd(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var p programs
	for call := range 4 {
		for i := range 10 {
			p.record(now.Add(time.Duration(call)*250*time.Millisecond), fmt.Sprint("p-", i))
		}
	}
	// Four calls a second are expected of each.
	if got := p.reserved(now.Add(750 * time.Millisecond)); got < 35 || got > 45 {
		t.Errorf("%v calls reserved for ten programs in progress, want 40", got)
	}
}

// Guards against IDs of programs that take the memory of a small host: each workspace remembers maxPrograms.
func TestMemoryOfProgramIDs(t *testing.T) {
	const idBytes, maxBytes = 14_000, 2 << 20
	heap := func() int {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int(stats.HeapAlloc)
	}
	var p programs
	before := heap()
	for i := range maxPrograms {
		p.record(time.Unix(1_000_000, 0), fmt.Sprint(i, strings.Repeat("n", idBytes)))
	}
	if took := heap() - before; took > maxBytes {
		t.Errorf("%d programs take %d bytes, want at most %d", maxPrograms, took, maxBytes)
	}
	if !p.known(fmt.Sprint(maxPrograms-1, strings.Repeat("n", idBytes))) {
		t.Error("the last program is not known")
	}
}
