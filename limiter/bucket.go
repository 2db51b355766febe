package limiter

import (
	"math"
	"time"
)

// bucket is the token bucket of a fraction of a quota.
type bucket struct {
	parts  int
	tokens float64
	// at is the time up to which tokens have been added.
	at time.Time
}

// fraction returns the fraction of the quota.
func (b *bucket) fraction() float64 { return float64(b.parts) / wholeQuota }

// depth returns the largest number of tokens, at least one for any fraction.
func (b *bucket) depth(q *Quota) float64 {
	if b.parts == 0 {
		return 0
	}
	return max(1, b.fraction()*q.depth())
}

func (b *bucket) rate(q *Quota) float64 { return b.fraction() * q.RatePerSecond }

// refill adds the tokens of the time since the last call. It adds none for the time after end.
func (b *bucket) refill(now, end time.Time, q *Quota) {
	until := now
	if end.Before(until) {
		until = end
	}
	if until.After(b.at) {
		b.tokens += until.Sub(b.at).Seconds() * b.rate(q)
	}
	if now.After(b.at) {
		b.at = now
	}
	b.tokens = min(b.tokens, b.depth(q))
}

// resize changes the fraction. Tokens above the new depth are lost.
func (b *bucket) resize(parts int, q *Quota) {
	b.parts = parts
	b.tokens = min(b.tokens, b.depth(q))
}

// add adds tokens up to the depth.
func (b *bucket) add(tokens float64, q *Quota) { b.tokens = min(b.tokens+tokens, b.depth(q)) }

// meter measures a rate of events as an exponentially weighted mean.
type meter struct {
	mean  float64
	at    time.Time
	start time.Time
}

// minMeterShare is the share of its window that a meter counts at least as covered. The mean of a
// meter that has just started would be too low otherwise, and a single event would count for too much.
const minMeterShare = 0.2

// add records events and returns the rate.
func (m *meter) add(now time.Time, events float64, window time.Duration) float64 {
	if m.start.IsZero() && events > 0 {
		m.start = now
	}
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.mean *= math.Exp(-float64(elapsed) / float64(window))
		m.at = now
	}
	m.mean += events / window.Seconds()
	return m.mean / max(minMeterShare, 1-math.Exp(-float64(now.Sub(m.start))/float64(window)))
}
