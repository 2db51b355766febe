package dispatcher

import (
	"math"
	"time"

	"github.com/dogwoodweir/dogwoodweir/ranker"
)

const (
	// speedSmoothing is the weight of a new observation of a target's delay.
	speedSmoothing = 1.0 / 32
	// minDelaySamples is the number of responses from which on a target's speed is known.
	minDelaySamples = 32
	// speedUpdateInterval is the number of responses between two updates of a target's speed.
	speedUpdateInterval = 8
	// minSpeedAge is how long a speed stays in use. Caches of moved sessions fill within this time, which
	// would look like another change.
	minSpeedAge = 30 * time.Second
	// referenceQuantile selects the delay of fast targets, with which the others are compared.
	referenceQuantile = 0.25
	// minSpeed bounds the speed of a slow target: its cost keeps most calls away from it anyway.
	minSpeed = 0.125
)

// speedometer follows how fast a target responds, compared with those of its failure domain. These are
// at the same distance, so that daemons in other failure domains see the same speed.
type speedometer struct {
	// delay is the smoothed binary logarithm of the ratio of the observed time to the first event to that
	// of an idle target.
	delay     float64
	samples   int
	level     ranker.Level
	changedAt time.Time
}

// observe adds a time to a first event. It reports whether the speed should be updated.
func (s *speedometer) observe(took, idleFirstEvent time.Duration) bool {
	ratio := float64(max(took, time.Millisecond)) / float64(max(idleFirstEvent, time.Millisecond))
	s.samples++
	// The first observations count equally.
	s.delay += max(speedSmoothing, 1/float64(s.samples)) * (math.Log2(ratio) - s.delay)
	return s.samples >= minDelaySamples && s.samples%speedUpdateInterval == 0
}

// updateSpeed compares a target with the others of its service in its failure domain.
func (v *service) updateSpeed(now time.Time, n *node) {
	if !n.speed.changedAt.IsZero() && now.Sub(n.speed.changedAt) < minSpeedAge {
		return
	}
	var delays []float64
	for _, other := range v.nodes {
		if other.target.Domain == n.target.Domain && other.speed.samples >= minDelaySamples {
			delays = append(delays, other.speed.delay)
		}
	}
	if len(delays) == 0 {
		return
	}
	reference := quantile(delays, referenceQuantile)
	if n.speed.level.Update(min(1, max(minSpeed, math.Exp2(reference-n.speed.delay)))) {
		n.speed.changedAt = now
	}
}
