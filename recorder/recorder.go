package recorder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/borrower"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// inboxSize is the number of messages that the inbox buffers during a burst. The loop
	// never waits for I/O.
	inboxSize = 1024
	// busyTickInterval is the interval of ticks while entries wait or a partition is down,
	// idleTickInterval applies otherwise.
	busyTickInterval = 20 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
	// budgetTimeout bounds a read or write of a budget row.
	budgetTimeout = 1200 * time.Millisecond
	// backgroundTimeout bounds writes without a waiting caller.
	backgroundTimeout = 10 * time.Second
)

// Options configure a Recorder.
type Options struct {
	Batcher    batcher.Options
	Accountant accountant.Options
	// Host names the daemon, Incarnation this run of it.
	Host        string
	Incarnation string
	// CacheBytes bounds the memory of the cached turns.
	CacheBytes int
	// MaxChainBytes bounds the memory of a chain, which its call holds until it ends.
	MaxChainBytes int
	// WorkBytes bounds the memory that reading and writing turns takes at a time, LendBytes that of sending them to
	// peers.
	WorkBytes int64
	LendBytes int64
	// RowBytes is the largest size of a row's value.
	RowBytes int
}

// Peers are the other daemons. For turns they are asked before the store, since they reply
// faster; for tokens when a grant is missing or the store is not available.
type Peers interface {
	// BorrowTokens borrows tokens from peers, see accountant.Borrow. Tokens that arrive after the return
	// are passed to onLate.
	BorrowTokens(ctx context.Context, request accountant.Borrow, onLate func(tokens int)) accountant.TokensReceived
	// PeerCount returns the number of peers that FindTurn asks for a turn. Their replies have its text if that takes
	// up to maxBytes. ReadTurn reads one that FindTurn has found without it; it returns nil on failure.
	PeerCount() int
	FindTurn(ctx context.Context, id string, maxBytes int) borrower.FoundTurn
	ReadTurn(ctx context.Context, id string, found borrower.FoundTurn) *historian.Turn
}

// message is an input of the loop.
type message interface{ message() }

// reserveRequest requests the tokens of a turn.
type reserveRequest struct {
	request accountant.ReservationRequested
	reply   chan accountant.Decision
}

// reserveCancelled cancels a reserveRequest whose caller no longer waits for the reply.
type reserveCancelled struct {
	cancelled accountant.ReservationCancelled
	tokens    int
	reply     chan accountant.Decision
}

// budgetMessage is a message for the accountant.
type budgetMessage struct{ accountant.Message }

// lendRequest requests tokens for a peer.
type lendRequest struct {
	accountant.BorrowRequested
	reply chan accountant.Lend
}

// lendCancelled takes back the tokens of a request whose peer no longer waits for the reply.
type lendCancelled struct {
	request accountant.BorrowRequested
	reply   chan accountant.Lend
}

// submit adds an entry to the queue of a partition.
type submit struct {
	partition string
	entry     batcher.Entry
	reply     chan batcher.Outcome
}

// partitionMessage is a message for the queue of a partition.
type partitionMessage struct {
	partition string
	batcher.Message
}

// unreturnedQuery asks for the number of programs that have tokens to be returned.
type unreturnedQuery struct{ reply chan int }

// secondWritten is the result of a write of a second row.
type secondWritten struct {
	write accountant.Write
	row   provider.VersionedRow
	kind  provider.Kind
}

// storeReachable reports that the store has responded to another component of the daemon.
type storeReachable struct{}

func (reserveRequest) message()   {}
func (reserveCancelled) message() {}
func (budgetMessage) message()    {}
func (lendRequest) message()      {}
func (lendCancelled) message()    {}
func (submit) message()           {}
func (partitionMessage) message() {}
func (storeReachable) message()   {}
func (unreturnedQuery) message()  {}
func (secondWritten) message()    {}

// Recorder writes and reads the rows of turns and budgets.
type Recorder struct {
	store      provider.RowStore
	secondRows SecondRows
	peers      Peers
	options    Options
	log        *zap.Logger
	inbox      chan message
	turns      *historian.Cache
	work       *workMemory
	lending    *workMemory
	down       atomic.Pointer[partitionSet]
	queueCount atomic.Int64
	// programBytes is the memory of budgets.
	programBytes atomic.Int64
	tickets      atomic.Uint64
	tasks        conc.WaitGroup
	// cleanupStart maps each partition of the program table to the key at which its next
	// clean-up begins. Only RunCleanup uses it.
	cleanupStart map[string]string

	// Only the loop and Rebuild use the fields below.
	rebuilds int
	queues   map[string]*partitionQueue
	// nextOutageProbe is when the next partition is probed while all are down.
	nextOutageProbe time.Time
	budgets         *accountant.State
	// submitReplies and budgetWrites hold the owners of queued entries by ticket,
	// reserveReplies and lendReplies those of requests for tokens.
	submitReplies  map[batcher.Ticket]chan batcher.Outcome
	budgetWrites   map[batcher.Ticket]accountant.Write
	reserveReplies map[accountant.Ticket]chan accountant.Decision
	lendReplies    map[accountant.Ticket]chan accountant.Lend
}

// New returns a Recorder. Without secondRows, it writes the second rows of budgets itself, like the first. Run must be running while turns and tokens are written or requested.
func New(store provider.RowStore, secondRows SecondRows, peers Peers, options Options, log *zap.Logger) *Recorder {
	r := &Recorder{
		store: store, secondRows: secondRows, peers: peers, options: options, log: log, inbox: make(chan message, inboxSize),
		turns: historian.NewCache(options.CacheBytes), work: newWorkMemory(options.WorkBytes),
		lending: newWorkMemory(options.LendBytes), queues: map[string]*partitionQueue{},
		budgets: accountant.New(options.Accountant, options.Host, options.Incarnation), submitReplies: map[batcher.Ticket]chan batcher.Outcome{},
		budgetWrites: map[batcher.Ticket]accountant.Write{}, reserveReplies: map[accountant.Ticket]chan accountant.Decision{},
		lendReplies: map[accountant.Ticket]chan accountant.Lend{}, cleanupStart: map[string]string{},
	}
	r.down.Store(&partitionSet{})
	return r
}

// ProgramBytes returns the memory of the budgets of programs.
func (r *Recorder) ProgramBytes() int { return int(r.programBytes.Load()) }

// CachedBytes returns the memory of the cached turns.
func (r *Recorder) CachedBytes() int { return r.turns.Bytes() }

// Run processes messages until the context ends, then waits for the requests in progress. After a
// panic, call Rebuild before Run is called again.
func (r *Recorder) Run(ctx context.Context) {
	defer r.tasks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.inbox:
			before := r.interval()
			r.handle(ctx, time.Now(), m)
			if after := r.interval(); after < before {
				timer.Reset(after)
			}
		case <-timer.C:
			r.tick(ctx, time.Now())
			timer.Reset(r.interval())
		}
	}
}

func (r *Recorder) interval() time.Duration {
	if r.busy() {
		return busyTickInterval
	}
	return idleTickInterval
}

func (r *Recorder) tick(ctx context.Context, now time.Time) {
	for partition := range r.queues {
		r.updateQueue(ctx, now, partition, batcher.Tick{})
	}
	r.updateBudgets(ctx, now, accountant.Tick{})
}

func (r *Recorder) handle(ctx context.Context, now time.Time, m message) {
	switch m := m.(type) {
	case reserveRequest:
		r.reserveReplies[m.request.Ticket] = m.reply
		r.updateBudgets(ctx, now, m.request)
	case budgetMessage:
		r.updateBudgets(ctx, now, m.Message)
	case reserveCancelled:
		r.cancelReservation(ctx, now, m)
	case lendRequest:
		r.lendReplies[m.Ticket] = m.reply
		r.updateBudgets(ctx, now, m.BorrowRequested)
	case lendCancelled:
		r.cancelLoan(ctx, now, m)
	case submit:
		r.submitReplies[m.entry.Ticket] = m.reply
		r.updateQueue(ctx, now, m.partition, batcher.Submitted{Entry: m.entry})
	case partitionMessage:
		r.updateQueue(ctx, now, m.partition, m.Message)
	case unreturnedQuery:
		m.reply <- r.budgets.UnreturnedPrograms()
	case secondWritten:
		r.budgetWritten(ctx, now, m.write, accountant.WriteCompleted{
			Program: m.write.Program, Kind: m.kind, Version: m.row.Version, Row: &m.row,
		})
	case taskPanicked:
		panic(m.recovered.AsError())
	case storeReachable:
		for partition := range *r.down.Load() {
			r.updateQueue(ctx, now, partition, batcher.ProbeRequested{})
		}
	}
}

// resolve passes the outcome of an entry to its owner.
func (r *Recorder) resolve(ctx context.Context, now time.Time, c batcher.Resolve) {
	if reply, ok := r.submitReplies[c.Ticket]; ok {
		delete(r.submitReplies, c.Ticket)
		reply <- c.Outcome
		return
	}
	write, ok := r.budgetWrites[c.Ticket]
	if !ok {
		return
	}
	delete(r.budgetWrites, c.Ticket)
	written := accountant.WriteCompleted{Program: write.Program, Kind: c.Outcome.Kind, Version: c.Outcome.Version}
	if len(c.Outcome.Rows) > 0 {
		written.Row = &c.Outcome.Rows[0]
	}
	r.budgetWritten(ctx, now, write, written)
}

// budgetWritten passes the result of a write of a budget row to the accountant. If the row could not be
// written, tokens are borrowed from peers before.
func (r *Recorder) budgetWritten(ctx context.Context, now time.Time, write accountant.Write, written accountant.WriteCompleted) {
	if written.Kind == provider.KindUnavailable {
		r.borrowInstead(ctx, write.Program, write.Needed, written)
		return
	}
	r.updateBudgets(ctx, now, written)
}

// send passes a message to the loop, unless the context ends first.
func (r *Recorder) send(ctx context.Context, m message) {
	select {
	case r.inbox <- m:
	case <-ctx.Done():
	}
}

// NotifyStoreReachable makes the recorder probe the partitions that are down, since the store
// has responded to another request. It does not block.
func (r *Recorder) NotifyStoreReachable() {
	if len(*r.down.Load()) == 0 {
		return
	}
	select {
	case r.inbox <- storeReachable{}:
	default:
		// The queued messages will use the store and detect that it is back.
	}
}
