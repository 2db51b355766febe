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

func cell(build scheduler.PolicyBuilder, rate float64, fault bencher.Fault) bencher.Scenario {
	return bencher.Scenario{
		Deployment: generator.Lichtbeeld(), Shape: generator.DefaultShape(), Policy: build, Rate: rate, Seed: 3,
		Fault: fault, Timeline: bencher.QuickTimeline(), MaxConcurrency: 6, MaxQueue: 64,
	}
}

// Guards against figures that cannot be reproduced: an equal cell gives an equal
// result, for every fault.
func TestRunsAreReproducible(t *testing.T) {
	for _, fault := range bencher.Faults() {
		first := bencher.Run(cell(scheduler.Standard(), 1.5, fault))
		if diff := cmp.Diff(first, bencher.Run(cell(scheduler.Standard(), 1.5, fault))); diff != "" {
			t.Errorf("%s (-first +second):\n%s", fault, diff)
		}
	}
}

// Guards against calls that the fakes lose: at a light load every program ends,
// with every policy and fault, and only a cut can leave an outcome unknown.
func TestEveryProgramEnds(t *testing.T) {
	for _, policy := range bencher.Policies() {
		for _, fault := range bencher.Faults() {
			r := bencher.Run(cell(policy.Build, 0.3, fault))
			if r.Arrived == 0 || r.Unfinished != 0 {
				t.Errorf("%s, %s: %d of %d programs did not end", policy.Name, fault, r.Unfinished, r.Arrived)
			}
			if fault != bencher.DomainCut && r.Completed != r.Arrived {
				t.Errorf("%s, %s: %d of %d programs completed", policy.Name, fault, r.Completed, r.Arrived)
			}
		}
	}
}

// Guards against an engine fake that does less work than its model says: no
// program can be faster than its tokens and its pauses.
func TestLatencyHasAFloor(t *testing.T) {
	c := cell(scheduler.Standard(), 0.5, bencher.Healthy)
	source := generator.New(c.Deployment, c.Shape, c.Rate, c.Seed)
	var floors []float64
	for p := source.Next(); p.Arrival < c.Timeline.MeasureUntil; p = source.Next() {
		if p.Arrival < c.Timeline.MeasureFrom {
			continue
		}
		floor := 0.0
		for i, turn := range p.Turns {
			floor += 0.016 * float64(turn.CompletionTokens)
			if i < len(p.Turns)-1 {
				floor += (turn.Pause + turn.PlainDuration).Seconds()
			}
		}
		floors = append(floors, floor)
	}
	r := bencher.Run(c)
	if r.Completed != len(floors) {
		t.Fatalf("%d programs completed, the source has %d", r.Completed, len(floors))
	}
	slices.Sort(floors)
	if median := floors[len(floors)/2]; r.MedianLatency < median {
		t.Errorf("median latency %.1f s is below the floor's %.1f s", r.MedianLatency, median)
	}
	if p95 := floors[len(floors)*95/100]; r.P95Latency < p95 {
		t.Errorf("p95 latency %.1f s is below the floor's %.1f s", r.P95Latency, p95)
	}
}

// Guards against a regression of the policy at 0.8 of the capacity: p95 latency at
// most 0.5 and wasted cache at most 0.3 of the baseline's, as the design requires.
func TestPolicyMeetsItsTargets(t *testing.T) {
	run := func(build scheduler.PolicyBuilder) bencher.Result {
		c := cell(build, 1.73, bencher.Healthy)
		c.Timeline = bencher.Timeline{MeasureFrom: 150 * time.Second, MeasureUntil: 400 * time.Second, ArriveUntil: 600 * time.Second, End: time.Hour}
		return bencher.Run(c)
	}
	own, other := run(scheduler.Standard()), run(scheduler.LeastLoaded())
	if own.P95Latency > 0.5*other.P95Latency || own.WastedTokensPerCall > 0.3*other.WastedTokensPerCall {
		t.Errorf("p95 %.1f s and %.0f wasted tokens a call against %.1f s and %.0f of least loaded",
			own.P95Latency, own.WastedTokensPerCall, other.P95Latency, other.WastedTokensPerCall)
	}
}
