package sequencer

func (s *State) attemptFinished(m AttemptFinished) {
	id, step, ok := splitCallID(m.CallID)
	p := s.program(id)
	if !ok || p == nil {
		s.staleResults++
		return
	}
	c := p.callByStep(step)
	if c == nil || c.State != callRunning || c.attempt != m.Attempt && !s.testHooks.skipCorrelation {
		s.staleResults++
		return
	}
	outcome, code, result := m.Outcome, m.Code, m.Result
	if result.AttemptID != "" && result.AttemptID != AttemptID(m.CallID, c.attempt) {
		if s.testHooks.skipCorrelation {
			s.reportViolation(InvariantResponses, p, step, "attempt "+result.AttemptID+" answered the call")
		} else {
			outcome, code, result = OutcomeUnknown, CodeInvalid, Result{}
		}
	}
	if !c.dispatched && outcome == OutcomeNotRun {
		// A lookup without a result does not prove that the call did not run: it
		// may still be in progress.
		outcome, code = OutcomeUnknown, CodeOwnerChanged
	}
	s.settle(p, c, outcome, code, result)
}

// settle records a call's outcome. Its callers get the response when the record is
// durable.
func (s *State) settle(p *program, c *call, outcome Outcome, code string, result Result) {
	body := finishedBody{
		Step: c.Step, Outcome: outcome, Code: code, Result: result, BaseChain: p.History.Chain,
		Settled: settledAmount(c, outcome, result), AtMs: s.now.UnixMilli(),
	}
	if outcome == OutcomeDone {
		body.Messages = c.messages
		body.BaseChain = c.BaseChain
	}
	s.releaseExpected(c)
	s.record(p, recordFinished, c.Step, body)
	c.durabilityWaitStart = s.now
	c.messages, c.request.Messages, c.request.Invoke.Body = nil, nil, nil
	if s.testHooks.skipDurability {
		s.respondToWaiters(p, c)
	}
	s.offloadTail(p)
	s.releaseMemory(p)
	if s.mayOverlap(c) {
		s.startQueued(p)
	}
}

// releaseExpected removes a call's expected result from the pending totals.
func (s *State) releaseExpected(c *call) {
	if c.expectedBytes > 0 {
		s.expectedRecords--
		s.expectedBytes -= c.expectedBytes
		c.expectedBytes = 0
	}
}

// finalizeCall moves a call whose outcome is durable to its final state. A call that
// did not run, or a repeatable one whose outcome is unknown, is open for a retry.
func (s *State) finalizeCall(p *program, c *call) {
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
	s.finalizeCall(p, c)
	s.respondToWaiters(p, c)
	if p.runningCall() == nil && !p.ended() {
		s.fireProgram(p, eventCallSettled)
	}
	if c.EndProgram && c.terminal() && !p.ended() {
		s.end(p, ReasonCompleted)
	}
	if !p.ended() {
		s.startQueued(p)
	}
	s.compact(p)
	s.touch(p)
}
