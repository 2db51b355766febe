package recorder

import (
	"context"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// ProgramTable holds the budgets of programs.
	ProgramTable = "programs"
	// programPartitions is the number of partitions of the table.
	programPartitions = 16
	// minSplitBudget is the number of tokens from which a budget is split into two rows, so
	// that half of it remains available when the partition of one row is down. Half of a
	// smaller budget would be too small for a turn. All daemons must use the same value.
	minSplitBudget = 1600
	// secondRowSuffix is appended to the program's name in the key of the second row.
	secondRowSuffix = "\x01second"
	// hashedKeyBytes is the length of the keys of long names.
	hashedKeyBytes = 64
)

// SecondRows reads and writes the second rows of budgets, which only the owner of their partition may
// write. The versions are those that its methods return.
type SecondRows interface {
	// Activate tells that second rows may be needed.
	Activate()
	// Read returns a row, with VersionAbsent if it does not exist.
	Read(ctx context.Context, key provider.RowKey) (provider.VersionedRow, provider.Kind)
	// Write writes a row if it has the version. It returns the row as written, or the current one after a
	// conflict.
	Write(ctx context.Context, key provider.RowKey, version int64, value []byte) (provider.VersionedRow, provider.Kind)
}

// ProgramPartitions returns the partitions of ProgramTable.
func ProgramPartitions() []string {
	partitions := make([]string, programPartitions)
	for i := range partitions {
		partitions[i] = partitionName(uint32(i))
	}
	return partitions
}

func partitionName(i uint32) string { return "p" + strconv.Itoa(int(i)) }

// IsSecondRow reports whether a key of ProgramTable may be that of a second row. The keys of long names are
// hashes, which do not show it.
func IsSecondRow(key string) bool {
	return strings.HasSuffix(key, secondRowSuffix) || len(key) == hashedKeyBytes
}

// isOwned reports whether a budget row is a second one that only its owner writes.
func (r *Recorder) isOwned(name string) bool {
	return r.secondRows != nil && strings.HasSuffix(name, secondRowSuffix)
}

// budgetRow is one of the rows that hold a program's budget.
type budgetRow struct {
	name   string
	budget int
}

// splitBudget returns the rows of a budget. They depend on the program and its budget only, so
// that all daemons agree on them. The accountant and the peers treat each row as a program of
// its own, with the row's name as the program's name.
func splitBudget(program string, budget int) []budgetRow {
	if budget < minSplitBudget {
		return []budgetRow{{program, budget}}
	}
	half := budget / 2
	return []budgetRow{{program, budget - half}, {program + secondRowSuffix, half}}
}

// BudgetKeys returns the keys of the rows that may hold a program's budget.
func BudgetKeys(program string) []provider.RowKey {
	return []provider.RowKey{programKey(program), programKey(program + secondRowSuffix)}
}

func programKey(name string) provider.RowKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return provider.RowKey{Table: ProgramTable, Partition: partitionName(h.Sum32() % programPartitions), Key: historian.Key(name)}
}

// Reservation is the result of a request for the tokens of a turn.
type Reservation struct {
	accountant.Decision
	shares []share
}

// share is the number of tokens of a reservation that were taken from one budget row.
type share struct {
	row    string
	tokens int
}

// Request describes the tokens of one turn.
type Request struct {
	Program string
	// Budget is the number of tokens of the whole program.
	Budget int
	// Tokens is the largest number of tokens that the turn can generate.
	Tokens int
	// MaxOverdraft is the number of tokens beyond the budget that the program may get in place of
	// those that were lost with daemons.
	MaxOverdraft int
	// ProgramStarted is set if the program has had a turn.
	ProgramStarted bool
}

// Reserve requests the tokens of one turn. Call Finish for every admitted turn. The verdict
// is Spent only if neither one row nor all rows together have enough tokens for the turn, and
// Unavailable if the context ends before the decision.
func (r *Recorder) Reserve(ctx context.Context, request Request) Reservation {
	rows := splitBudget(request.Program, request.Budget)
	// Only one row grants tokens beyond its share, so that all daemons together keep to the bound.
	overdraftRow := rows[0]
	if len(rows) == 2 && r.secondRows != nil {
		r.secondRows.Activate()
	}
	if len(rows) == 2 && !r.partitionUp(programKey(rows[0].name).Partition) {
		rows[0], rows[1] = rows[1], rows[0]
	}
	worst := Reservation{Decision: accountant.Decision{Verdict: accountant.Spent}}
	available, lost := make([]int, len(rows)), 0
	for i, row := range rows {
		d := r.reserveFromRow(ctx, row, request, 0)
		if d.Verdict == accountant.Admitted {
			return Reservation{Decision: d, shares: []share{{row.name, request.Tokens}}}
		}
		if d.Verdict > worst.Verdict || worst.Version == 0 {
			worst.Decision = d
		}
		available[i] = d.Available
		lost += d.Lost
	}
	if worst.Verdict == accountant.Spent && len(rows) == 2 && available[0] > 0 && available[0]+available[1] >= request.Tokens {
		return r.combine(ctx, rows, available[0], request)
	}
	if overdraft := min(request.MaxOverdraft, lost); overdraft > 0 {
		d := r.reserveFromRow(ctx, overdraftRow, request, overdraft)
		if d.Verdict == accountant.Admitted {
			r.log.Info("tokens of daemons that ended or do not reply are replaced", zap.String("program", request.Program),
				zap.Int("budget", request.Budget), zap.Int("granted", d.Granted), zap.Int("lost", lost))
			return Reservation{Decision: d, shares: []share{{overdraftRow.name, request.Tokens}}}
		}
	}
	return worst
}

// combine reserves the first tokens of a turn from the first row and the others from the
// second. It reserves nothing unless both rows admit the turn.
func (r *Recorder) combine(ctx context.Context, rows []budgetRow, first int, request Request) Reservation {
	reservation := Reservation{}
	request.ProgramStarted = true
	for i, amount := range []int{first, request.Tokens - first} {
		request.Tokens = amount
		reservation.Decision = r.reserveFromRow(ctx, rows[i], request, 0)
		if reservation.Verdict != accountant.Admitted {
			r.Finish(reservation, 0)
			return Reservation{Decision: reservation.Decision}
		}
		reservation.shares = append(reservation.shares, share{rows[i].name, amount})
	}
	return reservation
}

// reserveFromRow requests the tokens of a turn from one row, which may grant the overdraft beyond its
// share of the budget.
func (r *Recorder) reserveFromRow(ctx context.Context, row budgetRow, request Request, overdraft int) accountant.Decision {
	ticket := accountant.Ticket(r.tickets.Add(1))
	reply := make(chan accountant.Decision, 1)
	r.inbox <- reserveRequest{
		request: accountant.ReservationRequested{
			Ticket: ticket, Program: row.name, Budget: row.budget, Tokens: request.Tokens, Overdraft: overdraft,
			ProgramStarted: request.ProgramStarted, FindHolders: true,
		},
		reply: reply,
	}
	select {
	case d := <-reply:
		return d
	case <-ctx.Done():
		r.inbox <- reserveCancelled{
			cancelled: accountant.ReservationCancelled{Ticket: ticket, Program: row.name}, tokens: request.Tokens, reply: reply,
		}
		return accountant.Decision{Ticket: ticket, Verdict: accountant.Unavailable}
	}
}

// cancelReservation removes a request for tokens that may have been decided. Nobody reads its reply any more.
func (r *Recorder) cancelReservation(ctx context.Context, now time.Time, m reserveCancelled) {
	delete(r.reserveReplies, m.cancelled.Ticket)
	r.updateBudgets(ctx, now, m.cancelled)
	select {
	case d := <-m.reply:
		if d.Verdict == accountant.Admitted {
			r.updateBudgets(ctx, now, accountant.TurnFinished{Program: m.cancelled.Program, Reserved: m.tokens})
		}
	default:
		// It has not been decided.
	}
}

// Finish ends an admitted turn. It releases the reserved tokens beyond the used ones.
func (r *Recorder) Finish(reservation Reservation, used int) {
	for i, s := range reservation.shares {
		usedOfShare := used
		if i < len(reservation.shares)-1 {
			usedOfShare = min(used, s.tokens)
		}
		r.finishInRow(s.row, s.tokens, usedOfShare)
		used -= usedOfShare
	}
}

func (r *Recorder) finishInRow(row string, reserved, used int) {
	r.inbox <- budgetMessage{accountant.TurnFinished{Program: row, Reserved: reserved, Used: used}}
}

// ReturnTokens writes unused tokens back to the store before the daemon exits. It returns when
// the writes have completed or the context ends.
func (r *Recorder) ReturnTokens(ctx context.Context) {
	programs := 0
	for ctx.Err() == nil {
		r.send(ctx, budgetMessage{accountant.Stopping{}})
		reply := make(chan int, 1)
		r.send(ctx, unreturnedQuery{reply})
		select {
		case programs = <-reply:
			if programs == 0 {
				return
			}
		case <-ctx.Done():
		}
		time.Sleep(busyTickInterval)
	}
	r.log.Warn("unused tokens not returned in time", zap.Int("programs", programs))
}

// LendTokens deducts tokens from this daemon's grant in a budget row for a peer: more or fewer than
// requested, and none if there are none or the context ends. It sets the ticket of the request.
func (r *Recorder) LendTokens(ctx context.Context, request accountant.BorrowRequested) accountant.Lend {
	request.Ticket = accountant.Ticket(r.tickets.Add(1))
	reply := make(chan accountant.Lend, 1)
	r.send(ctx, lendRequest{reply: reply, BorrowRequested: request})
	select {
	case lent := <-reply:
		return lent
	case <-ctx.Done():
		r.inbox <- lendCancelled{request: request, reply: reply}
		return accountant.Lend{}
	}
}

// cancelLoan takes back the tokens of a loan whose reply nobody has taken.
func (r *Recorder) cancelLoan(ctx context.Context, now time.Time, m lendCancelled) {
	delete(r.lendReplies, m.request.Ticket)
	select {
	case lent := <-m.reply:
		if m.request.Confirms {
			r.updateBudgets(ctx, now, accountant.LoanSettled{Program: m.request.Program, Ticket: lent.Ticket})
			return
		}
		r.updateBudgets(ctx, now, accountant.TokensReceived{Program: m.request.Program, Tokens: lent.Tokens, Late: true})
	default:
		// The request has not reached the accountant.
	}
}

// SettleLoan takes the tokens of a loan back if it was not received.
func (r *Recorder) SettleLoan(ctx context.Context, settled accountant.LoanSettled) {
	r.send(ctx, budgetMessage{settled})
}

func (r *Recorder) updateBudgets(ctx context.Context, now time.Time, m accountant.Message) {
	commands := r.budgets.Update(now, m)
	r.programBytes.Store(int64(r.budgets.Bytes()))
	for _, c := range commands {
		switch c := c.(type) {
		case accountant.Decision:
			if reply := r.reserveReplies[c.Ticket]; reply != nil {
				delete(r.reserveReplies, c.Ticket)
				reply <- c
			}
		case accountant.Lend:
			if reply := r.lendReplies[c.Ticket]; reply != nil {
				delete(r.lendReplies, c.Ticket)
				reply <- c
			}
		case accountant.Borrow:
			r.spawn(ctx, func() { r.borrowTokens(ctx, c) })
		case accountant.Write:
			r.writeBudget(ctx, now, c)
		case accountant.Read:
			r.readBudget(ctx, c)
		}
	}
}

// writeBudget queues the write of a budget row. While its partition is down nothing is
// written: tokens are borrowed from peers, and turns without tokens are rejected.
func (r *Recorder) writeBudget(ctx context.Context, now time.Time, c accountant.Write) {
	key := programKey(c.Program)
	if r.isOwned(c.Program) {
		r.spawn(ctx, func() {
			row, kind := r.secondRows.Write(ctx, key, c.Version, c.Value)
			r.send(ctx, secondWritten{write: c, row: row, kind: kind})
		})
		return
	}
	if !r.partitionUp(key.Partition) {
		r.borrowInstead(ctx, c.Program, c.Needed, accountant.WriteCompleted{Program: c.Program, Kind: provider.KindUnavailable})
		return
	}
	ticket := batcher.Ticket(r.tickets.Add(1))
	r.budgetWrites[ticket] = c
	r.updateQueue(ctx, now, key.Partition, batcher.Submitted{Entry: batcher.Entry{
		Ticket: ticket, Deadline: now.Add(budgetTimeout), Bytes: len(c.Value),
		Transaction: provider.RowTransaction{
			Conditions: []provider.RowCondition{{RowKey: key, Version: c.Version}},
			Writes:     []provider.RowWrite{{RowKey: key, Value: c.Value}},
		},
	}})
}

// readBudget reads a budget row. If that fails, it borrows tokens from peers before it reports
// the failure.
func (r *Recorder) readBudget(ctx context.Context, c accountant.Read) {
	key := programKey(c.Program)
	unavailable := accountant.ReadCompleted{Program: c.Program, Kind: provider.KindUnavailable}
	if r.isOwned(c.Program) {
		r.spawn(ctx, func() {
			row, kind := r.secondRows.Read(ctx, key)
			if kind == provider.KindNone {
				r.send(ctx, budgetMessage{accountant.ReadCompleted{Program: c.Program, Row: &row}})
				return
			}
			r.borrowBefore(ctx, accountant.Borrow{Program: c.Program, Tokens: c.Needed}, unavailable)
		})
		return
	}
	if !r.partitionUp(key.Partition) {
		r.borrowInstead(ctx, c.Program, c.Needed, unavailable)
		return
	}
	r.spawn(ctx, func() {
		request, cancel := context.WithTimeout(ctx, budgetTimeout)
		defer cancel()
		page, err := r.readRange(request, provider.RowRange{
			Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00", Limit: 1,
		})
		if err != nil {
			r.log.Warn("cannot read budget row; borrowing tokens from peers", zap.String("program", c.Program), zap.Error(err))
			r.borrowBefore(ctx, accountant.Borrow{Program: c.Program, Tokens: c.Needed, ProgramStarted: true}, unavailable)
			return
		}
		loaded := accountant.ReadCompleted{Program: c.Program}
		if len(page.Rows) > 0 {
			loaded.Row = &page.Rows[0]
		}
		r.send(ctx, budgetMessage{loaded})
	})
}

// borrowInstead borrows the tokens that waiting turns lack from peers in place of a request to the store that was not
// made or failed, then passes the result of that request to the accountant.
func (r *Recorder) borrowInstead(ctx context.Context, program string, tokens int, result accountant.Message) {
	r.spawn(ctx, func() {
		r.borrowBefore(ctx, accountant.Borrow{Program: program, Tokens: tokens, ProgramStarted: true}, result)
	})
}

// borrowBefore borrows tokens from peers, if any are needed, before it passes a result to the accountant.
func (r *Recorder) borrowBefore(ctx context.Context, c accountant.Borrow, result accountant.Message) {
	if c.Tokens > 0 {
		r.borrowTokens(ctx, c)
	}
	r.send(ctx, budgetMessage{result})
}

// borrowTokens borrows tokens from peers and passes them to the accountant.
func (r *Recorder) borrowTokens(ctx context.Context, c accountant.Borrow) {
	received := r.peers.BorrowTokens(ctx, c, func(tokens int) {
		r.send(ctx, budgetMessage{accountant.TokensReceived{Program: c.Program, Tokens: tokens, Late: true}})
	})
	if received.Tokens > 0 || len(received.Silent) > 0 || len(received.Ended) > 0 {
		r.log.Info("asked peers for unused tokens", zap.String("program", c.Program), zap.Int("tokens", received.Tokens),
			zap.Strings("hosts", c.Hosts), zap.Strings("silent", received.Silent), zap.Strings("ended", received.Ended))
	}
	r.send(ctx, budgetMessage{received})
}
