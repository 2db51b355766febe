// Package lessor decides which shards a daemon owns. It watches the leases of other
// daemons, fences expired ones, claims shards without an owner and hands shards
// over when another daemon is their preferred owner.
//
// # Preference
//
// The preferred owner of a shard is chosen by rendezvous hashing among the live
// hosts of the shard's failure domain, else of its region, else among all. The
// preference only decides who acts first; safety comes from the conditions on row
// versions. A daemon monitors the shards for which it ranks first or second.
//
// # Reads and writes of a takeover
//
// No daemon scans the table of leases or of shards. A daemon reads the lease rows of
// the few hosts that it watches (chosen by rendezvous hashing), the rows of the
// shards that it monitors and the lease rows of their owners. When a host fails,
// one watcher writes its lease row (fenced), and each new owner writes the rows of
// all shards that it can claim at that moment in one transaction: one row for each
// host and one for each shard. Watchers and second-ranked claimers act after
// staggered delays, and all reads pass a token bucket, so that many takeovers at
// once stay within the store's budget.
//
// A shard row names the log ranges to replay. A claim closes the last range at the
// sequence in the fenced lease row (or in its list of past incarnations) and adds an
// open range in the claimer's log. A handover names a snapshot and no ranges; the
// new owner adds its own range before it appends.
//
// # Time
//
// A lease row must have been seen unchanged for the duration of a lease plus the
// clock error, with reads in short succession: after an outage of the store, which
// stops renewals too, the observation starts anew. A host must have been live for
// StabilizationPeriod before shards are handed to it, so that a flapping host causes
// no handovers.
//
// # Usage
//
//	state := lessor.New(options)
//	commands := state.Update(now, lessor.HostsChanged{Live: hosts})
//	host, epoch, known := state.Owner("nl-ams/7")
//
// Send Tick about four times a second. Execute FenceHost as one transaction. Execute
// ClaimShards and HandOverShard through package committer, so that they depend on the
// daemon's own lease.
package lessor
