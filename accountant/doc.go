// Package accountant keeps the token budgets of programs. The row of a program in the
// store has the tokens that were granted to daemons; a daemon hands out tokens only
// from its grants, so all daemons together never exceed the budget, whatever fails.
//
// # Usage
//
// State takes typed messages and the time, and returns commands. It does no I/O:
//
//	state := accountant.New(accountant.DefaultOptions(), host, holder)
//	commands := state.Update(now, accountant.Requested{Ticket: 1, Program: "p", Budget: 4608, Tokens: 576})
//	for _, c := range commands {
//		switch c := c.(type) {
//		case accountant.Decide: // admit or refuse the turn
//		case accountant.Write:  // write the row under its condition, report Written
//		case accountant.Read:   // read the row, report Loaded
//		case accountant.Borrow: // ask other daemons, report Received
//		}
//	}
//	state.Update(now, accountant.Finished{Program: "p", Reserved: 576, Used: 240})
//
// While a budget is ample a daemon is granted a few turns ahead, so that most turns need
// no write before they start and a short outage of the store is bridged. Tokens that a
// daemon does not need go to another that asks for them, without a write.
package accountant
