package accountant_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Guards against a row that expires while daemons have tokens of its program: clean-up removes it, and the budget begins
// anew beside these tokens.
func TestRowIsRenewedWhileTokensAreUnused(t *testing.T) {
	const budget, turn = 90_000, 100
	options := accountant.DefaultOptions()
	tests := []struct {
		name string
		// begin gives the daemon its tokens.
		begin []accountant.Message
	}{
		{"granted tokens", []accountant.Message{requested(1, budget, turn), accountant.WriteCompleted{Program: "p", Version: 5}}},
		{"borrowed tokens", []accountant.Message{
			accountant.ReservationRequested{Ticket: 1, Program: "p", Budget: budget, Tokens: turn, FindHolders: true},
			accountant.TokensReceived{Program: "p", Tokens: 2500},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state, now := accountant.New(options, "host", "me"), start
			for _, m := range test.begin {
				state.Update(now, m)
			}
			expires := now.Add(options.Retention)
			stored := row(6, encoder.ProgramBudget{Granted: 2500, Holder: "other", ExpiresAt: int(expires.Unix())})
			for !now.After(start.Add(2 * options.Retention)) {
				now = now.Add(options.IdleTimeout / 2)
				state.Update(now, accountant.TurnFinished{Program: "p", Reserved: turn})
				state.Update(now, requested(2, budget, turn))
				commands := state.Update(now, accountant.Tick{})
				for len(commands) > 0 {
					w := commands[0].(accountant.Write)
					if w.Version == 0 {
						commands = state.Update(now, accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict, Row: stored})
						continue
					}
					expires = time.Unix(int64(decodeWrite(t, w).ExpiresAt), 0)
					commands = state.Update(now, accountant.WriteCompleted{Program: "p", Version: w.Version + 1})
				}
				if !now.Before(expires) {
					t.Fatalf("the row has expired after %s, while the daemon has tokens", now.Sub(start))
				}
			}
		})
	}
}

// Guards against a budget that is exceeded after its row has expired: tokens of before were used beside the new ones.
func TestTokensOfExpiredRowAreVoid(t *testing.T) {
	const budget, turn = 900, 300
	got := replay(accountant.New(accountant.DefaultOptions(), "host", "me"),
		requested(1, budget, turn), accountant.WriteCompleted{Program: "p", Version: 5}, accountant.TurnFinished{Program: "p", Reserved: turn},
		requested(2, budget, 2*turn), accountant.WriteCompleted{Program: "p", Kind: provider.KindConflict},
		accountant.WriteCompleted{Program: "p", Version: 9}, requested(3, budget, turn), accountant.WriteCompleted{Program: "p", Version: 10},
		requested(4, budget, turn),
	)
	want := []string{"write at 0", "1 admitted", "write at 5", "write at 0", "2 admitted", "write at 9", "3 admitted", "4 spent"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}
