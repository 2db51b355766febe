// Package prioritizer orders the calls of programs. Every policy gives a call a
// rank, which is a time: the call with the earliest rank runs first. Because a
// rank does not change while the call waits, ageing is built in: a call can be
// overtaken only by calls that arrive within a bounded time after it.
//
// # Usage
//
//	order := prioritizer.NewAttained(prioritizer.DefaultWeights())
//	rank := order.Decide(now, prioritizer.Call{Program: "p", Client: "c"})
//	order.Charge(now, "p", "c", 1.5) // seconds of service after the call
//	order.End("p")
package prioritizer
