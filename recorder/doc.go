// Package recorder reads and writes what must be durable in the store: the turns of chains
// and the token budgets of programs. One goroutine owns the states of package batcher and
// package accountant; other goroutines send it messages.
//
// # Usage
//
//	r := recorder.New(store, secondRows, peers, options, logger)
//	go r.Run(ctx)                                     // until the context ends
//	reservation := r.Reserve(ctx, recorder.Request{Program: "p", Budget: 4608, Tokens: 576, MaxOverdraft: 576})
//	turns, err := r.Chain(ctx, previous, memory)      // newest first
//	err = r.Commit(ctx, draft, turns, retention)      // the turn is durable after this
//	r.Finish(reservation, used)
package recorder
