// Package sequencer keeps the programs of a daemon: the order of their calls,
// history, idempotency, budgets and ends. It does no I/O; the daemon's program loop
// passes messages to it and executes the commands that it returns.
//
// # Usage
//
//	state := sequencer.New(sequencer.Options{ShardsPerDomain: 32}, report)
//	state.Update(now, sequencer.ShardAcquired{Shard: "nl-ams/7", Epoch: 3, Snapshot: data, Records: records})
//	for _, command := range state.Update(now, sequencer.CallArrived{Request: request}) {
//		switch c := command.(type) {
//		case sequencer.AppendRecords:   // commit, then send RecordsCommitted or RecordsDropped
//		case sequencer.DispatchAttempt: // run, then send AttemptFinished
//		case sequencer.Response:        // respond to the caller
//		}
//	}
//
// Tickets of AppendRecords must be committed in order. Every request gets exactly one
// Response, unless CallerLeft withdraws it. A response with OutcomeDone is sent only
// after the call's records are durable. Send a Tick at least every second.
//
// The id of a sub-agent embeds its root's id (NewChildID), so a root and its
// sub-agents are in one shard, and one owner keeps their shared budget.
//
// Each durable change is one record, applied by the same code when it is made and
// when a new owner replays it. Violations of the invariants are passed to the report
// function given to New; any violation is a fault.
package sequencer
