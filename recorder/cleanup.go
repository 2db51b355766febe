package recorder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// cleanupInterval is the mean delay between two steps of a daemon's clean-up. With several
	// daemons, each partition is checked every few minutes.
	cleanupInterval = 15 * time.Second
	// busyCleanupInterval replaces cleanupInterval while expired rows are found.
	busyCleanupInterval = time.Second
	// cleanupRows bounds the rows that one step removes from a partition. Each budget row
	// takes two entries, a condition and a delete, so that those of a step fit in one
	// transaction.
	cleanupRows = 40
	// cleanupTimeout bounds the clean-up of one partition.
	cleanupTimeout = 5 * time.Second
)

// RunCleanup removes expired rows until the context ends. Daemons pick partitions at random.
// Two daemons may clean up the same partition, since removals are conditional.
func (r *Recorder) RunCleanup(ctx context.Context) {
	interval := cleanupInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval/2 + rand.N(interval)):
		}
		interval = cleanupInterval
		if !r.Up() {
			continue
		}
		if r.cleanUpTurns(ctx)+r.cleanUpBudgets(ctx) > 0 {
			interval = busyCleanupInterval
		}
	}
}

func (r *Recorder) cleanUpTurns(ctx context.Context) int {
	partitions := historian.Partitions()
	partition := partitions[rand.IntN(len(partitions))]
	now := time.Now()
	remove := func(ctx context.Context, row *provider.VersionedRow) (provider.RowTransaction, bool) {
		work := r.work.newShare()
		defer work.release()
		reader := r.turnReader(ctx, func(_, workBytes int) error { return work.grow(ctx, workBytes) })
		turn, err := reader.ReadExpired(row)
		if err != nil {
			r.log.Warn("cannot read an expired turn; a later clean-up retries", zap.String("part", partition), zap.Error(err))
			return provider.RowTransaction{}, false
		}
		return historian.Removal(row, turn, now), true
	}
	return r.cleanUpRange(ctx, historian.ExpiredRange(partition, now, cleanupRows), remove)
}

func (r *Recorder) cleanUpBudgets(ctx context.Context) int {
	partition := partitionName(rand.Uint32N(programPartitions))
	now := time.Now().Unix()
	rows := provider.RowRange{Table: ProgramTable, Partition: partition, From: r.cleanupStart[partition]}
	return r.cleanUpRange(ctx, rows, func(_ context.Context, row *provider.VersionedRow) (provider.RowTransaction, bool) {
		var budget encoder.ProgramBudget
		if err := json.Unmarshal(row.Value, &budget); err == nil && int64(budget.ExpiresAt) > now {
			return provider.RowTransaction{}, false
		}
		return provider.RowTransaction{
			Conditions: []provider.RowCondition{{RowKey: row.RowKey, Version: row.Version}},
			Deletes:    []provider.RowKey{row.RowKey},
		}, true
	})
}

// cleanUpRange reads a range and queues the removal of the expired rows in it. It returns
// their number, 0 if the read fails.
func (r *Recorder) cleanUpRange(
	ctx context.Context, rows provider.RowRange,
	removal func(context.Context, *provider.VersionedRow) (provider.RowTransaction, bool),
) int {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	page, err := r.readRange(ctx, rows)
	if err != nil {
		r.log.Warn("cannot read rows for clean-up; a later clean-up retries", zap.String("table", rows.Table), zap.String("part", rows.Partition), zap.Error(err))
		return 0
	}
	r.cleanupStart[rows.Partition] = ""
	if page.More && len(page.Rows) > 0 {
		r.cleanupStart[rows.Partition] = page.Rows[len(page.Rows)-1].Key
	}
	removed := 0
	for i := range page.Rows {
		if removed == cleanupRows {
			break
		}
		if t, expired := removal(ctx, &page.Rows[i]); expired {
			r.removeRows(t)
			removed++
		}
	}
	if removed > 0 {
		r.log.Info("queued removal of expired rows", zap.String("table", rows.Table), zap.String("part", rows.Partition), zap.Int("removed", removed))
	}
	return removed
}

// removeRows queues a removal as a background entry. If it fails, a later clean-up finds the
// rows again.
func (r *Recorder) removeRows(t provider.RowTransaction) {
	entry := batcher.Entry{
		Ticket: batcher.Ticket(r.tickets.Add(1)), Transaction: t, Background: true,
		Deadline: time.Now().Add(backgroundTimeout),
	}
	r.inbox <- submit{partition: t.Deletes[0].Partition, entry: entry, reply: make(chan batcher.Outcome, 1)}
}
