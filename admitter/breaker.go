package admitter

import (
	"math/rand/v2"
	"time"
)

// BreakerOptions configure a circuit breaker.
type BreakerOptions struct {
	// FailureThreshold in a row that open the breaker.
	FailureThreshold int
	// MinOpenTime is the first time for which it stays open; it doubles up to MaxOpen
	// with each failed probe.
	MinOpenTime time.Duration
	MaxOpenTime time.Duration
	// SuccessThreshold is the number of successes in a row that close it.
	SuccessThreshold int
}

// DefaultBreakerOptions returns the usual options.
func DefaultBreakerOptions() BreakerOptions {
	return BreakerOptions{FailureThreshold: 5, MinOpenTime: time.Second, MaxOpenTime: 30 * time.Second, SuccessThreshold: 3}
}

// Breaker stops calls to a target that fails. gobreaker reads the system clock,
// so that a decision package cannot use it.
type Breaker struct {
	options   BreakerOptions
	failures  int
	successes int
	open      bool
	openFor   time.Duration
	until     time.Time
	probing   bool
}

// NewBreaker returns a closed breaker.
func NewBreaker(options BreakerOptions) *Breaker { return &Breaker{options: options} }

// Allows reports whether a call may be sent: always when closed, one probe at a
// time when the open time is over.
func (b *Breaker) Allows(now time.Time) bool {
	return !b.open || (!b.probing && !now.Before(b.until))
}

// RecordSent notes that a call was sent; on an open breaker it is the probe.
func (b *Breaker) RecordSent() {
	if b.open {
		b.probing = true
	}
}

// Open reports whether the breaker is open.
func (b *Breaker) Open() bool { return b.open }

// RecordResult takes the result of one call. The open time has full jitter in its
// upper half, so that the daemons do not probe a recovering target together.
func (b *Breaker) RecordResult(now time.Time, ok bool, random *rand.Rand) {
	b.probing = false
	if ok {
		b.failures = 0
		b.successes++
		if b.open && b.successes >= b.options.SuccessThreshold {
			b.open, b.openFor = false, 0
		}
		return
	}
	b.failures++
	if b.open || b.failures >= b.options.FailureThreshold {
		b.Trip(now, random)
	}
	b.successes = 0
}

// Trip opens the breaker at once, as for a target that was slower than a hedge.
func (b *Breaker) Trip(now time.Time, random *rand.Rand) {
	b.open, b.probing, b.successes = true, false, 0
	b.openFor = min(max(2*b.openFor, b.options.MinOpenTime), b.options.MaxOpenTime)
	b.until = now.Add(b.openFor/2 + time.Duration(random.Int64N(int64(b.openFor/2)+1)))
}

// RecordCancelled notes that a call ended without a result, so that a probe that was
// cancelled does not block the breaker.
func (b *Breaker) RecordCancelled() { b.probing = false }
