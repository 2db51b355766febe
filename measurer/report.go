package measurer

import (
	"context"
	"fmt"
	"runtime"
	"time"
)

// Report holds all results of one run of command capacity.
type Report struct {
	Go          string              `json:"go"`
	Processors  int                 `json:"processors"`
	DurationSec float64             `json:"seconds"`
	Propagation []PropagationSample `json:"news"`
	Control     []ControlSample     `json:"control"`
	Targets     []ControlSample     `json:"targets"`
	Owners      []OwnerSample       `json:"owners"`
	Shards      []OwnerSample       `json:"shards"`
	Decisions   []DecisionSample    `json:"decisions"`
	Commits     []CommitSample      `json:"commits"`
	Leases      []LeaseSample       `json:"leases"`
	HostLists   []HostListSample    `json:"lists"`
	CallPaths   []CallPathSample    `json:"flow"`
}

// The size of deployment that the system is designed for.
const (
	designHosts    = 350
	designTargets  = 5_600
	designShards   = 4_100
	designPrograms = 220_000
	designTurns    = 72
	designCalls    = 8_200.0
	designTokens   = 2.2e6
)

// Measure runs all measurements and calls progress with the name of each before it
// starts. It stops at the first one that fails.
func Measure(ctx context.Context, progress func(string)) (*Report, error) {
	started := time.Now()
	r := &Report{Go: runtime.Version(), Processors: runtime.NumCPU()}
	calls := designCalls / designHosts
	steps := []struct {
		name string
		run  func() error
	}{
		{"programs", func() (err error) {
			r.Owners, err = MeasureOwners([]int{100, 300, designPrograms/designHosts + 1}, designTurns, 12)
			return err
		}},
		{"shards", func() (err error) {
			for _, shards := range []int{4, 12, 48} {
				samples, err := MeasureOwners([]int{600}, 12, shards)
				if err != nil {
					return err
				}
				r.Shards = append(r.Shards, samples...)
			}
			return nil
		}},
		{"scheduling decisions", func() error {
			r.Decisions = MeasureDecisions([]int{64, 640, designTargets}, 20_000)
			return nil
		}},
		{"group commit", func() (err error) {
			r.Commits, err = MeasureCommits([]int{9, 50, 150, designHosts}, []float64{0, 1, calls})
			return err
		}},
		{"host lists", func() (err error) {
			r.HostLists, err = MeasureHostLists([]int{9, 50, 150, designHosts})
			return err
		}},
		{"news", func() (err error) {
			r.Propagation, err = MeasurePropagation(ctx, 9)
			return err
		}},
		{"control traffic over daemons", func() (err error) {
			if r.Control, err = MeasureControlByHosts(ctx, []int{9, 50, 150}, 10500*time.Millisecond, 3*time.Second); err != nil {
				return err
			}
			// 350 daemons that start at once on one machine miss heartbeats at first.
			large, err := MeasureControlByHosts(ctx, []int{designHosts}, 30*time.Second, 5*time.Second)
			r.Control = append(r.Control, large...)
			return err
		}},
		{"control traffic over targets", func() (err error) {
			r.Targets, err = MeasureControlByTargets(ctx, 25, []int{400, 1_600, designTargets}, 10500*time.Millisecond, 3*time.Second)
			return err
		}},
		{"shard ownership", func() error {
			for _, size := range []struct{ hosts, shards, lost int }{{10, 32, 2}, {50, 100, 10}, {150, 350, 30}, {designHosts, designShards / 5, 70}} {
				r.Leases = append(r.Leases, MeasureLeases(size.hosts, size.shards, size.lost))
			}
			return nil
		}},
		{"calls through one daemon", func() (err error) {
			r.CallPaths, err = MeasureCallPaths(ctx, []int{1, 32, 128}, 2*time.Second)
			return err
		}},
	}
	for _, step := range steps {
		progress(step.name)
		if err := step.run(); err != nil {
			return nil, fmt.Errorf("%s: %w", step.name, err)
		}
	}
	r.DurationSec = time.Since(started).Seconds()
	return r, nil
}

// last returns the last sample, which is that of the largest size.
func last[T any](samples []T) T { return samples[len(samples)-1] }
