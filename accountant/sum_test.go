package accountant_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	sumBudget = 6000
	sumTurn   = 500
)

// ledger runs daemons on one budget row and knows where each token is.
type ledger struct {
	storedBudget
	now     time.Time
	daemons []*ledgerDaemon
	// delayed are writes without an answer that the store may still apply.
	delayed []accountant.Write
	// questions wait at a daemon, for a borrower that no longer waits for the reply. loans are not settled.
	questions []ledgerQuestion
	loans     []ledgerLoan
	tickets   accountant.Ticket
	runs      int
	used      int
	// waiting are the requests that are not decided, by ticket. restSince is since when the rest of the budget holds a turn
	// for which no other one waits.
	waiting   map[accountant.Ticket]*ledgerDaemon
	restSince time.Time
	// healthy is set once nothing fails any more. indexLost is set if daemons find peers by the row only then.
	healthy   bool
	indexLost bool
}

type ledgerDaemon struct {
	host, incarnation string
	state             *accountant.State
	pending           []accountant.Command
	turns             int
	verdicts          []accountant.Verdict
}

type ledgerQuestion struct {
	from, to *ledgerDaemon
	// incarnation is that of the borrower.
	incarnation string
	tokens      int
}

type ledgerLoan struct {
	lender, lenderRun string
	settled           accountant.LoanSettled
}

func newLedger(t *rapid.T) *ledger {
	l := &ledger{storedBudget: storedBudget{t: t}, now: start, waiting: map[accountant.Ticket]*ledgerDaemon{}}
	for i := range 3 {
		d := &ledgerDaemon{host: fmt.Sprint("host", i)}
		l.startDaemon(d)
		l.daemons = append(l.daemons, d)
	}
	return l
}

func (l *ledger) startDaemon(d *ledgerDaemon) {
	l.runs++
	maps.DeleteFunc(l.waiting, func(_ accountant.Ticket, waits *ledgerDaemon) bool { return waits == d })
	d.incarnation = fmt.Sprint("run", l.runs)
	d.state, d.pending, d.turns = accountant.New(accountant.DefaultOptions(), d.host, d.incarnation), nil, 0
}

func (l *ledger) daemon(host string) *ledgerDaemon {
	return l.daemons[slices.IndexFunc(l.daemons, func(d *ledgerDaemon) bool { return d.host == host })]
}

func (l *ledger) update(d *ledgerDaemon, m accountant.Message) {
	commands := d.state.Update(l.now, m)
	l.t.Logf("%s: %T%+v -> %+v", d.host, m, m, commands)
	for _, c := range commands {
		if decision, ok := c.(accountant.Decision); ok {
			d.verdicts = append(d.verdicts, decision.Verdict)
			if decision.Verdict == accountant.Admitted {
				d.turns++
			}
			l.checkSpent(d, decision)
			delete(l.waiting, decision.Ticket)
			continue
		}
		d.pending = append(d.pending, c)
	}
	l.noteRest()
}

// noteRest notes since when the rest of the budget holds a turn for which no other one waits.
func (l *ledger) noteRest() {
	if l.used+(l.runningTurns()+1)*sumTurn > sumBudget || len(l.waiting) > 1 {
		l.restSince = l.now
	}
}

// checkSpent checks that no turn is told that the budget is spent while the rest has held it for longer than what is known
// of it may be old.
func (l *ledger) checkSpent(d *ledgerDaemon, decision accountant.Decision) {
	if decision.Verdict == accountant.Spent && l.now.Sub(l.restSince) > accountant.DefaultOptions().MaxStaleness {
		l.t.Fatalf("%s: spent, although %d of %d tokens are used and %d turns run", d.host, l.used, sumBudget, l.runningTurns())
	}
}

func (l *ledger) runningTurns() int {
	turns := 0
	for _, d := range l.daemons {
		turns += d.turns
	}
	return turns
}

// happens draws whether something happens, which nothing bad does once all is healthy.
func (l *ledger) happens(what string) bool { return !l.healthy && rapid.Bool().Draw(l.t, what) }

func (l *ledger) request(d *ledgerDaemon) {
	l.tickets++
	l.waiting[l.tickets] = d
	l.noteRest()
	l.update(d, accountant.ReservationRequested{
		Ticket: l.tickets, Program: "p", Budget: sumBudget, Tokens: sumTurn, FindHolders: true, ProgramStarted: true,
	})
}

func (l *ledger) finish(d *ledgerDaemon, used int) {
	d.turns--
	l.used += used
	l.update(d, accountant.TurnFinished{Program: "p", Reserved: sumTurn, Used: used})
}

// complete reports a result for the oldest command of a daemon.
func (l *ledger) complete(d *ledgerDaemon) {
	if len(d.pending) == 0 {
		return
	}
	c := d.pending[0]
	d.pending = d.pending[1:]
	switch c := c.(type) {
	case accountant.Write:
		l.completeWrite(d, c)
	case accountant.Read:
		if l.happens("read fails") {
			l.update(d, accountant.ReadCompleted{Program: "p", Kind: provider.KindUnavailable})
			return
		}
		l.update(d, accountant.ReadCompleted{Program: "p", Row: l.current()})
	case accountant.Borrow:
		l.completeBorrow(d, c)
	}
}

func (l *ledger) completeWrite(d *ledgerDaemon, c accountant.Write) {
	written := accountant.WriteCompleted{Program: "p"}
	outcome := "answered"
	if !l.healthy {
		outcome = rapid.SampledFrom([]string{"answered", "answered", "rejected", "unanswered", "delayed", "dropped"}).Draw(l.t, "write")
	}
	switch outcome {
	case "rejected":
		written.Kind = provider.KindUnavailable
	case "dropped":
		written.Kind = provider.KindUnknown
	case "delayed":
		l.delayed = append(l.delayed, c)
		written.Kind = provider.KindUnknown
	case "unanswered":
		l.apply(c)
		written.Kind = provider.KindUnknown
	default:
		if !l.apply(c) {
			written.Kind, written.Row = provider.KindConflict, l.current()
		}
		written.Version = l.version
	}
	l.update(d, written)
}

// completeBorrow asks the peers of a command. Some do not reply in time, and lend to nobody later.
func (l *ledger) completeBorrow(d *ledgerDaemon, c accountant.Borrow) {
	received := accountant.TokensReceived{Program: "p", UnknownAt: map[string]string{}}
	for _, peer := range l.daemons {
		asked := slices.Contains(c.Hosts, peer.host) || len(c.Hosts) == 0 && !l.indexLost
		if peer == d || !asked {
			continue
		}
		if l.happens("peer is silent") {
			received.Silent = append(received.Silent, peer.host)
			l.questions = append(l.questions, ledgerQuestion{d, peer, d.incarnation, c.Tokens})
			continue
		}
		lent := l.lend(peer, d.host, d.incarnation, c.Tokens)
		received.Tokens += lent.Tokens
		received.Borrowers = append(received.Borrowers, lent.Borrowers...)
		if lent.UnknownProgram {
			received.UnknownAt[peer.host] = lent.Incarnation
		}
		if lent.Uncertain {
			received.Uncertain = append(received.Uncertain, peer.host)
		}
		l.addLoan(peer, lent, true)
	}
	l.update(d, received)
}

// lend makes a daemon lend tokens.
func (l *ledger) lend(lender *ledgerDaemon, host, incarnation string, tokens int) accountant.Lend {
	l.tickets++
	var lent accountant.Lend
	for _, c := range lender.state.Update(l.now, accountant.BorrowRequested{
		Ticket: l.tickets, Program: "p", Tokens: tokens, Host: host, Incarnation: incarnation, Confirms: true,
	}) {
		if reply, ok := c.(accountant.Lend); ok {
			lent = reply
			continue
		}
		lender.pending = append(lender.pending, c)
	}
	l.t.Logf("%s lends to %s: %+v", lender.host, host, lent)
	return lent
}

func (l *ledger) addLoan(lender *ledgerDaemon, lent accountant.Lend, received bool) {
	if lent.Tokens > 0 {
		l.loans = append(l.loans, ledgerLoan{
			lender.host, lender.incarnation, accountant.LoanSettled{Program: "p", Ticket: lent.Ticket, Received: received},
		})
	}
}

// answerQuestion makes a daemon lend tokens to a borrower that has given up: it accepts a late reply or refuses it.
func (l *ledger) answerQuestion() {
	if len(l.questions) == 0 {
		return
	}
	q := l.questions[0]
	l.questions = l.questions[1:]
	lent := l.lend(q.to, q.from.host, q.incarnation, q.tokens)
	accepted := q.from.incarnation == q.incarnation && l.happens("late reply is accepted")
	l.addLoan(q.to, lent, accepted)
	if accepted {
		l.update(q.from, accountant.TokensReceived{Program: "p", Tokens: lent.Tokens, Late: true})
	}
}

// settle settles the oldest loan.
func (l *ledger) settle() {
	if len(l.loans) == 0 {
		return
	}
	made := l.loans[0]
	l.loans = l.loans[1:]
	if lender := l.daemon(made.lender); lender.incarnation == made.lenderRun {
		l.update(lender, made.settled)
	}
}

// stop stops a daemon as planned and starts it again. It is left running if it cannot return its tokens.
func (l *ledger) stop(d *ledgerDaemon) {
	for range 40 {
		l.update(d, accountant.Stopping{})
		l.complete(d)
		l.settle()
		if d.state.UnreturnedPrograms() == 0 && d.turns == 0 && len(d.pending) == 0 {
			l.startDaemon(d)
			return
		}
		l.now = l.now.Add(accountant.DefaultOptions().StopRetryDelay)
	}
}

func (l *ledger) step() {
	d := l.daemons[rapid.IntRange(0, len(l.daemons)-1).Draw(l.t, "daemon")]
	switch rapid.SampledFrom([]string{
		"request", "request", "finish", "complete", "complete", "complete", "delayed", "answer", "settle", "stop", "pause", "cancel", "tick",
	}).Draw(l.t, "event") {
	case "request":
		l.request(d)
	case "finish":
		if d.turns > 0 {
			l.finish(d, rapid.IntRange(0, sumTurn).Draw(l.t, "used"))
		}
	case "complete":
		l.complete(d)
	case "delayed":
		for _, c := range l.delayed {
			l.apply(c)
		}
		l.delayed = nil
	case "answer":
		l.answerQuestion()
	case "settle":
		l.settle()
	case "stop":
		l.stop(d)
	case "pause":
		l.now = l.now.Add(accountant.DefaultOptions().IdleTimeout)
		l.update(d, accountant.Tick{})
	case "cancel":
		if l.waiting[l.tickets] == d {
			delete(l.waiting, l.tickets)
			l.update(d, accountant.ReservationCancelled{Program: "p", Ticket: l.tickets})
		}
	case "tick":
		l.now = l.now.Add(accountant.DefaultOptions().MaxStaleness)
		l.update(d, accountant.Tick{})
	}
}

// isQuiet reports whether nothing is in progress.
func (l *ledger) isQuiet() bool {
	busy := func(d *ledgerDaemon) bool { return d.turns > 0 || len(d.pending) > 0 }
	return len(l.questions) == 0 && len(l.loans) == 0 && !slices.ContainsFunc(l.daemons, busy)
}

// heal ends all failures, finishes all turns and completes everything that was begun.
func (l *ledger) heal() {
	l.healthy, l.delayed = true, nil
	for rounds := 0; !l.isQuiet(); rounds++ {
		if rounds > 10_000 {
			l.t.Fatal("the daemons do not come to rest")
		}
		for _, d := range l.daemons {
			for d.turns > 0 {
				l.finish(d, 0)
			}
			l.complete(d)
		}
		l.answerQuestion()
		l.settle()
	}
}

// returnAll lets all daemons forget the program.
func (l *ledger) returnAll() {
	for range 20 {
		l.now = l.now.Add(accountant.DefaultOptions().IdleTimeout)
		for _, d := range l.daemons {
			l.update(d, accountant.Tick{})
		}
		l.heal()
	}
}

// serveTurn runs a turn that uses all its tokens, and returns the verdict on it. A turn is sent again after a rejection
// that lets its program go on.
func (l *ledger) serveTurn(d *ledgerDaemon) accountant.Verdict {
	const tries = 3
	for range tries {
		l.now = l.now.Add(accountant.DefaultOptions().MaxStaleness)
		l.request(d)
		for d.turns == 0 && len(d.pending) > 0 {
			l.complete(d)
		}
		if d.turns > 0 {
			l.finish(d, sumTurn)
			l.heal()
			return accountant.Admitted
		}
		if d.verdicts[len(d.verdicts)-1] == accountant.Spent {
			break
		}
		l.heal()
	}
	return d.verdicts[len(d.verdicts)-1]
}

// runLedger returns a ledger after random steps, once all failures have ended.
func runLedger(t *rapid.T) *ledger {
	l := newLedger(t)
	for range rapid.IntRange(10, 150).Draw(t, "steps") {
		l.step()
	}
	l.heal()
	return l
}

// Guards against tokens that are in no daemon's account while the row counts them as granted, whatever was lost, late or
// repeated on the way: grants, returns and loans without an answer, programs that are forgotten, planned stops.
func TestNoTokenIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := runLedger(t)
		l.returnAll()
		if diff := cmp.Diff(l.used, l.row.Granted); diff != "" {
			t.Fatalf("tokens that the row counts as granted, want those that were used (-want +got):\n%s", diff)
		}
		for _, d := range l.daemons {
			if d.state.ProgramCount() != 0 {
				t.Fatalf("%s still has the program in memory", d.host)
			}
		}
	})
}

// Guards against programs that are told that their budget is spent while a daemon has unused tokens, which only another
// one may know: each turn that the rest of the budget holds is admitted.
func TestWholeBudgetIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := runLedger(t)
		l.indexLost = rapid.Bool().Draw(t, "index lost")
		for l.used+sumTurn <= sumBudget {
			d := rapid.SampledFrom(l.daemons).Draw(t, "daemon")
			if verdict := l.serveTurn(d); verdict != accountant.Admitted {
				t.Fatalf("%s rejects a turn as %v while %d of %d tokens were used", d.host, verdict, l.used, sumBudget)
			}
		}
	})
}
