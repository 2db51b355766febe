// Package tallier collects what a run of faults did and which promises it saw broken.
//
// # Usage
//
//	tally := tallier.New(seed)
//	tally.Count("calls", 1)
//	tally.Check("atMostOnce", runs <= 1, "%s ran %d times", id, runs)
//	fmt.Print(tally.Snapshot())
package tallier

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxViolations bounds the violations that a report lists.
const maxViolations = 50

// Report says what a run did and found.
type Report struct {
	Seed     uint64
	Duration time.Duration
	// Faults counts the faults of each kind, Counts programs, calls and checks.
	Faults     map[string]int
	Counts     map[string]int
	Violations []string
}

// String formats the report with one figure a line.
func (r *Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, %s\n", r.Seed, r.Duration.Round(time.Millisecond))
	for _, kind := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(&text, "  %-28s %d\n", kind, r.Counts[kind])
	}
	for _, kind := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(&text, "  fault %-22s %d\n", kind, r.Faults[kind])
	}
	fmt.Fprintf(&text, "violations: %d\n", len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Fprintf(&text, "  %s\n", violation)
	}
	return text.String()
}

// Tally collects a report from many goroutines.
type Tally struct {
	mu      sync.Mutex
	started time.Time
	report  Report
}

// New returns an empty tally of a run.
func New(seed uint64) *Tally {
	return &Tally{started: time.Now(), report: Report{
		Seed: seed, Faults: map[string]int{}, Counts: map[string]int{},
	}}
}

// Count adds to a figure of the report.
func (t *Tally) Count(kind string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Counts[kind] += n
}

// CountFault counts a fault of the kind.
func (t *Tally) CountFault(kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Faults[kind]++
}

// Check counts a check and reports a violation when it does not hold.
func (t *Tally) Check(invariant string, holds bool, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Counts["checks "+invariant]++
	if holds || len(t.report.Violations) >= maxViolations {
		return
	}
	at := time.Since(t.started).Round(time.Millisecond)
	t.report.Violations = append(t.report.Violations, fmt.Sprintf("%s at %s: %s", invariant, at, fmt.Sprintf(format, args...)))
}

// Snapshot returns a copy of the report so far.
func (t *Tally) Snapshot() *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.Duration = time.Since(t.started)
	r.Faults, r.Counts = maps.Clone(r.Faults), maps.Clone(r.Counts)
	r.Violations = slices.Clone(r.Violations)
	return &r
}
