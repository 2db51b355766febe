package limiter

import (
	"fmt"
	"testing"
	"time"
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
		name       string
		rate       float64
		wantReason string
	}{
		{"quota used up", 4, ReasonProgram},
		{"quota suffices", 40, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, Quota{Workspace: "w", RatePerSecond: test.rate, Burst: 1})
			b.takeWhole("w")
			// Programs of five calls, two at a time.
			for round := range 12 {
				for range 5 {
					for i := range 2 {
						b.ask("w", fmt.Sprint("old-", round, "-", i))
					}
					b.advance(400 * time.Millisecond)
				}
			}
			for range 3 {
				for i := range 4 {
					b.ask("w", fmt.Sprint("running-", i))
				}
				b.advance(300 * time.Millisecond)
			}
			got := b.ask("w", "new")
			if (got.reason == ReasonProgram) != (test.wantReason == ReasonProgram) {
				t.Errorf("new program: %+v, want reason %q", got, test.wantReason)
			}
		})
	}
}
