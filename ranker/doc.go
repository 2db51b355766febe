// Package ranker orders the members of a group for a key, by weighted rendezvous hashing. All processes
// that know the same members with the same weights compute the same order without exchanging messages.
//
// A member is first for a share of the keys that is proportional to its weight. When a member joins, only
// the keys for which it is now first change their first member, and when one leaves, only those for which
// it was first. The same holds for a weight that rises or falls.
//
// # Usage
//
// The first daemon for a key, and the ones to ask when it does not reply:
//
//	holder, _ := ranker.FirstName(workspace, hosts)
//	order := ranker.OrderNames(workspace, hosts)
//
// Members with weights are a type of the caller's that implements Ranked, or Member:
//
//	members := []ranker.Member{ranker.NewMember("t1", 8), ranker.NewMember("t2", 16)}
//	first, found := ranker.First(session, members)
//
// The first member that has room for one more call, with loads bounded to a multiple of each member's
// share of all calls:
//
//	bounds := ranker.NewBounds(1.25, totalWeight, totalCalls)
//	first, found := ranker.FirstWhere(session, targets, func(t *target) bool {
//		return t.calls < bounds.Of(t.Weight())
//	})
//
// A weight that follows a measured value is kept in a Level, which changes in coarse steps, so that noise
// moves no keys:
//
//	if level.Update(measuredSpeed) {
//		log.Info("weight changed", zap.Float64("weight", level.Size()))
//	}
//
// Nothing in this package does I/O, reads a clock or is safe for concurrent changes. First and FirstWhere
// allocate nothing.
package ranker
