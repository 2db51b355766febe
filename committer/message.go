package committer

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Ticket names a request of the caller's. Tickets are chosen by the caller.
type Ticket int64

// ShardWrite writes one shard row.
type ShardWrite struct {
	Row encoder.ShardRow
	// Version is the version that the row must have; -1 sets no condition, for a
	// shard that this daemon owns and that nobody else can write.
	Version int64
	// AppendLogRange appends this daemon's log, from its current sequence on, to the
	// row's logs.
	AppendLogRange bool
}

// AnyVersion in a ShardWrite sets no condition.
const AnyVersion int64 = -1

// Message is an input of State.Update.
type Message interface{ message() }

// AppendRequested asks for a durable write of records, of shard rows, or for the
// deletion of the log rows up to TrimThrough. A request is atomic. A request with
// none of these is a marker: it needs no write, and all records requested before it
// are in log rows up to the Sequence of its TicketCommitted, all later ones behind.
type AppendRequested struct {
	Ticket      Ticket
	Records     []encoder.Record
	Shards      []ShardWrite
	TrimThrough int
}

// RenewalRequested asks for a renewal now.
type RenewalRequested struct{}

// CommitFinished reports the outcome of a transaction.
type CommitFinished struct {
	ID       string
	Kind     provider.Kind
	Versions []int64
}

// LeaseRowRead reports the lease row; Kind is not KindNone when the read failed.
type LeaseRowRead struct {
	Row  provider.Row
	Kind provider.Kind
}

// PutFinished reports the outcome of a PutObject.
type PutFinished struct {
	Name string
	Kind provider.Kind
}

// LiveHostsChanged reports the number of live daemons, which share the write budget.
type LiveHostsChanged struct{ Hosts int }

// ReleaseRequested asks for the release of the lease after all pending requests.
type ReleaseRequested struct{}

// Restarted continues under a new incarnation after LeaseLost.
type Restarted struct{ Incarnation string }

// Tick lets time pass; send it at the time that State.Next returns.
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

// CommitTransaction sends a transaction; answer with CommitFinished.
type CommitTransaction struct{ Transaction provider.Transaction }

// ReadLeaseRow reads the host's lease row; answer with LeaseRowRead.
type ReadLeaseRow struct{}

// PutObject stores the body of a large record; answer with ObjectPut.
type PutObject struct {
	Name  string
	Value []byte
}

// DeleteObject removes the body of a record whose log row was deleted. It may fail.
type DeleteObject struct{ Name string }

// TicketCommitted reports that a request is durable. Sequence is the sequence of
// the daemon's log after it.
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

// LeaseRenewed reports that the lease is held, measured from SentAt. Past has the logs
// of the host's earlier incarnations.
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
