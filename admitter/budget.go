package admitter

import (
	"math"
	"math/rand/v2"
	"time"
)

// RetryBudget allows extra attempts (retries or hedges) as a share of first attempts.
type RetryBudget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewRetryBudget returns a full budget: ratio extra attempts for each first attempt,
// at most burst saved up.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// Deposit notes one first attempt.
func (b *RetryBudget) Deposit() { b.tokens = math.Min(b.burst, b.tokens+b.ratio) }

// TryWithdraw takes one extra attempt and reports whether it is allowed.
func (b *RetryBudget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns a delay with full jitter: between 0 and base doubled attempt
// times, at most limit.
func Backoff(random *rand.Rand, base, limit time.Duration, attempt int) time.Duration {
	ceiling := limit
	if attempt < 20 {
		ceiling = min(limit, base<<max(0, attempt))
	}
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}

// RetryAfter returns when a refused caller may ask again: at least the given wait
// and at most twice of it, so that refused callers do not return together.
func RetryAfter(random *rand.Rand, wait time.Duration) time.Duration {
	wait = max(wait, 100*time.Millisecond)
	return wait + time.Duration(random.Int64N(int64(wait)+1))
}
