package emulator

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// RowStore is an in-memory provider.RowStore with fault injection. It is safe for
// concurrent use.
type RowStore struct {
	mutex   sync.Mutex
	rows    map[provider.RowKey]provider.VersionedRow
	history []provider.VersionedRow
	version int64
	// droppedVersion is the version up to which the history has been dropped.
	droppedVersion int64
	changed        chan struct{}
	down           bool
	partitionDown  func(partition string) bool
	loseResponse   func() bool
	applied        int
	pageRows       int
}

// defaultPageRows is the number of rows of a page, as on the platform.
const defaultPageRows = 500

// NewRowStore returns an empty store without faults.
func NewRowStore() *RowStore {
	return &RowStore{rows: map[provider.RowKey]provider.VersionedRow{}, changed: make(chan struct{}), pageRows: defaultPageRows}
}

// SetDown makes all requests fail with KindUnavailable.
func (r *RowStore) SetDown(down bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.down = down
}

// SetPageRows sets the largest number of rows in a page of a range.
func (r *RowStore) SetPageRows(rows int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pageRows = rows
}

// SetPartitionDown sets a function that reports whether a partition is down. A transaction
// over such a partition fails with KindUnknown, as if there were no response.
func (r *RowStore) SetPartitionDown(down func(partition string) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.partitionDown = down
}

// isDown reports whether a partition is down.
func (r *RowStore) isDown(partition string) bool {
	return r.partitionDown != nil && r.partitionDown(partition)
}

// SetResponseLoss sets a function that decides whether the response to a transaction is lost
// after the transaction took effect.
func (r *RowStore) SetResponseLoss(lose func() bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loseResponse = lose
}

// DropHistory drops the history of changes, so that a feed from an earlier version fails.
func (r *RowStore) DropHistory() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history, r.droppedVersion = nil, r.version
}

// Applied returns the number of transactions that took effect.
func (r *RowStore) Applied() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.applied
}

// Get returns a row without faults. A row that does not exist has VersionAbsent.
func (r *RowStore) Get(key provider.RowKey) provider.VersionedRow {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.get(key)
}

func (r *RowStore) get(key provider.RowKey) provider.VersionedRow {
	row, ok := r.rows[key]
	if !ok {
		return provider.VersionedRow{RowKey: key}
	}
	return row
}

var errDown = errors.New("store is down")

// Apply implements provider.RowStore.
func (r *RowStore) Apply(ctx context.Context, t provider.RowTransaction) (int64, error) {
	const operation = "rows.apply"
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down || ctx.Err() != nil {
		return 0, provider.NewError(operation, provider.KindUnavailable, errDown)
	}
	for _, k := range t.Keys() {
		if r.isDown(k.Partition) {
			return 0, provider.NewError(operation, provider.KindUnknown, errDown)
		}
	}
	conflict := false
	var current []provider.VersionedRow
	for _, c := range t.Conditions {
		row := r.get(c.RowKey)
		current = append(current, row)
		conflict = conflict || row.Version != c.Version
	}
	if conflict {
		return 0, provider.NewError(operation, provider.KindConflict, &provider.RowConflictError{Rows: current})
	}
	r.version++
	r.applied++
	for _, w := range t.Writes {
		row := provider.VersionedRow{RowKey: w.RowKey, Version: r.version, Value: slices.Clone(w.Value)}
		r.rows[w.RowKey] = row
		r.history = append(r.history, row)
	}
	for _, k := range t.Deletes {
		delete(r.rows, k)
		r.history = append(r.history, provider.VersionedRow{RowKey: k, Version: r.version, Deleted: true})
	}
	close(r.changed)
	r.changed = make(chan struct{})
	if r.loseResponse != nil && r.loseResponse() {
		return 0, provider.NewError(operation, provider.KindUnknown, errors.New("response lost"))
	}
	return r.version, nil
}

// Range implements provider.RowStore.
func (r *RowStore) Range(_ context.Context, q provider.RowRange) (provider.RowPage, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down || r.isDown(q.Partition) {
		return provider.RowPage{}, provider.NewError("rows.range", provider.KindUnavailable, errDown)
	}
	page := provider.RowPage{Version: r.version}
	for key, row := range r.rows {
		if key.Table == q.Table && key.Partition == q.Partition && key.Key >= q.From && (q.To == "" || key.Key < q.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b provider.VersionedRow) int { return cmp.Compare(a.Key, b.Key) })
	limit := r.pageRows
	if q.Limit > 0 {
		limit = min(limit, q.Limit)
	}
	if len(page.Rows) > limit {
		page.Rows, page.More = page.Rows[:limit], true
	}
	return page, nil
}

// Feed implements provider.RowStore.
func (r *RowStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (provider.RowPage, error) {
	timeout := time.After(wait)
	for {
		page, changed, err := r.changes(table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, provider.NewError("rows.feed", provider.KindUnknown, ctx.Err())
		}
	}
}

func (r *RowStore) changes(table string, after int64) (provider.RowPage, <-chan struct{}, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down {
		return provider.RowPage{}, nil, provider.NewError("rows.feed", provider.KindUnavailable, errDown)
	}
	if after < r.droppedVersion {
		return provider.RowPage{}, nil, provider.NewError("rows.feed", provider.KindNotFound, errors.New("history before this version was dropped"))
	}
	page := provider.RowPage{Version: r.version}
	for _, row := range r.history {
		if row.Table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, r.changed, nil
}
