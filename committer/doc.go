// Package committer writes a daemon's log. It batches the records of all shards of
// the daemon into group commits, each of which also renews the daemon's lease.
//
// State decides what is written, without I/O. At most one transaction is in flight.
// It is conditional on the version of the lease row that the daemon wrote last, so
// that a daemon that was fenced cannot write, however late its request arrives. A
// transaction with an unknown outcome keeps its ID and condition until the lease row
// shows whether it took effect. Each daemon has a share of the store's write budget;
// while a transaction is in flight or the share is used up, records are queued and
// form the next batch.
//
// Requests take effect in the order in which they were made. A request has records,
// or shard rows to write (claims, handovers, checkpoints), or log rows to delete.
// Shard rows are written in a transaction without records, so that the log sequence
// at that moment separates the earlier records from the later ones.
//
// A new incarnation takes over the host's lease row only when the row is absent,
// released or fenced, or has not changed for the duration of a lease. It then lists
// the log of the earlier incarnation in the row's past field.
//
// # Usage
//
// Runner executes the commands on the stores. Append never blocks:
//
//	runner := committer.NewRunner(committer.New(options), stores, clock, deliver)
//	go runner.Run(ctx)
//	err := runner.Append(committer.AppendRequested{Ticket: 7, Records: records})
//
// The deliver function receives TicketCommitted, TicketDropped, TicketRejected,
// LeaseRenewed, LeaseLost, LeaseReleased and StoreHealthChanged. All pending tickets
// are dropped before LeaseLost; send Restarted with a new incarnation to continue.
package committer
