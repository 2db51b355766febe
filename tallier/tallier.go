// Package tallier counts the activity, the injected faults and the invariant violations of a
// fault-injection run.
//
// A Tally is safe for concurrent use.
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

// maxViolations is the number of violations that a report lists; later ones are dropped.
const maxViolations = 50

// Report is the outcome of a fault-injection run.
type Report struct {
	Seed     uint64
	Duration time.Duration
	// Faults holds the number of injected faults by kind.
	Faults map[string]int
	// Counts holds all other figures by name, such as programs, calls and checks.
	Counts map[string]int
	// Violations describes the checks that failed, at most maxViolations of them.
	Violations []string
}

// String formats the report with one figure per line.
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

// Tally collects the report of a run from many goroutines.
type Tally struct {
	mu      sync.Mutex
	started time.Time
	report  Report
}

// New returns an empty tally of the run with the given seed. The run's duration counts from
// this call.
func New(seed uint64) *Tally {
	return &Tally{started: time.Now(), report: Report{
		Seed: seed, Faults: map[string]int{}, Counts: map[string]int{},
	}}
}

// Count adds n to the figure named kind.
func (t *Tally) Count(kind string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Counts[kind] += n
}

// CountFault adds one to the injected faults of a kind.
func (t *Tally) CountFault(kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Faults[kind]++
}

// Check counts a check of an invariant. If the invariant does not hold, Check adds a violation
// with the formatted message to the report.
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

// Snapshot returns a copy of the report as it stands.
func (t *Tally) Snapshot() *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.Duration = time.Since(t.started)
	r.Faults, r.Counts = maps.Clone(r.Faults), maps.Clone(r.Counts)
	r.Violations = slices.Clone(r.Violations)
	return &r
}
