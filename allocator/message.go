package allocator

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Ticket identifies a request for a row.
type Ticket uint64

// Message is an input of State.
type Message interface{ message() }

// Request asks the owner to read a second row or, with a value, to write it if it has the version.
type Request struct {
	Ticket  Ticket
	Key     string
	Version int64
	// Value is the new value, nil for a read.
	Value []byte
}

// Tick renews the ownership, and claims the partition if it has no owner. Send it periodically.
type Tick struct {
	// Rank is the position of this daemon among those that may claim the partition, negative if it
	// may not.
	Rank int
	// UnixNow is the wall-clock time in seconds, by which rows expire.
	UnixNow int64
}

// OwnerRead is the result of a ReadOwner. Row is nil if the partition never had an owner.
type OwnerRead struct {
	Kind provider.Kind
	Row  *provider.VersionedRow
}

// Applied is the result of an Apply. After a conflict, Owner is the current row of the owner and Rows are
// the current second rows of the transaction.
type Applied struct {
	Sequence int
	Kind     provider.Kind
	Version  int64
	Owner    provider.VersionedRow
	Rows     []provider.VersionedRow
}

// RowsRead is the result of a ReadRows.
type RowsRead struct {
	Sequence int
	Kind     provider.Kind
	Rows     []provider.VersionedRow
}

// Stopping writes back all grants and releases the partition before the daemon exits.
type Stopping struct{}

func (Request) message()   {}
func (Tick) message()      {}
func (OwnerRead) message() {}
func (Applied) message()   {}
func (RowsRead) message()  {}
func (Stopping) message()  {}

// Command is an output of State.
type Command interface{ command() }

// ReadOwner reads the row that names the owner.
type ReadOwner struct{}

// Change is a write of a second row that has the given version in the store.
type Change struct {
	Key     string
	Version int64
	Value   []byte
}

// Apply writes the row that names the owner if it has the given version, together with second rows.
type Apply struct {
	Sequence int
	Version  int64
	Owner    encoder.BudgetOwner
	Changes  []Change
}

// ReadRows reads all second rows of the partition.
type ReadRows struct{ Sequence int }

// Reply is the result of a Request. Kind is KindNone or KindConflict if Value is the row as it is now,
// with VersionAbsent if there is none, and KindUnavailable if nothing was written.
type Reply struct {
	Ticket  Ticket
	Kind    provider.Kind
	Version int64
	Value   []byte
	// NotOwner is set if this daemon does not own the partition. Owner is the host that does as far
	// as it knows.
	NotOwner bool
	Owner    string
}

// OwnershipChanged reports that this daemon has become the owner or no longer is.
type OwnershipChanged struct {
	Owned bool
	// Other is the host of the owner before or after this daemon, empty if it is not known.
	Other string
	// Blocked is the time for which second rows are not used.
	Blocked time.Duration
	Rows    int
}

// MemoryChanged reports the start or end of granting from memory. Writes is the number of rows that
// were changed in memory meanwhile.
type MemoryChanged struct {
	Active bool
	Writes int
	// SinceRenewal is the time since the last successful renewal was sent.
	SinceRenewal time.Duration
}

func (ReadOwner) command()        {}
func (Apply) command()            {}
func (ReadRows) command()         {}
func (Reply) command()            {}
func (OwnershipChanged) command() {}
func (MemoryChanged) command()    {}
