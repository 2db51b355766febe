// Package committer writes a daemon's log: it batches the records of all shards of
// the daemon into group commits, each of which also renews the daemon's lease.
//
// State decides which transactions are sent and when. At most one is in flight. It is
// conditional on the version of the daemon's lease row that State wrote last, so that a
// fenced holder cannot write, however late its request arrives. A transaction whose
// outcome is unknown keeps its ID and condition until the lease row shows whether it
// took effect. Transactions are limited to a share of the store's write budget. While
// one is in flight or the share is used up, records wait in a queue and form the next
// batch.
//
// Requests take effect in the order in which they were made. A request has records,
// shard rows to write (claims, handovers, checkpoints) or log rows to delete. Shard
// rows are written in a transaction without records, so the log sequence at that
// moment separates the records before it from those after it.
//
// A new incarnation takes over the host's lease row only when the row is absent,
// released or fenced, or has been unchanged for the duration of a lease. The row
// then lists the earlier incarnation's log under past.
//
// # Usage
//
// Runner executes the commands against the stores. Append never blocks:
//
//	runner := committer.NewRunner(committer.New(options), stores, clock, deliver)
//	go runner.Run(ctx)
//	err := runner.Append(committer.AppendRequested{Ticket: 7, Records: records})
//
// The deliver function gets TicketCommitted, TicketDropped, TicketRejected,
// LeaseRenewed, LeaseLost, LeaseReleased and StoreHealthChanged. After LeaseLost all
// pending tickets have been dropped; send Restarted with a new incarnation to
// continue.
package committer
