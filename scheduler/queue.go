package scheduler

import (
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/admitter"
	"github.com/dogwoodweir/dogwoodweir/prioritizer"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/router"
)

// enqueue adds a call to the queue of its service and dispatches the queue. Rate limits
// and shedding apply only to the first attempt of a call.
func (s *State) enqueue(m CallQueued) {
	if s.calls[m.Ticket] != nil {
		return
	}
	info := m.Call
	if info.Root == "" {
		info.Root = info.Program
	}
	v := s.services[info.Service]
	if v == nil {
		s.emit(RejectCall{Ticket: m.Ticket, Outcome: failureOutcome(info.MayHaveRun), Code: admitter.CodeNoTarget})
		return
	}
	if info.Attempt == 0 {
		if wait, ok := v.rateLimiter.Allow(s.now, info.Client); !ok {
			s.emit(RejectCall{
				Ticket: m.Ticket, Outcome: OutcomeNotRun, Code: admitter.CodeRateLimited,
				RetryAfter: admitter.RetryAfter(s.random, wait),
			})
			return
		}
		decision := v.shedder.Decide(s.now, s.admissionRequest(v, &info))
		if decision.Code != "" {
			after := decision.RetryAfter
			if after > 0 {
				after = admitter.RetryAfter(s.random, after)
			}
			s.emit(RejectCall{Ticket: m.Ticket, Outcome: OutcomeNotRun, Code: decision.Code, RetryAfter: after})
			return
		}
		v.retryBudget.Deposit()
		v.hedgeBudget.Deposit()
	}
	started := s.recordActivity(v, info.Root, true)
	if info.Program != info.Root {
		s.recordActivity(v, info.Program, false)
	}
	c := &call{
		ticket: m.Ticket, info: info, service: v, queuedAt: s.now, queued: true, mayHaveRun: info.MayHaveRun,
	}
	c.priority = s.policy.Prioritizer.Decide(s.now, prioritizer.Call{
		Program: info.Root, Client: info.Client, Deadline: info.Deadline, ServiceSeconds: v.meanSeconds,
		ProgramStarted: started,
	})
	s.calls[m.Ticket] = c
	v.queue.Set(c)
	s.dispatch(v)
}

func (s *State) admissionRequest(v *service, info *CallInfo) admitter.Request {
	p, tracked := s.programs.Peek(info.Root)
	tracked = tracked && p.service == v
	wait := 0.0
	if v.inFlight > 0 {
		wait = float64(v.queue.Len()) * v.meanSeconds / float64(v.inFlight)
	}
	return admitter.Request{
		NewProgram: info.NewProgram && !tracked && info.Root == info.Program,
		Queued:     v.queue.Len(), ActivePrograms: v.activePrograms, EstimatedWait: time.Duration(wait * float64(time.Second)),
		ServiceSeconds: 0, Deadline: info.Deadline,
	}
}

// recordActivity records a call of a program and reports whether the program was
// already tracked. Sub-agents are tracked but not counted as active programs, because
// they belong to their root.
func (s *State) recordActivity(v *service, name string, counted bool) bool {
	p, tracked := s.programs.Get(name)
	if !tracked {
		p = &program{service: v, counted: counted}
		s.programs.Add(name, p)
		if counted {
			v.activePrograms++
		}
	}
	p.lastActiveAt = s.now
	if !p.pausedAt.IsZero() {
		s.pauseStats.Observe(p.tool, s.now.Sub(p.pausedAt))
		p.pausedAt = time.Time{}
	}
	return tracked
}

// maxScannedCalls is the number of waiting calls that are tried when the targets of the
// first ones are full.
const maxScannedCalls = 12

// dispatch sends waiting calls in the order of their priorities while targets have free
// slots.
func (s *State) dispatch(v *service) {
	for v.queue.Len() > 0 && s.mayHaveSlot(v) {
		var ready *call
		var choice router.Choice
		tried := 0
		v.queue.Scan(func(c *call) bool {
			tried++
			choice = s.route(c)
			if choice.Node != nil && !choice.Full {
				ready = c
				return false
			}
			// A call without a usable target ends the scan, because the later calls have
			// none either. The exception is a call that excludes targets.
			return tried < maxScannedCalls && (choice.Node != nil || len(c.info.Exclude) > 0)
		})
		if ready == nil {
			return
		}
		v.queue.Delete(ready)
		ready.queued = false
		s.send(ready, choice, false)
	}
}

// mayHaveSlot reports whether a target of the service may have a free slot. For more
// than 64 targets it returns true without a search.
func (s *State) mayHaveSlot(v *service) bool {
	nodes := s.fleet.Accepting(v.config.Name)
	return len(nodes) > 64 || slices.ContainsFunc(nodes, s.hasSlotFunc)
}

func (s *State) route(c *call) router.Choice {
	s.request = router.Request{
		Service: c.info.Service, Program: c.info.Program, Root: c.info.Root, Model: c.info.Model,
		Adapter: c.info.Adapter, Blocks: c.info.Blocks, PromptTokens: c.info.PromptTokens,
		MaxTokens: c.info.MaxTokens, Plain: c.info.Kind == KindPlain, Exclude: c.info.Exclude,
		Blocked: s.isBlockedFunc, HasSlot: s.hasSlotFunc,
	}
	return s.policy.Router.Decide(s.now, &s.request)
}

func (s *State) send(c *call, choice router.Choice, hedge bool) {
	n := choice.Node
	s.limitsOf(n).breaker.RecordSent()
	s.fleet.RecordSent(s.now, n, uint64(c.ticket), choice)
	c.attempts = append(c.attempts, attempt{node: n, sentAt: s.now, choice: choice})
	c.service.inFlight++
	// Model calls are not hedged: a second prefill costs more than the hedge saves.
	if !hedge && s.policy.HedgeRatio > 0 && c.info.Repeatable && c.info.Kind == KindPlain {
		c.hedgeAt = s.now.Add(hedgeDelay(choice))
		s.hedgeQueue.Set(c)
	}
	s.emit(SendCall{
		Ticket: c.ticket, Target: n.Name(), Priority: int(c.priority.UnixMilli()), Hedge: hedge,
		ImportObject: choice.ImportObject,
	})
}

// hedgeDelay returns the time without a response after which a plain call is assumed to
// be stuck: four times the estimate, at least two seconds.
func hedgeDelay(choice router.Choice) time.Duration {
	return max(2*time.Second, durationOf(4*choice.TotalSeconds))
}

// tryHedge sends a second attempt of a call at another target if a target has a free
// slot and the hedge budget allows it.
func (s *State) tryHedge(c *call) {
	if len(c.attempts) != 1 || c.attempts[0].streaming || !c.info.Repeatable {
		return
	}
	exclude := c.info.Exclude
	c.info.Exclude = append(append([]string(nil), exclude...), c.attempts[0].node.Name())
	choice := s.route(c)
	c.info.Exclude = exclude
	if choice.Node == nil || choice.Full || !c.service.hedgeBudget.TryWithdraw() {
		return
	}
	s.send(c, choice, true)
}

func (s *State) tick() {
	for {
		c, ok := s.hedgeQueue.Min()
		if !ok || c.hedgeAt.After(s.now) {
			break
		}
		s.hedgeQueue.Delete(c)
		s.tryHedge(c)
	}
	for {
		_, p, ok := s.programs.GetOldest()
		if !ok || s.now.Sub(p.lastActiveAt) < programIdleTimeout {
			break
		}
		s.programs.RemoveOldest()
	}
	for _, name := range s.serviceNames {
		v := s.services[name]
		s.rejectExpired(v)
		s.dispatch(v)
	}
}

// rejectExpired rejects waiting calls whose deadline or call timeout has passed.
func (s *State) rejectExpired(v *service) {
	var expired []*call
	v.queue.Scan(func(c *call) bool {
		pastDeadline := !c.info.Deadline.IsZero() && s.now.After(c.info.Deadline)
		timedOut := v.config.CallTimeout > 0 && s.now.Sub(c.queuedAt) > v.config.CallTimeout
		if pastDeadline || timedOut {
			expired = append(expired, c)
		}
		return true
	})
	for _, c := range expired {
		v.queue.Delete(c)
		s.reject(c, admitter.CodeDeadlineExceeded, 0)
	}
}

func (s *State) rejectQueue(v *service, code string) {
	for v.queue.Len() > 0 {
		c, _ := v.queue.PopMin()
		s.reject(c, code, 0)
	}
}

func (s *State) reject(c *call, code string, after time.Duration) {
	s.removeCall(c)
	s.emit(RejectCall{Ticket: c.ticket, Outcome: failureOutcome(c.mayHaveRun), Code: code, RetryAfter: after})
}

// failureOutcome returns the outcome of a call that ends without a result.
func failureOutcome(mayHaveRun bool) Outcome {
	if mayHaveRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

func (s *State) removeCall(c *call) {
	s.hedgeQueue.Delete(c)
	delete(s.calls, c.ticket)
}

func (s *State) pauseProgram(m ProgramPaused) {
	p, ok := s.programs.Peek(m.Program)
	if !ok {
		return
	}
	p.pausedAt, p.tool = s.now, m.Tool
	if p.node == nil || !p.node.Target().State.Accepts() {
		return
	}
	profile := s.options.Profile
	decision := s.policy.Retention.Decide(s.now, newPause(p, m, s.fleet, profile))
	s.applyRetention(m.Program, p, decision)
}

func (s *State) endProgram(name string) {
	nodes := s.fleet.ForgetProgram(name)
	s.policy.Prioritizer.End(name)
	s.programs.Remove(name)
	if !s.policy.ReleaseEndedPrograms {
		return
	}
	for _, n := range nodes {
		s.emit(SendOrder{Target: n.Name(), Order: provider.Order{Kind: "release", Program: name}})
	}
}
