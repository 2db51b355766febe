package admitter

import (
	"math"
	"math/rand/v2"
	"time"
)

// RetryBudget limits extra attempts (retries or hedges) to a share of first attempts.
type RetryBudget struct {
	ratio   float64
	burst   float64
	balance float64
}

// NewRetryBudget returns a full budget. Each first attempt adds ratio extra attempts, and at
// most burst are saved up.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, balance: burst}
}

// Deposit adds the share of one first attempt.
func (b *RetryBudget) Deposit() { b.balance = math.Min(b.burst, b.balance+b.ratio) }

// TryWithdraw takes one extra attempt from the budget. It returns false, and takes nothing,
// if less than one is left.
func (b *RetryBudget) TryWithdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Backoff returns a delay with full jitter: between 0 and base doubled attempt times, but
// at most limit.
func Backoff(random *rand.Rand, base, limit time.Duration, attempt int) time.Duration {
	ceiling := limit
	if attempt < 20 {
		ceiling = min(limit, base<<max(0, attempt))
	}
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}

// RetryAfter returns when a rejected caller may retry: after at least the given wait and at
// most twice that, so that rejected callers do not return together.
func RetryAfter(random *rand.Rand, wait time.Duration) time.Duration {
	wait = max(wait, 100*time.Millisecond)
	return wait + time.Duration(random.Int64N(int64(wait)+1))
}
