package recorder

import (
	"context"
	"errors"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// programTable holds the budgets of programs.
	programTable = "programs"
	// programParts spreads programs over parts of the table.
	programParts = 32
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
)

func programKey(program string) provider.RowKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(program))
	part := "p" + strconv.Itoa(int(h.Sum32()%programParts))
	return provider.RowKey{Table: programTable, Part: part, Key: historian.Key(program)}
}

// read reads a range, again after a missing or refused answer, until the context ends or
// the store counts as down.
func (r *Recorder) read(ctx context.Context, rows provider.RowRange) (provider.RowPage, error) {
	timeout := firstReadTimeout
	for {
		call, cancel := context.WithTimeout(ctx, timeout)
		page, err := r.store.Range(call, rows)
		cancel()
		if err == nil || provider.KindOf(err) == provider.KindInvalid || !r.Up() {
			return page, err
		}
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
	const operation = "chain"
	for {
		turns, missing, err := historian.Chain(id, r.turns.Get)
		if err != nil {
			return nil, NewError(operation, KindInvalid, err)
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
	r.turns.Remember(turn)
	return nil
}

func (r *Recorder) load(ctx context.Context, id string) (*historian.Turn, error) {
	operation := "load turn " + id
	if !r.Up() {
		if turn := r.neighbours.Turn(ctx, id); turn != nil {
			return turn, nil
		}
		return nil, NewError(operation, KindUnavailable, errors.New("the store is down"))
	}
	page, err := r.read(ctx, historian.Range(id))
	if err != nil {
		return nil, NewError(operation, KindUnavailable, err)
	}
	if len(page.Rows) == 0 {
		return nil, NewError(operation, KindNotFound, errors.New("the store has no such turn"))
	}
	turn, err := historian.Decode(id, page.Rows)
	if err != nil {
		return nil, NewError(operation, KindInvalid, err)
	}
	return turn, nil
}

// Commit writes a turn. Turns of its chain, given newest first, that would expire too
// early are written anew with it.
func (r *Recorder) Commit(ctx context.Context, turn *historian.Turn, chain []*historian.Turn, retention time.Duration) error {
	const operation = "commit turn"
	now := time.Now()
	expires := now.Add(lifetimes * retention)
	turn.Expires = expires
	entry := batcher.Entry{Ticket: batcher.Ticket(r.tickets.Add(1))}
	if err := r.add(&entry, turn); err != nil {
		return err
	}
	for _, old := range chain {
		if old.Expires.After(now.Add(retention + retentionMargin)) {
			continue
		}
		renewed := *old
		renewed.Expires = expires
		if err := r.add(&entry, &renewed); err != nil {
			return err
		}
		entry.Transaction.Deletes = append(entry.Transaction.Deletes, historian.ExpiryKey(old))
	}
	if deadline, ok := ctx.Deadline(); ok {
		entry.Deadline = deadline
	} else {
		entry.Deadline = now.Add(backgroundPatience)
	}
	reply := make(chan batcher.Outcome, 1)
	r.inbox <- submit{entry: entry, reply: reply}
	select {
	case outcome := <-reply:
		if err := outcomeError(operation, outcome.Kind); err != nil {
			return err
		}
		r.turns.Remember(turn)
		return nil
	case <-ctx.Done():
		return NewError(operation, KindUnavailable, context.Cause(ctx))
	}
}

func (r *Recorder) add(entry *batcher.Entry, turn *historian.Turn) error {
	writes, err := historian.Encode(turn, r.options.RowBytes)
	if err != nil {
		return NewError("commit turn", KindInvalid, err)
	}
	for _, w := range writes {
		entry.Bytes += len(w.Value)
	}
	entry.Transaction.Writes = append(entry.Transaction.Writes, writes...)
	return nil
}
