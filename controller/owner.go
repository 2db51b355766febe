package controller

import (
	"context"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
)

// Owner holds the daemon's lease and shards. An implementation must provide:
//
//   - Run claims shards for live hosts, renews the lease, hands shards over and
//     loads them, until the context ends or, after Drain, until the lease has been
//     released. It reports to the ProgramPort: ShardAcquired, ShardClosing,
//     ShardReleased, RecordsCommitted and RecordsDropped (each ticket once, in
//     order), LeaseChanged and StoreChanged.
//   - All other methods may be called from any goroutine and never wait for I/O.
type Owner interface {
	Run(ctx context.Context)
	// Append makes the records of a ticket durable, in order of tickets. Only the
	// program loop calls it.
	Append(ticket uint64, records []encoder.Record)
	// LeaseValid reports whether the lease is valid now, by the clock.
	LeaseValid() bool
	// Owner returns the owner of a shard, or the host that most probably knows it.
	Owner(shard string) (host string, epoch int, known bool)
	// Owned returns the epochs of the shards that this daemon owns.
	Owned() map[string]int
	// HostsChanged gives the daemons that are live.
	HostsChanged(hosts []OwnerHost)
	// ShardHandedOver says that another daemon has handed a shard to this one.
	ShardHandedOver(shard string, epoch int)
	// OwnerLearned says whom another daemon takes to be the owner of a shard.
	OwnerLearned(shard, host string, epoch int)
	// Drain hands all shards over and then releases the lease.
	Drain()
	// Figures returns figures for status and metrics.
	Figures() OwnerFigures
}

// OwnerHost is a daemon that may own shards.
type OwnerHost struct {
	Name, Address, FailureDomain, Region, Incarnation string
	Leaving                                           bool
}

// OwnerFigures are figures of the owner.
type OwnerFigures struct {
	Shards int
	// Backlog is the share of the bounds on uncommitted records that is in use.
	Backlog        float64
	StoreReachable bool
}

// ProgramPort is the program loop as the owner uses it.
type ProgramPort interface {
	// Deliver passes a message to the sequencer. Messages are handled in order of
	// Deliver; it never blocks.
	Deliver(message sequencer.Message)
	// Query runs a short function in the program loop, after all messages that
	// were delivered before; it never blocks. It reports false when the loop has
	// ended.
	Query(query func(state *sequencer.State)) bool
	// TakeShard takes an idle shard away from the program loop and passes on its
	// snapshot in the same step, so that no record can follow it; nil means that the
	// shard is not idle and stays.
	TakeShard(shard string, taken func(snapshot []byte)) bool
	// Handover tells another daemon that it owns a shard now; it may be lost.
	Handover(host, shard string, epoch int)
}
