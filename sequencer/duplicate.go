package sequencer

// duplicate answers a request for a call that is already known: it returns the
// recorded answer or joins the call in progress. It reports false for a new call
// and for a retry of one that did not run.
func (s *State) duplicate(p *program, r CallRequest) (handled bool, f refusal) {
	if s.joinQueued(p, r) {
		return true, refusal{}
	}
	if r.Step > 0 && r.Step < p.First && (r.IdempotencyKey == "" || p.callByKey(r.IdempotencyKey) == nil) {
		s.answer(Response{
			RequestID: r.ID, Program: p.ID, Step: r.Step, Outcome: OutcomeUnknown, Code: CodeResultExpired,
			Message: "the call's result is no longer kept",
		})
		return true, refusal{}
	}
	c := s.find(p, r)
	if c == nil || c.State == callOpen {
		return false, refusal{}
	}
	if r.Step != 0 && r.Step != c.Step || r.IdempotencyKey != "" && r.IdempotencyKey != c.Key || !same(p, c, r) {
		return false, refusal{code: CodeStepConflict, text: "the step or key belongs to another call"}
	}
	if c.terminal() {
		s.requests[r.ID] = arrival{program: p.ID, call: c}
		s.answerCall(p, c, r.ID)
		return true, refusal{}
	}
	c.waiters = append(c.waiters, r.ID)
	s.requests[r.ID] = arrival{program: p.ID, call: c}
	return true, refusal{}
}

// find returns the call that a request names by key or step. A request without
// both can only be a retry of the last call with the same content.
func (s *State) find(p *program, r CallRequest) *call {
	if r.IdempotencyKey != "" {
		if c := p.callByKey(r.IdempotencyKey); c != nil || r.Step == 0 {
			return c
		}
	}
	if r.Step > 0 {
		return p.call(r.Step)
	}
	c := p.last()
	if c == nil || c.Key != "" || !same(p, c, r) || c.terminal() && (r.Append || r.Kind != KindModel) {
		return nil
	}
	return c
}

func same(p *program, c *call, r CallRequest) bool {
	if c.Digest != digest(r) {
		return false
	}
	if r.Append || r.Kind != KindModel {
		return extend(c.Base, r.Messages) == c.Prompt
	}
	return extend(0, r.Messages) == c.Prompt
}

func (s *State) joinQueued(p *program, r CallRequest) bool {
	c := p.queued
	if c == nil || c.Digest != digest(r) || extend(0, c.request.Messages) != extend(0, r.Messages) ||
		c.Key != r.IdempotencyKey || r.Step != 0 && r.Step != c.Step {
		return false
	}
	c.waiters = append(c.waiters, r.ID)
	return true
}

// answerCall answers one request with a call's recorded outcome.
func (s *State) answerCall(p *program, c *call, id string) {
	a := Response{
		RequestID: id, Program: p.ID, Step: c.Step, Outcome: c.Outcome, Code: c.Code, Result: c.Result,
	}
	if c.TextAt > 0 {
		a.Result.Text, a.Segment, a.Offset = p.History.locate(c.TextAt - 1)
	}
	s.answer(a)
}

// answer answers an open request; each arrival is answered once.
func (s *State) answer(a Response) {
	open, ok := s.requests[a.RequestID]
	if !ok {
		s.violate(InvariantResponses, nil, a.Step, "request "+a.RequestID+" is answered twice")
		return
	}
	s.checkAnswer(open, a)
	delete(s.requests, a.RequestID)
	s.command(a)
}

func (s *State) answerWaiters(p *program, c *call) {
	waiters := c.waiters
	c.waiters = nil
	for _, id := range waiters {
		s.answerCall(p, c, id)
	}
}
