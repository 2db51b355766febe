package lessor

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Host identifies the host of a daemon.
type Host struct {
	Name, FailureDomain, Region string
	// Incarnation is empty when it is unknown.
	Incarnation string
	// Leaving is set while the host drains; it gets no shards.
	Leaving bool
}

// Message is an input of State.Update.
type Message interface{ message() }

// HostsChanged contains the live hosts, including that of this daemon.
type HostsChanged struct{ Live []Host }

// LeaseRowsRead contains the results of a ReadLeaseRows. Failed lists the hosts whose
// rows could not be read.
type LeaseRowsRead struct {
	Rows   []provider.Row
	Failed []string
}

// ShardRowsRead contains the results of a ReadShardRows. Failed lists the shards whose
// rows could not be read.
type ShardRowsRead struct {
	Rows   []provider.Row
	Failed []string
}

// LeaseRenewed reports that this daemon's lease was renewed; its duration counts from
// SentAt. Past has the ranges of the logs of the host's earlier incarnations.
type LeaseRenewed struct {
	SentAt      time.Time
	Incarnation string
	Past        []encoder.LogRange
}

// LeaseLost reports that this daemon's lease was fenced.
type LeaseLost struct{}

// DrainRequested starts the handover of all shards.
type DrainRequested struct{}

// ShardIdle reports that a shard under DrainShard has no calls in progress and that
// all of its records are durable.
type ShardIdle struct{ Shard string }

// FenceFinished reports the outcome of a FenceHost.
type FenceFinished struct {
	Host string
	Kind provider.Kind
}

// ClaimFinished reports the outcome of a ClaimShards: KindNone when all of its shards
// were claimed, KindConflict when none was.
type ClaimFinished struct {
	Shards []string
	Kind   provider.Kind
}

// ShardLoaded reports whether the load of a shard has succeeded.
type ShardLoaded struct {
	Shard string
	OK    bool
}

// HandoverFinished reports the outcome of a HandOverShard.
type HandoverFinished struct {
	Shard string
	Kind  provider.Kind
}

// HandoverReceived reports that another daemon has handed over a shard to this one.
type HandoverReceived struct{ Shard string }

// OwnerLearned reports the owner of a shard according to another daemon.
type OwnerLearned struct {
	Shard, Owner string
	Epoch        int
}

// Tick triggers the actions that have become due.
type Tick struct{}

func (HostsChanged) message()     {}
func (LeaseRowsRead) message()    {}
func (ShardRowsRead) message()    {}
func (LeaseRenewed) message()     {}
func (LeaseLost) message()        {}
func (DrainRequested) message()   {}
func (ShardIdle) message()        {}
func (FenceFinished) message()    {}
func (ClaimFinished) message()    {}
func (ShardLoaded) message()      {}
func (HandoverFinished) message() {}
func (HandoverReceived) message() {}
func (OwnerLearned) message()     {}
func (Tick) message()             {}

// Command is an output of State.Update.
type Command interface{ command() }

// FenceHost writes Row (the host's lease row, marked as fenced) if the row still has
// Version. Reply with FenceFinished.
type FenceHost struct {
	Host    string
	Version int64
	Row     encoder.LeaseRow
}

// Claim is one shard row of a ClaimShards. The writer adds an open range of its own
// log to the row's logs.
type Claim struct {
	Row     encoder.ShardRow
	Version int64
}

// ClaimShards writes shard rows if they still have their versions and this daemon
// still holds its lease. Reply with ClaimFinished.
type ClaimShards struct{ Claims []Claim }

// LoadShard loads a claimed shard from the snapshot and the log ranges in the row.
// Reply with ShardLoaded.
type LoadShard struct {
	Shard string
	Row   encoder.ShardRow
}

// DrainShard delays new calls of the shard or redirects them to To, and requests a
// ShardIdle when the calls in progress have ended.
type DrainShard struct{ Shard, To string }

// ResumeShard cancels a DrainShard or HandOverShard: the shard is served again.
type ResumeShard struct{ Shard string }

// HandOverShard stores a snapshot, drops the shard and writes Row with the snapshot's
// name. Reply with HandoverFinished, and keep the snapshot until then: after a
// failure, ResumeShard follows and the shard is served again from the snapshot, since
// the shard's row does not name it.
type HandOverShard struct {
	Shard, To string
	Row       encoder.ShardRow
}

// DropShard drops a shard without a handover, after the lease was lost.
type DropShard struct{ Shard string }

// ReadLeaseRows reads the lease rows of the hosts. Reply with LeaseRowsRead.
type ReadLeaseRows struct{ Hosts []string }

// ReadShardRows reads the rows of the shards. Reply with ShardRowsRead.
type ReadShardRows struct{ Shards []string }

// LeaseChanged reports that this daemon's lease has become valid or has expired.
type LeaseChanged struct{ Valid bool }

// Drained reports that all shards have been handed over after a DrainRequested.
type Drained struct{}

// RowDamaged reports a row that cannot be decoded and is ignored.
type RowDamaged struct{ Table, Key string }

func (FenceHost) command()     {}
func (ClaimShards) command()   {}
func (LoadShard) command()     {}
func (DrainShard) command()    {}
func (ResumeShard) command()   {}
func (HandOverShard) command() {}
func (DropShard) command()     {}
func (ReadLeaseRows) command() {}
func (ReadShardRows) command() {}
func (LeaseChanged) command()  {}
func (Drained) command()       {}
func (RowDamaged) command()    {}
