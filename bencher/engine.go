package bencher

import (
	"container/heap"
	"math"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Capacity of the fake engine: an 8-billion parameter model in 8 bits on an edge
// accelerator with 32 GB, of which 21 GB hold 5,120 blocks of KV cache.
const (
	prefillPerSec            = 8_000.0
	decodeBaseSeconds        = 0.016
	decodeSecondsPerSequence = 0.0008
	prefillChunkTokens       = 256.0
	maxBatch                 = 24
	totalBlocks              = 5_120
	// maxWaiting is the length of the queue at which the engine rejects calls.
	maxWaiting = 96
)

// attempt is one attempt of a call at an engine or a plain service.
type attempt struct {
	call             *call
	daemon           *daemon
	priority         int
	sequence         int
	promptTokens     int
	blocks           []uint64
	finalTokens      int
	completionTokens int
	cachedTokens     int
	wastedTokens     int
	// remainingPrefill is the number of prompt tokens still to compute.
	remainingPrefill float64
	// doneAt is the engine's count of iterations at which the response is complete.
	doneAt    float64
	entry     *cacheEntry
	state     attemptState
	arrivedAt time.Duration
	sentAt    time.Duration
	canceled  bool
}

type attemptState int

const (
	attemptWaiting attemptState = iota
	attemptPrefill
	attemptDecode
	attemptDone
)

// byPriority is a heap of attempts by priority, then by arrival.
type byPriority []*attempt

func (q byPriority) Len() int { return len(q) }
func (q byPriority) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].sequence < q[j].sequence
}
func (q byPriority) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *byPriority) Push(x any) { *q = append(*q, x.(*attempt)) }

// Pop implements heap.Interface.
func (q *byPriority) Pop() any {
	old := *q
	a := old[len(old)-1]
	*q = old[:len(old)-1]
	return a
}

// engine is a fake runner. Every iteration decodes one token of each sequence and
// prefills one chunk of one prompt. Between two events the batch does not change, so
// progress is a fraction of iterations in proportion to time (a fluid model).
type engine struct {
	simulation *simulation
	name       string
	domain     int
	slowdown   float64
	// failing and silent are set by faults.
	failing       bool
	silent        bool
	waiting       byPriority
	waitingTokens int
	prefilling    *attempt
	decoding      []*attempt
	// iterations counts the iterations since the start, up to advancedAt.
	iterations float64
	advancedAt time.Duration
	// planVersion invalidates scheduled steps that a change of the batch made obsolete.
	planVersion int
	submitted   int
	cache       *kvCache
	// pastReports are kept for StaleReports only.
	pastReports []provider.LoadReport
	// evictedBlocks are the blocks evicted since the last cache event.
	evictedBlocks  []uint64
	eventSequence  int64
	eventScheduled bool
}

func newEngine(s *simulation, name string, domain int) *engine {
	e := &engine{simulation: s, name: name, domain: domain, slowdown: 1}
	e.cache = newKVCache(totalBlocks, func(hashes []uint64) {
		e.evictedBlocks = append(e.evictedBlocks, hashes...)
		s.scheduleCacheEvent(e)
	})
	return e
}

// iterationSeconds returns the duration of one iteration with the present batch.
func (e *engine) iterationSeconds() float64 {
	seconds := 0.0
	if n := len(e.decoding); n > 0 {
		seconds += decodeBaseSeconds + decodeSecondsPerSequence*float64(n)
	}
	if e.prefilling != nil {
		seconds += prefillChunkTokens / prefillPerSec
	}
	return seconds * e.slowdown
}

// advance applies the progress since the last call.
func (e *engine) advance() {
	elapsed := (e.simulation.now - e.advancedAt).Seconds()
	e.advancedAt = e.simulation.now
	if elapsed <= 0 {
		return
	}
	if iteration := e.iterationSeconds(); iteration > 0 {
		e.iterations += elapsed / iteration
		if e.prefilling != nil {
			e.prefilling.remainingPrefill -= elapsed / iteration * prefillChunkTokens
		}
	}
}

// submit queues an attempt. It returns false when the queue is full.
func (e *engine) submit(a *attempt) bool {
	e.advance()
	if len(e.waiting) >= maxWaiting {
		return false
	}
	e.submitted++
	a.sequence, a.arrivedAt = e.submitted, e.simulation.now
	heap.Push(&e.waiting, a)
	e.waitingTokens += a.promptTokens
	e.step()
	return true
}

// cancel removes an attempt from the batch; a waiting one is skipped by startPrefill.
func (e *engine) cancel(a *attempt) {
	e.advance()
	a.canceled = true
	switch a.state {
	case attemptPrefill:
		e.prefilling = nil
		e.cache.unpin(a.entry, e.simulation.now)
	case attemptDecode:
		for i, other := range e.decoding {
			if other == a {
				e.decoding = append(e.decoding[:i], e.decoding[i+1:]...)
				break
			}
		}
		e.cache.unpin(a.entry, e.simulation.now)
	}
	e.step()
}

// epsilon absorbs rounding errors of tokens and iterations.
const epsilon = 1e-6

// step ends finished generations, moves a finished prefill to decoding, starts the next
// prefill and schedules the next step.
func (e *engine) step() {
	e.advance()
	for i := 0; i < len(e.decoding); {
		a := e.decoding[i]
		if a.doneAt > e.iterations+epsilon {
			i++
			continue
		}
		e.decoding = append(e.decoding[:i], e.decoding[i+1:]...)
		e.cache.unpin(a.entry, e.simulation.now)
		a.state = attemptDone
		e.simulation.finishGeneration(e, a)
	}
	if a := e.prefilling; a != nil && a.remainingPrefill <= epsilon {
		e.prefilling = nil
		a.state, a.doneAt = attemptDecode, e.iterations+float64(a.completionTokens)
		e.decoding = append(e.decoding, a)
		e.simulation.sendFirstToken(e, a)
	}
	e.startPrefill()
	e.scheduleStep()
}

// startPrefill takes the next waiting attempt into the batch when the batch has room and
// the KV cache has enough blocks.
func (e *engine) startPrefill() {
	for e.prefilling == nil && len(e.waiting) > 0 && len(e.decoding) < maxBatch {
		a := e.waiting[0]
		if a.canceled {
			heap.Pop(&e.waiting)
			e.waitingTokens -= a.promptTokens
			continue
		}
		cached, entry, ok := e.cache.admit(a, e.simulation.now)
		if !ok {
			return
		}
		heap.Pop(&e.waiting)
		e.waitingTokens -= a.promptTokens
		a.state, a.entry = attemptPrefill, entry
		a.cachedTokens = min(cached*provider.BlockTokens, a.promptTokens)
		a.wastedTokens = e.simulation.countPrompt(a)
		// The last token is always computed.
		a.remainingPrefill = math.Max(1, float64(a.promptTokens-a.cachedTokens))
		e.prefilling = a
	}
}

// scheduleStep schedules a step for when the next prefill or generation finishes and
// invalidates the step scheduled before.
func (e *engine) scheduleStep() {
	e.planVersion++
	iteration := e.iterationSeconds()
	if iteration <= 0 {
		return
	}
	fewest := math.Inf(1)
	if e.prefilling != nil {
		fewest = e.prefilling.remainingPrefill / prefillChunkTokens
	}
	for _, a := range e.decoding {
		fewest = math.Min(fewest, a.doneAt-e.iterations)
	}
	delay := time.Duration(math.Max(0, fewest)*iteration*float64(time.Second)) + time.Microsecond
	version := e.planVersion
	e.simulation.after(delay, func() {
		if version == e.planVersion {
			e.step()
		}
	})
}

func (e *engine) report() provider.LoadReport {
	waiting := e.waitingTokens
	running := len(e.decoding)
	if e.prefilling != nil {
		running++
		waiting += int(e.prefilling.remainingPrefill)
	}
	return provider.LoadReport{
		Target: e.name, At: e.simulation.time(), Running: running, Waiting: len(e.waiting),
		WaitingTokens: waiting, TotalBlocks: totalBlocks, FreeBlocks: e.cache.free(),
		PrefillPerSec: prefillPerSec, MaxConcurrency: maxBatch,
	}
}
