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

// oneMinuteLater advances the time by a minute between two messages.
type oneMinuteLater struct{ accountant.Tick }

// replay applies messages and returns the commands in text form.
func replay(s *accountant.State, messages ...accountant.Message) []string {
	got, now := []string{}, start
	for _, m := range messages {
		if _, ok := m.(oneSecondLater); ok {
			now = now.Add(time.Second)
			continue
		}
		if _, ok := m.(oneMinuteLater); ok {
			now = now.Add(time.Minute)
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
				accountant.TokensReceived{Program: "p", Silent: []string{"other"}},
			},
			want: []string{"write at 0", "borrow 576 from [other]", "1 contended"},
		},
		{
			// Guards against ending a program too early: when region peers had no tokens,
			// the unused tokens of a host that was not among them counted as used.
			name: "replies of region peers do not stand for a host that the row lists",
			messages: []accountant.Message{
				accountant.ReservationRequested{Ticket: 1, Program: "p", Budget: 900, Tokens: 576, ProgramStarted: true},
				accountant.TokensReceived{Program: "p"},
				accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtPeer},
				accountant.TokensReceived{Program: "p", Tokens: 576},
			},
			want: []string{"borrow 576 from []", "write at 0", "borrow 576 from [other]", "1 admitted"},
		},
		{
			name: "a host that the row lists only later is asked too",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtPeer},
				accountant.TokensReceived{Program: "p", Tokens: 100}, requested(2, 900, 200),
				accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtTwoPeers},
				accountant.TokensReceived{Program: "p", Tokens: 100},
			},
			want: []string{
				"write at 0", "borrow 576 from [other]", "1 spent", "write at 7", "borrow 100 from [other third]", "2 admitted",
			},
		},
		{
			name: "a budget is spent when the peer with tokens lends none",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtPeer},
				accountant.TokensReceived{Program: "p"},
			},
			want: []string{"write at 0", "borrow 576 from [other]", "1 spent"},
		},
		{
			name: "a turn runs on borrowed tokens without a write",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtPeer},
				accountant.TokensReceived{Program: "p", Tokens: 600},
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
			// Guards against a grant that is used twice: numbers of writes that began again after the
			// program was forgotten made the earlier row look like the one being written.
			name: "a row written before the program was forgotten is not taken for the pending one",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Version: 5},
				accountant.TurnFinished{Program: "p", Reserved: 576, Used: 576}, oneMinuteLater{}, accountant.Tick{},
				requested(2, 1800, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindUnknown},
				accountant.ReadCompleted{Program: "p", Row: row(5, encoder.ProgramBudget{Granted: 576, Holder: "me", Sequence: 1})},
				accountant.WriteCompleted{Program: "p", Version: 6},
			},
			want: []string{"write at 0", "1 admitted", "write at 0", "read", "write at 5", "2 admitted"},
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
	now     time.Time
	row     encoder.ProgramBudget
	version int64
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
			s := &simulation{t: t, now: start, overdraft: test.overdraft}
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

// Guards against tokens that can neither be used nor replaced after the daemon that was granted them has
// ended: programs whose budget sufficed for a turn were refused until they failed.
func TestLostTokensAreCountedAndReplaced(t *testing.T) {
	const budget, turn = 900, 576
	conflict := func(b encoder.ProgramBudget) accountant.WriteCompleted {
		return accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: row(7, b)}
	}
	grantOf := func(host string) encoder.ProgramBudget {
		return encoder.ProgramBudget{Granted: turn, Holder: "other run", Spare: encoder.ProgramBudgetSpare{host: turn}}
	}
	withOverdraft := requested(2, budget, turn)
	withOverdraft.Overdraft = turn
	tests := []struct {
		name     string
		messages []accountant.Message
		// want are the first decision and the one with the overdraft.
		want []accountant.Decision
	}{
		{
			"a daemon that does not reply",
			[]accountant.Message{conflict(grantOf("other")), accountant.TokensReceived{Program: "p", Silent: []string{"other"}}},
			[]accountant.Decision{
				{Ticket: 1, Verdict: accountant.Contended, Granted: turn, Version: 7, HadTokens: true, Available: budget - turn, Lost: turn},
				{Ticket: 2, Verdict: accountant.Admitted, Granted: 2 * turn, Version: 8, HadTokens: true, Available: budget - 2*turn, Lost: turn},
			},
		},
		{
			"a daemon that has ended",
			[]accountant.Message{conflict(grantOf("other")), accountant.TokensReceived{Program: "p", Ended: []string{"other"}}},
			[]accountant.Decision{
				{Ticket: 1, Verdict: accountant.Spent, Granted: turn, Version: 7, HadTokens: true, Available: budget - turn, Lost: turn},
				{Ticket: 2, Verdict: accountant.Admitted, Granted: 2 * turn, Version: 8, HadTokens: true, Available: budget - 2*turn, Lost: turn},
			},
		},
		{
			"an earlier daemon on this host",
			[]accountant.Message{conflict(grantOf("host"))},
			[]accountant.Decision{
				{Ticket: 1, Verdict: accountant.Spent, Granted: turn, Version: 7, HadTokens: true, Available: budget - turn, Lost: turn},
				{Ticket: 2, Verdict: accountant.Admitted, Granted: 2 * turn, Version: 8, HadTokens: true, Available: budget - 2*turn, Lost: turn},
			},
		},
		{
			"a daemon that has used its tokens",
			[]accountant.Message{conflict(grantOf("other")), accountant.TokensReceived{Program: "p"}},
			[]accountant.Decision{
				{Ticket: 1, Verdict: accountant.Spent, Granted: turn, Version: 7, HadTokens: true, Available: budget - turn},
				{Ticket: 2, Verdict: accountant.Admitted, Granted: 2 * turn, Version: 8, HadTokens: true, Available: budget - 2*turn},
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := accountant.New(accountant.DefaultOptions(), "host", "me")
			var got []accountant.Decision
			messages := append([]accountant.Message{requested(1, budget, turn)}, test.messages...)
			messages = append(messages, withOverdraft, accountant.WriteCompleted{Program: "p", Version: 8})
			for _, m := range messages {
				for _, c := range state.Update(start, m) {
					if d, ok := c.(accountant.Decision); ok {
						got = append(got, d)
					}
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("decisions differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against unused tokens that are lost when a daemon forgets a program after a pause: the other
// daemons refused its next turns although the budget sufficed.
func TestUnusedTokensOfIdleProgramAreReturned(t *testing.T) {
	const budget, turn = 9000, 576
	tests := []struct {
		name string
		// result is that of the first write that returns the tokens.
		result accountant.WriteCompleted
		// writes are the tokens granted and listed as spare by each write after the pause.
		writes [][2]int
	}{
		{"written", accountant.WriteCompleted{Program: "p", Version: 6}, [][2]int{{200, 0}}},
		{
			"written after a conflict",
			accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: row(7, encoder.ProgramBudget{Granted: 5000, Holder: "other"})},
			[][2]int{{200, 0}, {200, 0}},
		},
		{"store not available", accountant.WriteCompleted{Program: "p", Kind: provider.KindUnavailable}, [][2]int{{200, 0}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state, now := accountant.New(accountant.DefaultOptions(), "host", "me"), start
			granted := 0
			for _, c := range state.Update(now, requested(1, budget, turn)) {
				granted = decodeWrite(t, c.(accountant.Write)).Granted
			}
			state.Update(now, accountant.WriteCompleted{Program: "p", Version: 5})
			state.Update(now, accountant.TurnFinished{Program: "p", Reserved: turn, Used: 200})
			now = now.Add(accountant.DefaultOptions().IdleTimeout)
			var got [][2]int
			results := []accountant.WriteCompleted{test.result, {Program: "p", Version: 8}}
			before := []int{granted, 5000}
			for i := 0; state.ProgramCount() > 0 && i < 10; i++ {
				for _, c := range state.Update(now, accountant.Tick{}) {
					b := decodeWrite(t, c.(accountant.Write))
					got = append(got, [2]int{b.Granted - before[len(got)] + granted, b.Spare["host"]})
					state.Update(now, results[len(got)-1])
				}
			}
			if diff := cmp.Diff(test.writes, got); diff != "" {
				t.Errorf("writes differ (-want +got):\n%s", diff)
			}
			if state.ProgramCount() != 0 {
				t.Error("the program is still in memory")
			}
		})
	}
}

func decodeWrite(t *testing.T, w accountant.Write) encoder.ProgramBudget {
	t.Helper()
	var b encoder.ProgramBudget
	if err := json.Unmarshal(w.Value, &b); err != nil {
		t.Fatal(err)
	}
	return b
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
			Ticket: s.tickets, Program: "p", Budget: budget, Tokens: turn, Overdraft: rapid.SampledFrom([]int{0, s.overdraft}).Draw(s.t, "overdraft"),
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
