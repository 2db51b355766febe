// Package batcher groups the writes of many requests into few transactions of the store.
// Entries that arrive while transactions are in flight wait and go together with the next
// one, so the rate of transactions is bounded by the store's latency and not by the number
// of requests.
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
//		case batcher.Resolve: // pass the outcome to the owner of the entry
//		}
//	}
//
// A State serves one partition of the store, since partitions fail independently. An entry
// whose condition fails is resolved on its own; the others of its transaction are sent
// again. When a response is lost, the outcome of all entries of the transaction is unknown
// and their owners decide what to do.
package batcher
