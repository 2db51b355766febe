package bencher

import (
	"container/heap"
	"math"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Hardware of the fake engine: an 8-billion parameter model in 8 bits on an edge
// accelerator with 32 GB, of which 21 GB hold 5,120 blocks of KV cache.
const (
	prefillPerSec = 8_000.0
	decodeBase    = 0.016
	decodeSlope   = 0.0008
	prefillChunk  = 256.0
	maxBatch      = 24
	totalBlocks   = 5_120
	// maxWaiting is the queue above which the engine declines calls.
	maxWaiting = 96
)

// job is one attempt at an engine.
type job struct {
	run      *call
	daemon   *daemon
	priority int
	order    int
	prompt   int
	blocks   []uint64
	final    int
	answer   int
	cached   int
	wasted   int
	left     float64
	// until is the engine's decode counter at which the answer is complete.
	until    float64
	entry    *entry
	state    jobState
	arrived  time.Duration
	sentAt   time.Duration
	canceled bool
}

type jobState int

const (
	jobWaiting jobState = iota
	jobPrefill
	jobDecode
	jobOver
)

type byPriority []*job

func (q byPriority) Len() int { return len(q) }
func (q byPriority) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].order < q[j].order
}
func (q byPriority) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *byPriority) Push(x any) { *q = append(*q, x.(*job)) }

// Pop implements heap.Interface.
func (q *byPriority) Pop() any {
	old := *q
	j := old[len(old)-1]
	*q = old[:len(old)-1]
	return j
}

// engine is a fake runner. Between two events it is a fluid: every iteration
// decodes one token of each sequence and prefills one chunk of one prompt.
type engine struct {
	world  *world
	name   string
	domain int
	slow   float64
	// failing and silent are set by faults.
	failing  bool
	silent   bool
	waiting  byPriority
	tokens   int
	prefill  *job
	decoding []*job
	counter  float64
	at       time.Duration
	version  int
	orders   int
	memory   *memory
	reports  []provider.LoadReport
	removed  []uint64
	sequence int64
	flushing bool
}

func newEngine(w *world, name string, domain int) *engine {
	e := &engine{world: w, name: name, domain: domain, slow: 1}
	e.memory = newMemory(totalBlocks, func(hashes []uint64) {
		e.removed = append(e.removed, hashes...)
		w.flushLater(e)
	})
	return e
}

// iteration returns the seconds of one iteration with the present batch.
func (e *engine) iteration() float64 {
	seconds := 0.0
	if n := len(e.decoding); n > 0 {
		seconds += decodeBase + decodeSlope*float64(n)
	}
	if e.prefill != nil {
		seconds += prefillChunk / prefillPerSec
	}
	return seconds * e.slow
}

// advance moves the fluid to the present.
func (e *engine) advance() {
	elapsed := (e.world.now - e.at).Seconds()
	e.at = e.world.now
	if elapsed <= 0 {
		return
	}
	if iteration := e.iteration(); iteration > 0 {
		e.counter += elapsed / iteration
		if e.prefill != nil {
			e.prefill.left -= elapsed / iteration * prefillChunk
		}
	}
}

func (e *engine) submit(j *job) bool {
	e.advance()
	if len(e.waiting) >= maxWaiting {
		return false
	}
	e.orders++
	j.order, j.arrived = e.orders, e.world.now
	heap.Push(&e.waiting, j)
	e.tokens += j.prompt
	e.step()
	return true
}

func (e *engine) cancel(j *job) {
	e.advance()
	j.canceled = true
	switch j.state {
	case jobPrefill:
		e.prefill = nil
		e.memory.unpin(j.entry, e.world.now)
	case jobDecode:
		for i, other := range e.decoding {
			if other == j {
				e.decoding = append(e.decoding[:i], e.decoding[i+1:]...)
				break
			}
		}
		e.memory.unpin(j.entry, e.world.now)
	}
	e.step()
}

const almost = 1e-6

// step completes what is complete, starts what can start and plans the next event.
func (e *engine) step() {
	e.advance()
	for i := 0; i < len(e.decoding); {
		j := e.decoding[i]
		if j.until > e.counter+almost {
			i++
			continue
		}
		e.decoding = append(e.decoding[:i], e.decoding[i+1:]...)
		e.memory.unpin(j.entry, e.world.now)
		j.state = jobOver
		e.world.engineFinished(e, j)
	}
	if j := e.prefill; j != nil && j.left <= almost {
		e.prefill = nil
		j.state, j.until = jobDecode, e.counter+float64(j.answer)
		e.decoding = append(e.decoding, j)
		e.world.engineStarted(e, j)
	}
	e.start()
	e.plan()
}

// start takes the next waiting call into the batch when a place and memory are free.
func (e *engine) start() {
	for e.prefill == nil && len(e.waiting) > 0 && len(e.decoding) < maxBatch {
		j := e.waiting[0]
		if j.canceled {
			heap.Pop(&e.waiting)
			e.tokens -= j.prompt
			continue
		}
		cached, entry, ok := e.memory.admit(j, e.world.now)
		if !ok {
			return
		}
		heap.Pop(&e.waiting)
		e.tokens -= j.prompt
		j.state, j.entry = jobPrefill, entry
		j.cached = min(cached*provider.BlockTokens, j.prompt)
		j.wasted = e.world.waste(j)
		// The last token is always computed.
		j.left = math.Max(1, float64(j.prompt-j.cached))
		e.prefill = j
	}
}

func (e *engine) plan() {
	e.version++
	iteration := e.iteration()
	if iteration <= 0 {
		return
	}
	least := math.Inf(1)
	if e.prefill != nil {
		least = e.prefill.left / prefillChunk
	}
	for _, j := range e.decoding {
		least = math.Min(least, j.until-e.counter)
	}
	delay := time.Duration(math.Max(0, least)*iteration*float64(time.Second)) + time.Microsecond
	version := e.version
	e.world.after(delay, func() {
		if version == e.version {
			e.step()
		}
	})
}

func (e *engine) report() provider.LoadReport {
	waiting := e.tokens
	running := len(e.decoding)
	if e.prefill != nil {
		running++
		waiting += int(e.prefill.left)
	}
	return provider.LoadReport{
		Target: e.name, At: e.world.time(), Running: running, Waiting: len(e.waiting),
		WaitingTokens: waiting, TotalBlocks: totalBlocks, FreeBlocks: e.memory.free(),
		PrefillPerSec: prefillPerSec, MaxConcurrency: maxBatch,
	}
}
