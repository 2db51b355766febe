// Package prioritizer orders the calls of programs. A policy gives each call a
// priority, which is a time: the call with the earliest one runs first. A priority
// does not change while the call waits, so no call starves: it can be overtaken
// only by calls that arrive within a bounded time after it.
//
// # Usage
//
//	policy := prioritizer.NewAttainedService(prioritizer.DefaultWeights())
//	priority := policy.Decide(now, prioritizer.Call{Program: "p", Client: "c"})
//	policy.Charge(now, "p", "c", 1.5) // seconds of service after the call
//	policy.End("p")
package prioritizer
