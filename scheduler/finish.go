package scheduler

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/admitter"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/retainer"
	"github.com/dogwoodweir/dogwoodweir/router"
)

func (c *call) attemptAt(target string) int {
	for i := range c.attempts {
		if c.attempts[i].node.Name() == target {
			return i
		}
	}
	return -1
}

func (s *State) firstToken(m FirstToken) {
	c := s.calls[m.Ticket]
	if c == nil {
		return
	}
	i := c.attemptAt(m.Target)
	if i < 0 || c.attempts[i].started {
		return
	}
	a := &c.attempts[i]
	a.started = true
	s.fleet.RecordStarted(a.node, uint64(c.ticket))
	s.hedges.Delete(c)
	a.waited = max(0, s.now.Sub(a.sentAt)-seconds(a.choice.PrefillSeconds))
	s.guard(a.node).limit.Observe(s.now, a.waited, a.node.InFlight())
	s.cancelOthers(c, i)
}

// cancelOthers ends the attempts that lost against attempt i.
func (s *State) cancelOthers(c *call, keep int) {
	if len(c.attempts) < 2 {
		return
	}
	kept := c.attempts[keep]
	c.uncertain = true
	for i := range c.attempts {
		if i == keep {
			continue
		}
		a := &c.attempts[i]
		s.endAttempt(c, a)
		if a.sentAt.Before(kept.sentAt) {
			// The hedge won: its target was stuck, and looks idle from now on.
			s.guard(a.node).breaker.Trip(s.now, s.random)
		} else {
			s.guard(a.node).breaker.RecordCancelled()
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
	i := c.attemptAt(m.Target)
	if i < 0 {
		return
	}
	a := c.attempts[i]
	g := s.guard(a.node)
	if m.Outcome == OutcomeDone {
		s.fleet.RecordFinished(s.now, a.node, uint64(c.ticket), m.Latency, m.Usage.CompletionTokens)
		c.service.inFlight--
		g.breaker.RecordResult(s.now, true, s.random)
		s.completed(c, &a, m)
		s.cancelOthers(c, i)
		s.forget(c)
		s.pump(c.service)
		return
	}
	s.endAttempt(c, &a)
	switch {
	case m.Leaving:
		s.fleet.MarkLeaving(a.node)
		g.breaker.RecordCancelled()
	case m.Busy:
		g.limit.Observe(s.now, time.Hour, a.node.InFlight())
		g.breaker.RecordCancelled()
	default:
		g.breaker.RecordResult(s.now, false, s.random)
	}
	if m.Outcome == OutcomeUnknown || a.started {
		c.uncertain = true
	}
	c.attempts = append(c.attempts[:i], c.attempts[i+1:]...)
	if len(c.attempts) == 0 {
		s.failed(c, a.node.Name())
	}
	s.pump(c.service)
}

func (s *State) completed(c *call, a *attempt, m CallFinished) {
	v := c.service
	spent := m.Latency.Seconds()
	v.seconds += 0.1 * (spent - v.seconds)
	s.policy.Prioritizer.Charge(s.now, c.info.Root, c.info.Client, spent)
	sample := admitter.Sample{ActivePrograms: v.programs, QueueTime: a.sentAt.Sub(c.queuedAt)}
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
		p.seen, p.node = s.now, a.node
		p.tokens = m.Usage.PromptTokens + m.Usage.CompletionTokens
	}
}

// maxAttempts bounds the attempts of one call, whatever the retry budget allows.
const maxAttempts = 4

// failed decides about a call without running attempts: a repeatable call may be
// sent again within the retry budget. A call that may not be repeated is never
// sent again, not even after notRun: its intent is recorded for one attempt.
func (s *State) failed(c *call, target string) {
	s.forget(c)
	expired := !c.info.Deadline.IsZero() && s.now.After(c.info.Deadline)
	if c.info.Repeatable && !expired && c.info.Attempt+1 < maxAttempts && c.service.retries.TryWithdraw() {
		exclude := append(append([]string(nil), c.info.Exclude...), target)
		// With every target excluded the call could never be sent again.
		if accepting := len(s.fleet.Accepting(c.info.Service)); len(exclude) >= accepting {
			exclude = nil
			if accepting > 1 {
				exclude = []string{target}
			}
		}
		s.emit(RetryCall{
			Ticket: c.ticket, Exclude: exclude, Attempt: c.info.Attempt + 1, MayHaveRun: c.uncertain,
			After: admitter.Backoff(s.random, 50*time.Millisecond, 5*time.Second, c.info.Attempt),
		})
		return
	}
	refusal := RejectCall{Ticket: c.ticket, Outcome: outcome(c.uncertain), Code: admitter.CodeOverloaded}
	if c.uncertain {
		refusal.Code = admitter.CodeOutcomeUnknown
	} else {
		refusal.RetryAfter = admitter.RetryAfter(s.random, time.Second)
	}
	s.emit(refusal)
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
		s.guard(a.node).breaker.RecordCancelled()
		s.emit(CancelAttempt{Ticket: ticket, Target: a.node.Name()})
	}
	s.forget(c)
	s.pump(c.service)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

func retainPause(p *program, m ProgramPaused, fleet *router.Fleet, profile router.Profile) retainer.Pause {
	return retainer.Pause{
		Program: m.Program, Tool: m.Tool, Tokens: p.tokens, EvictionAge: fleet.CacheEstimate().EvictionAge(p.node),
		PrefillPerSec: profile.PrefillPerSec,
		ExportSeconds: 2 * float64(p.tokens) * profile.KVBytesPerToken / profile.LocalBytesPerSec,
	}
}

// applyRetention turns a decision into orders. The next call of a program ends
// its hold, which the engine does by itself when it finds the blocks in use.
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
