package scheduler

import (
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/admitter"
	"github.com/dogwoodweir/dogwoodweir/prioritizer"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/router"
)

func (s *State) queueCall(m CallQueued) {
	if s.calls[m.Ticket] != nil {
		return
	}
	info := m.Call
	if info.Root == "" {
		info.Root = info.Program
	}
	v := s.services[info.Service]
	if v == nil {
		s.emit(RejectCall{Ticket: m.Ticket, Outcome: outcome(info.MayHaveRun), Code: admitter.CodeNoTarget})
		return
	}
	if info.Attempt == 0 {
		if wait, ok := v.rates.Allow(s.now, info.Client); !ok {
			s.emit(RejectCall{
				Ticket: m.Ticket, Outcome: OutcomeNotRun, Code: admitter.CodeRateLimited,
				RetryAfter: admitter.RetryAfter(s.random, wait),
			})
			return
		}
	}
	if info.Attempt == 0 {
		decision := v.shedder.Decide(s.now, s.admission(v, &info))
		if decision.Code != "" {
			after := decision.RetryAfter
			if after > 0 {
				after = admitter.RetryAfter(s.random, after)
			}
			s.emit(RejectCall{Ticket: m.Ticket, Outcome: OutcomeNotRun, Code: decision.Code, RetryAfter: after})
			return
		}
		v.retries.Deposit()
		v.hedges.Deposit()
	}
	underWay := s.touch(v, info.Root, true)
	if info.Program != info.Root {
		s.touch(v, info.Program, false)
	}
	c := &call{
		ticket: m.Ticket, info: info, service: v, queuedAt: s.now, queued: true, uncertain: info.MayHaveRun,
	}
	c.rank = s.policy.Prioritizer.Decide(s.now, prioritizer.Call{
		Program: info.Root, Client: info.Client, Deadline: info.Deadline, ServiceSeconds: v.seconds,
		ProgramStarted: underWay,
	})
	s.calls[m.Ticket] = c
	v.queue.Set(c)
	s.pump(v)
}

func (s *State) admission(v *service, info *CallInfo) admitter.Request {
	p, known := s.programs.Peek(info.Root)
	known = known && p.service == v
	wait := 0.0
	if v.inFlight > 0 {
		wait = float64(v.queue.Len()) * v.seconds / float64(v.inFlight)
	}
	return admitter.Request{
		NewProgram: info.NewProgram && !known && info.Root == info.Program,
		Queued:     v.queue.Len(), ActivePrograms: v.programs, EstimatedWait: time.Duration(wait * float64(time.Second)),
		ServiceSeconds: 0, Deadline: info.Deadline,
	}
}

// touch notes that a program is under way and reports whether it was before.
// Sub-agents are tracked but not counted: they belong to their root.
func (s *State) touch(v *service, name string, counted bool) bool {
	p, known := s.programs.Get(name)
	if !known {
		p = &program{service: v, counted: counted}
		s.programs.Add(name, p)
		if counted {
			v.programs++
		}
	}
	p.seen = s.now
	if !p.pausedAt.IsZero() {
		s.pauses.Observe(p.tool, s.now.Sub(p.pausedAt))
		p.pausedAt = time.Time{}
	}
	return known
}

// scanDepth is how many waiting calls are tried when the first ones wait for
// targets that are full.
const scanDepth = 12

// pump sends waiting calls in the order of their ranks while targets have slots.
func (s *State) pump(v *service) {
	for v.queue.Len() > 0 && s.anySlot(v) {
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
			// Without any usable target the calls behind have none either, except
			// after exclusions.
			return tried < scanDepth && (choice.Node != nil || len(c.info.Exclude) > 0)
		})
		if ready == nil {
			return
		}
		v.queue.Delete(ready)
		ready.queued = false
		s.send(ready, choice, false)
	}
}

// anySlot reports whether a target of the service may have a free slot; in large
// pools it says yes without a search.
func (s *State) anySlot(v *service) bool {
	nodes := s.fleet.Accepting(v.config.Name)
	return len(nodes) > 64 || slices.ContainsFunc(nodes, s.admits)
}

func (s *State) route(c *call) router.Choice {
	s.request = router.Request{
		Service: c.info.Service, Program: c.info.Program, Root: c.info.Root, Model: c.info.Model,
		Adapter: c.info.Adapter, Blocks: c.info.Blocks, PromptTokens: c.info.PromptTokens,
		MaxTokens: c.info.MaxTokens, Plain: c.info.Kind == KindPlain, Exclude: c.info.Exclude,
		Blocked: s.blocked, HasSlot: s.admits,
	}
	return s.policy.Router.Decide(s.now, &s.request)
}

func (s *State) send(c *call, choice router.Choice, hedge bool) {
	n := choice.Node
	s.guard(n).breaker.RecordSent()
	s.fleet.RecordSent(s.now, n, uint64(c.ticket), choice)
	c.attempts = append(c.attempts, attempt{node: n, sentAt: s.now, choice: choice})
	c.service.inFlight++
	// A second prefill of a model call cost more than it saved in the bench.
	if !hedge && s.policy.HedgeRatio > 0 && c.info.Repeatable && c.info.Kind == KindPlain {
		c.hedgeAt = s.now.Add(hedgeDelay(choice))
		s.hedges.Set(c)
	}
	s.emit(SendCall{
		Ticket: c.ticket, Target: n.Name(), Priority: int(c.rank.UnixMilli()), Hedge: hedge,
		ImportObject: choice.ImportObject,
	})
}

// hedgeDelay is the time without an answer after which a plain call is taken to be
// stuck: four times what was expected, at least two seconds.
func hedgeDelay(choice router.Choice) time.Duration {
	return max(2*time.Second, seconds(4*choice.TotalSeconds))
}

func (s *State) hedge(c *call) {
	if len(c.attempts) != 1 || c.attempts[0].started || !c.info.Repeatable {
		return
	}
	exclude := c.info.Exclude
	c.info.Exclude = append(append([]string(nil), exclude...), c.attempts[0].node.Name())
	choice := s.route(c)
	c.info.Exclude = exclude
	if choice.Node == nil || choice.Full || !c.service.hedges.TryWithdraw() {
		return
	}
	s.send(c, choice, true)
}

func (s *State) tick() {
	for {
		c, ok := s.hedges.Min()
		if !ok || c.hedgeAt.After(s.now) {
			break
		}
		s.hedges.Delete(c)
		s.hedge(c)
	}
	for {
		_, p, ok := s.programs.GetOldest()
		if !ok || s.now.Sub(p.seen) < programIdle {
			break
		}
		s.programs.RemoveOldest()
	}
	for _, name := range s.names {
		v := s.services[name]
		s.expire(v)
		s.pump(v)
	}
}

// expire refuses waiting calls whose deadline or time limit has passed.
func (s *State) expire(v *service) {
	var late []*call
	v.queue.Scan(func(c *call) bool {
		expired := !c.info.Deadline.IsZero() && s.now.After(c.info.Deadline)
		tooLong := v.config.CallTimeout > 0 && s.now.Sub(c.queuedAt) > v.config.CallTimeout
		if expired || tooLong {
			late = append(late, c)
		}
		return true
	})
	for _, c := range late {
		v.queue.Delete(c)
		s.refuse(c, admitter.CodeDeadlineExceeded, 0)
	}
}

func (s *State) refuseQueue(v *service, code string) {
	for v.queue.Len() > 0 {
		c, _ := v.queue.PopMin()
		s.refuse(c, code, 0)
	}
}

func (s *State) refuse(c *call, code string, after time.Duration) {
	s.forget(c)
	s.emit(RejectCall{Ticket: c.ticket, Outcome: outcome(c.uncertain), Code: code, RetryAfter: after})
}

func outcome(uncertain bool) Outcome {
	if uncertain {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

func (s *State) forget(c *call) {
	s.hedges.Delete(c)
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
	decision := s.policy.Retention.Decide(s.now, retainPause(p, m, s.fleet, profile))
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
