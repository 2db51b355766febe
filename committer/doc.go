// Package committer writes a daemon's log: it batches the records of all shards of
// the daemon into group commits, each of which also renews the daemon's lease.
//
// State is the decision. It keeps at most one transaction in flight, conditional on
// the version of the daemon's lease row that it wrote last, so that a fenced holder
// cannot write, however late its request arrives. A transaction whose outcome is
// not known stays as it is, with its id and condition, until the lease row shows
// whether it took effect. Transactions are limited to a share of the store's write
// budget; while one is in flight or the share is used up, records queue and form
// the next batch.
//
// Requests take effect in the order in which they were made. A request has records,
// or shard rows to write (claims, handovers, checkpoints), or log rows to delete.
// Shard rows are written in a transaction of their own without records, so the log
// sequence at that moment divides the records before it from those after it.
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
// The deliver function gets TicketCommitted, TicketDropped, TicketRefused,
// LeaseRenewed, LeaseLost, LeaseReleased and StoreChanged. After LeaseLost all
// pending tickets have been dropped; send Restarted with a new incarnation to
// continue.
package committer
