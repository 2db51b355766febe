package scheduler

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/admitter"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/retainer"
	"github.com/dogwoodweir/dogwoodweir/router"
)

// attemptIndex returns the index of the call's attempt at a target, or -1.
func (c *call) attemptIndex(target string) int {
	for i := range c.attempts {
		if c.attempts[i].node.Name() == target {
			return i
		}
	}
	return -1
}

func (s *State) recordFirstToken(m FirstToken) {
	c := s.calls[m.Ticket]
	if c == nil {
		return
	}
	i := c.attemptIndex(m.Target)
	if i < 0 || c.attempts[i].streaming {
		return
	}
	a := &c.attempts[i]
	a.streaming = true
	s.fleet.RecordStarted(a.node, uint64(c.ticket))
	s.hedgeQueue.Delete(c)
	a.waited = max(0, s.now.Sub(a.sentAt)-durationOf(a.choice.PrefillSeconds))
	s.limitsOf(a.node).concurrency.Observe(s.now, a.waited, a.node.InFlight())
	s.cancelOtherAttempts(c, i)
}

// cancelOtherAttempts cancels all attempts of a call except the one at index keep.
func (s *State) cancelOtherAttempts(c *call, keep int) {
	if len(c.attempts) < 2 {
		return
	}
	kept := c.attempts[keep]
	c.mayHaveRun = true
	for i := range c.attempts {
		if i == keep {
			continue
		}
		a := &c.attempts[i]
		s.endAttempt(c, a)
		if a.sentAt.Before(kept.sentAt) {
			// The hedge was faster, so this target is assumed to be stuck. Without the
			// cancelled attempt it would look idle and attract the next calls.
			s.limitsOf(a.node).breaker.Trip(s.now, s.random)
		} else {
			s.limitsOf(a.node).breaker.RecordCancelled()
		}
		s.emit(CancelAttempt{Ticket: c.ticket, Target: a.node.Name()})
	}
	c.attempts = append(c.attempts[:0], kept)
}

func (s *State) endAttempt(c *call, a *attempt) {
	s.fleet.RecordCancelled(s.now, a.node, uint64(c.ticket))
	c.service.inFlight--
}

func (s *State) finishCall(m CallFinished) {
	if m.Report != nil {
		s.fleet.ApplyReport(*m.Report)
	}
	c := s.calls[m.Ticket]
	if c == nil {
		return
	}
	i := c.attemptIndex(m.Target)
	if i < 0 {
		return
	}
	a := c.attempts[i]
	limits := s.limitsOf(a.node)
	if m.Outcome == OutcomeDone {
		s.fleet.RecordFinished(s.now, a.node, uint64(c.ticket), m.Latency, m.Usage.CompletionTokens)
		c.service.inFlight--
		limits.breaker.RecordResult(s.now, true, s.random)
		s.recordCompletion(c, &a, m)
		s.cancelOtherAttempts(c, i)
		s.removeCall(c)
		s.dispatch(c.service)
		return
	}
	s.endAttempt(c, &a)
	switch {
	case m.Leaving:
		s.fleet.MarkLeaving(a.node)
		limits.breaker.RecordCancelled()
	case m.Busy:
		// A rejection by the target counts as a very long wait, which lowers the limit.
		limits.concurrency.Observe(s.now, time.Hour, a.node.InFlight())
		limits.breaker.RecordCancelled()
	default:
		limits.breaker.RecordResult(s.now, false, s.random)
	}
	if m.Outcome == OutcomeUnknown || a.streaming {
		c.mayHaveRun = true
	}
	c.attempts = append(c.attempts[:i], c.attempts[i+1:]...)
	if len(c.attempts) == 0 {
		s.retryOrReject(c, a.node.Name())
	}
	s.dispatch(c.service)
}

func (s *State) recordCompletion(c *call, a *attempt, m CallFinished) {
	v := c.service
	seconds := m.Latency.Seconds()
	v.meanSeconds += 0.1 * (seconds - v.meanSeconds)
	s.policy.Prioritizer.Charge(s.now, c.info.Root, c.info.Client, seconds)
	sample := admitter.Sample{ActivePrograms: v.activePrograms, QueueTime: a.sentAt.Sub(c.queuedAt)}
	if c.info.Kind == KindModel {
		blocks := m.Blocks
		if len(blocks) == 0 {
			blocks = c.info.Blocks
		}
		cache := s.fleet.CacheEstimate()
		cache.RecordUsage(s.now, a.node, c.info.Program, a.choice.CachedTokens, m.Usage)
		cache.RecordStored(s.now, a.node, c.info.Program, blocks)
		sample.QueueTime += a.waited
	}
	v.shedder.Observe(s.now, sample)
	if p, ok := s.programs.Peek(c.info.Program); ok {
		p.lastActiveAt, p.node = s.now, a.node
		p.tokens = m.Usage.PromptTokens + m.Usage.CompletionTokens
	}
}

// maxAttempts bounds the attempts of one call, even if the retry budget allows more.
const maxAttempts = 4

// retryOrReject ends a call whose last attempt failed. A repeatable call is retried
// within the retry budget. A non-repeatable call is always rejected, even if it did not
// run, because its intent is recorded for a single attempt.
func (s *State) retryOrReject(c *call, target string) {
	s.removeCall(c)
	expired := !c.info.Deadline.IsZero() && s.now.After(c.info.Deadline)
	if c.info.Repeatable && !expired && c.info.Attempt+1 < maxAttempts && c.service.retryBudget.TryWithdraw() {
		exclude := append(append([]string(nil), c.info.Exclude...), target)
		// With every target excluded, the call could never be sent again. The last
		// target stays excluded if there is another one.
		if accepting := len(s.fleet.Accepting(c.info.Service)); len(exclude) >= accepting {
			exclude = nil
			if accepting > 1 {
				exclude = []string{target}
			}
		}
		s.emit(RetryCall{
			Ticket: c.ticket, Exclude: exclude, Attempt: c.info.Attempt + 1, MayHaveRun: c.mayHaveRun,
			After: admitter.Backoff(s.random, 50*time.Millisecond, 5*time.Second, c.info.Attempt),
		})
		return
	}
	rejection := RejectCall{Ticket: c.ticket, Outcome: failureOutcome(c.mayHaveRun), Code: admitter.CodeOverloaded}
	if c.mayHaveRun {
		rejection.Code = admitter.CodeOutcomeUnknown
	} else {
		rejection.RetryAfter = admitter.RetryAfter(s.random, time.Second)
	}
	s.emit(rejection)
}

func (s *State) cancelCall(ticket Ticket) {
	c := s.calls[ticket]
	if c == nil {
		return
	}
	if c.queued {
		c.service.queue.Delete(c)
	}
	for i := range c.attempts {
		a := &c.attempts[i]
		s.endAttempt(c, a)
		s.limitsOf(a.node).breaker.RecordCancelled()
		s.emit(CancelAttempt{Ticket: ticket, Target: a.node.Name()})
	}
	s.removeCall(c)
	s.dispatch(c.service)
}

func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func newPause(p *program, m ProgramPaused, fleet *router.Fleet, profile router.Profile) retainer.Pause {
	return retainer.Pause{
		Program: m.Program, Tool: m.Tool, Tokens: p.tokens, EvictionAge: fleet.CacheEstimate().EvictionAge(p.node),
		PrefillPerSec: profile.PrefillPerSec,
		ExportSeconds: 2 * float64(p.tokens) * profile.KVBytesPerToken / profile.LocalBytesPerSec,
	}
}

// applyRetention sends the order for a retention decision. No order ends a hold: the
// engine does so itself when the next call of the program uses the held blocks.
func (s *State) applyRetention(name string, p *program, decision retainer.Decision) {
	order := provider.Order{Program: name}
	switch decision.Action {
	case retainer.Keep:
		order.Kind, order.ExpiresAfter = "hold", decision.Hold
	case retainer.Export:
		order.Kind, order.Object = "export", "kv/"+name
		s.fleet.RecordExport(name, order.Object, p.node.Target().Region, p.tokens)
	case retainer.Drop:
		order.Kind = "release"
		s.fleet.CacheEstimate().ForgetProgramAt(name, p.node)
	default:
		return
	}
	s.emit(SendOrder{Target: p.node.Name(), Order: order})
}
