// Package measurer measures how the load on a daemon grows with the size of the
// deployment and how long a change takes to reach every daemon. It runs the control
// logic of whole fleets in one process, over the real protocol on in-memory
// connections.
//
// # Usage
//
//	samples, err := measurer.MeasureControlByHosts(ctx, []int{9, 50, 150, 350}, warmUp, window)
//	samples, err := measurer.MeasurePropagation(ctx, 9)
//
// Command capacity writes the results to docs/capacity.json and renders
// docs/capacity-own.md from them.
package measurer
