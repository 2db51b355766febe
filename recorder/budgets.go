package recorder

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// programTable holds the budgets of programs.
	programTable = "programs"
	// programParts spreads programs over parts of the table.
	programParts = 16
	// smallestSplitBudget is the number of tokens from which a budget is kept in two rows
	// of different parts, so that the loss of one part leaves half of it. Below, half of
	// a budget would not hold a turn. All daemons must use the same value.
	smallestSplitBudget = 1600
	// secondAccount is appended to a program's name in its second row.
	secondAccount = "\x01second"
)

// account is a part of a program's budget that is kept in a row of its own.
type account struct {
	name   string
	budget int
}

// accountsOf splits a budget. The split depends on the budget alone, so that all daemons
// agree on it.
func accountsOf(program string, budget int) []account {
	if budget < smallestSplitBudget {
		return []account{{program, budget}}
	}
	half := budget / 2
	return []account{{program, budget - half}, {program + secondAccount, half}}
}

// BudgetKeys returns the keys of the rows that may hold a program's budget.
func BudgetKeys(program string) []provider.RowKey {
	return []provider.RowKey{programKey(program), programKey(program + secondAccount)}
}

func programKey(name string) provider.RowKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	part := "p" + strconv.Itoa(int(h.Sum32()%programParts))
	return provider.RowKey{Table: programTable, Partition: part, Key: historian.Key(name)}
}

// Reservation is the answer to a request for the tokens of a turn.
type Reservation struct {
	accountant.Decision
	shares []share
}

// share is the part of a reservation that an account holds.
type share struct {
	account string
	tokens  int
}

// Reserve asks for the tokens of one turn. Every admitted turn ends with Finish. The
// budget is spent only if all accounts of the program say so and do not hold the turn
// together.
func (r *Recorder) Reserve(ctx context.Context, program string, budget, tokens int, underWay bool) Reservation {
	accounts := accountsOf(program, budget)
	if len(accounts) == 2 && !r.partUp(programKey(accounts[0].name).Partition) {
		accounts[0], accounts[1] = accounts[1], accounts[0]
	}
	worst := Reservation{Decision: accountant.Decision{Verdict: accountant.Spent}}
	rests := make([]int, len(accounts))
	for i, a := range accounts {
		d := r.reserve(ctx, a, tokens, underWay)
		if d.Verdict == accountant.Admitted {
			return Reservation{Decision: d, shares: []share{{a.name, tokens}}}
		}
		if d.Verdict > worst.Verdict || worst.Version == 0 {
			worst.Decision = d
		}
		rests[i] = d.Available
	}
	if worst.Verdict == accountant.Spent && len(accounts) == 2 && rests[0] > 0 && rests[0]+rests[1] >= tokens {
		return r.combine(ctx, accounts, rests[0], tokens)
	}
	return worst
}

// combine takes what is left of the first account and the rest of a turn from the second.
func (r *Recorder) combine(ctx context.Context, accounts []account, first, tokens int) Reservation {
	reservation := Reservation{}
	for i, amount := range []int{first, tokens - first} {
		reservation.Decision = r.reserve(ctx, accounts[i], amount, true)
		if reservation.Verdict != accountant.Admitted {
			r.Finish(reservation, 0)
			return Reservation{Decision: reservation.Decision}
		}
		reservation.shares = append(reservation.shares, share{accounts[i].name, amount})
	}
	return reservation
}

func (r *Recorder) reserve(ctx context.Context, a account, tokens int, underWay bool) accountant.Decision {
	ticket := accountant.Ticket(r.tickets.Add(1))
	reply := make(chan accountant.Decision, 1)
	r.inbox <- reserve{
		request: accountant.ReservationRequested{
			Ticket: ticket, Program: a.name, Budget: a.budget, Tokens: tokens, HasTurns: underWay,
		},
		reply: reply,
	}
	select {
	case d := <-reply:
		return d
	case <-ctx.Done():
		r.inbox <- budgetMessage{accountant.ReservationCancelled{Ticket: ticket, Program: a.name}}
	}
	// The decision may have been on its way.
	select {
	case d := <-reply:
		if d.Verdict == accountant.Admitted {
			r.finish(a.name, tokens, 0)
		}
	default:
	}
	return accountant.Decision{Ticket: ticket, Verdict: accountant.Unavailable}
}

// Finish ends an admitted turn with the tokens that it generated.
func (r *Recorder) Finish(reservation Reservation, used int) {
	for i, s := range reservation.shares {
		part := used
		if i < len(reservation.shares)-1 {
			part = min(used, s.tokens)
		}
		r.finish(s.account, s.tokens, part)
		used -= part
	}
}

func (r *Recorder) finish(account string, reserved, used int) {
	r.inbox <- budgetMessage{accountant.TurnFinished{Program: account, Reserved: reserved, Used: used}}
}

// ReturnTokens writes unused tokens back before the daemon ends. It waits until the writes
// have ended, at most until the context does.
func (r *Recorder) ReturnTokens(ctx context.Context) {
	r.send(ctx, budgetMessage{accountant.Stopping{}})
	for ctx.Err() == nil {
		idle := make(chan bool, 1)
		r.send(ctx, idleQuestion{idle})
		select {
		case done := <-idle:
			if done {
				return
			}
		case <-ctx.Done():
			return
		}
		time.Sleep(busyTick)
	}
}

// LendTokens takes tokens off this daemon's grant for another daemon. It returns all that is
// wanted or 0.
func (r *Recorder) LendTokens(ctx context.Context, account string, tokens int) int {
	reply := make(chan int, 1)
	m := wanted{reply: reply, BorrowRequested: accountant.BorrowRequested{
		Ticket: accountant.Ticket(r.tickets.Add(1)), Program: account, Tokens: tokens,
	}}
	r.send(ctx, m)
	select {
	case got := <-reply:
		return got
	case <-ctx.Done():
		return 0
	}
}

func (r *Recorder) runBudgets(ctx context.Context, now time.Time, m accountant.Message) {
	for _, c := range r.budgets.Update(now, m) {
		switch c := c.(type) {
		case accountant.Decision:
			if reply := r.waiters[c.Ticket]; reply != nil {
				delete(r.waiters, c.Ticket)
				reply <- c
			}
		case accountant.Give:
			r.gifts[c.Ticket] <- c.Tokens
			delete(r.gifts, c.Ticket)
		case accountant.Borrow:
			r.tasks.Go(func() { r.borrowed(ctx, c) })
		case accountant.Write:
			r.writeBudget(ctx, now, c)
		case accountant.Read:
			r.readBudget(ctx, c)
		}
	}
}

// writeBudget queues the row of a budget. While its part is down nothing is sent: other
// daemons are asked for tokens that they were granted, and turns without any are refused.
func (r *Recorder) writeBudget(ctx context.Context, now time.Time, c accountant.Write) {
	key := programKey(c.Program)
	if !r.partUp(key.Partition) {
		r.borrow(ctx, c.Program, c.Needed, accountant.WriteCompleted{Program: c.Program, Kind: provider.KindUnavailable})
		return
	}
	ticket := batcher.Ticket(r.tickets.Add(1))
	r.grants[ticket] = c
	r.runLane(ctx, now, key.Partition, batcher.Submitted{Entry: batcher.Entry{
		Ticket: ticket, Deadline: now.Add(budgetPatience), Bytes: len(c.Value),
		Transaction: provider.RowTransaction{
			Conditions: []provider.RowCondition{{RowKey: key, Version: c.Version}},
			Writes:     []provider.RowWrite{{RowKey: key, Value: c.Value}},
		},
	}})
}

func (r *Recorder) readBudget(ctx context.Context, c accountant.Read) {
	key := programKey(c.Program)
	unavailable := accountant.ReadCompleted{Program: c.Program, Kind: provider.KindUnavailable}
	if !r.partUp(key.Partition) {
		r.borrow(ctx, c.Program, c.Needed, unavailable)
		return
	}
	r.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, budgetPatience)
		defer cancel()
		page, err := r.read(call, provider.RowRange{
			Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00", Limit: 1,
		})
		if err != nil {
			r.log.Warn("budget not readable", zap.String("program", c.Program), zap.Error(err))
			r.borrowed(ctx, accountant.Borrow{Program: c.Program, Tokens: c.Needed})
			r.send(ctx, budgetMessage{unavailable})
			return
		}
		loaded := accountant.ReadCompleted{Program: c.Program}
		if len(page.Rows) > 0 {
			loaded.Row = &page.Rows[0]
		}
		r.send(ctx, budgetMessage{loaded})
	})
}

// borrow asks other daemons for tokens, then ends the call to the store that could not be
// made.
func (r *Recorder) borrow(ctx context.Context, program string, tokens int, end accountant.Message) {
	r.tasks.Go(func() {
		r.borrowed(ctx, accountant.Borrow{Program: program, Tokens: tokens})
		r.send(ctx, budgetMessage{end})
	})
}

func (r *Recorder) borrowed(ctx context.Context, c accountant.Borrow) {
	got, complete := r.neighbours.BorrowTokens(ctx, c.Program, c.Tokens, c.Hosts, func(tokens int) {
		r.send(ctx, budgetMessage{accountant.TokensReceived{Program: c.Program, Tokens: tokens}})
	})
	if got > 0 || !complete {
		r.log.Info("tokens of other daemons", zap.String("program", c.Program), zap.Int("tokens", got),
			zap.Strings("hosts", c.Hosts), zap.Bool("complete", complete))
	}
	r.send(ctx, budgetMessage{accountant.TokensReceived{Program: c.Program, Tokens: got, Complete: complete}})
}
