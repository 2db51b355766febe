package sequencer

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// begin starts the program's next call: it checks step, history and budget,
// records the start and dispatches, or waits for the intent to be durable.
func (s *State) begin(p *program, r CallRequest, waiters []string) refusal {
	step := p.next()
	if r.Step != 0 && r.Step != step {
		return refusal{code: CodeStepOutOfOrder, text: "the step is not the program's next"}
	}
	r.Step = step
	if !r.Deadline.IsZero() && !s.now.Before(r.Deadline) {
		return refusal{code: CodeDeadlineExceeded, text: "the call's deadline has passed"}
	}
	messages, ok := s.newMessages(p, r)
	if !ok {
		return refusal{code: CodeHistoryMismatch, text: "the history in the request is not the recorded one"}
	}
	if r.Append && r.Kind == KindModel {
		r.PromptTokens += p.History.tokens()
	}
	if f := s.admitBudget(p, r); f.code != "" {
		if f.end != "" && p.Sequence > 0 {
			s.end(p, f.end)
		}
		return f
	}
	if p.Sequence == 0 {
		s.create(p, r)
	}
	s.start(p, r, messages, waiters)
	return refusal{}
}

func (s *State) start(p *program, r CallRequest, messages []provider.ChatMessage, waiters []string) {
	kind := recordStarted
	if !r.Repeatable {
		kind = recordIntent
		if c := p.call(r.Step); c != nil && c.MayHaveRun {
			s.violate(InvariantAtMostOnce, p, r.Step, "a call that may have run is started again")
		}
	}
	attempt := s.nextAttempt(p.shard)
	s.record(p, kind, r.Step, startedBody{
		Step: r.Step, Key: r.IdempotencyKey, Kind: r.Kind, Service: r.Service, Repeatable: r.Repeatable, Lookup: r.SupportsLookup,
		End: r.EndProgram, Digest: digest(r), Base: p.History.Chain, Prompt: s.promptChain(p, r, messages), Reserved: bound(r),
		KeysMs: r.Retention.KeysMs, Attempt: attempt, AtMs: s.now.UnixMilli(),
	})
	c := p.call(r.Step)
	c.request, c.messages, c.waiters = r, messages, waiters
	c.sent, c.cancelled, c.intentDurable, c.durable = false, false, false, false
	c.settledAt = s.now
	c.expires = s.now.Add(s.options.CallTimeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(c.expires) {
		c.expires = r.Deadline
	}
	c.expected = expectedSize(r)
	s.expectedRecords++
	s.expectedBytes += c.expected
	for _, id := range waiters {
		s.requests[id] = arrival{program: p.ID, call: c}
	}
	c.attempt = attempt
	switch {
	case r.Repeatable:
		s.dispatch(p, c)
	case s.hooks.skipIntent:
		s.fire(p, c, eventDispatch)
		s.dispatch(p, c)
	}
}

func (s *State) promptChain(p *program, r CallRequest, messages []provider.ChatMessage) uint64 {
	if r.Kind == KindModel && !r.Append {
		return extend(0, r.Messages)
	}
	return extend(p.History.Chain, messages)
}

// attemptsPerEpoch separates the attempt numbers of successive owners.
const attemptsPerEpoch = 1 << 24

func (s *State) nextAttempt(sh *shard) int {
	sh.attempts++
	return sh.epoch*attemptsPerEpoch + sh.attempts
}

// runIntent dispatches a call whose intent is durable. Without a valid lease a
// new owner may already have resolved it, so it waits.
func (s *State) runIntent(p *program, c *call) {
	if c.State != callIntent || !c.intentDurable {
		return
	}
	switch {
	case p.ended():
		s.settle(p, c, OutcomeNotRun, CodeProgramEnded, Result{})
	case c.cancelled:
		s.settle(p, c, OutcomeNotRun, CodeNotDurable, Result{})
	case !s.now.Before(c.expires):
		s.settle(p, c, OutcomeNotRun, CodeDeadlineExceeded, Result{})
	case s.lease:
		s.fire(p, c, eventDispatch)
		s.dispatch(p, c)
	}
}

func (s *State) dispatch(p *program, c *call) {
	s.checkDispatch(p, c)
	c.sent = true
	r := c.request
	r.Program = p.ID
	r.Invoke.AttemptID = AttemptID(CallID(p.ID, c.Step), c.attempt)
	r.Invoke.IdempotencyKey = targetKey(p, c)
	var segments []string
	if r.Kind == KindModel && r.Append {
		segments = p.History.segmentNames()
		r.Messages = append(append([]provider.ChatMessage(nil), p.History.Tail...), c.messages...)
	}
	s.command(DispatchAttempt{CallID: CallID(p.ID, c.Step), Attempt: c.attempt, Request: r, Segments: segments})
}

// targetKey is the key towards the target. It contains the program, since keys
// of callers are only unique within one.
func targetKey(p *program, c *call) string {
	if c.Repeatable {
		return ""
	}
	if c.Key != "" {
		return p.ID + "/key/" + c.Key
	}
	return CallID(p.ID, c.Step)
}

// resume continues calls that waited for the lease or the store.
func (s *State) resume() {
	s.each(func(p *program) {
		if c := p.last(); c != nil {
			s.runIntent(p, c)
		}
		s.startQueued(p)
	})
}

// overdue reports how long past its time a call is.
func (s *State) overdue(c *call) time.Duration { return s.now.Sub(c.expires) }
