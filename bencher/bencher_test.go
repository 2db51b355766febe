package bencher_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/bencher"
	"github.com/dogwoodweir/dogwoodweir/generator"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

func scenario(build scheduler.PolicyBuilder, rate float64, fault bencher.Fault) bencher.Scenario {
	return bencher.Scenario{
		Deployment: generator.Lichtbeeld(), Shape: generator.DefaultShape(), Policy: build, Rate: rate, Seed: 3,
		Fault: fault, Timeline: bencher.QuickTimeline(), MaxConcurrency: 6, MaxQueue: 64,
	}
}

// Guards against figures that cannot be reproduced: two runs of the same scenario give
// the same result, with every fault.
func TestRunsAreReproducible(t *testing.T) {
	for _, fault := range bencher.Faults() {
		first := bencher.Run(scenario(scheduler.Standard(), 1.5, fault))
		if diff := cmp.Diff(first, bencher.Run(scenario(scheduler.Standard(), 1.5, fault))); diff != "" {
			t.Errorf("%s (-first +second):\n%s", fault, diff)
		}
	}
}

// Guards against fakes that lose calls: at a light load every program ends, with every
// policy and fault, and only DomainCut can leave an outcome unknown.
func TestEveryProgramEnds(t *testing.T) {
	for _, policy := range bencher.Policies() {
		for _, fault := range bencher.Faults() {
			r := bencher.Run(scenario(policy.Build, 0.3, fault))
			if r.Arrived == 0 || r.Unfinished != 0 {
				t.Errorf("%s, %s: %d of %d programs did not end", policy.Name, fault, r.Unfinished, r.Arrived)
			}
			if fault != bencher.DomainCut && r.Completed != r.Arrived {
				t.Errorf("%s, %s: %d of %d programs completed", policy.Name, fault, r.Completed, r.Arrived)
			}
		}
	}
}

// Guards against a fake engine that does less work than its model requires: no program
// can be faster than the decoding of its tokens and its pauses.
func TestLatencyHasLowerBound(t *testing.T) {
	s := scenario(scheduler.Standard(), 0.5, bencher.Healthy)
	source := generator.New(s.Deployment, s.Shape, s.Rate, s.Seed)
	var bounds []float64
	for p := source.Next(); p.Arrival < s.Timeline.MeasureUntil; p = source.Next() {
		if p.Arrival < s.Timeline.MeasureFrom {
			continue
		}
		bound := 0.0
		for i, turn := range p.Turns {
			bound += 0.016 * float64(turn.CompletionTokens)
			if i < len(p.Turns)-1 {
				bound += (turn.Pause + turn.PlainDuration).Seconds()
			}
		}
		bounds = append(bounds, bound)
	}
	r := bencher.Run(s)
	if r.Completed != len(bounds) {
		t.Fatalf("%d programs completed, the generator made %d", r.Completed, len(bounds))
	}
	slices.Sort(bounds)
	if median := bounds[len(bounds)/2]; r.MedianLatency < median {
		t.Errorf("median latency %.1f s is below the lower bound of %.1f s", r.MedianLatency, median)
	}
	if p95 := bounds[len(bounds)*95/100]; r.P95Latency < p95 {
		t.Errorf("p95 latency %.1f s is below the lower bound of %.1f s", r.P95Latency, p95)
	}
}

// Guards against a regression of the standard policy at 0.8 of the capacity: p95 latency
// at most 0.5 and wasted tokens per call at most 0.3 of the baseline's, as the design
// requires.
func TestPolicyMeetsItsTargets(t *testing.T) {
	run := func(build scheduler.PolicyBuilder) bencher.Result {
		s := scenario(build, 1.73, bencher.Healthy)
		s.Timeline = bencher.Timeline{MeasureFrom: 150 * time.Second, MeasureUntil: 400 * time.Second, ArriveUntil: 600 * time.Second, End: time.Hour}
		return bencher.Run(s)
	}
	standard, baseline := run(scheduler.Standard()), run(scheduler.LeastLoaded())
	if standard.P95Latency > 0.5*baseline.P95Latency || standard.WastedTokensPerCall > 0.3*baseline.WastedTokensPerCall {
		t.Errorf("p95 %.1f s and %.0f wasted tokens a call against %.1f s and %.0f of least loaded",
			standard.P95Latency, standard.WastedTokensPerCall, baseline.P95Latency, baseline.WastedTokensPerCall)
	}
}
