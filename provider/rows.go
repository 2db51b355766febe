package provider

import (
	"context"
	"slices"
	"time"
)

// RowKey names a row of a partitioned table. Rows of one part are written by one
// cheap transaction; a transaction over several parts costs twice as much.
type RowKey struct {
	Table     string
	Partition string
	Key       string
}

// VersionedRow is a row of a partitioned table. Version is taken from one counter
// that rises with each transaction of the store; VersionAbsent means that the row
// does not exist.
type VersionedRow struct {
	RowKey
	Version int64
	Value   []byte
	// Deleted marks a dropped row in a feed.
	Deleted bool
}

// RowCondition requires that a row has exactly the given version.
type RowCondition struct {
	RowKey
	Version int64
}

// RowWrite sets one row.
type RowWrite struct {
	RowKey
	Value []byte
}

// RowTransaction applies all writes and deletes if all conditions hold, or nothing.
type RowTransaction struct {
	Conditions []RowCondition
	Writes     []RowWrite
	Deletes    []RowKey
}

// EntryCount returns the number of entries that count towards the store's limit.
func (t *RowTransaction) EntryCount() int {
	return len(t.Conditions) + len(t.Writes) + len(t.Deletes)
}

// Keys returns the rows that the transaction names.
func (t *RowTransaction) Keys() []RowKey {
	keys := slices.Clone(t.Deletes)
	for i := range t.Conditions {
		keys = append(keys, t.Conditions[i].RowKey)
	}
	for i := range t.Writes {
		keys = append(keys, t.Writes[i].RowKey)
	}
	return keys
}

// RowRange selects rows of one part with From <= key < To; empty bounds are open.
type RowRange struct {
	Table     string
	Partition string
	From      string
	To        string
	Limit     int
}

// RowPage is a consistent view of a range.
type RowPage struct {
	Rows    []VersionedRow
	More    bool
	Version int64
}

// RowConflictError is the cause of a KindConflict error of RowStore.Apply. It has the
// current rows of the transaction's conditions.
type RowConflictError struct {
	Rows []VersionedRow
}

// Error says that a condition failed.
func (c *RowConflictError) Error() string { return "a row has another version" }

// RowStore is a transactional store of partitioned tables with a feed of changes.
type RowStore interface {
	// Apply runs a transaction and returns the version of the rows that it wrote. A
	// KindConflict error has a RowConflict as its cause.
	Apply(ctx context.Context, transaction RowTransaction) (int64, error)
	// Range reads one page of a part.
	Range(ctx context.Context, r RowRange) (RowPage, error)
	// Feed returns the rows of a table that changed after a version. It waits up to
	// the given time for the first change. KindNotFound means that the history is
	// gone and the table must be read anew.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (RowPage, error)
}
