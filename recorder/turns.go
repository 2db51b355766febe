package recorder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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
	// writeCopies bounds the memory that writing a turn takes, in sizes of its rows: the rows, the transaction and
	// its encoding.
	writeCopies = 5
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

// Commit writes the turn of a draft to the first of its candidate partitions that accepts it. Before that, it
// rewrites turns of the chain, given newest first, that would expire too early.
func (r *Recorder) Commit(ctx context.Context, draft historian.Draft, chain []*historian.Turn, retention time.Duration) error {
	work := r.work.newShare()
	defer work.release()
	now := time.Now()
	expires := now.Add(retentionMultiple * retention)
	for _, old := range chain {
		if old.Partition == "" || old.Expires.After(now.Add(retention+clockSkewMargin)) {
			continue
		}
		renewed := *old
		renewed.Expires = expires
		if err := r.renew(ctx, work, old, &renewed); err != nil {
			return err
		}
		r.turns.Add(&renewed)
	}
	turn, err := newTurn(ctx, work, draft)
	if err != nil {
		return err
	}
	turn.Expires, turn.EarlierBytes = expires, chainBytes(chain)
	if err := r.writeNewTurn(ctx, turn); err != nil {
		return err
	}
	r.turns.Add(turn)
	return nil
}

// newTurn returns the turn of a draft. Memory for writing it is taken if it is large.
func newTurn(ctx context.Context, work *workShare, draft historian.Draft) (*historian.Turn, error) {
	if err := work.grow(ctx, draft.WorkBytes()); err != nil {
		return nil, err
	}
	turn, err := historian.NewTurn(&draft)
	if err != nil {
		return nil, NewError("commit turn", KindInvalid, err)
	}
	work.shrink(turn.WriteBytes(writeCopies))
	return turn, nil
}

// renew replaces the rows of a turn by those of the same turn with a later expiry.
func (r *Recorder) renew(ctx context.Context, work *workShare, old, renewed *historian.Turn) error {
	if renewed.TextBytes() > historian.PlainBytes {
		if err := work.grow(ctx, renewed.WriteBytes(writeCopies)); err != nil {
			return err
		}
	}
	return r.writeTurn(ctx, renewed, historian.ExpiryKey(old))
}

// chainBytes returns the memory of the turns of a chain.
func chainBytes(chain []*historian.Turn) int {
	bytes := 0
	for _, t := range chain {
		bytes += t.MemoryBytes()
	}
	return bytes
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
			if failure = r.writeTurn(ctx, turn); failure == nil {
				return nil
			}
			if ctx.Err() != nil || KindOf(failure) == KindInvalid {
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

// writeTurn writes a turn to its partition and deletes rows together with it. A turn in parts exists once its first row is
// written, after all parts; those of a write that fails remain until they expire.
func (r *Recorder) writeTurn(ctx context.Context, turn *historian.Turn, deletes ...provider.RowKey) error {
	encode := func() ([]provider.RowWrite, error) { return historian.Encode(turn, r.options.RowBytes) }
	if turn.InParts() {
		parts := historian.NewParts(turn, r.options.RowBytes, fmt.Sprintf("%016x", rand.Uint64()))
		for i := range parts.Count() {
			if err := r.writePart(ctx, turn.Partition, parts, i); err != nil {
				return err
			}
		}
		encode = parts.Head
	}
	writes, err := encode()
	if err != nil {
		return NewError("commit turn", KindInvalid, err)
	}
	return r.writeRows(ctx, turn.Partition, provider.RowTransaction{Writes: writes, Deletes: deletes})
}

// writePart writes a part of a turn. While it is not known whether it was written, it is written again: it is always the
// same.
func (r *Recorder) writePart(ctx context.Context, partition string, parts *historian.Parts, number int) error {
	writes, err := parts.Part(number)
	if err != nil {
		return NewError("commit turn", KindInvalid, err)
	}
	for {
		err := r.writeRows(ctx, partition, provider.RowTransaction{Writes: writes})
		if provider.KindOf(err) != provider.KindUnknown || ctx.Err() != nil || !r.partitionUp(partition) {
			return err
		}
	}
}

// writeRows performs a transaction on the rows of turns in a partition and waits for the outcome.
func (r *Recorder) writeRows(ctx context.Context, partition string, t provider.RowTransaction) error {
	return r.writeEntry(ctx, partition, r.turnEntry(ctx, t))
}

// turnEntry returns the entry of a transaction, with the deadline of the context.
func (r *Recorder) turnEntry(ctx context.Context, t provider.RowTransaction) batcher.Entry {
	entry := batcher.Entry{
		Ticket: batcher.Ticket(r.tickets.Add(1)), Deadline: time.Now().Add(backgroundTimeout), Transaction: t,
	}
	if deadline, ok := ctx.Deadline(); ok {
		entry.Deadline = deadline
	}
	for _, w := range t.Writes {
		entry.Bytes += len(w.Value)
	}
	return entry
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
