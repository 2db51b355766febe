package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults holds the fault switches of one stand-in. A switch can be changed at any time; the
// change applies to later requests. It is safe for concurrent use.
type Faults struct {
	mutex             sync.Mutex
	random            *rand.Rand
	outage            bool
	stallOnLoss       bool
	delay             time.Duration
	jitter            time.Duration
	requestLossShare  float64
	responseLossShare float64
	lateRequestShare  float64
	lateRequestDelay  time.Duration
	lateResponseShare float64
	lateResponseDelay time.Duration
	isolated          map[string]bool
}

// NewFaults returns switches that are all off. The seed determines which requests are
// affected by a fault that applies to a share of them.
func NewFaults(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, seed)), isolated: map[string]bool{}}
}

// SetOutage makes every request fail without taking effect.
func (f *Faults) SetOutage(on bool) { f.set(func() { f.outage = on }) }

// SetStallOnLoss makes the connection of a lost request or response stall instead of
// closing: the caller waits until its context ends.
func (f *Faults) SetStallOnLoss(on bool) { f.set(func() { f.stallOnLoss = on }) }

// SetDelay delays each request by delay plus a random duration below jitter before it
// takes effect.
func (f *Faults) SetDelay(delay, jitter time.Duration) {
	f.set(func() { f.delay, f.jitter = delay, jitter })
}

// SetRequestLoss drops a share of requests, 0 to 1, before they take effect.
func (f *Faults) SetRequestLoss(share float64) { f.set(func() { f.requestLossShare = share }) }

// SetResponseLoss drops a share of responses, 0 to 1, after the request took effect.
func (f *Faults) SetResponseLoss(share float64) { f.set(func() { f.responseLossShare = share }) }

// SetLateRequests delays a share of requests, 0 to 1, before they take effect. They take
// effect even if the caller no longer waits.
func (f *Faults) SetLateRequests(share float64, late time.Duration) {
	f.set(func() { f.lateRequestShare, f.lateRequestDelay = share, late })
}

// SetLateResponses delays a share of responses, 0 to 1, after the request took effect.
func (f *Faults) SetLateResponses(share float64, late time.Duration) {
	f.set(func() { f.lateResponseShare, f.lateResponseDelay = share, late })
}

// SetIsolated drops all requests of one caller.
func (f *Faults) SetIsolated(caller string, on bool) { f.set(func() { f.isolated[caller] = on }) }

// Clear turns all switches off.
func (f *Faults) Clear() {
	f.set(func() {
		f.outage, f.stallOnLoss = false, false
		f.delay, f.jitter, f.lateRequestDelay, f.lateResponseDelay = 0, 0, 0, 0
		f.requestLossShare, f.responseLossShare, f.lateRequestShare, f.lateResponseShare = 0, 0, 0, 0
		f.isolated = map[string]bool{}
	})
}

func (f *Faults) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// FaultPlan holds the faults that apply to one request.
type FaultPlan struct {
	// Unavailable makes the request fail without taking effect.
	Unavailable bool
	// LoseRequest drops the request before it takes effect, LoseResponse drops the
	// response afterwards.
	LoseRequest, LoseResponse bool
	// Stall makes the caller of a lost request or response wait until its context ends.
	Stall bool
	// RequestDelay is the delay before the request takes effect, ResponseDelay the delay
	// after it.
	RequestDelay, ResponseDelay time.Duration
}

// Plan returns the faults for the caller's next request. It draws random numbers for the
// faults that apply to a share of requests.
func (f *Faults) Plan(caller string) FaultPlan {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	plan := FaultPlan{Unavailable: f.outage, Stall: f.stallOnLoss, RequestDelay: f.delay}
	if f.jitter > 0 {
		plan.RequestDelay += time.Duration(f.random.Int64N(int64(f.jitter)))
	}
	if f.sample(f.lateRequestShare) {
		plan.RequestDelay += f.lateRequestDelay
	}
	if f.sample(f.lateResponseShare) {
		plan.ResponseDelay = f.lateResponseDelay
	}
	plan.LoseRequest = f.isolated[caller] || f.sample(f.requestLossShare)
	plan.LoseResponse = f.sample(f.responseLossShare)
	return plan
}

func (f *Faults) sample(share float64) bool {
	return share > 0 && f.random.Float64() < share
}

// Run calls effect according to the plan and reports whether the response reached the
// caller. A delayed effect takes place even if ctx ends first. Run does not handle
// Unavailable.
func (p FaultPlan) Run(ctx context.Context, effect func()) bool {
	if p.LoseRequest {
		p.waitIfStalled(ctx)
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
		p.waitIfStalled(ctx)
		return false
	}
	return p.ResponseDelay == 0 || Sleep(ctx, p.ResponseDelay)
}

func (p FaultPlan) waitIfStalled(ctx context.Context) {
	if p.Stall {
		<-ctx.Done()
	}
}

// Sleep waits for the duration. It returns false if ctx ends first.
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
