// Package admitter limits what is sent: concurrency for each target, calls and
// programs for each service, calls for each client, retries and hedges. A call that
// it rejects has not been sent.
//
// # Usage
//
// Each limit is a separate value. The time and the random source are arguments:
//
//	limit := admitter.NewConcurrencyLimit(admitter.DefaultConcurrencyOptions(64))
//	breaker := admitter.NewBreaker(admitter.DefaultBreakerOptions())
//	budget := admitter.NewRetryBudget(0.1, 10)
//	if breaker.Allows(now) && inFlight < limit.Limit(now) {
//		// send
//	}
//	breaker.RecordResult(now, ok, random)
//	limit.Observe(now, waited, inFlight)
//
// A shedder decides whether a call is accepted at all. It distinguishes calls of
// started programs from calls of new ones.
package admitter
