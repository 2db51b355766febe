// Command bench compares the standard scheduling policy with its baselines in virtual
// time and prints Markdown tables.
//
// # Usage
//
//	bench [-seed 1] [-workers 10] [-quick] [-plot docs] [-ablations=false]
//
// -quick runs short scenarios, to check the program rather than the policy.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/dogwoodweir/dogwoodweir/bencher"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the load and of the policies")
	workers := flag.Int("workers", runtime.NumCPU(), "number of scenarios run at the same time")
	quick := flag.Bool("quick", false, "run short scenarios")
	plotDirectory := flag.String("plot", "", "directory for the plots of p95 latency over load")
	ablations := flag.Bool("ablations", true, "print the ablation table")
	flag.Parse()
	if err := run(bencher.NewSuite(*seed, *workers, *quick), *plotDirectory, *ablations); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(suite *bencher.Suite, plotDirectory string, ablations bool) error {
	start := time.Now()
	policies := bencher.Policies()
	fmt.Printf("seed %d\n\n## Capacity\n\n", suite.Seed)
	capacities := suite.Capacities(policies)
	bencher.WriteCapacities(os.Stdout, capacities)
	goodput := map[string]float64{}
	for _, d := range suite.Deployments {
		goodput[d.Name] = bencher.BestCapacity(capacities, d.Name).Goodput
	}
	fmt.Print("\n## Cells\n\n")
	rows := suite.RunAll(suite.MainJobs(capacities, policies, bencher.Loads(), bencher.Faults()))
	bencher.WriteCells(os.Stdout, rows, policies)
	fmt.Print("## Targets\n\n")
	bencher.WriteMisses(os.Stdout, bencher.CheckTargets(rows, policies, goodput))
	if ablations {
		fmt.Print("\n## Ablations\n\n")
		bencher.WriteAblations(os.Stdout, suite.RunAll(suite.AblationJobs(capacities)))
	}
	if plotDirectory != "" {
		rows := suite.RunAll(suite.MainJobs(capacities, policies, bencher.PlotLoads(), []bencher.Fault{bencher.Healthy}))
		for _, d := range suite.Deployments {
			if err := bencher.Plot(plotDirectory, d.Name, rows, policies); err != nil {
				return err
			}
		}
	}
	fmt.Printf("\ntook %s\n", time.Since(start).Round(time.Second))
	return nil
}
