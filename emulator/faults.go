package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults holds the fault switches of one stand-in. All switches may be changed at
// any time; a change applies to requests that arrive after it.
type Faults struct {
	mutex        sync.Mutex
	random       *rand.Rand
	outage       bool
	silent       bool
	delay        time.Duration
	jitter       time.Duration
	loseRequests float64
	loseAnswers  float64
	lateRequests float64
	lateRequest  time.Duration
	lateAnswers  float64
	lateAnswer   time.Duration
	cut          map[string]bool
}

// NewFaults returns switches that are all off. The seed determines which requests
// a fault with a probability hits.
func NewFaults(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, seed)), cut: map[string]bool{}}
}

// SetOutage makes every request fail before it takes effect.
func (f *Faults) SetOutage(on bool) { f.set(func() { f.outage = on }) }

// SetStallOnLoss makes lost requests and answers look like a connection that went
// silent instead of one that was closed: the caller waits until it gives up.
func (f *Faults) SetStallOnLoss(on bool) { f.set(func() { f.silent = on }) }

// SetDelay adds a delay, plus up to jitter, before each request takes effect.
func (f *Faults) SetDelay(delay, jitter time.Duration) {
	f.set(func() { f.delay, f.jitter = delay, jitter })
}

// SetRequestLoss loses this share of requests before they take effect.
func (f *Faults) SetRequestLoss(share float64) { f.set(func() { f.loseRequests = share }) }

// SetResponseLoss loses this share of answers after the request took effect.
func (f *Faults) SetResponseLoss(share float64) { f.set(func() { f.loseAnswers = share }) }

// SetLateRequests delays this share of requests before they take effect, even
// when the caller has given up meanwhile.
func (f *Faults) SetLateRequests(share float64, late time.Duration) {
	f.set(func() { f.lateRequests, f.lateRequest = share, late })
}

// SetLateResponses delays this share of answers after the request took effect.
func (f *Faults) SetLateResponses(share float64, late time.Duration) {
	f.set(func() { f.lateAnswers, f.lateAnswer = share, late })
}

// SetIsolated loses all requests of one caller.
func (f *Faults) SetIsolated(caller string, on bool) { f.set(func() { f.cut[caller] = on }) }

// Clear turns all switches off.
func (f *Faults) Clear() {
	f.set(func() {
		f.outage, f.silent = false, false
		f.delay, f.jitter, f.lateRequest, f.lateAnswer = 0, 0, 0, 0
		f.loseRequests, f.loseAnswers, f.lateRequests, f.lateAnswers = 0, 0, 0, 0
		f.cut = map[string]bool{}
	})
}

func (f *Faults) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// FaultPlan is what happens to one request.
type FaultPlan struct {
	// Unavailable fails the request before it takes effect.
	Unavailable bool
	// LoseRequest loses it before it takes effect, LoseResponse afterwards.
	LoseRequest, LoseResponse bool
	// Stall makes the caller wait for a lost answer until it gives up.
	Stall bool
	// RequestDelay and ResponseDelay delay the request and the answer.
	RequestDelay, ResponseDelay time.Duration
}

// Plan draws what happens to the next request of the caller.
func (f *Faults) Plan(caller string) FaultPlan {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	plan := FaultPlan{Unavailable: f.outage, Stall: f.silent, RequestDelay: f.delay}
	if f.jitter > 0 {
		plan.RequestDelay += time.Duration(f.random.Int64N(int64(f.jitter)))
	}
	if f.hit(f.lateRequests) {
		plan.RequestDelay += f.lateRequest
	}
	if f.hit(f.lateAnswers) {
		plan.ResponseDelay = f.lateAnswer
	}
	plan.LoseRequest = f.cut[caller] || f.hit(f.loseRequests)
	plan.LoseResponse = f.hit(f.loseAnswers)
	return plan
}

func (f *Faults) hit(share float64) bool {
	return share > 0 && f.random.Float64() < share
}

// Run executes effect according to the plan and returns whether its answer
// reached the caller. An effect that is delayed takes place even when the context
// ends first. Run does not handle Refuse.
func (p FaultPlan) Run(ctx context.Context, effect func()) bool {
	if p.LoseRequest {
		p.lost(ctx)
		return false
	}
	done := make(chan struct{})
	run := func() {
		effect()
		close(done)
	}
	if p.RequestDelay > 0 {
		time.AfterFunc(p.RequestDelay, run)
	} else {
		run()
	}
	select {
	case <-done:
	case <-ctx.Done():
		return false
	}
	if p.LoseResponse {
		p.lost(ctx)
		return false
	}
	return p.ResponseDelay == 0 || Sleep(ctx, p.ResponseDelay)
}

func (p FaultPlan) lost(ctx context.Context) {
	if p.Stall {
		<-ctx.Done()
	}
}

// Sleep waits and reports false when the context ended first.
func Sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
