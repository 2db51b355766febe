package sequencer

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// begin starts the program's next call after checking its step, history and budget.
// A repeatable call is dispatched at once, any other when its intent is durable. If
// a check fails, begin returns the rejection.
func (s *State) begin(p *program, r CallRequest, waiters []string) rejection {
	step := p.nextStep()
	if r.Step != 0 && r.Step != step {
		return rejection{code: CodeStepOutOfOrder, message: "the step is not the program's next"}
	}
	r.Step = step
	if !r.Deadline.IsZero() && !s.now.Before(r.Deadline) {
		return rejection{code: CodeDeadlineExceeded, message: "the call's deadline has passed"}
	}
	messages, ok := s.newMessages(p, r)
	if !ok {
		return rejection{code: CodeHistoryMismatch, message: "the history in the request is not the recorded one"}
	}
	if r.Append && r.Kind == KindModel {
		r.PromptTokens += p.History.estimateTokens()
	}
	if rej := s.checkBudget(p, r); rej.code != "" {
		if rej.endReason != "" && p.Sequence > 0 {
			s.end(p, rej.endReason)
		}
		return rej
	}
	if p.Sequence == 0 {
		s.createProgram(p, r)
	}
	s.start(p, r, messages, waiters)
	return rejection{}
}

func (s *State) start(p *program, r CallRequest, messages []provider.ChatMessage, waiters []string) {
	kind := recordStarted
	if !r.Repeatable {
		kind = recordIntent
		if c := p.callByStep(r.Step); c != nil && c.MayHaveRun {
			s.reportViolation(InvariantAtMostOnce, p, r.Step, "a non-repeatable call that may have run is started again")
		}
	}
	attempt := s.nextAttempt(p.shard)
	s.record(p, kind, r.Step, startedBody{
		Step: r.Step, IdempotencyKey: r.IdempotencyKey, Kind: r.Kind, Service: r.Service, Repeatable: r.Repeatable, SupportsLookup: r.SupportsLookup,
		EndProgram: r.EndProgram, Digest: digest(r), BaseChain: p.History.Chain, PromptChain: s.promptChain(p, r, messages), Reserved: maxAmount(r),
		KeyRetentionMs: r.Retention.KeysMs, Attempt: attempt, AtMs: s.now.UnixMilli(),
	})
	c := p.callByStep(r.Step)
	c.request, c.messages, c.waiters = r, messages, waiters
	c.dispatched, c.cancelled, c.intentDurable, c.durable = false, false, false, false
	c.durabilityWaitStart = s.now
	c.expiresAt = s.now.Add(s.options.CallTimeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(c.expiresAt) {
		c.expiresAt = r.Deadline
	}
	c.expectedBytes = expectedBytes(r)
	s.expectedRecords++
	s.expectedBytes += c.expectedBytes
	for _, id := range waiters {
		s.openRequests[id] = openRequest{program: p.ID, call: c}
	}
	c.attempt = attempt
	switch {
	case r.Repeatable:
		s.dispatch(p, c)
	case s.testHooks.skipIntent:
		s.fire(p, c, eventDispatch)
		s.dispatch(p, c)
	}
}

func (s *State) promptChain(p *program, r CallRequest, messages []provider.ChatMessage) uint64 {
	if r.Kind == KindModel && !r.Append {
		return extendChain(0, r.Messages)
	}
	return extendChain(p.History.Chain, messages)
}

// attemptsPerEpoch keeps the attempt numbers of successive owners apart.
const attemptsPerEpoch = 1 << 24

func (s *State) nextAttempt(sh *shard) int {
	sh.attemptCount++
	return sh.epoch*attemptsPerEpoch + sh.attemptCount
}

// dispatchIntent dispatches a call whose intent is durable, or settles it as not run
// if the program has ended or the call was cancelled or has expired. Without a valid lease the
// call waits, since a new owner may already have resolved it.
func (s *State) dispatchIntent(p *program, c *call) {
	if c.State != callIntent || !c.intentDurable {
		return
	}
	switch {
	case p.ended():
		s.settle(p, c, OutcomeNotRun, CodeProgramEnded, Result{})
	case c.cancelled:
		s.settle(p, c, OutcomeNotRun, CodeNotDurable, Result{})
	case !s.now.Before(c.expiresAt):
		s.settle(p, c, OutcomeNotRun, CodeDeadlineExceeded, Result{})
	case s.leaseValid:
		s.fire(p, c, eventDispatch)
		s.dispatch(p, c)
	}
}

func (s *State) dispatch(p *program, c *call) {
	s.checkDispatch(p, c)
	c.dispatched = true
	r := c.request
	r.Program = p.ID
	r.Invoke.AttemptID = AttemptID(CallID(p.ID, c.Step), c.attempt)
	r.Invoke.IdempotencyKey = targetIdempotencyKey(p, c)
	var segments []string
	if r.Kind == KindModel && r.Append {
		segments = p.History.segmentNames()
		r.Messages = append(append([]provider.ChatMessage(nil), p.History.Tail...), c.messages...)
	}
	s.command(DispatchAttempt{CallID: CallID(p.ID, c.Step), Attempt: c.attempt, Request: r, Segments: segments})
}

// targetIdempotencyKey returns the idempotency key that is sent to the target. It
// contains the program, since callers' keys are unique only within a program.
func targetIdempotencyKey(p *program, c *call) string {
	if c.Repeatable {
		return ""
	}
	if c.IdempotencyKey != "" {
		return p.ID + "/key/" + c.IdempotencyKey
	}
	return CallID(p.ID, c.Step)
}

// resumeCalls continues calls that waited for the lease or the store.
func (s *State) resumeCalls() {
	s.eachProgram(func(p *program) {
		if c := p.lastCall(); c != nil {
			s.dispatchIntent(p, c)
		}
		s.startQueued(p)
	})
}

// overdueBy returns how long ago the call expired; it is negative before that.
func (s *State) overdueBy(c *call) time.Duration { return s.now.Sub(c.expiresAt) }
