package accountant_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Guards against tokens of a write that was not answered: after the store had been silent, those that it had granted were in
// nobody's account, and programs were told that their budget was spent.
func TestUnansweredWriteIsSettled(t *testing.T) {
	const turn = 576
	// The first grant is for two turns: half of the budget of four.
	const budget, granted = 4 * turn, 2 * turn
	unanswered := accountant.WriteCompleted{Program: "p", Kind: provider.KindUnknown}
	readFails := accountant.ReadCompleted{Program: "p", Kind: provider.KindUnavailable}
	// stored returns the result of a read of a row with the writes of this daemon and of another.
	stored := func(version int64, tokens, ownSequence int, holder string) accountant.ReadCompleted {
		b := encoder.ProgramBudget{
			Granted: tokens, Holder: holder, Sequence: ownSequence,
			Writers: encoder.ProgramBudgetWriters{"other": {Incarnation: "other run", Sequence: 1}},
		}
		if ownSequence > 0 {
			b.Writers["host"] = encoder.BudgetWrite{Incarnation: "me", Sequence: ownSequence}
		}
		return accountant.ReadCompleted{Program: "p", Row: row(version, b)}
	}
	// lendAll asks for more tokens than there are, so that all unused ones are lent.
	lendAll := accountant.BorrowRequested{Ticket: 9, Program: "p", Tokens: 10 * budget}
	begin := []accountant.Message{requested(1, budget, turn), unanswered, readFails}
	// returning uses one turn of the grant, and returns the other tokens after a minute.
	returning := []accountant.Message{
		requested(1, budget, turn), accountant.WriteCompleted{Program: "p", Version: 5},
		accountant.TurnFinished{Program: "p", Reserved: turn, Used: turn}, oneMinuteLater{}, accountant.Tick{}, unanswered,
	}
	tests := []struct {
		name     string
		begin    []accountant.Message
		messages []accountant.Message
		want     []string
	}{
		{
			"grant took effect, the read fails", begin,
			[]accountant.Message{requested(2, budget, turn), stored(6, granted, 1, "me"), lendAll},
			[]string{"write at 0", "read", "1 unavailable", "read", "2 admitted", "lend 576"},
		},
		{
			"grant took effect, and another daemon has written since", begin,
			[]accountant.Message{requested(2, budget, turn), stored(8, granted+turn, 1, "other run"), lendAll},
			[]string{"write at 0", "read", "1 unavailable", "read", "2 admitted", "lend 576"},
		},
		{
			"grant takes effect only after its row was read", begin,
			[]accountant.Message{
				requested(2, budget, turn), accountant.ReadCompleted{Program: "p"},
				accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: stored(8, granted+turn, 1, "other run").Row}, lendAll,
			},
			[]string{"write at 0", "read", "1 unavailable", "read", "write at 0", "2 admitted", "lend 576"},
		},
		{
			"grant had no effect", begin,
			[]accountant.Message{
				requested(2, budget, turn), accountant.ReadCompleted{Program: "p"}, accountant.WriteCompleted{Program: "p", Version: 6}, lendAll,
			},
			[]string{"write at 0", "read", "1 unavailable", "read", "write at 0", "2 admitted", "lend 576"},
		},
		{
			"grant had no effect, and another daemon has written", begin,
			[]accountant.Message{
				requested(2, budget, turn), stored(8, turn, 0, "other run"), accountant.WriteCompleted{Program: "p", Version: 9}, lendAll,
			},
			[]string{"write at 0", "read", "1 unavailable", "read", "write at 8", "2 admitted", "lend 0"},
		},
		{
			"the store stays away", begin,
			[]accountant.Message{requested(2, budget, turn), readFails, requested(3, budget, turn), stored(6, granted, 1, "me"), lendAll},
			[]string{"write at 0", "read", "1 unavailable", "read", "2 unavailable", "read", "3 admitted", "lend 576"},
		},
		{
			"a peer asks before the grant is settled", begin,
			[]accountant.Message{lendAll, stored(6, granted, 1, "me"), lendAll},
			[]string{"write at 0", "read", "1 unavailable", "lend 0", "read", "lend 1152"},
		},
		{
			"return had no effect, and another daemon has written", returning,
			[]accountant.Message{stored(8, granted+turn, 1, "other run"), lendAll},
			[]string{"write at 0", "1 admitted", "write at 5", "read", "lend 576"},
		},
		{
			"return took effect, and another daemon has written since", returning,
			[]accountant.Message{stored(8, turn, 2, "other run"), lendAll},
			[]string{"write at 0", "1 admitted", "write at 5", "read", "lend 0"},
		},
		{
			"return takes effect only after its row was read", returning,
			[]accountant.Message{
				stored(5, granted, 1, "me"), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: stored(7, turn, 2, "me").Row}, lendAll,
			},
			[]string{"write at 0", "1 admitted", "write at 5", "read", "write at 5", "lend 0"},
		},
		{
			"return was overwritten by a daemon of an earlier version", returning,
			[]accountant.Message{accountant.ReadCompleted{Program: "p", Row: row(8, encoder.ProgramBudget{Granted: turn, Holder: "other run"})}, lendAll},
			[]string{"write at 0", "1 admitted", "write at 5", "read", "lend 0"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := accountant.New(accountant.DefaultOptions(), "host", "me")
			if diff := cmp.Diff(test.want, replay(state, append(test.begin, test.messages...)...)); diff != "" {
				t.Errorf("commands (-want +got):\n%s", diff)
			}
		})
	}
}
