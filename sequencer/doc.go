// Package sequencer decides about programs and their calls: order, history,
// idempotency, budgets and ends. It has no I/O; the program loop of a daemon
// feeds it messages and executes its commands.
//
// # Usage
//
//	state := sequencer.New(sequencer.Options{ShardsPerDomain: 32}, report)
//	state.Update(now, sequencer.ShardAcquired{Shard: "nl-ams/7", Epoch: 3, Snapshot: data, Records: records})
//	for _, command := range state.Update(now, sequencer.CallArrived{Request: request}) {
//		switch c := command.(type) {
//		case sequencer.AppendRecords:   // commit, then send RecordsCommitted or RecordsDropped
//		case sequencer.DispatchAttempt: // run, then send AttemptFinished
//		case sequencer.Answer:          // tell the caller
//		}
//	}
//
// Tickets of AppendRecords must be committed in order. Every arrival gets
// exactly one Answer, unless CallerLeft withdrew it. A call is answered as done
// only after its records are durable. Send a Tick at least every second.
//
// Sub-agents have ids that embed their root's id (ChildID), so a root and its
// sub-agents live in one shard and one owner accounts for their shared budget.
//
// Each durable change is one record, applied by the same code when it happens
// and when a new owner replays it. Violations of the invariants are passed to the
// report function given to New; none are expected.
package sequencer
