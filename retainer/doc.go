// Package retainer decides what happens to a program's KV cache while the
// program waits for a tool: keep, export or drop. It learns the distribution of
// each tool's pauses from streaming quantiles.
//
// # Usage
//
//	pauses := retainer.NewPauses()
//	policy := retainer.NewExpected(pauses, retainer.DefaultLimits())
//	action := policy.Decide(now, retainer.Pause{Tool: "ledger", Tokens: 12_000,
//		Residence: 40 * time.Second, PrefillPerSec: 8_000})
//	pauses.Observe("ledger", 800*time.Millisecond) // when the program returned
//
// Orphans compares what an engine reports as held with the live programs.
package retainer
