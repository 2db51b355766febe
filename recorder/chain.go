package recorder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// findCopies bounds the memory of a reply with a turn, in sizes of the turn, sendCopies that for sending it.
	findCopies = 3
	sendCopies = 4
	// lendWait is how long a request of a peer for a turn waits for memory.
	lendWait = 30 * time.Millisecond
	// slackRows is the number of rows by which the memory for reading a turn may exceed that of the turn.
	slackRows = 2
	// inflaterBytes is the memory in which a call inflates large turns while it sends them.
	inflaterBytes = 64 << 10
)

// Chain returns the turns up to the given one, newest first. It loads turns that are not in memory of this
// daemon from peers or the store. Their memory is taken before they are loaded, and stays taken after
// the return; that of the whole chain is taken at once if the last turn tells its size. Chain
// fails with KindTooLarge if the chain takes more than MaxChainBytes, and with KindNoMemory if no memory becomes free.
func (r *Recorder) Chain(ctx context.Context, id string, memory Memory) ([]*historian.Turn, error) {
	l := chainLoader{recorder: r, memory: memory, work: r.work.newShare()}
	defer l.work.release()
	turns, err := historian.Chain(id, func(id string) (*historian.Turn, error) { return l.next(ctx, id) })
	if historian.KindOf(err) == historian.KindTooLong {
		return nil, NewError("read chain of turn "+id, KindInvalid, err)
	}
	if err != nil {
		return nil, err
	}
	return turns, l.resize(ctx, l.loaded)
}

// chainLoader loads the turns of a chain.
type chainLoader struct {
	recorder *Recorder
	memory   Memory
	// work is kept from one large turn that peers have to the next: if all calls took turns with it, none would be
	// served in time.
	work *workShare
	// loaded is the memory of the turns so far, expected that of the chain as far as it is known, taken that of
	// the call's share.
	loaded, expected, taken int
	// hasLarge is true once a large turn is loaded.
	hasLarge bool
}

// next returns a turn of the chain. Turns in the cache need no memory until another one has to be loaded, or the chain
// is complete.
func (l *chainLoader) next(ctx context.Context, id string) (*historian.Turn, error) {
	turn := l.recorder.turns.Get(id)
	if turn == nil {
		var err error
		if turn, err = l.load(ctx, id); err != nil {
			return nil, err
		}
		l.recorder.turns.Add(turn)
	}
	l.loaded += turn.MemoryBytes()
	if turn.UnpackedBytes > 0 && !l.hasLarge {
		l.hasLarge = true
		l.loaded += inflaterBytes
	}
	l.expected = max(l.expected, l.loaded+turn.EarlierBytes)
	return turn, l.check(l.expected)
}

// check fails if the chain takes more memory than a call may have.
func (l *chainLoader) check(bytes int) error {
	if limit := l.recorder.options.MaxChainBytes; bytes > limit {
		return NewError("load chain", KindTooLarge, fmt.Errorf("the chain takes %d bytes, more than %d", bytes, limit))
	}
	return nil
}

// take makes sure that the call's share has at least so many bytes, and those of the rest of the chain if that is
// known to be large. It is not awaited while work holds memory, since the calls that have the rest may wait for that.
func (l *chainLoader) take(ctx context.Context, bytes int) error {
	if err := l.check(bytes); err != nil || bytes <= l.taken {
		return err
	}
	if whole := max(bytes, l.expected); whole > l.loaded+historian.PlainBytes {
		// The memory of turns is counted in bytes of text, but taken in rows.
		bytes = whole + inflaterBytes + slackRows*l.recorder.options.RowBytes
	}
	l.work.release()
	return l.resize(ctx, bytes)
}

func (l *chainLoader) resize(ctx context.Context, bytes int) error {
	if err := l.memory.Resize(ctx, bytes); err != nil {
		return NewError("load chain", KindNoMemory, err)
	}
	l.taken = bytes
	return nil
}

// load reads a turn from a peer's memory or from its candidate partitions.
func (l *chainLoader) load(ctx context.Context, id string) (*historian.Turn, error) {
	if err := l.take(ctx, l.loaded+historian.PlainBytes); err != nil {
		return nil, err
	}
	// A peer replies faster than the store. Turns in its memory have been written.
	turn, err := l.loadFromPeers(ctx, id)
	if turn != nil || err != nil {
		return turn, err
	}
	return l.loadFromStore(ctx, id)
}

// admit takes memory for a large turn with the earlier ones of its chain, and for reading it.
func (l *chainLoader) admit(ctx context.Context, turnBytes, workBytes int) error {
	if turnBytes > 0 {
		if err := l.take(ctx, l.loaded+turnBytes); err != nil {
			return err
		}
	}
	return l.work.grow(ctx, workBytes)
}

// loadFromPeers returns nil if no peer has the turn. A large turn is requested again from one of those that have it.
func (l *chainLoader) loadFromPeers(ctx context.Context, id string) (*historian.Turn, error) {
	peers := l.recorder.peers
	count := peers.PeerCount()
	if count == 0 {
		return nil, nil
	}
	if err := l.work.grow(ctx, findCopies*count*historian.PlainBytes); err != nil {
		return nil, err
	}
	found := peers.FindTurn(ctx, id, historian.PlainBytes)
	if found.Turn != nil || found.Host == "" {
		// The store may be slow, and replies of the peers are no longer expected.
		l.work.shrink(historian.ReadCopies * l.recorder.options.RowBytes)
		return found.Turn, nil
	}
	// Enough for reading its rows, should the peer not send it.
	rowsBytes := historian.RowsBytes(found.Bytes, l.recorder.options.RowBytes)
	if err := l.admit(ctx, rowsBytes+found.EarlierBytes, historian.ReadCopies*rowsBytes); err != nil {
		return nil, err
	}
	return peers.ReadTurn(ctx, id, found), nil
}

// loadFromStore fails with KindNotFound only if all candidate partitions respond without the turn, and with
// KindUnavailable if one of them fails.
func (l *chainLoader) loadFromStore(ctx context.Context, id string) (*historian.Turn, error) {
	operation := "load turn " + id
	reader := l.recorder.turnReader(ctx, func(turnBytes, workBytes int) error { return l.admit(ctx, turnBytes, workBytes) })
	var failure error
	for _, partition := range historian.CandidatePartitions(id) {
		if !l.recorder.partitionUp(partition) {
			failure = errors.New("partition " + partition + " of the store is down")
			continue
		}
		turn, err := reader.Read(id, partition)
		if err == nil {
			return turn, nil
		}
		switch historian.KindOf(err) {
		case historian.KindNotFound:
		case historian.KindUnavailable:
			failure = err
		case historian.KindCorrupt:
			return nil, NewError(operation, KindInvalid, err)
		default:
			return nil, err
		}
	}
	if failure == nil {
		return nil, NewError(operation, KindNotFound, errors.New("no candidate partition has the turn"))
	}
	return nil, NewError(operation, KindUnavailable, failure)
}

// turnReader returns a reader of the turns in the store. See historian.Reader for admit.
func (r *Recorder) turnReader(ctx context.Context, admit func(turnBytes, workBytes int) error) *historian.Reader {
	return &historian.Reader{
		Range:    func(rows provider.RowRange) (provider.RowPage, error) { return r.readRange(ctx, rows) },
		Admit:    admit,
		RowBytes: r.options.RowBytes,
	}
}

// LendTurn implements borrower.Lender.
func (r *Recorder) LendTurn(ctx context.Context, id string, maxBytes int) (turn *historian.Turn, hasText bool, done func()) {
	turn = r.turns.Get(id)
	if turn == nil || turn.MemoryBytes() > maxBytes || int64(sendCopies*turn.MemoryBytes()) > r.lending.capacity {
		return turn, false, func() {}
	}
	ctx, cancel := context.WithTimeout(ctx, lendWait)
	defer cancel()
	work := r.lending.newShare()
	if err := work.grow(ctx, sendCopies*turn.MemoryBytes()); err != nil {
		return turn, false, func() {}
	}
	return turn, true, work.release
}
