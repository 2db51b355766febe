package accountant_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

var start = time.Unix(1_000, 0)

func requested(ticket int, budget, tokens int) accountant.ReservationRequested {
	return accountant.ReservationRequested{Ticket: accountant.Ticket(ticket), Program: "p", Budget: budget, Tokens: tokens}
}

func row(version int64, budget encoder.ProgramBudget) *provider.VersionedRow {
	value, err := json.Marshal(budget)
	if err != nil {
		panic(err)
	}
	return &provider.VersionedRow{Version: version, Value: value}
}

// oneSecondLater advances the time by a second between two messages.
type oneSecondLater struct{ accountant.Tick }

// replay applies messages and returns the commands in text form.
func replay(s *accountant.State, messages ...accountant.Message) []string {
	got, now := []string{}, start
	for _, m := range messages {
		if _, ok := m.(oneSecondLater); ok {
			now = now.Add(time.Second)
			continue
		}
		for _, c := range s.Update(now, m) {
			switch c := c.(type) {
			case accountant.Decision:
				got = append(got, fmt.Sprintf("%d %s", c.Ticket, c.Verdict))
			case accountant.Write:
				got = append(got, fmt.Sprintf("write at %d", c.Version))
			case accountant.Read:
				got = append(got, "read")
			case accountant.Borrow:
				got = append(got, fmt.Sprint("borrow ", c.Tokens, " from ", c.Hosts))
			}
		}
	}
	return got
}

func TestState(t *testing.T) {
	spareAtPeer := row(7, encoder.ProgramBudget{
		Granted: 800, Holder: "other", Spare: encoder.ProgramBudgetSpare{"other": 500},
	})
	spareAtTwoPeers := row(8, encoder.ProgramBudget{
		Granted: 900, Holder: "third", Spare: encoder.ProgramBudgetSpare{"other": 500, "third": 200},
	})
	tests := []struct {
		name     string
		messages []accountant.Message
		want     []string
	}{
		{
			name: "a turn starts only after its grant is written",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Version: 5},
			},
			want: []string{"write at 0", "1 admitted"},
		},
		{
			name: "an ample budget is granted ahead",
			messages: []accountant.Message{
				requested(1, 9000, 576), accountant.WriteCompleted{Program: "p", Version: 5}, requested(2, 9000, 576),
			},
			want: []string{"write at 0", "1 admitted", "2 admitted"},
		},
		{
			name: "a budget counts as spent if the current row shows it",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Version: 5}, requested(2, 900, 576),
			},
			want: []string{"write at 0", "1 admitted", "2 spent"},
		},
		{
			name: "a stale row is read again before a budget counts as spent",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Version: 5}, oneSecondLater{}, requested(2, 900, 576),
				accountant.ReadCompleted{Program: "p", Row: row(5, encoder.ProgramBudget{Granted: 576})},
			},
			want: []string{"write at 0", "1 admitted", "read", "2 spent"},
		},
		{
			name: "a peer with unused tokens that does not reply leaves the budget contended",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtPeer},
				accountant.TokensReceived{Program: "p"},
			},
			want: []string{"write at 0", "borrow 576 from [other]", "1 contended"},
		},
		{
			// Guards against ending a program too early: when region peers had no tokens,
			// the unused tokens of a host that was not among them counted as used.
			name: "replies of region peers do not stand for a host that the row lists",
			messages: []accountant.Message{
				accountant.ReservationRequested{Ticket: 1, Program: "p", Budget: 900, Tokens: 576, ProgramStarted: true},
				accountant.TokensReceived{Program: "p", Complete: true},
				accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtPeer},
				accountant.TokensReceived{Program: "p", Tokens: 576, Complete: true},
			},
			want: []string{"borrow 576 from []", "write at 0", "borrow 576 from [other]", "1 admitted"},
		},
		{
			name: "a host that the row lists only later is asked too",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtPeer},
				accountant.TokensReceived{Program: "p", Tokens: 100, Complete: true}, requested(2, 900, 200),
				accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtTwoPeers},
				accountant.TokensReceived{Program: "p", Tokens: 100, Complete: true},
			},
			want: []string{
				"write at 0", "borrow 576 from [other]", "1 spent", "write at 7", "borrow 100 from [other third]", "2 admitted",
			},
		},
		{
			name: "a budget is spent when the peer with tokens lends none",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtPeer},
				accountant.TokensReceived{Program: "p", Complete: true},
			},
			want: []string{"write at 0", "borrow 576 from [other]", "1 spent"},
		},
		{
			name: "a turn runs on borrowed tokens without a write",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtPeer},
				accountant.TokensReceived{Program: "p", Tokens: 600, Complete: true},
			},
			want: []string{"write at 0", "borrow 576 from [other]", "1 admitted"},
		},
		{
			name: "a program that had turns borrows from region peers first",
			messages: []accountant.Message{
				accountant.ReservationRequested{Ticket: 1, Program: "p", Budget: 900, Tokens: 576, ProgramStarted: true},
				accountant.TokensReceived{Program: "p"}, accountant.WriteCompleted{Program: "p", Version: 4},
			},
			want: []string{"borrow 576 from []", "write at 0", "1 admitted"},
		},
		{
			name: "a store that rejects the write leaves the budget unknown",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindUnavailable},
			},
			want: []string{"write at 0", "1 unavailable"},
		},
		{
			name: "after a lost response the daemon recognises its row",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindUnknown},
				accountant.ReadCompleted{Program: "p", Row: row(6, encoder.ProgramBudget{Granted: 576, Holder: "me", Sequence: 1})},
			},
			want: []string{"write at 0", "read", "1 admitted"},
		},
		{
			name: "after a lost response to a write without effect the grant is written again",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindUnknown},
				accountant.ReadCompleted{Program: "p"}, accountant.WriteCompleted{Program: "p", Version: 9},
			},
			want: []string{"write at 0", "read", "write at 0", "1 admitted"},
		},
		{
			name: "a row that cannot be decoded counts as spent",
			messages: []accountant.Message{
				requested(1, 900, 576),
				accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: &provider.VersionedRow{Version: 3, Value: []byte("?")}},
			},
			want: []string{"write at 0", "1 spent"},
		},
		{
			name: "tokens that a turn did not use admit the next one",
			messages: []accountant.Message{
				requested(1, 1152, 576), accountant.WriteCompleted{Program: "p", Version: 5},
				accountant.TurnFinished{Program: "p", Reserved: 576, Used: 0}, requested(2, 1152, 576),
			},
			want: []string{"write at 0", "1 admitted", "2 admitted"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := accountant.New(accountant.DefaultOptions(), "host", "me")
			if diff := cmp.Diff(test.want, replay(state, test.messages...)); diff != "" {
				t.Errorf("decisions differ (-want +got):\n%s", diff)
			}
		})
	}
}

// simulation runs several daemons on one budget row. Their writes may be rejected or
// delayed, and responses may be lost.
type simulation struct {
	t       *rapid.T
	row     encoder.ProgramBudget
	version int64
	daemons []*daemon
	// delayedWrites are writes that may still take effect.
	delayedWrites []accountant.Write
	tickets       accountant.Ticket
	used          int
	incarnations  int
}

type daemon struct {
	state   *accountant.State
	pending []accountant.Command
	// turns is the number of admitted turns that have not finished.
	turns int
}

// apply writes the row if its version is that of the command.
func (s *simulation) apply(c accountant.Write) bool {
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

func (s *simulation) current() *provider.VersionedRow {
	if s.version == 0 {
		return nil
	}
	return row(s.version, s.row)
}

func (s *simulation) update(d *daemon, m accountant.Message) {
	for _, c := range d.state.Update(start, m) {
		if decision, ok := c.(accountant.Decision); ok {
			if decision.Verdict == accountant.Admitted {
				d.turns++
			}
			continue
		}
		d.pending = append(d.pending, c)
	}
}

// TestBudgetIsNeverExceeded checks that all daemons together never admit turns for more
// than the budget, whichever requests are lost or delayed. It guards against a grant that
// counts twice after a lost response of the store.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget, turn = 3000, 500
		s := &simulation{t: t}
		for range 3 {
			s.daemons = append(s.daemons, &daemon{state: accountant.New(accountant.DefaultOptions(), s.newIncarnation(), s.newIncarnation())})
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			d := s.daemons[rapid.IntRange(0, 2).Draw(t, "daemon")]
			s.step(d, budget, turn)
			if s.used+s.runningTurns()*turn > budget {
				t.Fatalf("%d tokens used and %d turns running, above the budget of %d", s.used, s.runningTurns(), budget)
			}
		}
	})
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
	switch rapid.SampledFrom([]string{"request", "finish", "respond", "respond", "apply delayed", "restart", "lend", "stop"}).Draw(s.t, "event") {
	case "request":
		s.tickets++
		s.update(d, accountant.ReservationRequested{Ticket: s.tickets, Program: "p", Budget: budget, Tokens: turn})
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
	case "restart":
		// The running turns may have used all their reserved tokens.
		s.used += d.turns * turn
		*d = daemon{state: accountant.New(accountant.DefaultOptions(), s.newIncarnation(), s.newIncarnation())}
	}
}

// lend moves tokens of one daemon's grant to a peer; the reply may be lost.
func (s *simulation) lend(from, to *daemon, turn int) {
	for _, c := range from.state.Update(start, accountant.BorrowRequested{Program: "p", Tokens: turn}) {
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
		s.update(d, accountant.TokensReceived{Program: "p", Complete: len(b.Hosts) > 0})
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
