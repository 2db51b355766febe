package ranker

import "math"

// Bounds are the highest loads of members: a multiple of their shares of the load of all.
type Bounds struct{ perWeight float64 }

// NewBounds returns bounds for members with the given weight and load in all. The load is a number of
// calls and does not include the one that is to be placed. With a factor of at least 1, a member below its
// bound always exists.
func NewBounds(factor, totalWeight float64, totalLoad int) Bounds {
	if !isWeight(totalWeight) {
		return Bounds{}
	}
	return Bounds{perWeight: factor * float64(totalLoad+1) / totalWeight}
}

// Of returns the bound of a member: it may get another call while its load is lower.
func (b Bounds) Of(weight float64) int { return int(math.Ceil(b.perWeight * weight)) }
