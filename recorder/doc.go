// Package recorder keeps what must last in the store: the turns of chains and the
// budgets of programs. One goroutine owns the state of package batcher and package
// accountant; calls of other goroutines reach it by messages.
//
// # Usage
//
//	r := recorder.New(store, neighbours, options, logger)
//	r.Run(ctx)                                        // until the context ends
//	reservation := r.Reserve(ctx, program, budget, tokens, underWay)
//	turns, err := r.Chain(ctx, previous)              // newest first
//	err = r.Commit(ctx, turn, turns, retention)       // the turn counts after this
//	r.Finish(reservation, used)
package recorder
