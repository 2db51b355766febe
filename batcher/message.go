package batcher

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Ticket names an entry.
type Ticket uint64

// Entry is a set of changes that are applied together.
type Entry struct {
	Ticket      Ticket
	Transaction provider.RowTransaction
	// Deadline is when the owner stops waiting; the entry is dropped then.
	Deadline time.Time
	// Bytes is the size of the entry's values.
	Bytes int
	// Background entries give way to all others.
	Background bool
}

// Message is an input of State.
type Message interface{ message() }

// Submitted brings a new entry.
type Submitted struct{ Entry Entry }

// Applied says that a batch took effect.
type Applied struct {
	Batch   uint64
	Version int64
}

// Conflicted says that a batch had no effect because of the versions of some rows.
type Conflicted struct {
	Batch uint64
	Rows  []provider.VersionedRow
}

// Failed says that a batch had no effect (KindUnavailable, KindInvalid), or that its
// outcome is not known (KindUnknown).
type Failed struct {
	Batch uint64
	Kind  provider.Kind
}

// ProbeRequested says that another part of the store answers: it is time to probe this one.
type ProbeRequested struct{}

// ReadFailed says that a read of the part was not answered.
type ReadFailed struct{}

// Probed ends a Probe.
type Probed struct{ Succeeded bool }

// Tick lets time pass: deadlines end and pauses are over.
type Tick struct{}

func (Submitted) message()      {}
func (Applied) message()        {}
func (Conflicted) message()     {}
func (Failed) message()         {}
func (ProbeRequested) message() {}
func (ReadFailed) message()     {}
func (Probed) message()         {}
func (Tick) message()           {}

// Command is an output of State.
type Command interface{ command() }

// Apply asks for a transaction, to be given up after the timeout.
type Apply struct {
	Batch       uint64
	Transaction provider.RowTransaction
	Timeout     time.Duration
}

// Outcome is how an entry ended.
type Outcome struct {
	// Kind is KindNone when the entry took effect, KindConflict when a condition
	// failed, KindUnknown when it may take effect, else it had no effect.
	Kind provider.Kind
	// Version is the version of the written rows.
	Version int64
	// Rows are the current rows of the conditions of a conflict.
	Rows []provider.VersionedRow
}

// Resolve tells the owner of an entry how it ended.
type Resolve struct {
	Ticket  Ticket
	Outcome Outcome
}

// Probe asks for a short read, to be given up after the timeout. It tells a store that is
// down from one that has lost an answer.
type Probe struct{ Timeout time.Duration }

// HealthChanged says that the part stopped or began again to take writes.
type HealthChanged struct{ Up bool }

func (Apply) command()         {}
func (Resolve) command()       {}
func (Probe) command()         {}
func (HealthChanged) command() {}
