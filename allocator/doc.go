// Package allocator hands out the second halves of token budgets, also while the store cannot be written.
// Each partition of the second rows has one owner at a time, which alone writes them. Its memory is
// therefore complete, and while the store is unavailable it changes rows in memory and writes them later.
//
// # Usage
//
// State decides for one partition. It takes typed messages and the time, and returns commands. It does
// no I/O:
//
//	state := allocator.New(allocator.DefaultOptions(), allocator.Identity{Host: host, Incarnation: incarnation, Boot: boot})
//	for _, c := range state.Update(now, allocator.Tick{Rank: rank, UnixNow: time.Now().Unix()}) {
//		switch c := c.(type) {
//		case allocator.ReadOwner: // read the owner's row, report OwnerRead
//		case allocator.Apply:     // run the transaction, report Applied
//		case allocator.ReadRows:  // read the second rows, report RowsRead
//		case allocator.Reply:     // pass it to the asker
//		}
//	}
//
// Runner runs the states of all partitions. The recorder reads and writes second rows through it, whether
// this daemon or a peer is the owner:
//
//	runner := allocator.NewRunner(dependencies, options, logger)
//	go runner.Run(ctx)
//	result := runner.Write(ctx, key, version, value)
//	err := runner.Release(ctx) // at a planned stop
//
// # Safety
//
// Every transaction of an owner has the version of the owner's row as a condition and replaces that row.
// None of an earlier owner takes effect after a takeover. Grants from memory that an owner could not write
// before it was lost are known to nobody: the next owner uses no second row for the time that a program may
// last, unless the row of the lost owner proves that there are none.
package allocator
