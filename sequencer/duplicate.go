package sequencer

// handleDuplicate handles a request for a known call: it responds with the recorded
// outcome or adds the request to the call in progress. It returns false for a new
// call and for a retry of one that did not run.
func (s *State) handleDuplicate(p *program, r CallRequest) (handled bool, rej rejection) {
	if s.joinQueued(p, r) {
		return true, rejection{}
	}
	if r.Step > 0 && r.Step < p.FirstStep && (r.IdempotencyKey == "" || p.callByKey(r.IdempotencyKey) == nil) {
		s.respond(Response{
			RequestID: r.ID, Program: p.ID, Step: r.Step, Outcome: OutcomeUnknown, Code: CodeResultExpired,
			Message: "the call's result is no longer kept",
		})
		return true, rejection{}
	}
	c := s.findCall(p, r)
	if c == nil || c.State == callOpen {
		return false, rejection{}
	}
	if r.Step != 0 && r.Step != c.Step || r.IdempotencyKey != "" && r.IdempotencyKey != c.IdempotencyKey || !sameContent(p, c, r) {
		return false, rejection{code: CodeStepConflict, message: "the step or key belongs to another call"}
	}
	if c.terminal() {
		s.openRequests[r.ID] = openRequest{program: p.ID, call: c}
		s.respondWithOutcome(p, c, r.ID)
		return true, rejection{}
	}
	c.waiters = append(c.waiters, r.ID)
	s.openRequests[r.ID] = openRequest{program: p.ID, call: c}
	return true, rejection{}
}

// findCall returns the call that a request identifies by key or step, or nil. A
// request with neither can only be a retry of the last call with the same content.
func (s *State) findCall(p *program, r CallRequest) *call {
	if r.IdempotencyKey != "" {
		if c := p.callByKey(r.IdempotencyKey); c != nil || r.Step == 0 {
			return c
		}
	}
	if r.Step > 0 {
		return p.callByStep(r.Step)
	}
	c := p.lastCall()
	if c == nil || c.IdempotencyKey != "" || !sameContent(p, c, r) || c.terminal() && (r.Append || r.Kind != KindModel) {
		return nil
	}
	return c
}

// sameContent reports whether a request has the content of a recorded call.
func sameContent(p *program, c *call, r CallRequest) bool {
	if c.Digest != digest(r) {
		return false
	}
	if r.Append || r.Kind != KindModel {
		return extendChain(c.BaseChain, r.Messages) == c.PromptChain
	}
	return extendChain(0, r.Messages) == c.PromptChain
}

// joinQueued adds a request with the same content to the queued call and reports
// whether it did.
func (s *State) joinQueued(p *program, r CallRequest) bool {
	c := p.queued
	if c == nil || c.Digest != digest(r) || extendChain(0, c.request.Messages) != extendChain(0, r.Messages) ||
		c.IdempotencyKey != r.IdempotencyKey || r.Step != 0 && r.Step != c.Step {
		return false
	}
	c.waiters = append(c.waiters, r.ID)
	return true
}

// respondWithOutcome responds to one request with a call's recorded outcome.
func (s *State) respondWithOutcome(p *program, c *call, id string) {
	resp := Response{
		RequestID: id, Program: p.ID, Step: c.Step, Outcome: c.Outcome, Code: c.Code, Result: c.Result,
	}
	if c.ResponsePosition > 0 {
		resp.Result.Text, resp.Segment, resp.Offset = p.History.locate(c.ResponsePosition - 1)
	}
	s.respond(resp)
}

// respond sends the response to an open request and closes it. A second response to
// the same request is a violation.
func (s *State) respond(resp Response) {
	open, ok := s.openRequests[resp.RequestID]
	if !ok {
		s.reportViolation(InvariantResponses, nil, resp.Step, "request "+resp.RequestID+" is answered twice")
		return
	}
	s.checkResponse(open, resp)
	delete(s.openRequests, resp.RequestID)
	s.command(resp)
}

func (s *State) respondToWaiters(p *program, c *call) {
	waiters := c.waiters
	c.waiters = nil
	for _, id := range waiters {
		s.respondWithOutcome(p, c, id)
	}
}
