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

// later lets a second pass between two messages.
type later struct{ accountant.Tick }

// verdicts runs messages and returns the decisions.
func verdicts(s *accountant.State, messages ...accountant.Message) []string {
	got, now := []string{}, start
	for _, m := range messages {
		if _, ok := m.(later); ok {
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
	heldElsewhere := row(7, encoder.ProgramBudget{
		Granted: 800, Holder: "other", Spare: encoder.ProgramBudgetSpare{"other": 500},
	})
	heldByTwo := row(8, encoder.ProgramBudget{
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
			name: "a budget is spent only if the row says so now",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Version: 5}, requested(2, 900, 576),
			},
			want: []string{"write at 0", "1 admitted", "2 spent"},
		},
		{
			name: "an old row is read again before a budget counts as spent",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Version: 5}, later{}, requested(2, 900, 576),
				accountant.ReadCompleted{Program: "p", Row: row(5, encoder.ProgramBudget{Granted: 576})},
			},
			want: []string{"write at 0", "1 admitted", "read", "2 spent"},
		},
		{
			name: "a daemon with unused tokens that does not answer keeps the budget open",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: heldElsewhere},
				accountant.TokensReceived{Program: "p"},
			},
			want: []string{"write at 0", "borrow 576 from [other]", "1 contended"},
		},
		{
			// Neighbours that had nothing said nothing about a holder that is not one of
			// them: its tokens were taken for used, and the program was ended.
			name: "the answer of neighbours is not that of a daemon with unused tokens",
			messages: []accountant.Message{
				accountant.ReservationRequested{Ticket: 1, Program: "p", Budget: 900, Tokens: 576, HasTurns: true},
				accountant.TokensReceived{Program: "p", Complete: true},
				accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: heldElsewhere},
				accountant.TokensReceived{Program: "p", Tokens: 576, Complete: true},
			},
			want: []string{"borrow 576 from []", "write at 0", "borrow 576 from [other]", "1 admitted"},
		},
		{
			name: "a daemon that the row names since is asked too",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: heldElsewhere},
				accountant.TokensReceived{Program: "p", Tokens: 100, Complete: true}, requested(2, 900, 200),
				accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: heldByTwo},
				accountant.TokensReceived{Program: "p", Tokens: 100, Complete: true},
			},
			want: []string{
				"write at 0", "borrow 576 from [other]", "1 spent", "write at 7", "borrow 100 from [other third]", "2 admitted",
			},
		},
		{
			name: "a daemon that needs its tokens leaves the budget spent",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: heldElsewhere},
				accountant.TokensReceived{Program: "p", Complete: true},
			},
			want: []string{"write at 0", "borrow 576 from [other]", "1 spent"},
		},
		{
			name: "tokens of another daemon pay for a turn without a write",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: heldElsewhere},
				accountant.TokensReceived{Program: "p", Tokens: 600, Complete: true},
			},
			want: []string{"write at 0", "borrow 576 from [other]", "1 admitted"},
		},
		{
			name: "a program under way asks its other daemons first",
			messages: []accountant.Message{
				accountant.ReservationRequested{Ticket: 1, Program: "p", Budget: 900, Tokens: 576, HasTurns: true},
				accountant.TokensReceived{Program: "p"}, accountant.WriteCompleted{Program: "p", Version: 4},
			},
			want: []string{"borrow 576 from []", "write at 0", "1 admitted"},
		},
		{
			name: "a store that refuses leaves the budget unknown",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindUnavailable},
			},
			want: []string{"write at 0", "1 unavailable"},
		},
		{
			name: "after a lost answer the own row is recognised",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindUnknown},
				accountant.ReadCompleted{Program: "p", Row: row(6, encoder.ProgramBudget{Granted: 576, Holder: "me", Sequence: 1})},
			},
			want: []string{"write at 0", "read", "1 admitted"},
		},
		{
			name: "after a lost answer that did not take effect the grant is written again",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindUnknown},
				accountant.ReadCompleted{Program: "p"}, accountant.WriteCompleted{Program: "p", Version: 9},
			},
			want: []string{"write at 0", "read", "write at 0", "1 admitted"},
		},
		{
			name: "a row that cannot be read allows nothing",
			messages: []accountant.Message{
				requested(1, 900, 576),
				accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: &provider.VersionedRow{Version: 3, Value: []byte("?")}},
			},
			want: []string{"write at 0", "1 spent"},
		},
		{
			name: "a turn that ran short pays for the next one",
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
			if diff := cmp.Diff(test.want, verdicts(state, test.messages...)); diff != "" {
				t.Errorf("decisions differ (-want +got):\n%s", diff)
			}
		})
	}
}

// world runs several daemons on one row whose writes may be lost, late or refused.
type world struct {
	t       *rapid.T
	row     encoder.ProgramBudget
	version int64
	daemons []*daemon
	// late are writes that may still be carried out.
	late    []accountant.Write
	tickets accountant.Ticket
	used    int
	holders int
}

type daemon struct {
	state   *accountant.State
	pending []accountant.Command
	// turns are admitted turns that have not ended.
	turns int
}

func (w *world) apply(c accountant.Write) bool {
	if c.Version != w.version {
		return false
	}
	w.row = encoder.ProgramBudget{}
	if err := json.Unmarshal(c.Value, &w.row); err != nil {
		w.t.Fatal(err)
	}
	w.version++
	return true
}

func (w *world) current() *provider.VersionedRow {
	if w.version == 0 {
		return nil
	}
	return row(w.version, w.row)
}

func (w *world) update(d *daemon, m accountant.Message) {
	for _, c := range d.state.Update(start, m) {
		if decide, ok := c.(accountant.Decision); ok {
			if decide.Verdict == accountant.Admitted {
				d.turns++
			}
			continue
		}
		d.pending = append(d.pending, c)
	}
}

// TestBudgetHolds checks that daemons together never hand out more than the budget,
// whatever is lost or late. It guards against a doubled payout of tokens after a missing
// answer of the store.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget, turn = 3000, 500
		w := &world{t: t}
		for range 3 {
			w.daemons = append(w.daemons, &daemon{state: accountant.New(accountant.DefaultOptions(), w.holder(), w.holder())})
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			d := w.daemons[rapid.IntRange(0, 2).Draw(t, "daemon")]
			w.step(d, budget, turn)
			if w.used+w.inFlight()*turn > budget {
				t.Fatalf("%d tokens used and %d turns under way of a budget of %d", w.used, w.inFlight(), budget)
			}
		}
	})
}

// holder returns a name that no other run of a daemon has.
func (w *world) holder() string {
	w.holders++
	return fmt.Sprint("run", w.holders)
}

func (w *world) inFlight() int {
	n := 0
	for _, d := range w.daemons {
		n += d.turns
	}
	return n
}

func (w *world) step(d *daemon, budget, turn int) {
	switch rapid.SampledFrom([]string{"ask", "end", "store", "store", "late", "restart", "pass", "stop"}).Draw(w.t, "event") {
	case "ask":
		w.tickets++
		w.update(d, accountant.ReservationRequested{Ticket: w.tickets, Program: "p", Budget: budget, Tokens: turn})
	case "end":
		if d.turns > 0 {
			used := rapid.IntRange(0, turn).Draw(w.t, "used")
			d.turns--
			w.used += used
			w.update(d, accountant.TurnFinished{Program: "p", Reserved: turn, Used: used})
		}
	case "store":
		w.answer(d)
	case "late":
		for _, c := range w.late {
			w.apply(c)
		}
		w.late = nil
	case "pass":
		w.pass(d, w.daemons[rapid.IntRange(0, 2).Draw(w.t, "to")], turn)
	case "stop":
		w.update(d, accountant.Stopping{})
	case "restart":
		// What it was running may have been delivered in full.
		w.used += d.turns * turn
		*d = daemon{state: accountant.New(accountant.DefaultOptions(), w.holder(), w.holder())}
	}
}

// pass moves tokens of one daemon's grant to another; the answer may be lost.
func (w *world) pass(from, to *daemon, turn int) {
	for _, c := range from.state.Update(start, accountant.BorrowRequested{Program: "p", Tokens: turn}) {
		give, ok := c.(accountant.Give)
		if ok && give.Tokens > 0 && rapid.Bool().Draw(w.t, "arrives") {
			w.update(to, accountant.TokensReceived{Program: "p", Tokens: give.Tokens})
		}
	}
}

func (w *world) answer(d *daemon) {
	if len(d.pending) == 0 {
		return
	}
	c := d.pending[0]
	d.pending = d.pending[1:]
	if b, ok := c.(accountant.Borrow); ok {
		w.update(d, accountant.TokensReceived{Program: "p", Complete: len(b.Hosts) > 0})
		return
	}
	fate := rapid.SampledFrom([]string{"ok", "ok", "ok", "refused", "lost", "later"}).Draw(w.t, "fate")
	switch c := c.(type) {
	case accountant.Read:
		if fate == "ok" {
			w.update(d, accountant.ReadCompleted{Program: "p", Row: w.current()})
		} else {
			w.update(d, accountant.ReadCompleted{Program: "p", Kind: provider.KindUnavailable})
		}
	case accountant.Write:
		written := accountant.WriteCompleted{Program: "p"}
		switch {
		case fate == "refused":
			written.Kind = provider.KindUnavailable
		case fate == "later":
			w.late = append(w.late, c)
			written.Kind = provider.KindUnknown
		case !w.apply(c):
			written.Kind, written.Row = provider.KindConflict, w.current()
		case fate == "lost":
			written.Kind = provider.KindUnknown
		}
		written.Version = w.version
		w.update(d, written)
	}
}
