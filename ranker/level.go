package ranker

import "math"

// switchDistance is the distance to the size in use, in doublings, beyond which a Level changes. Above
// half a doubling, a size between two levels stays with the one that is in use.
const switchDistance = 0.75

// Level is a measured size, rounded to a power of two with hysteresis. The zero value is size 1.
type Level struct{ exponent int }

// Update changes the level if the measured size is far enough from it. It reports whether it did. Sizes
// that are not positive and finite are ignored.
func (l *Level) Update(size float64) bool {
	if !isWeight(size) {
		return false
	}
	exact := math.Log2(size)
	if math.Abs(exact-float64(l.exponent)) <= switchDistance {
		return false
	}
	l.exponent = int(math.Round(exact))
	return true
}

// Size returns the size in use.
func (l Level) Size() float64 { return math.Ldexp(1, l.exponent) }
