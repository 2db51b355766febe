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
	// Reference policies are shown beside the baselines.
	Reference bool
}

// StandardPolicyName is the name of the project's policy in the tables.
const StandardPolicyName = "policy"

// Policies returns the baselines, the reference and the project's policy. Both
// baselines serve first come first served and retain nothing across pauses.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{Name: "roundRobin", Build: scheduler.RoundRobin()},
		{Name: "leastLoaded", Build: scheduler.LeastLoaded()},
		{Name: "affinity", Build: scheduler.Affinity(), Reference: true},
		{Name: StandardPolicyName, Build: scheduler.Standard()},
	}
}

// Suite is a set of runs with equal limits.
type Suite struct {
	Deployments []generator.Deployment
	Shape       generator.Shape
	Timeline    Timeline
	Seed        uint64
	Workers     int
	// BisectionSteps is the number of bisections of the capacity search.
	BisectionSteps int
}

// Limits of each daemon, the same for every policy: 9 daemons can have 54 calls
// at an engine that runs 24 at once, and 64 calls can wait in each daemon. With 16
// in place of 6 the baselines lose by retries and the policy gains 1 % of goodput.
const (
	limitConcurrency = 6
	limitQueue       = 64
)

// NewSuite returns the published suite, or a short one for tests.
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

func (s *Suite) cell(d generator.Deployment, build scheduler.PolicyBuilder, rate float64, fault Fault, seed uint64) Scenario {
	return Scenario{
		Deployment: d, Shape: s.Shape, Policy: build, Rate: rate, Seed: seed, Fault: fault, Timeline: s.Timeline,
		MaxConcurrency: limitConcurrency, MaxQueue: limitQueue,
	}
}

// Capacity is the highest rate that a policy sustains.
type Capacity struct {
	Deployment string
	Policy     string
	Rate       float64
	Goodput    float64
}

// sustained reports whether a run kept up: 99 % of the programs completed, with a
// p95 latency of at most twice the lowest one at light load.
func sustained(r Result, light float64) bool {
	return r.Arrived > 0 && float64(r.Completed) >= 0.99*float64(r.Arrived) && r.P95Latency <= 2*light
}

// lowestRate and highestRate bound the search, in programs a second per runner;
// lowestRate is the light load.
const (
	lowestRate  = 0.02
	highestRate = 0.34
)

// Capacities finds by bisection the highest rate that each policy sustains
// without faults, over the programs of one seed.
func (s *Suite) Capacities(policies []NamedPolicy) []Capacity {
	light := s.light(policies)
	results := make([]Capacity, len(s.Deployments)*len(policies))
	workers := pool.New().WithMaxGoroutines(s.Workers)
	for i, d := range s.Deployments {
		for j, p := range policies {
			workers.Go(func() { results[i*len(policies)+j] = s.capacity(d, p, light[i]) })
		}
	}
	workers.Wait()
	return results
}

// light returns the lowest p95 of any policy at the lowest rate.
func (s *Suite) light(policies []NamedPolicy) []float64 {
	var jobs []Job
	for _, d := range s.Deployments {
		for _, p := range policies {
			jobs = append(jobs, Job{Deployment: d, Policy: p, Rate: lowestRate * float64(d.Runners), Fault: Healthy})
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

func (s *Suite) capacity(d generator.Deployment, p NamedPolicy, light float64) Capacity {
	c := Capacity{Deployment: d.Name, Policy: p.Name}
	low, high := lowestRate*float64(d.Runners), highestRate*float64(d.Runners)
	for range s.BisectionSteps {
		rate := (low + high) / 2
		r := Run(s.cell(d, p.Build, rate, Healthy, s.Seed))
		if !sustained(r, light) {
			high = rate
			continue
		}
		low = rate
		c.Rate, c.Goodput = rate, r.Goodput
	}
	return c
}

// BestCapacity returns the highest rate of a deployment over all policies.
func BestCapacity(capacities []Capacity, deployment string) Capacity {
	var best Capacity
	for _, c := range capacities {
		if c.Deployment == deployment && c.Rate > best.Rate {
			best = c
		}
	}
	return best
}

// Row is one run of a table.
type Row struct {
	Deployment string
	Load       float64
	Fault      Fault
	Policy     string
	Result     Result
}

// Job is one run to do. Seed is added to the suite's.
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
				Result: Run(s.cell(job.Deployment, job.Policy.Build, job.Rate, job.Fault, s.Seed+job.Seed)),
			}
		})
	}
	workers.Wait()
	return rows
}

// Loads are the shares of capacity of the published cells.
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

// Title names a cell.
func (r Row) Title() string { return fmt.Sprintf("%s %.2f %s", r.Deployment, r.Load, r.Fault) }
