package sequencer

import (
	"slices"
	"time"
)

func (s *State) cancelRequested(m CancelRequested) {
	if m.RequestID != "" {
		if _, open := s.openRequests[m.RequestID]; open {
			return
		}
		s.openRequests[m.RequestID] = openRequest{program: m.Program}
	}
	p := s.program(m.Program)
	switch {
	case p == nil && s.shardOf(m.Program) == nil:
		s.rejectCancel(m, rejection{code: CodeNotOwner, message: "this host does not own the program"})
	case p == nil || m.Client != "" && m.Client != p.Client:
		s.rejectCancel(m, programNotFound)
	default:
		s.end(p, ReasonCancelled)
		if m.RequestID != "" {
			p.cancelRequestIDs = append(p.cancelRequestIDs, m.RequestID)
		}
		if p.pendingRecords == 0 {
			s.respondToCancellers(p)
		}
	}
}

func (s *State) rejectCancel(m CancelRequested, rej rejection) {
	if m.RequestID != "" {
		s.reject(m.RequestID, m.Program, 0, rej)
	}
}

// respondToCancellers responds to the requests that cancelled the program once its
// end is durable.
func (s *State) respondToCancellers(p *program) {
	for _, id := range p.cancelRequestIDs {
		s.respond(Response{RequestID: id, Program: p.ID, Outcome: OutcomeDone, Message: p.Reason})
	}
	p.cancelRequestIDs = nil
}

// end ends a program and its sub-agents. A running attempt is cancelled; its call is
// settled when the attempt finishes.
func (s *State) end(p *program, reason string) {
	if p.ended() {
		return
	}
	s.record(p, recordEnded, 0, endedBody{Reason: reason, AtMs: s.now.UnixMilli()})
	s.command(NotifyProgramEnded{Program: p.ID, Reason: reason})
	if c := p.queued; c != nil {
		p.queued = nil
		s.rejectQueued(p, c, rejection{code: CodeProgramEnded, message: "the program has ended: " + reason})
	}
	if c := p.runningCall(); c != nil && c.State == callRunning && !c.cancelled {
		c.cancelled = true
		if c.expiresAt.After(s.now) {
			c.expiresAt = s.now
		}
		s.command(CancelAttempt{CallID: CallID(p.ID, c.Step), Attempt: c.attempt})
	}
	for _, id := range p.children {
		if child, ok := p.shard.programs.Get(id); ok {
			s.end(child, reason)
		}
	}
	s.releaseMemory(p)
}

// releaseMemory tells the targets of an ended program to free its memory. It repeats
// this after each ReleaseRetryInterval until all have confirmed.
func (s *State) releaseMemory(p *program) {
	if !p.ended() || p.runningCall() != nil || len(p.HoldingTargets) == 0 || s.testHooks.skipRelease {
		return
	}
	if !p.releaseSentAt.IsZero() && s.now.Sub(p.releaseSentAt) < s.options.ReleaseRetryInterval && p.pendingRecords == 0 {
		return
	}
	p.releaseSentAt = s.now
	s.command(ReleaseMemory{Program: p.ID, Targets: slices.Clone(p.HoldingTargets)})
}

func (s *State) releaseConfirmed(m ReleaseConfirmed) {
	p := s.program(m.Program)
	if p == nil || !p.ended() || p.runningCall() != nil || !slices.Contains(p.HoldingTargets, m.Target) {
		return
	}
	s.record(p, recordReleased, 0, releasedBody{Target: m.Target})
}

// memoryReported releases memory that a target holds for an ended or unknown
// program. Ids are not reused, so this cannot affect a live program.
func (s *State) memoryReported(m MemoryReported) {
	if s.shardOf(m.Program) == nil {
		return
	}
	if p := s.program(m.Program); p == nil || p.ended() && p.runningCall() == nil {
		s.command(ReleaseMemory{Program: m.Program, Targets: []string{m.Target}})
	}
}

// minKeptCalls is the number of most recent calls whose results are kept for
// retries, with or without a key.
const minKeptCalls = 4

// compact removes results that retries can no longer request.
func (s *State) compact(p *program) {
	for i := 0; i < len(p.Calls)-minKeptCalls; i++ {
		if c := p.Calls[i]; c.Repeatable && c.IdempotencyKey == "" && c.terminal() && c.durable {
			c.Result.Invoke = nil
		}
	}
	for len(p.Calls) > minKeptCalls && s.expired(p.Calls[0]) {
		p.Calls[0] = nil
		p.Calls = p.Calls[1:]
		p.FirstStep++
	}
}

// expired reports whether a call's recorded result need not be kept.
func (s *State) expired(c *call) bool {
	if !c.terminal() || !c.durable || len(c.waiters) > 0 {
		return false
	}
	if c.Repeatable && c.IdempotencyKey == "" {
		return true
	}
	keep := s.options.KeyRetention
	if c.KeyRetentionMs > 0 {
		keep = time.Duration(c.KeyRetentionMs) * time.Millisecond
	}
	return s.now.Sub(time.UnixMilli(c.FinishedMs)) >= keep
}
