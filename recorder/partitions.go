package recorder

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// partitionQueue is the queue of writes to one part of the store. Parts fail one by one.
type partitionQueue struct {
	partition string
	state     *batcher.State
}

// partitionSet tells traffic which parts are up. The loop replaces it when a part changes.
type partitionSet map[string]bool

// Up reports whether some part of the store takes writes, as far as is known.
func (r *Recorder) Up() bool {
	down := *r.down.Load()
	return len(down) == 0 || len(down) < int(r.queueCount.Load())
}

// partitionUp reports whether a part takes writes, as far as is known.
func (r *Recorder) partitionUp(part string) bool { return !(*r.down.Load())[part] }

func (r *Recorder) queue(part string) *partitionQueue {
	l := r.queues[part]
	if l == nil {
		options := r.options.Batcher
		options.Seed += uint64(len(r.queues))
		l = &partitionQueue{partition: part, state: batcher.New(options)}
		r.queues[part] = l
		r.queueCount.Store(int64(len(r.queues)))
	}
	return l
}

// busy reports whether entries wait or a part is down.
func (r *Recorder) busy() bool {
	if len(*r.down.Load()) > 0 {
		return true
	}
	for _, l := range r.queues {
		if l.state.QueueLength() > 0 {
			return true
		}
	}
	return false
}

func (r *Recorder) updateQueue(ctx context.Context, now time.Time, part string, m batcher.Message) {
	for _, c := range r.queue(part).state.Update(now, m) {
		switch c := c.(type) {
		case batcher.Apply:
			r.apply(ctx, part, c)
		case batcher.Resolve:
			r.resolve(ctx, now, c)
		case batcher.Probe:
			r.probe(ctx, part, c.Timeout)
		case batcher.HealthChanged:
			r.healthChanged(ctx, now, part, c.Up)
		}
	}
}

// healthChanged notes that a part went down or came up. When one comes up, the others are
// probed at once.
func (r *Recorder) healthChanged(ctx context.Context, now time.Time, part string, up bool) {
	down := partitionSet{}
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
		zap.Int("known", len(r.queues)))
	if !up {
		return
	}
	for p := range down {
		r.updateQueue(ctx, now, p, batcher.ProbeRequested{})
	}
}

func (r *Recorder) apply(ctx context.Context, part string, c batcher.Apply) {
	r.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		version, err := r.store.Apply(call, c.Transaction)
		kind := provider.KindOf(err)
		var conflict *provider.RowConflict
		switch {
		case err == nil:
			r.send(ctx, partitionMessage{part, batcher.Applied{Batch: c.Batch, Version: version}})
		case errors.As(err, &conflict):
			r.send(ctx, partitionMessage{part, batcher.Conflicted{Batch: c.Batch, Rows: conflict.Rows}})
		default:
			r.log.Warn("transaction failed", zap.String("part", part), zap.Uint64("batch", c.Batch),
				zap.Int("entries", c.Transaction.Entries()), zap.Stringer("kind", kind), zap.Duration("timeout", c.Timeout),
				zap.Error(err))
			r.send(ctx, partitionMessage{part, batcher.Failed{Batch: c.Batch, Kind: kind}})
		}
	})
}

// probe reads at most one row of a part.
func (r *Recorder) probe(ctx context.Context, part string, timeout time.Duration) {
	r.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_, err := r.store.Range(call, provider.RowRange{Table: programTable, Part: part, From: "~", Limit: 1})
		r.send(ctx, partitionMessage{part, batcher.Probed{Succeeded: err == nil}})
	})
}
