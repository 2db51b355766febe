package recorder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// inboxSize holds the messages of a burst; the loop never waits for I/O.
	inboxSize = 1024
	// busyTick and idleTick are the intervals at which time passes with and without
	// entries that wait.
	busyTick = 20 * time.Millisecond
	idleTick = 250 * time.Millisecond
	// budgetPatience bounds the time that a budget's row is waited for.
	budgetPatience = 1200 * time.Millisecond
	// backgroundPatience bounds writes that nobody waits for.
	backgroundPatience = 10 * time.Second
)

// Options configure a Recorder.
type Options struct {
	Batcher    batcher.Options
	Accountant accountant.Options
	// Host names the daemon, Holder this run of it.
	Host        string
	Incarnation string
	// CacheBytes bounds the texts of turns in memory.
	CacheBytes int
	// RowBytes is the largest value of a row.
	RowBytes int
}

// Peers are the other daemons. They are asked before the store, since they answer
// faster, and when the store cannot be asked.
type Peers interface {
	// BorrowTokens returns tokens that other daemons were granted and have passed on, or 0, and
	// whether all that were asked have answered. Without hosts those nearby are asked.
	// Tokens that arrive after the return are passed to late.
	BorrowTokens(
		ctx context.Context, program string, tokens int, hosts []string, late func(tokens int),
	) (got int, complete bool)
	// Turn returns a turn that another daemon has in memory, or nil.
	Turn(ctx context.Context, id string) *historian.Turn
}

// message is an input of the loop.
type message interface{ message() }

type reserve struct {
	request accountant.ReservationRequested
	reply   chan accountant.Decision
}

type budgetMessage struct{ accountant.Message }

// wanted asks for tokens for another daemon.
type wanted struct {
	accountant.BorrowRequested
	reply chan int
}

type submit struct {
	part  string
	entry batcher.Entry
	reply chan batcher.Outcome
}

type laneMessage struct {
	part string
	batcher.Message
}

// idleQuestion asks whether no write of a budget is under way.
type idleQuestion struct{ reply chan bool }

// reached says that the store has answered a call of another part of the daemon.
type reached struct{}

func (reserve) message()       {}
func (budgetMessage) message() {}
func (wanted) message()        {}
func (submit) message()        {}
func (laneMessage) message()   {}
func (reached) message()       {}
func (idleQuestion) message()  {}

// Recorder writes and reads the rows of turns and budgets.
type Recorder struct {
	store      provider.RowStore
	neighbours Peers
	options    Options
	log        *zap.Logger
	inbox      chan message
	turns      *historian.Cache
	down       atomic.Pointer[health]
	laneCount  atomic.Int64
	tickets    atomic.Uint64
	tasks      conc.WaitGroup
	// sweepFrom has the key at which the next sweep of a part of programs begins. It
	// belongs to Sweep.
	sweepFrom map[string]string

	// The fields below belong to the loop.
	lanes   map[string]*lane
	budgets *accountant.State
	// commits, grants, waiters and gifts have the owners of entries by their tickets.
	commits map[batcher.Ticket]chan batcher.Outcome
	grants  map[batcher.Ticket]accountant.Write
	waiters map[accountant.Ticket]chan accountant.Decision
	gifts   map[accountant.Ticket]chan int
}

// New returns a recorder; Run serves it.
func New(store provider.RowStore, neighbours Peers, options Options, log *zap.Logger) *Recorder {
	r := &Recorder{
		store: store, neighbours: neighbours, options: options, log: log, inbox: make(chan message, inboxSize),
		turns: historian.NewCache(options.CacheBytes), lanes: map[string]*lane{},
		budgets: accountant.New(options.Accountant, options.Host, options.Incarnation), commits: map[batcher.Ticket]chan batcher.Outcome{},
		grants: map[batcher.Ticket]accountant.Write{}, waiters: map[accountant.Ticket]chan accountant.Decision{},
		gifts: map[accountant.Ticket]chan int{}, sweepFrom: map[string]string{},
	}
	r.down.Store(&health{})
	return r
}

// CachedBytes returns the size of the turns in memory.
func (r *Recorder) CachedBytes() int { return r.turns.Bytes() }

// Run serves the recorder until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	defer r.tasks.Wait()
	timer := time.NewTimer(idleTick)
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
		return busyTick
	}
	return idleTick
}

func (r *Recorder) tick(ctx context.Context, now time.Time) {
	for part := range r.lanes {
		r.runLane(ctx, now, part, batcher.Tick{})
	}
	r.runBudgets(ctx, now, accountant.Tick{})
}

func (r *Recorder) handle(ctx context.Context, now time.Time, m message) {
	switch m := m.(type) {
	case reserve:
		r.waiters[m.request.Ticket] = m.reply
		r.runBudgets(ctx, now, m.request)
	case budgetMessage:
		if w, ok := m.Message.(accountant.ReservationCancelled); ok {
			delete(r.waiters, w.Ticket)
		}
		r.runBudgets(ctx, now, m.Message)
	case wanted:
		r.gifts[m.Ticket] = m.reply
		r.runBudgets(ctx, now, m.BorrowRequested)
	case submit:
		r.commits[m.entry.Ticket] = m.reply
		r.runLane(ctx, now, m.part, batcher.Submitted{Entry: m.entry})
	case laneMessage:
		r.runLane(ctx, now, m.part, m.Message)
	case idleQuestion:
		m.reply <- len(r.grants) == 0
	case reached:
		for part := range *r.down.Load() {
			r.runLane(ctx, now, part, batcher.ProbeRequested{})
		}
	}
}

// resolve passes the outcome of an entry to its owner.
func (r *Recorder) resolve(ctx context.Context, now time.Time, c batcher.Resolve) {
	if reply, ok := r.commits[c.Ticket]; ok {
		delete(r.commits, c.Ticket)
		reply <- c.Outcome
		return
	}
	write, ok := r.grants[c.Ticket]
	if !ok {
		return
	}
	delete(r.grants, c.Ticket)
	written := accountant.WriteCompleted{Program: write.Program, Kind: c.Outcome.Kind, Version: c.Outcome.Version}
	if len(c.Outcome.Rows) > 0 {
		written.Row = &c.Outcome.Rows[0]
	}
	if c.Outcome.Kind == provider.KindUnavailable {
		r.borrow(ctx, write.Program, write.Needed, written)
		return
	}
	r.runBudgets(ctx, now, written)
}

// send brings a message to the loop unless it has ended.
func (r *Recorder) send(ctx context.Context, m message) {
	select {
	case r.inbox <- m:
	case <-ctx.Done():
	}
}

// NotifyStoreReachable tells the recorder that the store has answered another call.
func (r *Recorder) NotifyStoreReachable() {
	if len(*r.down.Load()) == 0 {
		return
	}
	select {
	case r.inbox <- reached{}:
	default:
		// The inbox is full of work that finds out by itself.
	}
}

// Turn returns a turn that is in memory, nil when it is not.
func (r *Recorder) Turn(id string) *historian.Turn { return r.turns.Get(id) }
