package dispatcher

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// initialPrefillRate and initialFirstEvent apply until calls of a service were observed,
	// initialSlotTime until one has ended.
	initialPrefillRate = 100.0 // tokens a millisecond
	initialFirstEvent  = 25.0  // milliseconds
	initialSlotTime    = 250.0 // milliseconds
	// samplesPerOctave is the number of samples that are kept for each doubling of the number of
	// prefilled tokens: long prompts are rare once they are cached, and the slope needs them.
	samplesPerOctave = 8
	tokenOctaves     = 22
	// coldSamples is the number of samples until which each one updates the estimate.
	// updateInterval is the number of samples between updates after that.
	coldSamples    = 16
	updateInterval = 8
	// fitRounds is the number of times that a fit decides again which prompts were cached.
	// uncachedQuantile selects a call whose shared prompt was not cached, even if it was cached for
	// most calls.
	fitRounds        = 3
	uncachedQuantile = 0.75
	// maxPairs is the approximate number of pairs of samples whose slopes are compared.
	maxPairs = 400
	// priorWeight is the weight of the initial values, in samples.
	priorWeight = 2.0
	// minSlopeShare bounds the estimated time of a token from below, as a share of its upper bound.
	minSlopeShare = 0.01
	// floorQuantile selects the samples that were least delayed by other calls.
	floorQuantile = 0.25
	// slotTimeSmoothing is the weight of a new observation of the slot time.
	slotTimeSmoothing = 0.1
)

// sample is the observed time to a first event in milliseconds and the number of tokens to prefill
// before it. Of these, shared tokens may have been cached through calls of other daemons.
type sample struct {
	tokens float64
	shared float64
	took   float64
}

// engineModel estimates the speed of the engines of a service: the time to the first event is
// taken as firstEvent plus perToken for each token to prefill. The slope is the median over pairs
// of samples (Theil-Sen), which tolerates calls that were delayed or whose prompt was cached
// unexpectedly.
type engineModel struct {
	samples    [tokenOctaves][]sample
	count      int
	perToken   float64
	firstEvent float64
	slotTime   float64
	slotKnown  bool
}

func newEngineModel() engineModel {
	return engineModel{perToken: 1 / initialPrefillRate, firstEvent: initialFirstEvent, slotTime: initialSlotTime}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// prefillTime returns the time to prefill the given number of tokens.
func (m *engineModel) prefillTime(tokens float64) time.Duration {
	return milliseconds(tokens * m.perToken)
}

// idleFirstEvent returns the time to the first event at an idle engine.
func (m *engineModel) idleFirstEvent(tokens float64) time.Duration {
	return milliseconds(m.firstEvent) + m.prefillTime(tokens)
}

// tokensPrefilled returns the number of tokens that the target of a sample has prefilled, with or
// without the shared ones, whichever the time to the first event fits better.
func (m *engineModel) tokensPrefilled(s sample) float64 {
	if s.shared > 0 && s.took < m.firstEvent+m.perToken*(s.tokens-s.shared/2) {
		return s.tokens - s.shared
	}
	return s.tokens
}

// observeFirstEvent adds a sample and updates the estimate from time to time.
func (m *engineModel) observeFirstEvent(s sample) {
	octave := min(bits.Len(uint(max(0, s.tokens))), tokenOctaves-1)
	list := m.samples[octave]
	if len(list) == samplesPerOctave {
		list = append(list[:0], list[1:]...)
	}
	m.samples[octave] = append(list, s)
	m.count++
	if m.count <= coldSamples || m.count%updateInterval == 0 {
		m.update()
	}
}

// observeSlotTime updates the time for which a call occupies a slot.
func (m *engineModel) observeSlotTime(took time.Duration) {
	if !m.slotKnown {
		m.slotKnown, m.slotTime = true, inMilliseconds(took)
		return
	}
	m.slotTime += slotTimeSmoothing * (inMilliseconds(took) - m.slotTime)
}

// update fits the estimate to the samples. It begins with the assumption that no shared prompt was
// cached for the slower calls, and then decides again for each sample which fits better.
func (m *engineModel) update() {
	all := make([]sample, 0, len(m.samples)*samplesPerOctave)
	for _, list := range m.samples {
		all = append(all, list...)
	}
	slope := initialSlope(all)
	if slope <= 0 {
		slope = medianSlope(all)
	}
	if slope == 0 {
		return
	}
	m.setEstimate(all, slope)
	for range fitRounds {
		prefilled := make([]sample, len(all))
		for i, s := range all {
			prefilled[i] = sample{tokens: m.tokensPrefilled(s), took: s.took}
		}
		if slope = medianSlope(prefilled); slope == 0 {
			return
		}
		m.setEstimate(prefilled, slope)
	}
}

// initialSlope returns the slope between the calls that were known to have the shared prompt cached
// and the slower ones of the others. It returns 0 if the calls do not show it.
func initialSlope(all []sample) float64 {
	var known, uncertain, tokensKnown, tokensUncertain []float64
	for _, s := range all {
		if s.shared > 0 {
			uncertain, tokensUncertain = append(uncertain, s.took), append(tokensUncertain, s.tokens)
		} else {
			known, tokensKnown = append(known, s.took), append(tokensKnown, s.tokens)
		}
	}
	if len(known) == 0 || len(uncertain) == 0 {
		return 0
	}
	tokens := quantile(tokensUncertain, 0.5) - quantile(tokensKnown, 0.5)
	if tokens < 1 {
		return 0
	}
	return (quantile(uncertain, uncachedQuantile) - quantile(known, 0.5)) / tokens
}

// setEstimate sets the time of a token, within its bounds, and the time to the first event that
// goes with it.
func (m *engineModel) setEstimate(all []sample, slope float64) {
	// No call can be faster than its own prefill.
	bound := slopeBound(all)
	slope = min(max(slope, minSlopeShare*bound), bound)
	weight := float64(m.count) / (float64(m.count) + priorWeight)
	m.perToken = math.Pow(slope, weight) * math.Pow(1/initialPrefillRate, 1-weight)
	rest := make([]float64, len(all))
	for i, s := range all {
		rest[i] = s.took - m.perToken*s.tokens
	}
	m.firstEvent = max(weight*quantile(rest, floorQuantile)+(1-weight)*initialFirstEvent, 1)
}

// medianSlope returns the median of the slopes over the pairs of samples that differ in their tokens
// by at least a quarter of the range, or 0 if the samples do not differ.
func medianSlope(all []sample) float64 {
	low, high := math.Inf(1), math.Inf(-1)
	for _, s := range all {
		low, high = min(low, s.tokens), max(high, s.tokens)
	}
	if high-low < 1 {
		return 0
	}
	// With many samples, each one is paired with some of the others only.
	stride := 1 + len(all)*len(all)/(2*maxPairs)
	slopes := make([]float64, 0, maxPairs)
	for i := range all {
		for j := i + 1; j < len(all); j += stride {
			if d := all[j].tokens - all[i].tokens; math.Abs(d) >= (high-low)/4 {
				slopes = append(slopes, (all[j].took-all[i].took)/d)
			}
		}
	}
	if len(slopes) == 0 {
		return 0
	}
	return quantile(slopes, 0.5)
}

// slopeBound returns an upper bound of the time of a token: what the least delayed calls with many
// tokens took for each of theirs. It sorts the samples.
func slopeBound(all []sample) float64 {
	sortByTokens(all)
	var rates []float64
	for _, s := range all[len(all)/2:] {
		if s.tokens >= 1 {
			rates = append(rates, s.took/s.tokens)
		}
	}
	if len(rates) == 0 {
		return 1 / initialPrefillRate
	}
	return quantile(rates, floorQuantile)
}

func sortByTokens(all []sample) {
	slices.SortFunc(all, func(a, b sample) int { return cmp.Compare(a.tokens, b.tokens) })
}

// quantile returns a quantile of the values, which it sorts.
func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
