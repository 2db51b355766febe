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
	// Version is the version that the row must have. AnyVersion (-1) sets no
	// condition; it is for a shard that this daemon owns, whose row no other daemon
	// can write.
	Version int64
	// AppendLogRange appends this daemon's log after the current sequence to the
	// log ranges of the row.
	AppendLogRange bool
}

// AnyVersion in a ShardWrite sets no condition.
const AnyVersion int64 = -1

// Message is an input of State.Update.
type Message interface{ message() }

// AppendRequested requests a durable write of records or of shard rows, or the
// deletion of the log rows up to TrimThrough. A write is atomic; a deletion takes
// several transactions if it has more rows than one may delete. A request with
// none of these is a marker and needs no write: all records requested before it are
// in log rows up to the Sequence of its TicketCommitted, all later ones in rows
// after it.
type AppendRequested struct {
	Ticket      Ticket
	Records     []encoder.Record
	Shards      []ShardWrite
	TrimThrough int
}

// RenewalRequested requests an immediate renewal of the lease.
type RenewalRequested struct{}

// CommitFinished reports the outcome of a transaction.
type CommitFinished struct {
	ID       string
	Kind     provider.Kind
	Versions []int64
}

// LeaseRowRead reports the result of a ReadLeaseRow; Kind is not KindNone when the
// read failed.
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

// ReleaseRequested requests the release of the lease after all pending requests.
type ReleaseRequested struct{}

// Restarted continues under a new incarnation after LeaseLost.
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

// CommitTransaction commits a transaction; send CommitFinished with the result.
type CommitTransaction struct{ Transaction provider.Transaction }

// ReadLeaseRow reads the host's lease row; send LeaseRowRead with the result.
type ReadLeaseRow struct{}

// PutObject stores the body of a large record; send PutFinished with the result.
type PutObject struct {
	Name  string
	Value []byte
}

// DeleteObject deletes the body of a record whose log row was deleted. A failure has
// no effect on the state.
type DeleteObject struct{ Name string }

// TicketCommitted reports that a request is durable. Sequence is the last sequence
// of the daemon's log after the request.
type TicketCommitted struct {
	Ticket   Ticket
	Sequence int
}

// TicketDropped reports that a request did not take effect because the lease was
// lost.
type TicketDropped struct{ Ticket Ticket }

// TicketRejected reports that a request did not take effect: KindRefused when the
// bounds on pending requests would be exceeded, KindConflict when a shard row had
// another version.
type TicketRejected struct {
	Ticket Ticket
	Kind   provider.Kind
}

// LeaseRenewed reports that the daemon holds the lease, which is counted from SentAt.
// Past has the logs of the host's earlier incarnations.
type LeaseRenewed struct {
	SentAt      time.Time
	Incarnation string
	Past        []encoder.LogRange
}

// LeaseLost reports that the lease row was changed by another daemon or incarnation,
// for example fenced.
type LeaseLost struct{}

// LeaseReleased reports that the lease has been released as requested.
type LeaseReleased struct{}

// StoreHealthChanged reports that the store became unreachable or reachable again.
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
