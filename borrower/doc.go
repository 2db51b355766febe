// Package borrower asks other daemons for what the store cannot give while it is down:
// turns that they have in memory, and tokens that they were granted. What it passes on has
// been acknowledged by the store before, so nothing depends on a daemon's memory alone.
//
// # Usage
//
//	b := borrower.New(messenger, peers, borrower.DefaultOptions(), logger)
//	turn := b.Turn(ctx, id)
//	tokens := b.BorrowTokens(ctx, program, 576)
//	result, handled, err := borrower.Handle(ctx, source, method, params) // for other daemons
package borrower
