// Package borrower requests from peers what the store cannot provide while it is down:
// turns that the peers have in memory, and unused tokens of their grants. The store has
// acknowledged both before, so nothing depends on the memory of one daemon alone.
//
// # Usage
//
//	b := borrower.New(messenger, registrar, borrower.DefaultOptions(), logger)
//	turn := b.Turn(ctx, id)
//	tokens, complete := b.BorrowTokens(ctx, program, 576, hosts, late)
//	result, handled, err := borrower.Handle(ctx, lender, method, params) // for requests of peers
package borrower
