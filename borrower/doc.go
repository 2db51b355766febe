// Package borrower requests from peers the turns that they have in memory and unused tokens
// of their grants. Peers reply faster than the store, and also while it is down. The store
// has acknowledged both before, so nothing depends on the memory of one daemon alone.
//
// # Usage
//
//	b := borrower.New(messenger, registrar, host, borrower.DefaultOptions(), logger)
//	found := b.FindTurn(ctx, id, historian.PlainBytes) // without the text of a larger turn
//	turn := b.ReadTurn(ctx, id, found)                 // with its text
//	received := b.BorrowTokens(ctx, accountant.Borrow{Program: program, Tokens: 576}, onLate)
//	result, handled, err := b.Handle(ctx, lender, method, params) // for requests of peers
package borrower
