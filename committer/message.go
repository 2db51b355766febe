package committer

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Ticket identifies a request. The caller chooses it.
type Ticket int64

// ShardWrite writes one shard row.
type ShardWrite struct {
	Row encoder.ShardRow
	// Version is the version that the row must have, or AnyVersion for a shard that
	// this daemon owns and that no other daemon can write.
	Version int64
	// AppendLogRange appends the range of this daemon's log that starts after its
	// current sequence to the row's logs.
	AppendLogRange bool
}

// AnyVersion in a ShardWrite sets no condition.
const AnyVersion int64 = -1

// Message is an input of State.Update.
type Message interface{ message() }

// AppendRequested requests a durable write of records or of shard rows, or the deletion
// of the log rows up to TrimThrough. A request is atomic. A request with none of these
// is a marker, which needs no write: all records requested before it are in log rows up
// to the Sequence of its TicketCommitted, and all later ones are in rows after it.
type AppendRequested struct {
	Ticket      Ticket
	Records     []encoder.Record
	Shards      []ShardWrite
	TrimThrough int
}

// RenewalRequested requests an immediate renewal of the lease.
type RenewalRequested struct{}

// CommitFinished is the result of CommitTransaction.
type CommitFinished struct {
	ID       string
	Kind     provider.Kind
	Versions []int64
}

// LeaseRowRead is the result of ReadLeaseRow. Kind is KindNone unless the read failed.
type LeaseRowRead struct {
	Row  provider.Row
	Kind provider.Kind
}

// PutFinished is the result of PutObject.
type PutFinished struct {
	Name string
	Kind provider.Kind
}

// LiveHostsChanged reports the number of live daemons, which share the write budget.
type LiveHostsChanged struct{ Hosts int }

// ReleaseRequested requests the release of the lease after all pending requests.
type ReleaseRequested struct{}

// Restarted starts a new incarnation after LeaseLost.
type Restarted struct{ Incarnation string }

// Tick reports that time has passed. Send it at the time that State.Next returns.
type Tick struct{}

func (AppendRequested) message()  {}
func (RenewalRequested) message() {}
func (CommitFinished) message()   {}
func (LeaseRowRead) message()     {}
func (PutFinished) message()      {}
func (LiveHostsChanged) message() {}
func (ReleaseRequested) message() {}
func (Restarted) message()        {}
func (Tick) message()             {}

// Command is an output of State.Update.
type Command interface{ command() }

// CommitTransaction sends a transaction to the store. Its result is CommitFinished.
type CommitTransaction struct{ Transaction provider.Transaction }

// ReadLeaseRow reads the host's lease row. Its result is LeaseRowRead.
type ReadLeaseRow struct{}

// PutObject stores the body of a large record. Its result is PutFinished.
type PutObject struct {
	Name  string
	Value []byte
}

// DeleteObject deletes the body of a record whose log row was deleted. It has no result.
type DeleteObject struct{ Name string }

// TicketCommitted reports that a request is durable. Sequence is the sequence of the
// last log row at that time.
type TicketCommitted struct {
	Ticket   Ticket
	Sequence int
}

// TicketDropped reports that a request did not take effect because the lease was
// lost.
type TicketDropped struct{ Ticket Ticket }

// TicketRejected reports that a request did not take effect: KindRefused when the
// bounds on pending requests are exceeded, KindConflict when a shard row had
// another version.
type TicketRejected struct {
	Ticket Ticket
	Kind   provider.Kind
}

// LeaseRenewed reports that the lease is held. Its duration counts from SentAt. Past
// lists the logs of the host's earlier incarnations.
type LeaseRenewed struct {
	SentAt      time.Time
	Incarnation string
	Past        []encoder.LogRange
}

// LeaseLost reports that another daemon has fenced the lease.
type LeaseLost struct{}

// LeaseReleased reports that the lease has been released as requested.
type LeaseReleased struct{}

// StoreHealthChanged reports whether the store can be reached.
type StoreHealthChanged struct{ Reachable bool }

func (CommitTransaction) command()  {}
func (ReadLeaseRow) command()       {}
func (PutObject) command()          {}
func (DeleteObject) command()       {}
func (TicketCommitted) command()    {}
func (TicketDropped) command()      {}
func (TicketRejected) command()     {}
func (LeaseRenewed) command()       {}
func (LeaseLost) command()          {}
func (LeaseReleased) command()      {}
func (StoreHealthChanged) command() {}
