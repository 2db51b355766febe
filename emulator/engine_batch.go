package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// job is one call in the engine. The engine's mutex guards its fields except request,
// digest, length and signal, which do not change.
type job struct {
	request provider.GenerateRequest
	digest  uint64
	length  int
	arrival int64
	signal  chan struct{}

	cached           int
	prefillRemaining float64
	progress         float64
	produced         int
	finished         bool
	failure          error
}

func (j *job) notify() {
	select {
	case j.signal <- struct{}{}:
	default:
	}
}

func (j *job) fail(err error) {
	if j.failure == nil && !j.finished {
		j.failure = err
	}
	j.notify()
}

// token returns token i of the response. Token 0 is the digest of the messages, so that a
// caller can check that the response belongs to its own request. The other tokens depend on
// the seed too.
func (j *job) token(i int) string {
	if i == 0 {
		return fmt.Sprintf("re:%016x", j.digest)
	}
	return fmt.Sprintf(" %06x", mix(j.digest^uint64(j.request.Seed), uint64(i))&0xffffff)
}

// mix hashes two numbers into one.
func mix(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

// ResponseDigest returns the first token of a response to the messages, which has the form
// "re:<digest of the messages>".
func ResponseDigest(messages []provider.ChatMessage) string {
	return fmt.Sprintf("re:%016x", digestOf(messages))
}

func digestOf(messages []provider.ChatMessage) uint64 {
	h := xxhash.New()
	for _, m := range messages {
		_, _ = fmt.Fprintf(h, "%d:%s%d:%s", len(m.Role), m.Role, len(m.Content), m.Content)
	}
	return h.Sum64()
}

// defaultMaxTokens is the largest number of response tokens of a call without a limit.
const defaultMaxTokens = 64

func responseTokens(request provider.GenerateRequest, digest uint64) int {
	longest := request.MaxTokens
	if longest <= 0 {
		longest = defaultMaxTokens
	}
	shortest := max(longest/2, 1)
	return shortest + int(mix(digest, uint64(request.Seed))%uint64(longest-shortest+1))
}

func (e *Engine) enqueue(request provider.GenerateRequest) (*job, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reject := func(kind provider.Kind, text string) (*job, error) {
		return nil, provider.NewError("engine.generate", kind, eris.New(text))
	}
	switch {
	case e.faults.Dead:
		return reject(provider.KindUnavailable, "engine is dead")
	case e.faults.RejectCalls:
		return reject(provider.KindRefused, "call rejected by a fault switch")
	case e.faults.Leaving:
		return reject(provider.KindRefused, "engine is leaving")
	case request.Model != "" && !e.models[request.Model]:
		return reject(provider.KindRefused, "model is not loaded")
	case request.Adapter != "" && !e.adapters[request.Adapter]:
		return reject(provider.KindRefused, "adapter is not loaded")
	}
	digest := digestOf(request.Messages)
	e.arrivals++
	j := &job{
		request: request, digest: digest, length: responseTokens(request, digest),
		arrival: e.arrivals, signal: make(chan struct{}, 1),
	}
	e.jobs[request.AttemptID] = j
	e.waiting = append(e.waiting, j)
	e.counts.Calls++
	e.signal()
	return j, nil
}

func (e *Engine) removeJob(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs[j.request.AttemptID] == j {
		delete(e.jobs, j.request.AttemptID)
	}
	same := func(other *job) bool { return other == j }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// run steps the batch while the engine has calls and waits for a call otherwise.
func (e *Engine) run() {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-e.done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		e.mu.Lock()
		// Without the limit, an engine on a busy host would make up for the lost time in
		// one step.
		e.step(now, min(now.Sub(last), 10*stepInterval))
		idle := len(e.jobs) == 0
		e.mu.Unlock()
		last = now
		if !idle {
			continue
		}
		select {
		case <-e.done:
			return
		case <-e.wake:
			last = time.Now()
		}
	}
}

func (e *Engine) step(now time.Time, elapsed time.Duration) {
	e.recordLoad(now)
	if e.faults.Hang || e.faults.Dead {
		return
	}
	seconds := elapsed.Seconds()
	if e.faults.Slow > 1 {
		seconds /= e.faults.Slow
	}
	e.admit()
	e.prefill(seconds)
	e.decode(now, seconds)
}

// admit moves waiting calls into the batch in order of queue priority, 0 first.
func (e *Engine) admit() {
	for len(e.running) < e.options.MaxConcurrency && len(e.waiting) > 0 {
		best := 0
		for i, j := range e.waiting {
			b := e.waiting[best]
			if j.request.Priority < b.request.Priority ||
				j.request.Priority == b.request.Priority && j.arrival < b.arrival {
				best = i
			}
		}
		j := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		blocks, wasted := e.cache.match(j.request.BlockHashes)
		j.cached = min(blocks*provider.BlockTokens, j.request.PromptTokens)
		j.prefillRemaining = float64(j.request.PromptTokens - j.cached)
		e.counts.CachedTokens += j.cached
		e.counts.PrefillTokens += j.request.PromptTokens - j.cached
		e.counts.WastedTokens += wasted * provider.BlockTokens
		e.running = append(e.running, j)
	}
}

// prefill gives the prefill rate to the running calls in order of admission.
func (e *Engine) prefill(seconds float64) {
	budget := e.options.PrefillPerSec * seconds
	for _, j := range e.running {
		used := min(j.prefillRemaining, budget)
		j.prefillRemaining -= used
		budget -= used
	}
}

func (e *Engine) decode(now time.Time, seconds float64) {
	fill := float64(len(e.running)) / float64(e.options.MaxConcurrency)
	rate := e.options.TokensPerSec / (1 + fill)
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		if j.failure != nil {
			return true
		}
		if j.prefillRemaining > 0 {
			return false
		}
		j.progress += rate * seconds
		produced := min(int(j.progress), j.length)
		e.counts.GeneratedTokens += produced - j.produced
		changed := produced > j.produced
		j.produced = produced
		if n := e.faults.BreakAfter; n > 0 && produced >= n && produced < j.length {
			j.fail(provider.NewError("engine.generate", provider.KindUnknown, eris.New("stream broken by a fault switch")))
			return true
		}
		if produced == j.length {
			j.finished = true
			e.cache.store(now, j.request.Program, j.request.BlockHashes)
		}
		if changed || j.finished {
			j.notify()
		}
		return j.finished
	})
}
