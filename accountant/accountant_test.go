package accountant_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

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
			case accountant.Lend:
				got = append(got, fmt.Sprint("lend ", c.Tokens))
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
			name: "a late reply to an earlier request is no reply of the peers being asked",
			messages: []accountant.Message{
				requested(1, 1000, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtPeer},
				accountant.TokensReceived{Program: "p", Tokens: 10, Late: true},
				accountant.TokensReceived{Program: "p", Silent: []string{"other"}},
			},
			want: []string{"write at 0", "borrow 576 from [other]", "1 contended"},
		},
		{
			name: "late tokens suffice for a turn that waits for peers",
			messages: []accountant.Message{
				requested(1, 1000, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtPeer},
				accountant.TokensReceived{Program: "p", Tokens: 600, Late: true},
			},
			want: []string{"write at 0", "borrow 576 from [other]", "1 admitted"},
		},
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
			name: "a peer that may have more tokens soon leaves the budget contended",
			messages: []accountant.Message{
				requested(1, 900, 576), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: spareAtPeer},
				accountant.TokensReceived{Program: "p", Uncertain: []string{"other"}},
			},
			want: []string{"write at 0", "borrow 576 from [other]", "1 contended"},
		},
		{
			name: "an own loan that is not settled leaves the budget contended, and its return admits the next turn",
			messages: []accountant.Message{
				requested(1, 1152, 576), accountant.WriteCompleted{Program: "p", Version: 5},
				accountant.TurnFinished{Program: "p", Reserved: 576}, accountant.BorrowRequested{Ticket: 9, Program: "p", Tokens: 576, Confirms: true},
				requested(2, 1152, 600), accountant.LoanSettled{Program: "p", Ticket: 9}, requested(3, 1152, 600),
				accountant.WriteCompleted{Program: "p", Version: 6},
			},
			want: []string{"write at 0", "1 admitted", "lend 576", "2 contended", "write at 5", "3 admitted"},
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
			// Guards against a write, and the conflict that it meets, for each turn that arrives at another
			// daemon than the turn before.
			name: "holders are looked for before the row is written",
			messages: []accountant.Message{
				accountant.ReservationRequested{Ticket: 1, Program: "p", Budget: 9000, Tokens: 576, FindHolders: true},
				accountant.TokensReceived{Program: "p", Tokens: 600},
				accountant.ReservationRequested{Ticket: 2, Program: "p", Budget: 9000, Tokens: 576, FindHolders: true},
				accountant.WriteCompleted{Program: "p", Version: 5},
			},
			want: []string{"borrow 576 from []", "1 admitted", "write at 0", "2 admitted"},
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

// Guards against a row of foreign origin whose numbers overflow: it granted tokens beyond the budget.
func TestRowsOutOfRange(t *testing.T) {
	tests := []struct {
		name, value string
		want        []string
	}{
		{"in range", `{"granted":40}`, []string{"1 admitted"}},
		{"exhausted", `{"granted":100}`, []string{"1 spent"}},
		{"granted too high", `{"granted":9223372036854775807}`, []string{"1 spent"}},
		{"granted negative", `{"granted":-9223372036854775808}`, []string{"1 spent"}},
		{"lost too high", `{"granted":40,"lost":9223372036854775807}`, []string{"1 spent"}},
		{"spare too high", `{"granted":40,"spare":{"a":9223372036854775807}}`, []string{"1 spent"}},
		{"another type", `{"granted":"40"}`, []string{"1 spent"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := accountant.New(accountant.DefaultOptions(), "host", "own")
			now, version := start, int64(7)
			stored := []byte(test.value)
			var got []string
			for queue := s.Update(now, requested(1, 100, 50)); len(queue) > 0 && len(got) == 0; queue = queue[1:] {
				switch c := queue[0].(type) {
				case accountant.Decision:
					got = append(got, fmt.Sprintf("%d %s", c.Ticket, c.Verdict))
				case accountant.Read:
					queue = append(queue, s.Update(now, accountant.ReadCompleted{
						Program: "p", Row: &provider.VersionedRow{Version: version, Value: stored},
					})...)
				case accountant.Borrow:
					queue = append(queue, s.Update(now, accountant.TokensReceived{Program: "p"})...)
				case accountant.Write:
					m := accountant.WriteCompleted{Program: "p", Version: version + 1}
					if c.Version != version {
						m = accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: &provider.VersionedRow{Version: version, Value: stored}}
					}
					queue = append(queue, s.Update(now, m)...)
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("decisions (-want +got):\n%s", diff)
			}
		})
	}
}
