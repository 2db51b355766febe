// Package accountant enforces the token budgets of programs. The budget row of a program
// records the tokens that were granted to each daemon. A daemon admits turns only from its
// own grants, so all daemons together never exceed the budget, whatever fails.
//
// # Usage
//
// State takes typed messages and the time, and returns commands. It does no I/O:
//
//	state := accountant.New(accountant.DefaultOptions(), host, incarnation)
//	commands := state.Update(now, accountant.ReservationRequested{Ticket: 1, Program: "p", Budget: 4608, Tokens: 576})
//	for _, c := range commands {
//		switch c := c.(type) {
//		case accountant.Decision: // admit or reject the turn
//		case accountant.Write:    // write the row under its condition, report WriteCompleted
//		case accountant.Read:     // read the row, report ReadCompleted
//		case accountant.Borrow:   // ask peers for tokens, report TokensReceived
//		}
//	}
//	state.Update(now, accountant.TurnFinished{Program: "p", Reserved: 576, Used: 240})
//
// While much of a budget remains, a daemon is granted tokens for several turns at once, so
// that most turns start without a write and a short outage of the store delays no turn. A
// peer can borrow unused tokens without a write.
package accountant
