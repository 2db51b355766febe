package recorder

import (
	"context"
	"errors"
	"time"

	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// retentionMultiple is the number of retention times for which a row is kept at first, so
	// that the turns of a long chain are rarely written anew.
	retentionMultiple = 10
	// clockSkewMargin covers clocks of daemons that differ.
	clockSkewMargin = time.Minute
	// initialReadTimeout is doubled with each try, up to the last.
	initialReadTimeout = 150 * time.Millisecond
	maxReadTimeout     = 700 * time.Millisecond
	// readRetryDelay is the pause after a refused read.
	readRetryDelay = 30 * time.Millisecond
	// commitRetryDelay is the pause while no part takes a turn.
	commitRetryDelay = 20 * time.Millisecond
)

// readRange reads a range, again after a missing or refused answer, until the context ends or
// the part counts as down.
func (r *Recorder) readRange(ctx context.Context, rows provider.RowRange) (provider.RowPage, error) {
	timeout := initialReadTimeout
	for {
		call, cancel := context.WithTimeout(ctx, timeout)
		page, err := r.store.Range(call, rows)
		cancel()
		if err == nil || provider.KindOf(err) == provider.KindInvalid || !r.partitionUp(rows.Part) {
			return page, err
		}
		// The lane of the part finds out whether it is down.
		r.send(ctx, partitionMessage{rows.Part, batcher.ReadFailed{}})
		timeout = min(2*timeout, maxReadTimeout)
		select {
		case <-ctx.Done():
			return provider.RowPage{}, err
		case <-time.After(readRetryDelay):
		}
	}
}

// Chain returns the turns up to the given one, newest first.
func (r *Recorder) Chain(ctx context.Context, id string) ([]*historian.Turn, error) {
	for {
		turns, missing, err := historian.Chain(id, r.turns.Get)
		if err != nil {
			return nil, NewError("chain of "+id, KindInvalid, err)
		}
		if missing == "" {
			return turns, nil
		}
		turn, err := r.loadTurn(ctx, missing)
		if err != nil {
			return nil, err
		}
		if err := r.cacheTurn(id, turns, turn); err != nil {
			return nil, err
		}
	}
}

// cacheTurn caches a loaded turn. A chain that does not fit into memory is refused, since
// loading it would never end.
func (r *Recorder) cacheTurn(id string, newer []*historian.Turn, turn *historian.Turn) error {
	size := len(turn.Text)
	for _, t := range newer {
		size += len(t.Text)
	}
	if size > r.options.CacheBytes {
		return NewError("chain of "+id, KindInvalid, errors.New("too long for the memory of this daemon"))
	}
	r.turns.Add(turn)
	return nil
}

// loadTurn reads a turn from the parts that may hold it. Only if all of them answer, it is
// certain that there is no such turn.
func (r *Recorder) loadTurn(ctx context.Context, id string) (*historian.Turn, error) {
	operation := "load turn " + id
	// Another daemon answers faster than the store. What it has in memory was written.
	if turn := r.peers.Turn(ctx, id); turn != nil {
		return turn, nil
	}
	var failure error
	for _, part := range historian.CandidatePartitions(id) {
		if !r.partitionUp(part) {
			failure = errors.New("part " + part + " of the store is down")
			continue
		}
		page, err := r.readRange(ctx, historian.Range(id, part))
		if err != nil {
			failure = err
			continue
		}
		if len(page.Rows) == 0 {
			continue
		}
		turn, err := historian.Decode(id, page.Rows)
		if err != nil {
			return nil, NewError(operation, KindInvalid, err)
		}
		return turn, nil
	}
	if failure == nil {
		return nil, NewError(operation, KindNotFound, errors.New("the store has no such turn"))
	}
	return nil, NewError(operation, KindUnavailable, failure)
}

// Commit writes a turn to the first of its parts that takes it. Turns of its chain, given
// newest first, that would expire too early are written anew first.
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
	}
	turn.Expires = expires
	if err := r.writeNewTurn(ctx, turn); err != nil {
		return err
	}
	r.turns.Add(turn)
	return nil
}

// writeNewTurn tries the parts of a turn until one has it. A turn that is written to two of them
// after a missing answer is the same in both.
func (r *Recorder) writeNewTurn(ctx context.Context, turn *historian.Turn) error {
	places := historian.CandidatePartitions(turn.ID)
	var failure error = NewError("commit turn", KindUnavailable, errors.New("every part of the store is down"))
	for {
		for _, part := range places {
			if !r.partitionUp(part) {
				continue
			}
			turn.Partition = part
			entry, err := r.turnEntry(ctx, turn)
			if err != nil {
				return err
			}
			if failure = r.writeEntry(ctx, part, entry); failure == nil {
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

// writeEntry waits for the outcome of an entry.
func (r *Recorder) writeEntry(ctx context.Context, part string, entry batcher.Entry) error {
	reply := make(chan batcher.Outcome, 1)
	r.inbox <- submit{partition: part, entry: entry, reply: reply}
	select {
	case outcome := <-reply:
		return outcomeError("write to part "+part, outcome.Kind)
	case <-ctx.Done():
		return NewError("write to part "+part, KindUnavailable, context.Cause(ctx))
	}
}
