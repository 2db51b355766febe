package accountant_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

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
			[]accountant.Message{conflict(grantOf("other")), accountant.TokensReceived{Program: "p", Ended: []string{"other"}}, accountant.TokensReceived{Program: "p"}},
			[]accountant.Decision{
				{Ticket: 1, Verdict: accountant.Spent, Granted: turn, Version: 7, HadTokens: true, Available: budget - turn, Lost: turn},
				{Ticket: 2, Verdict: accountant.Admitted, Granted: 2 * turn, Version: 8, HadTokens: true, Available: budget - 2*turn, Lost: turn},
			},
		},
		{
			"an earlier daemon on this host",
			[]accountant.Message{conflict(grantOf("host")), accountant.TokensReceived{Program: "p"}},
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
		{"store not available", accountant.WriteCompleted{Program: "p", Kind: provider.KindUnavailable}, [][2]int{{200, 0}, {200, 0}}},
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
			before := []int{granted, granted}
			if test.result.Row != nil {
				before[1] = 5000
			}
			for i := 0; state.ProgramCount() > 0 && i < 10; i++ {
				now = now.Add(accountant.DefaultOptions().ReturnRetryDelay)
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

// Guards against the loss of tokens that a daemon has only borrowed, so that it does not know the program's row: after a
// planned stop, programs were told that their budget was spent while it held further turns.
func TestBorrowedTokensAreReturned(t *testing.T) {
	const budget, turn, lent, granted = 9000, 576, 2000, 5000
	stored := row(7, encoder.ProgramBudget{Granted: granted, Holder: "other", Spare: encoder.ProgramBudgetSpare{"other": lent}})
	unavailable := accountant.WriteCompleted{Program: "p", Kind: provider.KindUnavailable}
	conflict := accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: stored}
	tests := []struct {
		name string
		// end is sent after the turn, and again until the tokens are returned.
		end accountant.Message
		// failures are the results of the writes before the row is known.
		failures []accountant.WriteCompleted
	}{
		{"planned stop", accountant.Stopping{}, nil},
		{"planned stop, store away at first", accountant.Stopping{}, []accountant.WriteCompleted{unavailable, unavailable}},
		{"removal after idleness", accountant.Tick{}, nil},
		{"removal after idleness, store away at first", accountant.Tick{}, []accountant.WriteCompleted{unavailable, unavailable}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state, now := accountant.New(accountant.DefaultOptions(), "host", "me"), start
			request := requested(1, budget, turn)
			request.ProgramStarted = true
			state.Update(now, request)
			state.Update(now, accountant.TokensReceived{Program: "p", Tokens: lent})
			state.Update(now, accountant.TurnFinished{Program: "p", Reserved: turn, Used: turn})
			now = now.Add(accountant.DefaultOptions().IdleTimeout)
			results, returned := append(test.failures, conflict), 0
			for i := 0; i < 20 && returned == 0; i++ {
				for _, c := range state.Update(now, test.end) {
					if w := c.(accountant.Write); w.Version == stored.Version {
						returned = granted - decodeWrite(t, w).Granted
						state.Update(now, accountant.WriteCompleted{Program: "p", Version: 8})
						continue
					}
					state.Update(now, results[0])
					results = results[1:]
				}
				now = now.Add(accountant.DefaultOptions().ReturnRetryDelay)
			}
			if diff := cmp.Diff(lent-turn, returned); diff != "" {
				t.Errorf("tokens returned to the row (-want +got):\n%s", diff)
			}
			if n := state.UnreturnedPrograms(); n != 0 {
				t.Errorf("%d programs have tokens to be returned", n)
			}
			state.Update(now, accountant.Tick{})
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
