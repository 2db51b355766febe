// Command soak runs several daemons in one process under load and injected faults and checks
// the guarantees of the design.
//
// # Usage
//
//	soak -seed 7 -duration 30s
//
// It prints the seed, the counts and the violations, and exits with status 1 if there are any
// violations.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/soaker"
)

func main() {
	options := soaker.Options{}
	flag.Uint64Var(&options.Seed, "seed", 1, "seed of load and faults")
	flag.DurationVar(&options.Duration, "duration", 30*time.Second, "time under load")
	flag.IntVar(&options.Hosts, "hosts", 6, "number of daemons")
	flag.IntVar(&options.Callers, "callers", 16, "number of concurrent callers")
	flag.BoolVar(&options.NoFaults, "calm", false, "run without faults")
	log := flag.String("log", "", "file for the daemons' logs")
	flag.Parse()
	if err := run(options, *log); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func run(options soaker.Options, log string) error {
	if log != "" {
		config := zap.NewDevelopmentConfig()
		config.OutputPaths = []string{log}
		config.DisableStacktrace = true
		logger, err := config.Build()
		if err != nil {
			return err
		}
		options.Logger = logger
	}
	report, err := soaker.Run(context.Background(), options)
	if err != nil {
		return err
	}
	fmt.Print(report)
	if n := len(report.Violations); n > 0 {
		return fmt.Errorf("%d violations", n)
	}
	return nil
}
