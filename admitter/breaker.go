package admitter

import (
	"math/rand/v2"
	"time"
)

// BreakerOptions configure a circuit breaker.
type BreakerOptions struct {
	// Failures in a row that open the breaker.
	Failures int
	// Open is the first time for which it stays open; it doubles up to MaxOpen
	// with each failed probe.
	Open    time.Duration
	MaxOpen time.Duration
	// Recover is the number of successes in a row that close it.
	Recover int
}

// DefaultBreaker returns the usual options.
func DefaultBreaker() BreakerOptions {
	return BreakerOptions{Failures: 5, Open: time.Second, MaxOpen: 30 * time.Second, Recover: 3}
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

// Sent notes that a call was sent; on an open breaker it is the probe.
func (b *Breaker) Sent() {
	if b.open {
		b.probing = true
	}
}

// Open reports whether the breaker is open.
func (b *Breaker) Open() bool { return b.open }

// Observe takes the result of one call. The open time has full jitter in its
// upper half, so that the daemons do not probe a recovering target together.
func (b *Breaker) Observe(now time.Time, ok bool, random *rand.Rand) {
	b.probing = false
	if ok {
		b.failures = 0
		b.successes++
		if b.open && b.successes >= b.options.Recover {
			b.open, b.openFor = false, 0
		}
		return
	}
	b.failures++
	if b.open || b.failures >= b.options.Failures {
		b.Trip(now, random)
	}
	b.successes = 0
}

// Trip opens the breaker at once, as for a target that was slower than a hedge.
func (b *Breaker) Trip(now time.Time, random *rand.Rand) {
	b.open, b.probing, b.successes = true, false, 0
	b.openFor = min(max(2*b.openFor, b.options.Open), b.options.MaxOpen)
	b.until = now.Add(b.openFor/2 + time.Duration(random.Int64N(int64(b.openFor/2)+1)))
}

// Cancelled notes that a call ended without a result, so that a probe that was
// cancelled does not block the breaker.
func (b *Breaker) Cancelled() { b.probing = false }
