// Package retainer decides what to do with a program's KV cache while the program
// waits for a tool: hold, export or drop it, or leave it to the engine. It estimates
// the length of the pause from a histogram of each tool's earlier pauses.
//
// # Usage
//
//	stats := retainer.NewPauseStats()
//	policy := retainer.NewPausePolicy(stats, retainer.DefaultLimits())
//	decision := policy.Decide(now, retainer.Pause{Tool: "ledger", Tokens: 12_000,
//		EvictionAge: 40 * time.Second, PrefillPerSec: 8_000})
//	stats.Observe("ledger", 800*time.Millisecond) // when the program has returned
//
// Orphans compares the programs whose caches an engine holds with the live programs.
package retainer
