// Package soaker runs several daemons in one process against the stand-ins of
// package emulator, under load and under faults, and checks the promises of the
// design from outside.
//
// # Usage
//
//	report, err := soaker.Run(ctx, soaker.Options{Seed: 7, Duration: 30 * time.Second})
//	fmt.Print(report)
//	if len(report.Violations) > 0 { ... }
//
// The schedule of faults depends only on the seed and the duration. The
// interleaving of goroutines does not, so a violation may need several runs of
// its seed.
package soaker
