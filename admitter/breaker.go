package admitter

import (
	"math/rand/v2"
	"time"
)

// BreakerOptions configure a circuit breaker.
type BreakerOptions struct {
	// FailureThreshold is the number of consecutive failures that open the breaker.
	FailureThreshold int
	// InitialOpenTime is the time for which the breaker stays open at first. It doubles with
	// each failed probe, up to MaxOpenTime.
	InitialOpenTime time.Duration
	MaxOpenTime     time.Duration
	// SuccessThreshold is the number of consecutive successes that close the breaker.
	SuccessThreshold int
}

// DefaultBreakerOptions returns the options of a breaker for one target.
func DefaultBreakerOptions() BreakerOptions {
	return BreakerOptions{FailureThreshold: 5, InitialOpenTime: time.Second, MaxOpenTime: 30 * time.Second, SuccessThreshold: 3}
}

// Breaker is a circuit breaker that stops calls to a failing target. The gobreaker library
// is not used because it reads the system clock, which a decision package must not do.
type Breaker struct {
	options   BreakerOptions
	failures  int
	successes int
	open      bool
	openTime  time.Duration
	openUntil time.Time
	probing   bool
}

// NewBreaker returns a closed breaker.
func NewBreaker(options BreakerOptions) *Breaker { return &Breaker{options: options} }

// Allows reports whether a call may be sent: always while closed; once the open time is
// over, one probe at a time.
func (b *Breaker) Allows(now time.Time) bool {
	return !b.open || (!b.probing && !now.Before(b.openUntil))
}

// RecordSent records that a call was sent. While the breaker is open, the call is a probe.
func (b *Breaker) RecordSent() {
	if b.open {
		b.probing = true
	}
}

// Open reports whether the breaker is open.
func (b *Breaker) Open() bool { return b.open }

// RecordResult records the result of a call. The upper half of the open time is jitter, so
// that the daemons do not probe a recovering target at the same time.
func (b *Breaker) RecordResult(now time.Time, ok bool, random *rand.Rand) {
	b.probing = false
	if ok {
		b.failures = 0
		b.successes++
		if b.open && b.successes >= b.options.SuccessThreshold {
			b.open, b.openTime = false, 0
		}
		return
	}
	b.failures++
	if b.open || b.failures >= b.options.FailureThreshold {
		b.Trip(now, random)
	}
	b.successes = 0
}

// Trip opens the breaker at once, for example when a hedge at another target was faster.
func (b *Breaker) Trip(now time.Time, random *rand.Rand) {
	b.open, b.probing, b.successes = true, false, 0
	b.openTime = min(max(2*b.openTime, b.options.InitialOpenTime), b.options.MaxOpenTime)
	b.openUntil = now.Add(b.openTime/2 + time.Duration(random.Int64N(int64(b.openTime/2)+1)))
}

// RecordCancelled records that a call ended without a result. A cancelled probe must not
// keep the breaker from sending the next one.
func (b *Breaker) RecordCancelled() { b.probing = false }
