package bencher

import (
	"fmt"

	"github.com/sourcegraph/conc/pool"

	"github.com/dogwoodweir/dogwoodweir/generator"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

// NamedPolicy is a policy with its name in the tables.
type NamedPolicy struct {
	Name  string
	Build scheduler.PolicyBuilder
	// Reference policies are printed for comparison and do not count as baselines.
	Reference bool
}

// StandardPolicyName is the name of the standard policy in the tables.
const StandardPolicyName = "policy"

// Policies returns the baselines, the reference and the standard policy. Both
// baselines serve calls in order of arrival and retain no caches across pauses.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{Name: "roundRobin", Build: scheduler.RoundRobin()},
		{Name: "leastLoaded", Build: scheduler.LeastLoaded()},
		{Name: "affinity", Build: scheduler.Affinity(), Reference: true},
		{Name: StandardPolicyName, Build: scheduler.Standard()},
	}
}

// Suite runs scenarios with the same limits, timeline and seed.
type Suite struct {
	Deployments []generator.Deployment
	Shape       generator.Shape
	Timeline    Timeline
	Seed        uint64
	// Workers is the number of scenarios that run at the same time.
	Workers int
	// BisectionSteps is the number of bisections of the capacity search.
	BisectionSteps int
}

// Limits of each daemon, the same for every policy: 9 daemons can have 54 calls at an
// engine that runs 24 at the same time, and 64 calls can wait in each daemon. With a
// maxConcurrency of 16 instead of 6, retries slow the baselines down, and the standard
// policy gains 1 % of goodput.
const (
	maxConcurrency = 6
	maxQueue       = 64
)

// NewSuite returns the suite of the published figures or, if quick, a short one for
// tests.
func NewSuite(seed uint64, workers int, quick bool) *Suite {
	s := &Suite{
		Deployments: []generator.Deployment{generator.Lichtbeeld(), generator.Wickramasinghe()},
		Shape:       generator.DefaultShape(), Timeline: FullTimeline(), Seed: seed, Workers: workers, BisectionSteps: 6,
	}
	if quick {
		s.Timeline, s.BisectionSteps = QuickTimeline(), 3
	}
	return s
}

func (s *Suite) scenario(d generator.Deployment, build scheduler.PolicyBuilder, rate float64, fault Fault, seed uint64) Scenario {
	return Scenario{
		Deployment: d, Shape: s.Shape, Policy: build, Rate: rate, Seed: seed, Fault: fault, Timeline: s.Timeline,
		MaxConcurrency: maxConcurrency, MaxQueue: maxQueue,
	}
}

// Capacity is the highest rate, in programs a second, that a policy sustains, and its
// goodput at that rate.
type Capacity struct {
	Deployment string
	Policy     string
	Rate       float64
	Goodput    float64
}

// sustained reports whether a run sustained its load: at least 99 % of the programs
// completed, with a p95 latency of at most twice the lowest one at light load.
func sustained(r Result, lightLatency float64) bool {
	return r.Arrived > 0 && float64(r.Completed) >= 0.99*float64(r.Arrived) && r.P95Latency <= 2*lightLatency
}

// Bounds of the capacity search in programs a second per runner. The lower one is also
// the light load.
const (
	minRatePerRunner = 0.02
	maxRatePerRunner = 0.34
)

// Capacities finds by bisection the highest rate that each policy sustains
// without faults, over the programs of one seed.
func (s *Suite) Capacities(policies []NamedPolicy) []Capacity {
	lightLatencies := s.lightLoadLatency(policies)
	results := make([]Capacity, len(s.Deployments)*len(policies))
	workers := pool.New().WithMaxGoroutines(s.Workers)
	for i, d := range s.Deployments {
		for j, p := range policies {
			workers.Go(func() { results[i*len(policies)+j] = s.findCapacity(d, p, lightLatencies[i]) })
		}
	}
	workers.Wait()
	return results
}

// lightLoadLatency returns, for each deployment, the lowest p95 latency of any policy at
// light load.
func (s *Suite) lightLoadLatency(policies []NamedPolicy) []float64 {
	var jobs []Job
	for _, d := range s.Deployments {
		for _, p := range policies {
			jobs = append(jobs, Job{Deployment: d, Policy: p, Rate: minRatePerRunner * float64(d.Runners), Fault: Healthy})
		}
	}
	lowest := make([]float64, len(s.Deployments))
	for i, r := range s.RunAll(jobs) {
		if d := i / len(policies); lowest[d] == 0 || r.Result.P95Latency < lowest[d] {
			lowest[d] = r.Result.P95Latency
		}
	}
	return lowest
}

// findCapacity finds the capacity of one policy by bisection.
func (s *Suite) findCapacity(d generator.Deployment, p NamedPolicy, lightLatency float64) Capacity {
	c := Capacity{Deployment: d.Name, Policy: p.Name}
	low, high := minRatePerRunner*float64(d.Runners), maxRatePerRunner*float64(d.Runners)
	for range s.BisectionSteps {
		rate := (low + high) / 2
		r := Run(s.scenario(d, p.Build, rate, Healthy, s.Seed))
		if !sustained(r, lightLatency) {
			high = rate
			continue
		}
		low = rate
		c.Rate, c.Goodput = rate, r.Goodput
	}
	return c
}

// BestCapacity returns the highest capacity of a deployment over all policies.
func BestCapacity(capacities []Capacity, deployment string) Capacity {
	var best Capacity
	for _, c := range capacities {
		if c.Deployment == deployment && c.Rate > best.Rate {
			best = c
		}
	}
	return best
}

// Row is the result of one run in a table. Load is its rate as a share of the capacity.
type Row struct {
	Deployment string
	Load       float64
	Fault      Fault
	Policy     string
	Result     Result
}

// Job is one run of a table to execute. Seed is added to the suite's.
type Job struct {
	Deployment generator.Deployment
	Policy     NamedPolicy
	Load       float64
	Rate       float64
	Fault      Fault
	Seed       uint64
}

// RunAll runs the jobs in parallel and returns their rows in order.
func (s *Suite) RunAll(jobs []Job) []Row {
	rows := make([]Row, len(jobs))
	workers := pool.New().WithMaxGoroutines(s.Workers)
	for i, job := range jobs {
		workers.Go(func() {
			rows[i] = Row{
				Deployment: job.Deployment.Name, Load: job.Load, Fault: job.Fault, Policy: job.Policy.Name,
				Result: Run(s.scenario(job.Deployment, job.Policy.Build, job.Rate, job.Fault, s.Seed+job.Seed)),
			}
		})
	}
	workers.Wait()
	return rows
}

// Loads returns the loads of the main table as shares of the capacity.
func Loads() []float64 { return []float64{0.5, 0.8, 0.95, 1.2} }

// MainJobs returns the jobs of the main table.
func (s *Suite) MainJobs(capacities []Capacity, policies []NamedPolicy, loads []float64, faults []Fault) []Job {
	var jobs []Job
	for _, d := range s.Deployments {
		best := BestCapacity(capacities, d.Name)
		for _, load := range loads {
			for _, fault := range faults {
				for _, p := range policies {
					jobs = append(jobs, Job{
						Deployment: d, Policy: p, Load: load, Rate: load * best.Rate, Fault: fault,
					})
				}
			}
		}
	}
	return jobs
}

// Title returns the deployment, load and fault of a row.
func (r Row) Title() string { return fmt.Sprintf("%s %.2f %s", r.Deployment, r.Load, r.Fault) }
