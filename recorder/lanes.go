package recorder

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// lane is the queue of writes to one part of the store. Parts fail one by one.
type lane struct {
	part  string
	state *batcher.State
}

// health tells traffic which parts are up. The loop replaces it when a part changes.
type health map[string]bool

// Up reports whether some part of the store takes writes, as far as is known.
func (r *Recorder) Up() bool {
	down := *r.down.Load()
	return len(down) == 0 || len(down) < int(r.laneCount.Load())
}

// partUp reports whether a part takes writes, as far as is known.
func (r *Recorder) partUp(part string) bool { return !(*r.down.Load())[part] }

func (r *Recorder) lane(part string) *lane {
	l := r.lanes[part]
	if l == nil {
		options := r.options.Batcher
		options.Seed += uint64(len(r.lanes))
		l = &lane{part: part, state: batcher.New(options)}
		r.lanes[part] = l
		r.laneCount.Store(int64(len(r.lanes)))
	}
	return l
}

// busy reports whether entries wait or a part is down.
func (r *Recorder) busy() bool {
	if len(*r.down.Load()) > 0 {
		return true
	}
	for _, l := range r.lanes {
		if l.state.QueueLength() > 0 {
			return true
		}
	}
	return false
}

func (r *Recorder) runLane(ctx context.Context, now time.Time, part string, m batcher.Message) {
	for _, c := range r.lane(part).state.Update(now, m) {
		switch c := c.(type) {
		case batcher.Apply:
			r.apply(ctx, part, c)
		case batcher.Resolve:
			r.resolve(ctx, now, c)
		case batcher.Probe:
			r.probe(ctx, part, c.Timeout)
		case batcher.HealthChanged:
			r.changed(ctx, now, part, c.Up)
		}
	}
}

// changed notes that a part went down or came up. When one comes up, the others are
// probed at once.
func (r *Recorder) changed(ctx context.Context, now time.Time, part string, up bool) {
	down := health{}
	for p := range *r.down.Load() {
		down[p] = true
	}
	if up {
		delete(down, part)
	} else {
		down[part] = true
	}
	r.down.Store(&down)
	r.log.Info("part of the store", zap.String("part", part), zap.Bool("up", up), zap.Int("down", len(down)),
		zap.Int("known", len(r.lanes)))
	if !up {
		return
	}
	for p := range down {
		r.runLane(ctx, now, p, batcher.ProbeRequested{})
	}
}

func (r *Recorder) apply(ctx context.Context, part string, c batcher.Apply) {
	r.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		version, err := r.store.Apply(call, c.Transaction)
		kind := provider.KindOf(err)
		var conflict *provider.RowConflictError
		switch {
		case err == nil:
			r.send(ctx, laneMessage{part, batcher.Applied{Batch: c.Batch, Version: version}})
		case errors.As(err, &conflict):
			r.send(ctx, laneMessage{part, batcher.Conflicted{Batch: c.Batch, Rows: conflict.Rows}})
		default:
			r.log.Warn("transaction failed", zap.String("part", part), zap.Uint64("batch", c.Batch),
				zap.Int("entries", c.Transaction.EntryCount()), zap.Stringer("kind", kind), zap.Duration("timeout", c.Timeout),
				zap.Error(err))
			r.send(ctx, laneMessage{part, batcher.Failed{Batch: c.Batch, Kind: kind}})
		}
	})
}

// probe reads at most one row of a part.
func (r *Recorder) probe(ctx context.Context, part string, timeout time.Duration) {
	r.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_, err := r.store.Range(call, provider.RowRange{Table: programTable, Partition: part, From: "~", Limit: 1})
		r.send(ctx, laneMessage{part, batcher.Probed{Succeeded: err == nil}})
	})
}
