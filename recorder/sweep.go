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
	// sweepInterval is the pause between two parts that a daemon looks through. With
	// several daemons, each part is looked through every few minutes.
	sweepInterval = 15 * time.Second
	// busySweepInterval applies while expired rows are found.
	busySweepInterval = time.Second
	// sweepRows bounds the rows of one step: at most two entries a row in one transaction.
	sweepRows = 40
	// sweepPatience bounds one step.
	sweepPatience = 5 * time.Second
)

// RunCleanup removes rows that have expired until the context ends. Daemons pick parts at
// random: two that meet in one part do no harm, since removals are conditional.
func (r *Recorder) RunCleanup(ctx context.Context) {
	pause := sweepInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = sweepInterval
		if !r.Up() {
			continue
		}
		if r.sweepTurns(ctx)+r.sweepPrograms(ctx) > 0 {
			pause = busySweepInterval
		}
	}
}

func (r *Recorder) sweepTurns(ctx context.Context) int {
	parts := historian.Partitions()
	part := parts[rand.IntN(len(parts))]
	return r.sweep(ctx, historian.ExpiredRange(part, time.Now(), sweepRows), func(row *provider.VersionedRow) (provider.RowTransaction, bool) {
		return historian.Removal(row), true
	})
}

func (r *Recorder) sweepPrograms(ctx context.Context) int {
	part := "p" + strconv.Itoa(rand.IntN(programParts))
	now := time.Now().Unix()
	rows := provider.RowRange{Table: programTable, Partition: part, From: r.sweepFrom[part]}
	return r.sweep(ctx, rows, func(row *provider.VersionedRow) (provider.RowTransaction, bool) {
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

// sweep reads a range and removes what has expired in it. It returns the number of rows.
func (r *Recorder) sweep(
	ctx context.Context, rows provider.RowRange,
	removal func(*provider.VersionedRow) (provider.RowTransaction, bool),
) int {
	ctx, cancel := context.WithTimeout(ctx, sweepPatience)
	defer cancel()
	page, err := r.read(ctx, rows)
	if err != nil {
		r.log.Warn("expired rows not readable", zap.String("table", rows.Table), zap.String("part", rows.Partition), zap.Error(err))
		return 0
	}
	r.sweepFrom[rows.Partition] = ""
	if page.More && len(page.Rows) > 0 {
		r.sweepFrom[rows.Partition] = page.Rows[len(page.Rows)-1].Key
	}
	removed := 0
	for i := range page.Rows {
		if removed == sweepRows {
			break
		}
		if t, expired := removal(&page.Rows[i]); expired {
			r.remove(t)
			removed++
		}
	}
	if removed > 0 {
		r.log.Info("expired rows", zap.String("table", rows.Table), zap.String("part", rows.Partition), zap.Int("removed", removed))
	}
	return removed
}

// remove deletes rows with the next background transaction. What fails is found again by
// a later sweep.
func (r *Recorder) remove(t provider.RowTransaction) {
	entry := batcher.Entry{
		Ticket: batcher.Ticket(r.tickets.Add(1)), Transaction: t, Background: true,
		Deadline: time.Now().Add(backgroundPatience),
	}
	r.inbox <- submit{part: t.Deletes[0].Partition, entry: entry, reply: make(chan batcher.Outcome, 1)}
}
