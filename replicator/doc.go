// Package replicator shares copies of tables between the daemons of a region. In a large region one
// daemon follows a table at the store, one of eight daemons of each failure domain (a leader) follows
// the copy of that daemon, and the others follow the copies of the leaders. A large change therefore
// crosses the link between regions once, whatever the number of daemons.
//
// A copy is a hint with an age: a reply says how long ago the store confirmed it. A daemon whose
// leader does not reply, or has a copy that is too old, asks other leaders. If all copies are old,
// daemons turn to the store one after the other: the link to the store is then probably full, and
// many requests for the same change would keep it full. A wrong or outdated list of daemons costs
// calls and never freshness.
//
// # Usage
//
//	s := replicator.New(store, messenger, own, others, replicator.DefaultOptions("servers"), logger)
//	page, err := s.Feed(ctx, "servers", version, wait) // like the store's Feed
//	if errors.Is(err, replicator.ErrStale) {
//		// The region has no fresh copy, and it is not this daemon's turn to ask the store.
//	}
//	result, handled, err := s.Handle(ctx, method, params)
package replicator
