package admitter

import (
	"math"
	"time"
)

// ConcurrencyOptions configure a ConcurrencyLimit.
type ConcurrencyOptions struct {
	Min     float64
	Max     float64
	Initial float64
	// WaitThreshold is the queueing time at the target above which the limit falls.
	WaitThreshold time.Duration
	// DecreaseFactor is the factor of one decrease, DecreaseInterval the shortest time between
	// two decreases.
	DecreaseFactor   float64
	DecreaseInterval time.Duration
	// SlowStart is the time over which the limit of a new target rises from 1 to its
	// full value.
	SlowStart time.Duration
	// Fixed keeps the limit at Max.
	Fixed bool
}

// DefaultConcurrencyOptions returns the options of a target with the given upper limit. Only
// rejections by the target and very long waits lower the limit: lowering it after waits of
// seconds costs goodput, because engines order their queues by priority themselves.
func DefaultConcurrencyOptions(limit int) ConcurrencyOptions {
	upper := math.Max(1, float64(limit))
	return ConcurrencyOptions{
		Min: math.Min(2, upper), Max: upper, Initial: upper,
		WaitThreshold: 30 * time.Second, DecreaseFactor: 0.9, DecreaseInterval: time.Second, SlowStart: 10 * time.Second,
	}
}

// ConcurrencyLimit limits the calls in flight at one target (additive increase,
// multiplicative decrease). It rises by one for each full use of the limit and falls by a
// factor when calls wait too long.
type ConcurrencyLimit struct {
	options     ConcurrencyOptions
	value       float64
	slowStartAt time.Time
	decreasedAt time.Time
}

// NewConcurrencyLimit returns a limit that is not in slow start.
func NewConcurrencyLimit(options ConcurrencyOptions) *ConcurrencyLimit {
	return &ConcurrencyLimit{options: options, value: options.Initial}
}

// BeginSlowStart starts slow start, for example for a new target or one that was unreachable.
func (c *ConcurrencyLimit) BeginSlowStart(now time.Time) {
	c.slowStartAt = now
	c.value = math.Min(c.value, c.options.Initial)
}

// Limit returns the number of calls that may be in flight now, at least 1.
func (c *ConcurrencyLimit) Limit(now time.Time) int {
	value := c.value
	if c.options.Fixed {
		value = c.options.Max
	}
	if c.options.SlowStart > 0 && !c.slowStartAt.IsZero() {
		share := now.Sub(c.slowStartAt).Seconds() / c.options.SlowStart.Seconds()
		if share < 1 {
			value *= math.Max(0, share)
		}
	}
	return max(1, int(value))
}

// Observe adapts the limit to the queueing time of one call at the target and the number of
// calls in flight when it ended.
func (c *ConcurrencyLimit) Observe(now time.Time, waited time.Duration, inFlight int) {
	if waited > c.options.WaitThreshold {
		if now.Sub(c.decreasedAt) >= c.options.DecreaseInterval {
			c.value = math.Max(c.options.Min, c.value*c.options.DecreaseFactor)
			c.decreasedAt = now
		}
		return
	}
	// A limit that is not reached shows nothing about a higher one.
	if float64(inFlight) >= 0.8*c.value {
		c.value = math.Min(c.options.Max, c.value+1/c.value)
	}
}
