package emulator

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/btree"
	"golang.org/x/time/rate"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// ScanRowsPerRead is the number of rows of a scan that count as one read.
const ScanRowsPerRead = 100

// maxThrottleWait is the longest time that a request waits for the rate limit. A request
// that would wait longer is rejected.
const maxThrottleWait = time.Second

// TableStoreOptions holds the rate limits of a table service. Zero means no limit.
type TableStoreOptions struct {
	// WritesPerSec limits transactions, ReadsPerSec reads and scans.
	WritesPerSec float64
	ReadsPerSec  float64
}

// TableStoreCounters counts the operations of a table service since its start.
type TableStoreCounters struct {
	Commits, Conflicts, RowsWritten, Reads, RowsRead, Throttled int64
}

// TableStore is an in-memory transactional table service with fault injection. It is safe
// for concurrent use.
type TableStore struct {
	faults   *Faults
	writes   *rate.Limiter
	reads    *rate.Limiter
	mutex    sync.Mutex
	rows     btree.Map[string, provider.Row]
	versions map[string]int64
	counters TableStoreCounters
	observe  func(provider.Transaction, provider.CommitResult)
}

// NewTableStore returns an empty table service.
func NewTableStore(options TableStoreOptions, faults *Faults) *TableStore {
	return &TableStore{
		faults:   faults,
		writes:   newLimiter(options.WritesPerSec),
		reads:    newLimiter(options.ReadsPerSec),
		versions: map[string]int64{},
	}
}

func newLimiter(perSec float64) *rate.Limiter {
	if perSec <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSec), max(1, int(perSec/10)))
}

// Faults returns the fault switches.
func (t *TableStore) Faults() *Faults { return t.faults }

// Counters returns the current counters.
func (t *TableStore) Counters() TableStoreCounters {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.counters
}

// Observe sets a function that is called for each transaction that takes effect, in the
// order in which they do. The store is locked during the function.
func (t *TableStore) Observe(observe func(provider.Transaction, provider.CommitResult)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.observe = observe
}

// ForCaller returns a client of the service whose requests are subject to the faults of
// the named caller and to the rate limits.
func (t *TableStore) ForCaller(caller string) provider.TableStore { return callerTableStore{t, caller} }

type callerTableStore struct {
	tables *TableStore
	caller string
}

func rowKey(table, key string) string { return table + "\x00" + key }

// Apply applies a transaction at once, without faults and rate limits.
func (t *TableStore) Apply(transaction provider.Transaction) (provider.CommitResult, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, condition := range transaction.Conditions {
		row, _ := t.rows.Get(rowKey(condition.Table, condition.Key))
		if row.Version != condition.Version {
			t.counters.Conflicts++
			cause := fmt.Errorf("row %s/%s has version %d, expected %d",
				condition.Table, condition.Key, row.Version, condition.Version)
			return provider.CommitResult{}, provider.NewError("tables.commit", provider.KindConflict, cause)
		}
	}
	result := provider.CommitResult{Versions: make([]int64, len(transaction.Writes))}
	for i, write := range transaction.Writes {
		result.Versions[i] = t.write(write)
	}
	t.counters.Commits++
	t.counters.RowsWritten += int64(len(transaction.Writes))
	if t.observe != nil {
		t.observe(transaction, result)
	}
	return result, nil
}

func (t *TableStore) write(write provider.Write) int64 {
	key := rowKey(write.Table, write.Key)
	t.versions[key]++
	version := t.versions[key]
	if write.Delete {
		t.rows.Delete(key)
		return version
	}
	value := append([]byte(nil), write.Value...)
	t.rows.Set(key, provider.Row{Table: write.Table, Key: write.Key, Version: version, Value: value})
	return version
}

// Get returns a row at once, without faults and rate limits.
func (t *TableStore) Get(table, key string) provider.Row {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counters.Reads++
	t.counters.RowsRead++
	row, found := t.rows.Get(rowKey(table, key))
	if !found {
		return provider.Row{Table: table, Key: key, Version: provider.VersionAbsent}
	}
	return row
}

// Rows returns up to limit rows whose keys have the prefix, starting after the given key.
// It does so at once, without faults and rate limits. A limit of 0 means all rows.
func (t *TableStore) Rows(table, prefix, after string, limit int) []provider.Row {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	start := rowKey(table, max(prefix, after))
	var rows []provider.Row
	t.rows.Ascend(start, func(_ string, row provider.Row) bool {
		if row.Table != table || !strings.HasPrefix(row.Key, prefix) || limit > 0 && len(rows) == limit {
			return false
		}
		if after == "" || row.Key > after {
			rows = append(rows, row)
		}
		return true
	})
	t.counters.Reads += 1 + int64(len(rows)/ScanRowsPerRead)
	t.counters.RowsRead += int64(len(rows))
	return rows
}

// Commit applies a transaction, subject to faults and the rate limit.
func (c callerTableStore) Commit(ctx context.Context, transaction provider.Transaction) (provider.CommitResult, error) {
	var result provider.CommitResult
	var err error
	responded, failure := c.run(ctx, c.tables.writes, func() { result, err = c.tables.Apply(transaction) })
	if failure != nil {
		return provider.CommitResult{}, provider.NewError("tables.commit", provider.KindUnavailable, failure)
	}
	if !responded {
		return provider.CommitResult{}, provider.NewError("tables.commit", provider.KindUnknown, errNoResponse)
	}
	return result, err
}

// Read returns one row, subject to faults and the rate limit.
func (c callerTableStore) Read(ctx context.Context, table, key string) (provider.Row, error) {
	var row provider.Row
	responded, failure := c.run(ctx, c.tables.reads, func() { row = c.tables.Get(table, key) })
	if err := readError("tables.read", responded, failure); err != nil {
		return provider.Row{}, err
	}
	return row, nil
}

// Scan returns rows, subject to faults and the rate limit.
func (c callerTableStore) Scan(ctx context.Context, table, prefix, after string, limit int) ([]provider.Row, error) {
	var rows []provider.Row
	responded, failure := c.run(ctx, c.tables.reads, func() { rows = c.tables.Rows(table, prefix, after, limit) })
	if err := readError("tables.scan", responded, failure); err != nil {
		return nil, err
	}
	return rows, nil
}

var (
	errNoResponse = errors.New("no response")
	errOutage     = errors.New("store outage")
	errThrottle   = errors.New("rate limit exceeded")
)

func readError(operation string, responded bool, failure error) error {
	if failure == nil && !responded {
		failure = errNoResponse
	}
	if failure == nil {
		return nil
	}
	return provider.NewError(operation, provider.KindUnavailable, failure)
}

// run executes one request under the rate limit and the faults of the caller. It reports
// whether the response reached the caller, or the failure of a request that had no effect.
func (c callerTableStore) run(ctx context.Context, limit *rate.Limiter, effect func()) (responded bool, failure error) {
	plan := c.tables.faults.Plan(c.caller)
	if plan.Unavailable {
		return false, errOutage
	}
	reservation := limit.Reserve()
	if wait := reservation.Delay(); wait > maxThrottleWait {
		reservation.Cancel()
		c.tables.mutex.Lock()
		c.tables.counters.Throttled++
		c.tables.mutex.Unlock()
		return false, errThrottle
	} else if wait > 0 && !Sleep(ctx, wait) {
		return false, ctx.Err()
	}
	return plan.Run(ctx, effect), nil
}
