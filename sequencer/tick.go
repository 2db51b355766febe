package sequencer

import "time"

const (
	// scanInterval is the minimum interval between two scans of all programs.
	scanInterval = 250 * time.Millisecond
	// segmentRetryInterval is the interval at which the write of an unconfirmed
	// segment is repeated.
	segmentRetryInterval = 30 * time.Second
)

// tick handles time-outs, deadlines, repeated releases and retention.
func (s *State) tick() {
	if s.now.Sub(s.lastScanAt) < scanInterval {
		return
	}
	s.lastScanAt = s.now
	var forgotten []*program
	s.eachProgram(func(p *program) {
		s.tickCalls(p)
		s.tickProgram(p)
		if s.forgettable(p) {
			forgotten = append(forgotten, p)
		}
	})
	for _, p := range forgotten {
		s.forget(p)
	}
}

func (s *State) tickCalls(p *program) {
	for _, c := range p.Calls {
		switch c.State {
		case callRunning:
			s.tickRunning(p, c)
		case callIntent, callSettling:
			if s.now.Sub(c.durabilityWaitStart) >= s.options.DurabilityWait {
				s.respondNotDurable(p, c)
			}
		}
	}
}

func (s *State) tickRunning(p *program, c *call) {
	late := s.overdueBy(c)
	if s.testHooks.rejectRunning && late >= 0 {
		for _, id := range c.waiters {
			s.reject(id, p.ID, c.Step, rejection{code: CodeTimeout})
		}
		c.waiters = nil
	}
	if late >= 0 && !c.cancelled {
		c.cancelled = true
		s.command(CancelAttempt{CallID: CallID(p.ID, c.Step), Attempt: c.attempt})
	}
	if late >= s.options.CancelGrace {
		s.settle(p, c, OutcomeUnknown, CodeTimeout, Result{})
	}
}

// respondNotDurable responds to a call's waiters that the store did not confirm its
// records in time. A call that is still an intent is cancelled.
func (s *State) respondNotDurable(p *program, c *call) {
	if c.State == callIntent {
		c.cancelled = true
		s.dispatchIntent(p, c)
	}
	waiters := c.waiters
	c.waiters = nil
	for _, id := range waiters {
		resp := Response{
			RequestID: id, Program: p.ID, Step: c.Step, Outcome: OutcomeUnknown, Code: CodeNotDurable, Result: c.Result,
			Message: "the store has not confirmed the call's records",
		}
		if c.ResponsePosition > 0 {
			resp.Result.Text, resp.Segment, resp.Offset = p.History.locate(c.ResponsePosition - 1)
		}
		s.respond(resp)
	}
	s.startQueued(p)
}

func (s *State) tickProgram(p *program) {
	s.compact(p)
	s.releaseMemory(p)
	if seg := p.pendingSegment; seg != nil && !seg.stored && s.now.UnixMilli()-seg.sentMs >= segmentRetryInterval.Milliseconds() {
		s.sendSegment(p)
	}
	if p.ended() {
		return
	}
	idle := s.options.IdleTimeout
	if p.IdleMs > 0 {
		idle = time.Duration(p.IdleMs) * time.Millisecond
	}
	switch {
	case s.pastDeadline(p.root()):
		s.end(p, ReasonDeadlineExceeded)
	case p.runningCall() == nil && p.pendingRecords == 0 && !s.hasLiveChild(p) && s.now.Sub(time.UnixMilli(p.LastUsedMs)) >= idle:
		s.end(p, ReasonAbandoned)
	}
}

// hasLiveChild reports whether a sub-agent of the program has not ended.
func (s *State) hasLiveChild(p *program) bool {
	for _, id := range p.children {
		if child, ok := p.shard.programs.Get(id); ok && !child.ended() {
			return true
		}
	}
	return false
}

// forgettable reports whether an ended program can be deleted: no request, retry or
// target needs it any more.
func (s *State) forgettable(p *program) bool {
	if !p.ended() || p.pendingRecords > 0 || p.runningCall() != nil || len(p.HoldingTargets) > 0 || len(p.children) > 0 ||
		s.now.Sub(time.UnixMilli(p.LastUsedMs)) < s.options.EndedProgramRetention {
		return false
	}
	for _, c := range p.Calls {
		if c.State != callOpen && !s.expired(c) {
			return false
		}
	}
	return true
}

// forget deletes a program from its shard and from its parent's children.
func (s *State) forget(p *program) {
	if len(p.HoldingTargets) > 0 {
		s.reportViolation(InvariantMemory, p, 0, "the program is deleted while a target may hold memory for it")
	}
	p.shard.programs.Delete(p.ID)
	if parent, ok := p.shard.programs.Get(p.Parent); ok {
		for i, id := range parent.children {
			if id == p.ID {
				parent.children = append(parent.children[:i:i], parent.children[i+1:]...)
				break
			}
		}
	}
}
