// Package soaker runs several daemons in one process on the platform of package emulator,
// under load and injected faults, and checks the guarantees of the design by what callers and
// targets observe.
//
// # Usage
//
//	report, err := soaker.Run(ctx, soaker.Options{Seed: 7, Duration: 30 * time.Second})
//	fmt.Print(report)
//	if len(report.Violations) > 0 { ... }
//
// The schedule of faults depends only on the seed and the duration. The interleaving of
// goroutines is not reproducible, so it may take several runs of a seed to reproduce a violation.
package soaker
