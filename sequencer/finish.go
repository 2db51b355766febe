package sequencer

func (s *State) attemptFinished(m AttemptFinished) {
	id, step, ok := splitCallID(m.CallID)
	p := s.program(id)
	if !ok || p == nil {
		s.stale++
		return
	}
	c := p.call(step)
	if c == nil || c.State != callRunning || c.attempt != m.Attempt && !s.hooks.skipCorrelation {
		s.stale++
		return
	}
	outcome, code, result := m.Outcome, m.Code, m.Result
	if result.AttemptID != "" && result.AttemptID != AttemptID(m.CallID, c.attempt) {
		if s.hooks.skipCorrelation {
			s.violate(InvariantResponses, p, step, "attempt "+result.AttemptID+" answered the call")
		} else {
			outcome, code, result = OutcomeUnknown, CodeInvalid, Result{}
		}
	}
	if !c.sent && outcome == OutcomeNotRun {
		// A lookup that finds nothing proves nothing: the call may be under way.
		outcome, code = OutcomeUnknown, CodeOwnerChanged
	}
	s.settle(p, c, outcome, code, result)
}

// settle records a call's outcome. Its callers are answered when the record is
// durable.
func (s *State) settle(p *program, c *call, outcome Outcome, code string, result Result) {
	body := finishedBody{
		Step: c.Step, Outcome: outcome, Code: code, Result: result, Base: p.History.Chain,
		Settled: settled(c, outcome, result), AtMs: s.now.UnixMilli(),
	}
	if outcome == OutcomeDone {
		body.Messages = c.messages
		body.Base = c.Base
	}
	s.unexpect(c)
	s.record(p, recordFinished, c.Step, body)
	c.settledAt = s.now
	c.messages, c.request.Messages, c.request.Invoke.Body = nil, nil, nil
	if s.hooks.skipDurability {
		s.answerWaiters(p, c)
	}
	s.cutTail(p)
	s.release(p)
	if s.mayOverlap(c) {
		s.startQueued(p)
	}
}

// unexpect gives back the room that was kept for a call's result.
func (s *State) unexpect(c *call) {
	if c.expected > 0 {
		s.expectedRecords--
		s.expectedBytes -= c.expected
		c.expected = 0
	}
}

// conclude moves a call whose outcome is durable to its last state. A call that
// did not run, or a repeatable one that failed, is open for a retry.
func (s *State) conclude(p *program, c *call) {
	c.durable = true
	switch {
	case c.Outcome == OutcomeDone:
		s.fire(p, c, eventDone)
	case c.Outcome == OutcomeUnknown && !c.Repeatable:
		s.fire(p, c, eventUnknown)
	default:
		s.fire(p, c, eventNotRun)
	}
}

func (s *State) finishedCommitted(p *program, c *call) {
	if c == nil || c.State != callSettling {
		return
	}
	s.conclude(p, c)
	s.answerWaiters(p, c)
	if p.running() == nil && !p.ended() {
		s.fireProgram(p, eventCallSettled)
	}
	if c.End && c.terminal() && !p.ended() {
		s.end(p, ReasonCompleted)
	}
	if !p.ended() {
		s.startQueued(p)
	}
	s.compact(p)
	s.touch(p)
}
