// Package admitter limits what is sent: concurrency for each target, calls and
// programs for each service, calls for each client, retries and hedges. Whatever
// it refuses has not been sent.
//
// # Usage
//
// Each part is a small value with explicit time and an explicit random source:
//
//	limit := admitter.NewConcurrency(admitter.DefaultConcurrency(64))
//	breaker := admitter.NewBreaker(admitter.DefaultBreaker())
//	budget := admitter.NewBudget(0.1, 10)
//	if breaker.Allows(now) && inFlight < limit.Limit(now) {
//		// send
//	}
//	breaker.Observe(now, ok, random)
//	limit.Observe(now, waited, inFlight)
//
// Shedding decides whether a call of a program under way or of a new program is
// accepted at all.
package admitter
