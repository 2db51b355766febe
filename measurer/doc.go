// Package measurer measures how the work of a daemon grows with the deployment
// and how long news take to reach every daemon. It runs the control logic of
// whole fleets in one process, over the real protocol on in-memory links.
//
// # Usage
//
//	samples, err := measurer.ControlSlope(ctx, []int{9, 50, 150, 350}, warmUp, window)
//	timings, err := measurer.NewsTimes(ctx)
//
// Command capacity writes the results to docs/capacity.json and renders
// docs/CAPACITY.md from them.
package measurer
