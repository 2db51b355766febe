package provider

import (
	"context"
	"slices"
	"time"
)

// RowKey identifies a row of a partitioned table. A transaction over rows of several
// partitions costs twice as much as one within a single partition.
type RowKey struct {
	Table     string
	Partition string
	Key       string
}

// VersionedRow is a row of a partitioned table. Version is the value that the store's
// transaction counter had when the row was last written; VersionAbsent means that the
// row does not exist.
type VersionedRow struct {
	RowKey
	Version int64
	Value   []byte
	// Deleted marks a deleted row in a feed.
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

// RowTransaction applies all writes and deletes atomically if all conditions hold.
type RowTransaction struct {
	Conditions []RowCondition
	Writes     []RowWrite
	Deletes    []RowKey
}

// EntryCount returns the number of conditions, writes and deletes, which the store
// limits per transaction.
func (t *RowTransaction) EntryCount() int {
	return len(t.Conditions) + len(t.Writes) + len(t.Deletes)
}

// Keys returns the keys of all rows that the transaction checks, writes or deletes.
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

// RowRange selects the rows of one partition with From <= key < To. An empty From or
// To leaves that side unbounded.
type RowRange struct {
	Table     string
	Partition string
	From      string
	To        string
	Limit     int
}

// RowPage is a consistent view of a range as of Version, a value of the store's
// transaction counter. More means that the range has further rows.
type RowPage struct {
	Rows    []VersionedRow
	More    bool
	Version int64
	// Age is the time since the store confirmed the page, 0 if the store has just returned it.
	Age time.Duration
}

// RowConflictError is the cause of a KindConflict error of RowStore.Apply. Rows holds
// the current state of the rows in the transaction's conditions.
type RowConflictError struct {
	Rows []VersionedRow
}

// Error implements error.
func (e *RowConflictError) Error() string { return "row version does not match the condition" }

// RowStore is a transactional store of partitioned tables with a feed of changes per
// table.
type RowStore interface {
	// Apply runs a transaction and returns the version of the rows that it wrote. A
	// KindConflict error has a RowConflictError as its cause.
	Apply(ctx context.Context, transaction RowTransaction) (int64, error)
	// Range reads one page of a partition.
	Range(ctx context.Context, r RowRange) (RowPage, error)
	// Feed returns the rows of a table that changed after a version. It waits up to
	// the given time for the first change. KindNotFound means that the store no
	// longer has the changes after that version, so the table must be read again.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (RowPage, error)
}

// ReadAll reads all pages of a range with a function that reads one. The pages may be of different moments; the
// version and the age are those of the first.
func ReadAll(r RowRange, read func(RowRange) (RowPage, error)) (RowPage, error) {
	all, err := read(r)
	for next := all; err == nil && next.More && len(next.Rows) > 0; {
		r.From = next.Rows[len(next.Rows)-1].Key + "\x00"
		if next, err = read(r); err == nil {
			all.Rows = append(all.Rows, next.Rows...)
		}
	}
	if err != nil {
		return RowPage{}, err
	}
	all.More = false
	return all, nil
}

// Ranges returns a function that reads pages of a store.
func Ranges(ctx context.Context, store RowStore) func(RowRange) (RowPage, error) {
	return func(r RowRange) (RowPage, error) { return store.Range(ctx, r) }
}
