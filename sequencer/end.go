package sequencer

import (
	"slices"
	"time"
)

func (s *State) cancelRequested(m CancelRequested) {
	if m.RequestID != "" {
		if _, open := s.requests[m.RequestID]; open {
			return
		}
		s.requests[m.RequestID] = arrival{program: m.Program}
	}
	p := s.program(m.Program)
	switch {
	case p == nil && s.shardOf(m.Program) == nil:
		s.refuseCancel(m, refusal{code: CodeNotOwner, text: "this host does not own the program"})
	case p == nil || m.Client != "" && m.Client != p.Client:
		s.refuseCancel(m, notFound)
	default:
		s.end(p, ReasonCancelled)
		if m.RequestID != "" {
			p.enders = append(p.enders, m.RequestID)
		}
		if p.pending == 0 {
			s.answerEnders(p)
		}
	}
}

func (s *State) refuseCancel(m CancelRequested, f refusal) {
	if m.RequestID != "" {
		s.refuse(m.RequestID, m.Program, 0, f)
	}
}

// answerEnders answers those who cancelled the program; its end is durable.
func (s *State) answerEnders(p *program) {
	for _, id := range p.enders {
		s.answer(Response{RequestID: id, Program: p.ID, Outcome: OutcomeDone, Message: p.Reason})
	}
	p.enders = nil
}

// end ends a program and its sub-agents. A running attempt is cancelled and
// settled when it reports.
func (s *State) end(p *program, reason string) {
	if p.ended() {
		return
	}
	s.record(p, recordEnded, 0, endedBody{Reason: reason, AtMs: s.now.UnixMilli()})
	s.command(NotifyProgramEnded{Program: p.ID, Reason: reason})
	if c := p.queued; c != nil {
		p.queued = nil
		s.refuseQueued(p, c, refusal{code: CodeProgramEnded, text: "the program has ended: " + reason})
	}
	if c := p.running(); c != nil && c.State == callRunning && !c.cancelled {
		c.cancelled = true
		if c.expires.After(s.now) {
			c.expires = s.now
		}
		s.command(CancelAttempt{CallID: CallID(p.ID, c.Step), Attempt: c.attempt})
	}
	for _, id := range p.children {
		if child, ok := p.shard.programs.Get(id); ok {
			s.end(child, reason)
		}
	}
	s.release(p)
}

// release asks the targets of an ended program to free its memory, again after
// each audit interval until all have confirmed.
func (s *State) release(p *program) {
	if !p.ended() || p.running() != nil || len(p.Held) == 0 || s.hooks.skipRelease {
		return
	}
	if !p.releasedAt.IsZero() && s.now.Sub(p.releasedAt) < s.options.ReleaseRetryInterval && p.pending == 0 {
		return
	}
	p.releasedAt = s.now
	s.command(ReleaseMemory{Program: p.ID, Targets: slices.Clone(p.Held)})
}

func (s *State) releaseConfirmed(m ReleaseConfirmed) {
	p := s.program(m.Program)
	if p == nil || !p.ended() || p.running() != nil || !slices.Contains(p.Held, m.Target) {
		return
	}
	s.record(p, recordReleased, 0, releasedBody{Target: m.Target})
}

// memoryReported releases memory that a target holds for a program that has
// ended or was never known. Ids are not reused, so this cannot hit a live one.
func (s *State) memoryReported(m MemoryReported) {
	if s.shardOf(m.Program) == nil {
		return
	}
	if p := s.program(m.Program); p == nil || p.ended() && p.running() == nil {
		s.command(ReleaseMemory{Program: m.Program, Targets: []string{m.Target}})
	}
}

// keepCalls is the number of last calls whose results are kept for retries even
// without a key.
const keepCalls = 4

// compact drops results that no retry can ask for any more.
func (s *State) compact(p *program) {
	for i := 0; i < len(p.Calls)-keepCalls; i++ {
		if c := p.Calls[i]; c.Repeatable && c.Key == "" && c.terminal() && c.durable {
			c.Result.Invoke = nil
		}
	}
	for len(p.Calls) > keepCalls && s.expired(p.Calls[0]) {
		p.Calls[0] = nil
		p.Calls = p.Calls[1:]
		p.First++
	}
}

// expired reports whether a call's recorded result need not be kept.
func (s *State) expired(c *call) bool {
	if !c.terminal() || !c.durable || len(c.waiters) > 0 {
		return false
	}
	if c.Repeatable && c.Key == "" {
		return true
	}
	keep := s.options.KeyRetention
	if c.KeysMs > 0 {
		keep = time.Duration(c.KeysMs) * time.Millisecond
	}
	return s.now.Sub(time.UnixMilli(c.FinishedMs)) >= keep
}
