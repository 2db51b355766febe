package recorder

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// partitionQueue is the queue of writes to one partition of the store. Each partition has its
// own, since partitions fail independently.
type partitionQueue struct {
	partition string
	state     *batcher.State
}

// partitionSet is the set of partitions that are down. Other goroutines read it without a
// lock, so the loop replaces it when the health of a partition changes.
type partitionSet map[string]bool

// minOutageProbeInterval is the time between two probes while all partitions are down. The first partition
// that responds makes the others be probed at once, so that a probe of each would only add to the load of
// a store that comes back.
const minOutageProbeInterval = 200 * time.Millisecond

// Up reports whether at least one partition of the store accepts writes, as far as is known.
func (r *Recorder) Up() bool {
	down := *r.down.Load()
	return len(down) == 0 || len(down) < int(r.queueCount.Load())
}

// partitionUp reports whether a partition accepts writes, as far as is known.
func (r *Recorder) partitionUp(partition string) bool { return !(*r.down.Load())[partition] }

// queue returns the queue of a partition, which it creates on the first use.
func (r *Recorder) queue(partition string) *partitionQueue {
	q := r.queues[partition]
	if q == nil {
		options := r.options.Batcher
		options.Seed += uint64(len(r.queues))
		q = &partitionQueue{partition: partition, state: batcher.New(options)}
		r.queues[partition] = q
		r.queueCount.Store(int64(len(r.queues)))
	}
	return q
}

// busy reports whether entries wait or a partition is down.
func (r *Recorder) busy() bool {
	if len(*r.down.Load()) > 0 {
		return true
	}
	for _, q := range r.queues {
		if q.state.QueueLength() > 0 {
			return true
		}
	}
	return false
}

func (r *Recorder) updateQueue(ctx context.Context, now time.Time, partition string, m batcher.Message) {
	for _, c := range r.queue(partition).state.Update(now, m) {
		switch c := c.(type) {
		case batcher.Apply:
			r.apply(ctx, partition, c)
		case batcher.Resolve:
			r.resolve(ctx, now, c)
		case batcher.Probe:
			if r.Up() || r.takeOutageProbe(now) {
				r.probe(ctx, partition, c.Timeout)
				continue
			}
			r.spawn(ctx, func() { r.send(ctx, partitionMessage{partition, batcher.Probed{}}) })
		case batcher.HealthChanged:
			r.healthChanged(ctx, now, partition, c.Up)
		}
	}
}

// healthChanged records that a partition went down or came up. When one comes up, the others
// that are down are probed at once.
func (r *Recorder) healthChanged(ctx context.Context, now time.Time, partition string, up bool) {
	down := partitionSet{}
	for p := range *r.down.Load() {
		down[p] = true
	}
	if up {
		delete(down, partition)
	} else {
		down[partition] = true
	}
	r.down.Store(&down)
	r.log.Info("health of store partition changed", zap.String("part", partition), zap.Bool("up", up), zap.Int("down", len(down)),
		zap.Int("known", len(r.queues)))
	if !up {
		return
	}
	for p := range down {
		r.updateQueue(ctx, now, p, batcher.ProbeRequested{})
	}
}

func (r *Recorder) apply(ctx context.Context, partition string, c batcher.Apply) {
	r.spawn(ctx, func() {
		request, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		version, err := r.store.Apply(request, c.Transaction)
		kind := provider.KindOf(err)
		var conflict *provider.RowConflictError
		switch {
		case err == nil:
			r.send(ctx, partitionMessage{partition, batcher.Applied{Batch: c.Batch, Version: version}})
		case errors.As(err, &conflict):
			r.send(ctx, partitionMessage{partition, batcher.Conflicted{Batch: c.Batch, Rows: conflict.Rows}})
		default:
			r.log.Warn("store transaction failed", zap.String("part", partition), zap.Uint64("batch", c.Batch),
				zap.Int("entries", c.Transaction.EntryCount()), zap.Stringer("kind", kind), zap.Duration("timeout", c.Timeout),
				zap.Error(err))
			r.send(ctx, partitionMessage{partition, batcher.Failed{Batch: c.Batch, Kind: kind}})
		}
	})
}

// takeOutageProbe reports whether a partition may be probed while all are down.
func (r *Recorder) takeOutageProbe(now time.Time) bool {
	if now.Before(r.nextOutageProbe) {
		return false
	}
	r.nextOutageProbe = now.Add(minOutageProbeInterval)
	return true
}

// probe reads at most one row of a partition.
func (r *Recorder) probe(ctx context.Context, partition string, timeout time.Duration) {
	r.spawn(ctx, func() {
		request, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_, err := r.store.Range(request, provider.RowRange{Table: ProgramTable, Partition: partition, From: "~", Limit: 1})
		r.send(ctx, partitionMessage{partition, batcher.Probed{Succeeded: err == nil}})
	})
}
