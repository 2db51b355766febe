package lessor

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Host is one daemon's host.
type Host struct {
	Name, FailureDomain, Region string
	// Incarnation is empty when it is not known.
	Incarnation string
	// Leaving hosts get no shards.
	Leaving bool
}

// Message is an input of State.Update.
type Message interface{ message() }

// HostsChanged gives the daemons that are live, including this one.
type HostsChanged struct{ Live []Host }

// LeaseRowsRead gives lease rows as read from the store after a ScanLeases. Failed
// lists the hosts whose row could not be read.
type LeaseRowsRead struct {
	Rows   []provider.Row
	Failed []string
}

// ShardRowsRead gives shard rows after a ScanShards. Failed lists the shards whose
// row could not be read.
type ShardRowsRead struct {
	Rows   []provider.Row
	Failed []string
}

// LeaseRenewed reports that the own lease is held, measured from SentAt. Past has the
// logs of the host's earlier incarnations.
type LeaseRenewed struct {
	SentAt      time.Time
	Incarnation string
	Past        []encoder.LogRange
}

// LeaseLost reports that the own lease was fenced.
type LeaseLost struct{}

// DrainRequested asks to hand over all shards.
type DrainRequested struct{}

// ShardIdle reports that a shard under DrainShard has no call in flight and no
// record that is not durable.
type ShardIdle struct{ Shard string }

// FenceFinished reports the outcome of a FenceHost.
type FenceFinished struct {
	Host string
	Kind provider.Kind
}

// ClaimFinished reports the outcome of a ClaimShards: KindNone, or KindConflict when
// none of its shards was claimed.
type ClaimFinished struct {
	Shards []string
	Kind   provider.Kind
}

// ShardLoaded reports whether a shard under LoadShard is loaded.
type ShardLoaded struct {
	Shard string
	OK    bool
}

// HandoverFinished reports the outcome of a HandOverShard.
type HandoverFinished struct {
	Shard string
	Kind  provider.Kind
}

// HandoverReceived reports that another daemon has handed a shard to this one.
type HandoverReceived struct{ Shard string }

// OwnerLearned reports the owner of a shard as another daemon knows it.
type OwnerLearned struct {
	Shard, Owner string
	Epoch        int
}

// Tick lets time pass.
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

// FenceHost writes Row (the host's row, marked as fenced) on the condition that the
// row has the version; answer with FenceFinished.
type FenceHost struct {
	Host    string
	Version int64
	Row     encoder.LeaseRow
}

// Claim is one shard row of a ClaimShards. An open range of the own log has to be
// added to the row's logs when it is written.
type Claim struct {
	Row     encoder.ShardRow
	Version int64
}

// ClaimShards writes shard rows on condition of their versions and of the own
// lease; answer with ClaimFinished.
type ClaimShards struct{ Claims []Claim }

// LoadShard loads a claimed shard from the snapshot and the log ranges of the row;
// answer with ShardLoaded.
type LoadShard struct {
	Shard string
	Row   encoder.ShardRow
}

// DrainShard asks for ShardIdle; new calls are to be delayed or redirected to To.
type DrainShard struct{ Shard, To string }

// ResumeShard ends a DrainShard or HandOverShard without a handover: serve the shard
// again.
type ResumeShard struct{ Shard string }

// HandOverShard stores a snapshot, drops the shard and writes Row with the
// snapshot's name; answer with HandoverFinished. Keep the snapshot until then: when
// the handover failed, KeepShard follows and the shard is served again from it, since
// the shard's row does not name it.
type HandOverShard struct {
	Shard, To string
	Row       encoder.ShardRow
}

// DropShard drops a shard without a handover, after the lease was lost.
type DropShard struct{ Shard string }

// ReadLeaseRows reads the lease rows of the hosts; answer with LeaseRowsRead.
type ReadLeaseRows struct{ Hosts []string }

// ReadShardRows reads the rows of the shards; answer with ShardRowsRead.
type ReadShardRows struct{ Shards []string }

// LeaseChanged reports that the own lease became valid or expired.
type LeaseChanged struct{ Valid bool }

// Drained reports that a requested drain has handed over all shards.
type Drained struct{}

// RowDamaged reports a row that cannot be decoded. It is not acted upon.
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
