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
	// lifetimes is the number of retention times for which a row is kept at first, so
	// that the turns of a long chain are rarely written anew.
	lifetimes = 10
	// retentionMargin covers clocks of daemons that differ.
	retentionMargin = time.Minute
	// firstReadTimeout is doubled with each try, up to the last.
	firstReadTimeout = 150 * time.Millisecond
	lastReadTimeout  = 700 * time.Millisecond
	// readPause is the pause after a refused read.
	readPause = 30 * time.Millisecond
	// commitPause is the pause while no part takes a turn.
	commitPause = 20 * time.Millisecond
)

// read reads a range, again after a missing or refused answer, until the context ends or
// the part counts as down.
func (r *Recorder) read(ctx context.Context, rows provider.RowRange) (provider.RowPage, error) {
	timeout := firstReadTimeout
	for {
		call, cancel := context.WithTimeout(ctx, timeout)
		page, err := r.store.Range(call, rows)
		cancel()
		if err == nil || provider.KindOf(err) == provider.KindInvalid || !r.partUp(rows.Partition) {
			return page, err
		}
		// The lane of the part finds out whether it is down.
		r.send(ctx, laneMessage{rows.Partition, batcher.ReadFailed{}})
		timeout = min(2*timeout, lastReadTimeout)
		select {
		case <-ctx.Done():
			return provider.RowPage{}, err
		case <-time.After(readPause):
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
		turn, err := r.load(ctx, missing)
		if err != nil {
			return nil, err
		}
		if err := r.remember(id, turns, turn); err != nil {
			return nil, err
		}
	}
}

// remember caches a loaded turn. A chain that does not fit into memory is refused, since
// loading it would never end.
func (r *Recorder) remember(id string, newer []*historian.Turn, turn *historian.Turn) error {
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

// load reads a turn from the parts that may hold it. Only if all of them answer, it is
// certain that there is no such turn.
func (r *Recorder) load(ctx context.Context, id string) (*historian.Turn, error) {
	operation := "load turn " + id
	// Another daemon answers faster than the store. What it has in memory was written.
	if turn := r.neighbours.Turn(ctx, id); turn != nil {
		return turn, nil
	}
	var failure error
	for _, part := range historian.CandidatePartitions(id) {
		if !r.partUp(part) {
			failure = errors.New("part " + part + " of the store is down")
			continue
		}
		page, err := r.read(ctx, historian.Range(id, part))
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
	expires := now.Add(lifetimes * retention)
	for _, old := range chain {
		if old.Partition == "" || old.Expires.After(now.Add(retention+retentionMargin)) {
			continue
		}
		renewed := *old
		renewed.Expires = expires
		entry, err := r.entry(ctx, &renewed)
		if err != nil {
			return err
		}
		entry.Transaction.Deletes = append(entry.Transaction.Deletes, historian.ExpiryKey(old))
		if err := r.write(ctx, old.Partition, entry); err != nil {
			return err
		}
	}
	turn.Expires = expires
	if err := r.place(ctx, turn); err != nil {
		return err
	}
	r.turns.Add(turn)
	return nil
}

// place tries the parts of a turn until one has it. A turn that is written to two of them
// after a missing answer is the same in both.
func (r *Recorder) place(ctx context.Context, turn *historian.Turn) error {
	places := historian.CandidatePartitions(turn.ID)
	var failure error = NewError("commit turn", KindUnavailable, errors.New("every part of the store is down"))
	for {
		for _, part := range places {
			if !r.partUp(part) {
				continue
			}
			turn.Partition = part
			entry, err := r.entry(ctx, turn)
			if err != nil {
				return err
			}
			if failure = r.write(ctx, part, entry); failure == nil {
				return nil
			}
			if ctx.Err() != nil {
				return failure
			}
		}
		select {
		case <-ctx.Done():
			return failure
		case <-time.After(commitPause):
		}
	}
}

func (r *Recorder) entry(ctx context.Context, turn *historian.Turn) (batcher.Entry, error) {
	writes, err := historian.Encode(turn, r.options.RowBytes)
	if err != nil {
		return batcher.Entry{}, NewError("commit turn", KindInvalid, err)
	}
	entry := batcher.Entry{
		Ticket: batcher.Ticket(r.tickets.Add(1)), Deadline: time.Now().Add(backgroundPatience),
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

// write waits for the outcome of an entry.
func (r *Recorder) write(ctx context.Context, part string, entry batcher.Entry) error {
	reply := make(chan batcher.Outcome, 1)
	r.inbox <- submit{part: part, entry: entry, reply: reply}
	select {
	case outcome := <-reply:
		return outcomeError("write to part "+part, outcome.Kind)
	case <-ctx.Done():
		return NewError("write to part "+part, KindUnavailable, context.Cause(ctx))
	}
}
