// Command exercise runs real entry daemons under faults and checks the promises of the
// design from outside.
//
// # Usage
//
//	exercise -binary bin/dogwoodweir-entry -seed 7 -duration 30s
//	exercise -binary bin/dogwoodweir-entry -seed 100 -runs 50
//
// It prints a report for each seed and exits with 1 when a promise was broken. The logs of
// such a run are kept.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/dogwoodweir/dogwoodweir/platform/exerciser"
)

func main() {
	o := exerciser.Options{}
	runs := 1
	flag.StringVar(&o.Binary, "binary", "bin/dogwoodweir-entry", "program of the daemon")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of load and faults, of the first run")
	flag.IntVar(&runs, "runs", 1, "number of runs, each with the next seed")
	flag.DurationVar(&o.Duration, "duration", 0, "time under load, 0 for the default")
	flag.IntVar(&o.Hosts, "hosts", 0, "number of daemons, 0 for the default")
	flag.IntVar(&o.Callers, "callers", 0, "number of concurrent programs, 0 for the default")
	flag.BoolVar(&o.NoFaults, "calm", false, "run without faults")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken, err := run(ctx, o, runs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "exercise:", err)
	}
	if broken > 0 {
		fmt.Fprintf(os.Stderr, "exercise: %d of %d runs broke a promise\n", broken, runs)
	}
	if err != nil || broken > 0 {
		os.Exit(1)
	}
}

// run plays the seeds one after the other and counts those that broke a promise.
func run(ctx context.Context, o exerciser.Options, runs int) (broken int, err error) {
	for range runs {
		if ctx.Err() != nil {
			return broken, ctx.Err()
		}
		if o.LogDir, err = os.MkdirTemp("", "dogwoodweir-exercise-"); err != nil {
			return broken, err
		}
		report, err := exerciser.Run(ctx, o)
		if err != nil {
			return broken, fmt.Errorf("seed %d: %w (logs: %s)", o.Seed, err, o.LogDir)
		}
		fmt.Print(report)
		if len(report.Violations) > 0 {
			broken++
			fmt.Println("logs:", o.LogDir)
		} else if err := os.RemoveAll(o.LogDir); err != nil {
			return broken, err
		}
		o.Seed++
	}
	return broken, nil
}
