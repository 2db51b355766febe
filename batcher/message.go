package batcher

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Ticket identifies an entry.
type Ticket uint64

// Entry is a set of changes that are applied atomically.
type Entry struct {
	Ticket      Ticket
	Transaction provider.RowTransaction
	// Deadline is when the owner stops waiting. An entry that is still queued then is dropped.
	Deadline time.Time
	// Bytes is the size of the entry's values.
	Bytes int
	// Background entries are sent only when no others wait.
	Background bool
}

// Message is an input of State.
type Message interface{ message() }

// Submitted adds an entry to the queue.
type Submitted struct{ Entry Entry }

// Applied reports that a batch took effect.
type Applied struct {
	Batch   uint64
	Version int64
}

// Conflicted reports that a batch had no effect since some rows have other versions than
// its conditions require.
type Conflicted struct {
	Batch uint64
	Rows  []provider.VersionedRow
}

// Failed reports that a batch had no effect (KindUnavailable, KindInvalid) or that its
// outcome is unknown (KindUnknown).
type Failed struct {
	Batch uint64
	Kind  provider.Kind
}

// ProbeRequested makes the next probe due at once, since another partition of the store has
// responded. It has no effect while the partition is healthy.
type ProbeRequested struct{}

// ReadFailed reports that a read of the partition failed or timed out.
type ReadFailed struct{}

// Probed is the result of a Probe.
type Probed struct{ Succeeded bool }

// Tick drops entries whose deadline has passed and resumes sending after a backoff. Send it
// periodically.
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

// Apply runs a transaction, cancelled after the timeout.
type Apply struct {
	Batch       uint64
	Transaction provider.RowTransaction
	Timeout     time.Duration
}

// Outcome is the result of an entry.
type Outcome struct {
	// Kind is KindNone when the entry took effect, KindConflict when a condition failed
	// and KindUnknown when the entry may take effect. With any other kind it had no effect.
	Kind provider.Kind
	// Version is the version of the written rows.
	Version int64
	// Rows are the current rows of the conditions of a conflict.
	Rows []provider.VersionedRow
}

// Resolve passes the outcome of an entry to its owner.
type Resolve struct {
	Ticket  Ticket
	Outcome Outcome
}

// Probe runs a short read, cancelled after the timeout. It distinguishes a partition that is
// down from a lost response.
type Probe struct{ Timeout time.Duration }

// HealthChanged reports that the partition went down or accepts writes again.
type HealthChanged struct{ Up bool }

func (Apply) command()         {}
func (Resolve) command()       {}
func (Probe) command()         {}
func (HealthChanged) command() {}
