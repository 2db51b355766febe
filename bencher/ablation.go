package bencher

import (
	"fmt"
	"io"

	"github.com/dogwoodweir/dogwoodweir/router"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

// AblationPolicies returns the standard policy and variants of it that lack one mechanism
// each or add one.
func AblationPolicies() []NamedPolicy {
	mechanisms := []struct {
		name     string
		ablation scheduler.Ablation
	}{
		{"cache estimate", scheduler.Ablation{Routing: router.Options{NoCache: true}}},
		{"burden on others", scheduler.Ablation{Routing: router.Options{NoInterference: true}}},
		{"load correction", scheduler.Ablation{Routing: router.Options{NoCorrection: true}}},
		{"slowness", scheduler.Ablation{Routing: router.Options{NoSlowness: true}}},
		{"link cost", scheduler.Ablation{Routing: router.Options{NoLink: true}}},
		{"order", scheduler.Ablation{NoPrioritization: true}},
		{"release at the end", scheduler.Ablation{NoRelease: true}},
		{"adaptive shedding", scheduler.Ablation{NoShedding: true}},
		{"adaptive concurrency", scheduler.Ablation{NoAdaptiveConcurrency: true}},
		{"circuit breakers", scheduler.Ablation{NoBreakers: true}},
		{"hedging", scheduler.Ablation{NoHedging: true}},
	}
	policies := []NamedPolicy{{Name: StandardPolicyName, Build: scheduler.Standard()}}
	for _, m := range mechanisms {
		policies = append(policies, NamedPolicy{Name: "without " + m.name, Build: scheduler.Ablated(m.name, m.ablation)})
	}
	// Retention is not part of the standard policy, so its variant adds it.
	return append(policies, NamedPolicy{Name: "with retention over pauses", Build: scheduler.Retaining()})
}

// ablationSeeds returns the number of seeds over which an ablation is averaged: two
// without faults and one with a fault, to limit the duration of the benchmark.
func ablationSeeds(fault Fault) uint64 {
	if fault == Healthy {
		return 2
	}
	return 1
}

// ablationCases are the loads and faults with which ablations are compared.
var ablationCases = []struct {
	load  float64
	fault Fault
}{
	{0.95, Healthy}, {1.2, Healthy}, {0.8, SlowRunner}, {0.8, DomainCut}, {0.95, StaleReports},
	{0.8, FailingRunner}, {0.8, SilentRunner}, {0.95, RareReports},
}

// AblationJobs returns the jobs of the ablation table.
func (s *Suite) AblationJobs(capacities []Capacity) []Job {
	var jobs []Job
	for _, d := range s.Deployments {
		rate := BestCapacity(capacities, d.Name).Rate
		for _, c := range ablationCases {
			for _, p := range AblationPolicies() {
				for seed := range ablationSeeds(c.fault) {
					jobs = append(jobs, Job{
						Deployment: d, Policy: p, Load: c.load, Rate: c.load * rate, Fault: c.fault, Seed: seed,
					})
				}
			}
		}
	}
	return jobs
}

// WriteAblations prints the effect of each mechanism: ratios of the figures without it
// to those of the standard policy, over all deployments and seeds. A mechanism is useful
// if its ratios are above 1, or below 1 for goodput.
func WriteAblations(out io.Writer, rows []Row) {
	fmt.Fprint(out, "| mechanism off |")
	for _, c := range ablationCases {
		fmt.Fprintf(out, " %.2f %s: median, p95, wasted, link, goodput |", c.load, c.fault)
	}
	fmt.Fprint(out, "\n|---|")
	for range ablationCases {
		fmt.Fprint(out, "---|")
	}
	fmt.Fprintln(out)
	for _, p := range AblationPolicies() {
		fmt.Fprintf(out, "| %s |", p.Name)
		for _, c := range ablationCases {
			total := func(policy string, value func(Result) float64) float64 {
				sum := 0.0
				for _, r := range rows {
					if r.Policy == policy && r.Load == c.load && r.Fault == c.fault {
						sum += value(r.Result)
					}
				}
				return sum
			}
			relative := func(value func(Result) float64) float64 {
				return total(p.Name, value) / total(StandardPolicyName, value)
			}
			fmt.Fprintf(out, " %.2f, %.2f, %.2f, %.2f, %.3f |", relative(medianLatency), relative(p95Latency), relative(wastedTokensPerCall),
				relative(linkBytesPerCall), relative(func(r Result) float64 { return r.Goodput }))
		}
		fmt.Fprintln(out)
	}
}
