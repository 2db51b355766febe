// Package batcher groups the writes of many requests into few transactions of the
// store. While a transaction is under way, what arrives waits and goes with the next
// one, so that the rate of transactions is bounded by the store's answers and not by
// the number of requests.
//
// # Usage
//
// State takes typed messages and the time, and returns commands. It does no I/O:
//
//	state := batcher.New(batcher.DefaultOptions())
//	commands := state.Update(now, batcher.Submitted{Entry: entry})
//	for _, c := range commands {
//		switch c := c.(type) {
//		case batcher.Apply:   // run the transaction, report Applied, Conflicted or Failed
//		case batcher.Resolve: // tell the owner of the entry how it ended
//		}
//	}
//
// A State serves one part of the store, since parts fail one by one. An entry whose
// condition fails is resolved alone; the others of its transaction are sent again. After a
// missing answer the outcome of all its entries is unknown, and their owners decide.
package batcher
