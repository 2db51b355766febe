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

// RowStore is an in-memory provider.RowStore with faults. It is safe for concurrent use.
type RowStore struct {
	mutex   sync.Mutex
	rows    map[provider.RowKey]provider.VersionedRow
	history []provider.VersionedRow
	version int64
	// forgotten is the version up to which the history is gone.
	forgotten int64
	changed   chan struct{}
	down      bool
	partDown  func(part string) bool
	lose      func() bool
	applied   int
}

// NewRowStore returns an empty store that is up.
func NewRowStore() *RowStore {
	return &RowStore{rows: map[provider.RowKey]provider.VersionedRow{}, changed: make(chan struct{})}
}

// SetDown makes the store refuse all calls.
func (r *RowStore) SetDown(down bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.down = down
}

// SetPartitionDown sets a function that decides which parts do not answer.
func (r *RowStore) SetPartitionDown(down func(part string) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.partDown = down
}

// silent reports whether a part does not answer.
func (r *RowStore) silent(part string) bool { return r.partDown != nil && r.partDown(part) }

// SetResponseLoss sets a function that decides whether the answer to a transaction that took
// effect is lost.
func (r *RowStore) SetResponseLoss(lose func() bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lose = lose
}

// DropHistory drops the history, so that feeds from before fail.
func (r *RowStore) DropHistory() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history, r.forgotten = nil, r.version
}

// Applied returns the number of transactions that took effect.
func (r *RowStore) Applied() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.applied
}

// Get returns a row, with VersionAbsent when there is none.
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

var errDown = errors.New("the store is down")

// Apply implements provider.RowStore.
func (r *RowStore) Apply(ctx context.Context, t provider.RowTransaction) (int64, error) {
	const operation = "rows.apply"
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down || ctx.Err() != nil {
		return 0, provider.NewError(operation, provider.KindUnavailable, errDown)
	}
	for _, k := range t.Keys() {
		if r.silent(k.Partition) {
			return 0, provider.NewError(operation, provider.KindUnknown, errDown)
		}
	}
	broken := false
	var current []provider.VersionedRow
	for _, c := range t.Conditions {
		row := r.get(c.RowKey)
		current = append(current, row)
		broken = broken || row.Version != c.Version
	}
	if broken {
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
	if r.lose != nil && r.lose() {
		return 0, provider.NewError(operation, provider.KindUnknown, errors.New("answer lost"))
	}
	return r.version, nil
}

// Range implements provider.RowStore.
func (r *RowStore) Range(_ context.Context, q provider.RowRange) (provider.RowPage, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down || r.silent(q.Partition) {
		return provider.RowPage{}, provider.NewError("rows.range", provider.KindUnavailable, errDown)
	}
	page := provider.RowPage{Version: r.version}
	for key, row := range r.rows {
		if key.Table == q.Table && key.Partition == q.Partition && key.Key >= q.From && (q.To == "" || key.Key < q.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b provider.VersionedRow) int { return cmp.Compare(a.Key, b.Key) })
	if q.Limit > 0 && len(page.Rows) > q.Limit {
		page.Rows, page.More = page.Rows[:q.Limit], true
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
	if after < r.forgotten {
		return provider.RowPage{}, nil, provider.NewError("rows.feed", provider.KindNotFound, errors.New("history is gone"))
	}
	page := provider.RowPage{Version: r.version}
	for _, row := range r.history {
		if row.Table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, r.changed, nil
}
