package recorder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// cleanupInterval is the pause between two parts that a daemon looks through. With
	// several daemons, each part is looked through every few minutes.
	cleanupInterval = 15 * time.Second
	// busyCleanupInterval applies while expired rows are found.
	busyCleanupInterval = time.Second
	// cleanupRows bounds the rows of one step: at most two entries a row in one transaction.
	cleanupRows = 40
	// cleanupTimeout bounds one step.
	cleanupTimeout = 5 * time.Second
)

// RunCleanup removes rows that have expired until the context ends. Daemons pick parts at
// random: two that meet in one part do no harm, since removals are conditional.
func (r *Recorder) RunCleanup(ctx context.Context) {
	pause := cleanupInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = cleanupInterval
		if !r.Up() {
			continue
		}
		if r.cleanUpTurns(ctx)+r.cleanUpPrograms(ctx) > 0 {
			pause = busyCleanupInterval
		}
	}
}

func (r *Recorder) cleanUpTurns(ctx context.Context) int {
	parts := historian.Partitions()
	part := parts[rand.IntN(len(parts))]
	return r.cleanUpRange(ctx, historian.ExpiredRange(part, time.Now(), cleanupRows), func(row *provider.VersionedRow) (provider.RowTransaction, bool) {
		return historian.Removal(row), true
	})
}

func (r *Recorder) cleanUpPrograms(ctx context.Context) int {
	part := "p" + strconv.Itoa(rand.IntN(programPartitions))
	now := time.Now().Unix()
	rows := provider.RowRange{Table: programTable, Part: part, From: r.cleanupStart[part]}
	return r.cleanUpRange(ctx, rows, func(row *provider.VersionedRow) (provider.RowTransaction, bool) {
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

// cleanUpRange reads a range and removes what has expired in it. It returns the number of rows.
func (r *Recorder) cleanUpRange(
	ctx context.Context, rows provider.RowRange,
	removal func(*provider.VersionedRow) (provider.RowTransaction, bool),
) int {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	page, err := r.readRange(ctx, rows)
	if err != nil {
		r.log.Warn("expired rows not readable", zap.String("table", rows.Table), zap.String("part", rows.Part), zap.Error(err))
		return 0
	}
	r.cleanupStart[rows.Part] = ""
	if page.More && len(page.Rows) > 0 {
		r.cleanupStart[rows.Part] = page.Rows[len(page.Rows)-1].Key
	}
	removed := 0
	for i := range page.Rows {
		if removed == cleanupRows {
			break
		}
		if t, expired := removal(&page.Rows[i]); expired {
			r.removeRows(t)
			removed++
		}
	}
	if removed > 0 {
		r.log.Info("expired rows", zap.String("table", rows.Table), zap.String("part", rows.Part), zap.Int("removed", removed))
	}
	return removed
}

// removeRows deletes rows with the next background transaction. What fails is found again by
// a later sweep.
func (r *Recorder) removeRows(t provider.RowTransaction) {
	entry := batcher.Entry{
		Ticket: batcher.Ticket(r.tickets.Add(1)), Transaction: t, Background: true,
		Deadline: time.Now().Add(backgroundTimeout),
	}
	r.inbox <- submit{partition: t.Deletes[0].Part, entry: entry, reply: make(chan batcher.Outcome, 1)}
}
