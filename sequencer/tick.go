package sequencer

import "time"

const (
	// scanInterval is the shortest interval between two scans of all programs.
	scanInterval = 250 * time.Millisecond
	// segmentRetry is the interval at which an unconfirmed segment is sent again.
	segmentRetry = 30 * time.Second
)

// tick acts on time: time-outs, deadlines, releases and retention.
func (s *State) tick() {
	if s.now.Sub(s.scannedAt) < scanInterval {
		return
	}
	s.scannedAt = s.now
	var forgotten []*program
	s.each(func(p *program) {
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
			if s.now.Sub(c.settledAt) >= s.options.DurabilityWait {
				s.answerNotDurable(p, c)
			}
		}
	}
}

func (s *State) tickRunning(p *program, c *call) {
	late := s.overdue(c)
	if s.hooks.refuseRunning && late >= 0 {
		for _, id := range c.waiters {
			s.refuse(id, p.ID, c.Step, refusal{code: CodeTimeout})
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

// answerNotDurable tells callers that the store did not confirm in time. A call
// whose intent waits is not run any more.
func (s *State) answerNotDurable(p *program, c *call) {
	if c.State == callIntent {
		c.cancelled = true
		s.runIntent(p, c)
	}
	waiters := c.waiters
	c.waiters = nil
	for _, id := range waiters {
		a := Response{
			RequestID: id, Program: p.ID, Step: c.Step, Outcome: OutcomeUnknown, Code: CodeNotDurable, Result: c.Result,
			Message: "the store has not confirmed the call's records",
		}
		if c.TextAt > 0 {
			a.Result.Text, a.Segment, a.Offset = p.History.locate(c.TextAt - 1)
		}
		s.answer(a)
	}
	s.startQueued(p)
}

func (s *State) tickProgram(p *program) {
	s.compact(p)
	s.release(p)
	if seg := p.segment; seg != nil && !seg.stored && s.now.UnixMilli()-seg.sentMs >= segmentRetry.Milliseconds() {
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
	case p.running() == nil && p.pending == 0 && !s.busy(p) && s.now.Sub(time.UnixMilli(p.UsedMs)) >= idle:
		s.end(p, ReasonAbandoned)
	}
}

// busy reports whether a sub-agent of the program has not ended.
func (s *State) busy(p *program) bool {
	for _, id := range p.children {
		if child, ok := p.shard.programs.Get(id); ok && !child.ended() {
			return true
		}
	}
	return false
}

// forgettable reports whether nothing can ask for an ended program any more.
func (s *State) forgettable(p *program) bool {
	if !p.ended() || p.pending > 0 || p.running() != nil || len(p.Held) > 0 || len(p.children) > 0 ||
		s.now.Sub(time.UnixMilli(p.UsedMs)) < s.options.EndedProgramRetention {
		return false
	}
	for _, c := range p.Calls {
		if c.State != callOpen && !s.expired(c) {
			return false
		}
	}
	return true
}

func (s *State) forget(p *program) {
	if len(p.Held) > 0 {
		s.violate(InvariantMemory, p, 0, "a program is forgotten while a target holds memory for it")
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
