// Command exercise runs real entry daemons under injected faults and checks from outside
// that they keep the guarantees of the design.
//
// # Usage
//
//	exercise -binary bin/dogwoodweir-entry -seed 7 -duration 30s
//	exercise -binary bin/dogwoodweir-entry -seed 100 -runs 50
//
// It prints a report for each seed and exits with status 1 if a guarantee was violated. The
// logs of such a run are kept.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/dogwoodweir/dogwoodweir/platform/exerciser"
)

func main() {
	o := exerciser.Options{}
	runs := 1
	flag.StringVar(&o.Binary, "binary", "bin/dogwoodweir-entry", "path of the daemon binary")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of load and faults in the first run")
	flag.IntVar(&runs, "runs", 1, "number of runs, each with the next seed")
	flag.DurationVar(&o.Duration, "duration", 0, "time under load, 0 for the default")
	flag.IntVar(&o.Hosts, "hosts", 0, "number of daemons, 0 for the default")
	flag.IntVar(&o.Callers, "callers", 0, "number of concurrent programs, 0 for the default")
	flag.BoolVar(&o.NoFaults, "calm", false, "run without faults")
	kinds := flag.String("faults", "", "comma-separated kinds of faults, all kinds if empty")
	flag.Parse()
	if *kinds != "" {
		o.FaultKinds = strings.Split(*kinds, ",")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed, err := run(ctx, o, runs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "exercise:", err)
	}
	if failed > 0 {
		fmt.Fprintf(os.Stderr, "exercise: %d of %d runs violated a guarantee\n", failed, runs)
	}
	if err != nil || failed > 0 {
		os.Exit(1)
	}
}

// run runs one exercise per seed in sequence and returns the number of runs that violated a
// guarantee.
func run(ctx context.Context, o exerciser.Options, runs int) (failed int, err error) {
	for range runs {
		if ctx.Err() != nil {
			return failed, ctx.Err()
		}
		if o.LogDir, err = os.MkdirTemp("", "dogwoodweir-exercise-"); err != nil {
			return failed, err
		}
		report, err := exerciser.Run(ctx, o)
		if err != nil {
			return failed, fmt.Errorf("seed %d: %w (logs: %s)", o.Seed, err, o.LogDir)
		}
		fmt.Print(report)
		if len(report.Violations) > 0 {
			failed++
			fmt.Println("logs:", o.LogDir)
		} else if err := os.RemoveAll(o.LogDir); err != nil {
			return failed, err
		}
		o.Seed++
	}
	return failed, nil
}
