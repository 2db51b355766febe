package recorder

import (
	"context"
	"errors"
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
	// Holder names this run of the daemon.
	Holder string
	// CacheBytes bounds the texts of turns in memory.
	CacheBytes int
	// RowBytes is the largest value of a row.
	RowBytes int
}

// message is an input of the loop.
type message interface{ message() }

type reserve struct {
	request accountant.Requested
	reply   chan accountant.Decide
}

type budgetMessage struct{ accountant.Message }

type submit struct {
	entry batcher.Entry
	reply chan batcher.Outcome
}

// wanted asks for tokens for another daemon.
type wanted struct {
	accountant.Wanted
	reply chan int
}

type batchMessage struct{ batcher.Message }

func (reserve) message()       {}
func (budgetMessage) message() {}
func (submit) message()        {}
func (wanted) message()        {}
func (batchMessage) message()  {}

// Neighbours are the other daemons, which are asked while the store is down.
type Neighbours interface {
	// Tokens returns tokens that another daemon was granted and has passed on, or 0.
	Tokens(ctx context.Context, program string, tokens int) int
	// Turn returns a turn that another daemon has in memory, or nil.
	Turn(ctx context.Context, id string) *historian.Turn
}

// Recorder writes and reads the rows of turns and budgets.
type Recorder struct {
	store      provider.RowStore
	neighbours Neighbours
	options    Options
	log        *zap.Logger
	inbox      chan message
	turns      *historian.Cache
	up         atomic.Bool
	tickets    atomic.Uint64
	tasks      conc.WaitGroup
	// sweepFrom has the key at which the next sweep of a part of programs begins. It
	// belongs to Sweep.
	sweepFrom map[string]string

	// The fields below belong to the loop.
	batches *batcher.State
	budgets *accountant.State
	// commits and grants have the owners of entries by their tickets.
	commits map[batcher.Ticket]chan batcher.Outcome
	grants  map[batcher.Ticket]string
	waiters map[accountant.Ticket]chan accountant.Decide
	gifts   map[accountant.Ticket]chan int
}

// New returns a recorder; Run serves it.
func New(store provider.RowStore, neighbours Neighbours, options Options, log *zap.Logger) *Recorder {
	r := &Recorder{
		store: store, neighbours: neighbours, options: options, log: log, inbox: make(chan message, inboxSize),
		turns:   historian.NewCache(options.CacheBytes),
		batches: batcher.New(options.Batcher), budgets: accountant.New(options.Accountant, options.Holder),
		commits: map[batcher.Ticket]chan batcher.Outcome{}, grants: map[batcher.Ticket]string{},
		waiters: map[accountant.Ticket]chan accountant.Decide{}, sweepFrom: map[string]string{},
		gifts: map[accountant.Ticket]chan int{},
	}
	r.up.Store(true)
	return r
}

// Up reports whether the store takes writes, as far as is known.
func (r *Recorder) Up() bool { return r.up.Load() }

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
	if r.batches.Waiting() > 0 || !r.batches.Up() {
		return busyTick
	}
	return idleTick
}

func (r *Recorder) tick(ctx context.Context, now time.Time) {
	r.runBatches(ctx, now, batcher.Tick{})
	r.runBudgets(ctx, now, accountant.Tick{})
}

func (r *Recorder) handle(ctx context.Context, now time.Time, m message) {
	switch m := m.(type) {
	case reserve:
		r.waiters[m.request.Ticket] = m.reply
		r.runBudgets(ctx, now, m.request)
	case budgetMessage:
		if w, ok := m.Message.(accountant.Withdrawn); ok {
			delete(r.waiters, w.Ticket)
		}
		r.runBudgets(ctx, now, m.Message)
	case wanted:
		r.gifts[m.Ticket] = m.reply
		r.runBudgets(ctx, now, m.Wanted)
	case submit:
		r.commits[m.entry.Ticket] = m.reply
		r.runBatches(ctx, now, batcher.Submitted{Entry: m.entry})
	case batchMessage:
		r.runBatches(ctx, now, m.Message)
	}
}

func (r *Recorder) runBudgets(ctx context.Context, now time.Time, m accountant.Message) {
	for _, c := range r.budgets.Update(now, m) {
		switch c := c.(type) {
		case accountant.Decide:
			if reply := r.waiters[c.Ticket]; reply != nil {
				delete(r.waiters, c.Ticket)
				reply <- c
			} else if c.Verdict == accountant.Admitted {
				// Cannot happen: a withdrawn ticket has left the queue of waiters.
				r.log.Error("tokens granted to nobody", zap.Uint64("ticket", uint64(c.Ticket)))
			}
		case accountant.Give:
			r.gifts[c.Ticket] <- c.Tokens
			delete(r.gifts, c.Ticket)
		case accountant.Write:
			r.writeBudget(ctx, now, c)
		case accountant.Read:
			r.readBudget(ctx, c.Program, c.Needed)
		}
	}
}

// writeBudget queues the row of a budget. While the store is down nothing is sent: other
// daemons are asked for tokens that they were granted, and turns without any are refused.
func (r *Recorder) writeBudget(ctx context.Context, now time.Time, c accountant.Write) {
	if !r.batches.Up() {
		refused := accountant.Written{Program: c.Program, Kind: provider.KindUnavailable}
		if c.Background {
			r.runBudgets(ctx, now, refused)
			return
		}
		r.borrow(ctx, c.Program, c.Needed, refused)
		return
	}
	ticket := batcher.Ticket(r.tickets.Add(1))
	r.grants[ticket] = c.Program
	patience := budgetPatience
	if c.Background {
		patience = backgroundPatience
	}
	key := programKey(c.Program)
	r.runBatches(ctx, now, batcher.Submitted{Entry: batcher.Entry{
		Ticket: ticket, Deadline: now.Add(patience), Bytes: len(c.Value), Background: c.Background,
		Transaction: provider.RowTransaction{
			Conditions: []provider.RowCondition{{RowKey: key, Version: c.Version}},
			Writes:     []provider.RowWrite{{RowKey: key, Value: c.Value}},
		},
	}})
}

func (r *Recorder) readBudget(ctx context.Context, program string, needed int) {
	if !r.batches.Up() {
		r.borrow(ctx, program, needed, accountant.Loaded{Program: program, Kind: provider.KindUnavailable})
		return
	}
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, budgetPatience)
		defer cancel()
		key := programKey(program)
		loaded := accountant.Loaded{Program: program}
		page, err := r.read(ctx, provider.RowRange{
			Table: key.Table, Part: key.Part, From: key.Key, To: key.Key + "\x00", Limit: 1,
		})
		if err != nil {
			loaded.Kind = provider.KindUnavailable
			r.log.Warn("budget not readable", zap.String("program", program), zap.Error(err))
		} else if len(page.Rows) > 0 {
			loaded.Row = &page.Rows[0]
		}
		r.send(ctx, budgetMessage{loaded})
	})
}

// borrow asks other daemons for tokens, then ends the call to the store that could not be
// made.
func (r *Recorder) borrow(ctx context.Context, program string, tokens int, end accountant.Message) {
	r.tasks.Go(func() {
		if got := r.neighbours.Tokens(ctx, program, tokens); got > 0 {
			r.log.Info("tokens of another daemon", zap.String("program", program), zap.Int("tokens", got))
			r.send(ctx, budgetMessage{accountant.Received{Program: program, Tokens: got}})
		}
		r.send(ctx, budgetMessage{end})
	})
}

func (r *Recorder) runBatches(ctx context.Context, now time.Time, m batcher.Message) {
	for _, c := range r.batches.Update(now, m) {
		switch c := c.(type) {
		case batcher.Apply:
			r.apply(ctx, c)
		case batcher.Resolve:
			r.resolve(ctx, now, c)
		case batcher.Probe:
			r.probe(ctx, c.Timeout)
		case batcher.StoreChanged:
			r.up.Store(c.Up)
			r.log.Info("store", zap.Bool("up", c.Up), zap.Int("waiting", r.batches.Waiting()))
		}
	}
}

func (r *Recorder) apply(ctx context.Context, c batcher.Apply) {
	r.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		version, err := r.store.Apply(call, c.Transaction)
		kind := provider.KindOf(err)
		var conflict *provider.RowConflict
		switch {
		case err == nil:
			r.send(ctx, batchMessage{batcher.Applied{Batch: c.Batch, Version: version}})
		case errors.As(err, &conflict):
			r.send(ctx, batchMessage{batcher.Conflicted{Batch: c.Batch, Rows: conflict.Rows}})
		default:
			r.log.Warn("transaction failed", zap.Uint64("batch", c.Batch), zap.Int("entries", c.Transaction.Entries()),
				zap.Stringer("kind", kind), zap.Duration("timeout", c.Timeout), zap.Error(err))
			r.send(ctx, batchMessage{batcher.Failed{Batch: c.Batch, Kind: kind}})
		}
	})
}

// probe reads an empty range.
func (r *Recorder) probe(ctx context.Context, timeout time.Duration) {
	r.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_, err := r.store.Range(call, provider.RowRange{Table: programTable, Part: "probe", Limit: 1})
		if err != nil {
			r.log.Info("probe of the store", zap.Error(err))
		}
		r.send(ctx, batchMessage{batcher.Probed{Answered: err == nil}})
	})
}

func (r *Recorder) resolve(ctx context.Context, now time.Time, c batcher.Resolve) {
	if reply, ok := r.commits[c.Ticket]; ok {
		delete(r.commits, c.Ticket)
		reply <- c.Outcome
		return
	}
	program, ok := r.grants[c.Ticket]
	if !ok {
		return
	}
	delete(r.grants, c.Ticket)
	written := accountant.Written{Program: program, Kind: c.Outcome.Kind, Version: c.Outcome.Version}
	if len(c.Outcome.Rows) > 0 {
		written.Row = &c.Outcome.Rows[0]
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

// Reached tells the recorder that the store has answered another call.
func (r *Recorder) Reached() {
	if r.Up() {
		return
	}
	select {
	case r.inbox <- batchMessage{batcher.Reached{}}:
	default:
		// The inbox is full of work that finds out by itself.
	}
}

// Reserve asks for the tokens of one turn. Every admitted turn ends with Finish.
func (r *Recorder) Reserve(ctx context.Context, program string, budget, tokens int) accountant.Decide {
	ticket := accountant.Ticket(r.tickets.Add(1))
	reply := make(chan accountant.Decide, 1)
	r.inbox <- reserve{
		request: accountant.Requested{Ticket: ticket, Program: program, Budget: budget, Tokens: tokens}, reply: reply,
	}
	select {
	case d := <-reply:
		return d
	case <-ctx.Done():
		r.inbox <- budgetMessage{accountant.Withdrawn{Ticket: ticket, Program: program}}
	}
	// The decision may have been on its way.
	select {
	case d := <-reply:
		if d.Verdict == accountant.Admitted {
			r.Finish(program, tokens, 0)
		}
	default:
	}
	return accountant.Decide{Ticket: ticket, Verdict: accountant.Unavailable}
}

// Give takes tokens off this daemon's grant for another daemon. It returns all that is
// wanted or 0.
func (r *Recorder) Give(ctx context.Context, program string, tokens int) int {
	reply := make(chan int, 1)
	m := wanted{reply: reply, Wanted: accountant.Wanted{
		Ticket: accountant.Ticket(r.tickets.Add(1)), Program: program, Tokens: tokens,
	}}
	r.send(ctx, m)
	select {
	case got := <-reply:
		return got
	case <-ctx.Done():
		return 0
	}
}

// Turn returns a turn that is in memory, nil when it is not.
func (r *Recorder) Turn(id string) *historian.Turn { return r.turns.Get(id) }

// Finish ends an admitted turn with the tokens that it generated.
func (r *Recorder) Finish(program string, reserved, used int) {
	r.inbox <- budgetMessage{accountant.Finished{Program: program, Reserved: reserved, Used: used}}
}
