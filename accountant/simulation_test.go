package accountant_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// simulation runs several daemons on one budget row. Their writes may be rejected or
// delayed, and responses may be lost.
type simulation struct {
	storedBudget
	now     time.Time
	daemons []*daemon
	// delayedWrites are writes that may still take effect.
	delayedWrites []accountant.Write
	tickets       accountant.Ticket
	used          int
	incarnations  int
	// overdraft is that of the requests.
	overdraft int
}

type daemon struct {
	state   *accountant.State
	pending []accountant.Command
	// turns is the number of admitted turns that have not finished.
	turns int
}

// storedBudget is the budget row of the simulated store.
type storedBudget struct {
	t       *rapid.T
	row     encoder.ProgramBudget
	version int64
}

// apply writes the row if its version is that of the command.
func (s *storedBudget) apply(c accountant.Write) bool {
	if c.Version != s.version {
		return false
	}
	s.row = encoder.ProgramBudget{}
	if err := json.Unmarshal(c.Value, &s.row); err != nil {
		s.t.Fatal(err)
	}
	s.version++
	return true
}

func (s *storedBudget) current() *provider.VersionedRow {
	if s.version == provider.VersionAbsent {
		return nil
	}
	return row(s.version, s.row)
}

func (s *simulation) update(d *daemon, m accountant.Message) {
	for _, c := range d.state.Update(s.now, m) {
		if decision, ok := c.(accountant.Decision); ok {
			if decision.Verdict == accountant.Admitted {
				d.turns++
			}
			continue
		}
		d.pending = append(d.pending, c)
	}
}

// TestBudgetIsNeverExceeded checks that all daemons together never admit turns for more than the budget,
// or than the budget and the overdraft that they may grant, whichever requests are lost or delayed and
// whichever peers are wrongly taken for ended. It guards against a grant that counts twice after a lost
// response of the store.
func TestBudgetIsNeverExceeded(t *testing.T) {
	const budget, turn = 3000, 500
	tests := []struct {
		name      string
		overdraft int
	}{
		{"without overdraft", 0},
		{"overdraft of one turn", turn},
	}
	for _, test := range tests {
		t.Run(test.name, rapid.MakeCheck(func(t *rapid.T) {
			s := &simulation{storedBudget: storedBudget{t: t}, now: start, overdraft: test.overdraft}
			for range 3 {
				s.daemons = append(s.daemons, &daemon{state: accountant.New(accountant.DefaultOptions(), s.newIncarnation(), s.newIncarnation())})
			}
			for range rapid.IntRange(10, 120).Draw(t, "steps") {
				d := s.daemons[rapid.IntRange(0, 2).Draw(t, "daemon")]
				s.step(d, budget, turn)
				if s.used+s.runningTurns()*turn > budget+test.overdraft {
					t.Fatalf("%d tokens used and %d turns running, above the budget of %d", s.used, s.runningTurns(), budget)
				}
			}
		}))
	}
}

// newIncarnation returns a name that no other run of a daemon has.
func (s *simulation) newIncarnation() string {
	s.incarnations++
	return fmt.Sprint("run", s.incarnations)
}

func (s *simulation) runningTurns() int {
	n := 0
	for _, d := range s.daemons {
		n += d.turns
	}
	return n
}

func (s *simulation) step(d *daemon, budget, turn int) {
	switch rapid.SampledFrom([]string{"request", "finish", "respond", "respond", "apply delayed", "restart", "lend", "stop", "pause"}).Draw(s.t, "event") {
	case "request":
		s.tickets++
		s.update(d, accountant.ReservationRequested{
			Ticket: s.tickets, Program: "p", Budget: budget, Tokens: turn, FindHolders: rapid.Bool().Draw(s.t, "findHolders"), Overdraft: rapid.SampledFrom([]int{0, s.overdraft}).Draw(s.t, "overdraft"),
		})
	case "finish":
		if d.turns > 0 {
			used := rapid.IntRange(0, turn).Draw(s.t, "used")
			d.turns--
			s.used += used
			s.update(d, accountant.TurnFinished{Program: "p", Reserved: turn, Used: used})
		}
	case "respond":
		s.completeCommand(d)
	case "apply delayed":
		for _, c := range s.delayedWrites {
			s.apply(c)
		}
		s.delayedWrites = nil
	case "lend":
		s.lend(d, s.daemons[rapid.IntRange(0, 2).Draw(s.t, "to")], turn)
	case "stop":
		s.update(d, accountant.Stopping{})
	case "pause":
		s.now = s.now.Add(accountant.DefaultOptions().IdleTimeout)
		s.update(d, accountant.Tick{})
	case "restart":
		// The running turns may have used all their reserved tokens.
		s.used += d.turns * turn
		*d = daemon{state: accountant.New(accountant.DefaultOptions(), s.newIncarnation(), s.newIncarnation())}
	}
}

// lend moves tokens of one daemon's grant to a peer; the reply may be lost.
func (s *simulation) lend(from, to *daemon, turn int) {
	for _, c := range from.state.Update(s.now, accountant.BorrowRequested{Program: "p", Tokens: turn}) {
		lent, ok := c.(accountant.Lend)
		if ok && lent.Tokens > 0 && rapid.Bool().Draw(s.t, "delivered") {
			s.update(to, accountant.TokensReceived{Program: "p", Tokens: lent.Tokens})
		}
	}
}

// completeCommand reports a result for the oldest pending command of a daemon.
func (s *simulation) completeCommand(d *daemon) {
	if len(d.pending) == 0 {
		return
	}
	c := d.pending[0]
	d.pending = d.pending[1:]
	if b, ok := c.(accountant.Borrow); ok {
		received := accountant.TokensReceived{Program: "p"}
		for _, host := range b.Hosts {
			switch rapid.SampledFrom([]string{"replied", "silent", "ended"}).Draw(s.t, "peer") {
			case "silent":
				received.Silent = append(received.Silent, host)
			case "ended":
				received.Ended = append(received.Ended, host)
			}
		}
		s.update(d, received)
		return
	}
	outcome := rapid.SampledFrom([]string{"ok", "ok", "ok", "rejected", "lost", "delayed"}).Draw(s.t, "outcome")
	switch c := c.(type) {
	case accountant.Read:
		if outcome == "ok" {
			s.update(d, accountant.ReadCompleted{Program: "p", Row: s.current()})
		} else {
			s.update(d, accountant.ReadCompleted{Program: "p", Kind: provider.KindUnavailable})
		}
	case accountant.Write:
		written := accountant.WriteCompleted{Program: "p"}
		switch {
		case outcome == "rejected":
			written.Kind = provider.KindUnavailable
		case outcome == "delayed":
			s.delayedWrites = append(s.delayedWrites, c)
			written.Kind = provider.KindUnknown
		case !s.apply(c):
			written.Kind, written.Row = provider.KindConflict, s.current()
		case outcome == "lost":
			written.Kind = provider.KindUnknown
		}
		written.Version = s.version
		s.update(d, written)
	}
}
