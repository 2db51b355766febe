package recorder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// retentionMultiple is the lifetime of a written row in multiples of the retention, so that
	// the turns of a long chain are rarely rewritten.
	retentionMultiple = 10
	// clockSkewMargin allows for clocks of daemons that differ.
	clockSkewMargin = time.Minute
	// initialReadTimeout is the time without any part of a response after which a read is repeated. It
	// is doubled with each attempt, up to maxReadTimeout.
	initialReadTimeout = 150 * time.Millisecond
	maxReadTimeout     = 700 * time.Millisecond
	// readRetryDelay is the delay before a failed read is repeated.
	readRetryDelay = 30 * time.Millisecond
	// commitRetryDelay is the delay before all candidate partitions of a turn are tried again.
	commitRetryDelay = 20 * time.Millisecond
)

// readRange reads a range. It repeats failed reads until the context ends, the range is
// invalid or the partition counts as down.
func (r *Recorder) readRange(ctx context.Context, rows provider.RowRange) (provider.RowPage, error) {
	timeout := initialReadTimeout
	for {
		request, cancel := provider.WithStallTimeout(ctx, timeout)
		page, err := r.store.Range(request, rows)
		cancel()
		if err == nil || provider.KindOf(err) == provider.KindInvalid || !r.partitionUp(rows.Partition) {
			return page, err
		}
		// The queue of the partition probes whether it is down.
		r.send(ctx, partitionMessage{rows.Partition, batcher.ReadFailed{}})
		timeout = min(2*timeout, maxReadTimeout)
		select {
		case <-ctx.Done():
			return provider.RowPage{}, err
		case <-time.After(readRetryDelay):
		}
	}
}

// rangeReader returns readRange for a context.
func (r *Recorder) rangeReader(ctx context.Context) historian.RangeReader {
	return func(rows provider.RowRange) (provider.RowPage, error) { return r.readRange(ctx, rows) }
}

// Chain returns the turns up to the given one, newest first. It loads turns that are not in
// memory from peers or the store, and fails with KindTooLarge if their text exceeds MaxChainBytes.
func (r *Recorder) Chain(ctx context.Context, id string) ([]*historian.Turn, error) {
	bytes := 0
	turns, err := historian.Chain(id, func(id string) (*historian.Turn, error) {
		turn := r.turns.Get(id)
		if turn == nil {
			var err error
			if turn, err = r.loadTurn(ctx, id); err != nil {
				return nil, err
			}
			r.turns.Add(turn)
		}
		if bytes += len(turn.Text); bytes > r.options.MaxChainBytes {
			return nil, NewError("load turn "+id, KindTooLarge, fmt.Errorf("the chain has more than %d bytes", r.options.MaxChainBytes))
		}
		return turn, nil
	})
	if historian.KindOf(err) == historian.KindTooLong {
		return nil, NewError("read chain of turn "+id, KindInvalid, err)
	}
	return turns, err
}

// loadTurn reads a turn from a peer's memory or from its candidate partitions. It fails with
// KindNotFound only if all these partitions respond without the turn, and with
// KindUnavailable if one of them fails.
func (r *Recorder) loadTurn(ctx context.Context, id string) (*historian.Turn, error) {
	operation := "load turn " + id
	// A peer replies faster than the store. Turns in its memory have been written.
	if turn := r.peers.Turn(ctx, id); turn != nil {
		return turn, nil
	}
	var failure error
	for _, partition := range historian.CandidatePartitions(id) {
		if !r.partitionUp(partition) {
			failure = errors.New("partition " + partition + " of the store is down")
			continue
		}
		turn, err := historian.Read(id, partition, r.rangeReader(ctx))
		switch historian.KindOf(err) {
		case historian.KindNotFound:
		case historian.KindUnavailable:
			failure = err
		case historian.KindCorrupt:
			return nil, NewError(operation, KindInvalid, err)
		default:
			return turn, nil
		}
	}
	if failure == nil {
		return nil, NewError(operation, KindNotFound, errors.New("no candidate partition has the turn"))
	}
	return nil, NewError(operation, KindUnavailable, failure)
}

// Commit writes a turn to the first of its candidate partitions that accepts it, and sets the
// turn's Partition and Expires. Before that, it rewrites turns of the chain, given newest
// first, that would expire too early.
func (r *Recorder) Commit(ctx context.Context, turn *historian.Turn, chain []*historian.Turn, retention time.Duration) error {
	now := time.Now()
	expires := now.Add(retentionMultiple * retention)
	for _, old := range chain {
		if old.Partition == "" || old.Expires.After(now.Add(retention+clockSkewMargin)) {
			continue
		}
		renewed := *old
		renewed.Expires = expires
		entry, err := r.turnEntry(ctx, &renewed)
		if err != nil {
			return err
		}
		entry.Transaction.Deletes = append(entry.Transaction.Deletes, historian.ExpiryKey(old))
		if err := r.writeEntry(ctx, old.Partition, entry); err != nil {
			return err
		}
		r.turns.Add(&renewed)
	}
	turn.Expires = expires
	if err := r.writeNewTurn(ctx, turn); err != nil {
		return err
	}
	r.turns.Add(turn)
	return nil
}

// writeNewTurn tries the candidate partitions of a turn until one accepts it or the context
// ends. A turn that is written to two of them after a lost response is the same in both.
func (r *Recorder) writeNewTurn(ctx context.Context, turn *historian.Turn) error {
	candidates := historian.CandidatePartitions(turn.ID)
	var failure error = NewError("commit turn", KindUnavailable, errors.New("all candidate partitions are down"))
	for {
		for _, partition := range candidates {
			if !r.partitionUp(partition) {
				continue
			}
			turn.Partition = partition
			entry, err := r.turnEntry(ctx, turn)
			if err != nil {
				return err
			}
			if failure = r.writeEntry(ctx, partition, entry); failure == nil {
				return nil
			}
			if ctx.Err() != nil {
				return failure
			}
		}
		select {
		case <-ctx.Done():
			return failure
		case <-time.After(commitRetryDelay):
		}
	}
}

// turnEntry returns the entry that writes a turn, with the deadline of the context.
func (r *Recorder) turnEntry(ctx context.Context, turn *historian.Turn) (batcher.Entry, error) {
	writes, err := historian.Encode(turn, r.options.RowBytes)
	if err != nil {
		return batcher.Entry{}, NewError("commit turn", KindInvalid, err)
	}
	entry := batcher.Entry{
		Ticket: batcher.Ticket(r.tickets.Add(1)), Deadline: time.Now().Add(backgroundTimeout),
		Transaction: provider.RowTransaction{Writes: writes},
	}
	if deadline, ok := ctx.Deadline(); ok {
		entry.Deadline = deadline
	}
	for _, w := range writes {
		entry.Bytes += len(w.Value)
	}
	return entry, nil
}

// writeEntry submits an entry to the queue of a partition and waits for its outcome.
func (r *Recorder) writeEntry(ctx context.Context, partition string, entry batcher.Entry) error {
	reply := make(chan batcher.Outcome, 1)
	r.inbox <- submit{partition: partition, entry: entry, reply: reply}
	select {
	case outcome := <-reply:
		return outcomeError("write to partition "+partition, outcome.Kind)
	case <-ctx.Done():
		return NewError("write to partition "+partition, KindUnavailable, context.Cause(ctx))
	}
}
