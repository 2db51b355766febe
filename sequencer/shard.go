package sequencer

import (
	"encoding/json"
	"slices"
)

// snapshotBody is the content of a shard's snapshot.
type snapshotBody struct {
	Programs []durableState `json:"programs"`
}

// Snapshot serializes a shard. It may contain changes whose records are not yet
// durable; replay skips records that a snapshot covers.
func (s *State) Snapshot(name string) []byte {
	sh, ok := s.shards.Get(name)
	if !ok {
		return nil
	}
	var body snapshotBody
	sh.programs.Scan(func(_ string, p *program) bool {
		body.Programs = append(body.Programs, p.durableState)
		return true
	})
	data, err := json.Marshal(body)
	if err != nil {
		s.reportViolation(InvariantHistory, nil, 0, "shard cannot be encoded: "+err.Error())
		return nil
	}
	return data
}

func (s *State) shardAcquired(m ShardAcquired) {
	if _, owned := s.shards.Get(m.Shard); owned {
		s.releaseShard(m.Shard)
	}
	sh := &shard{name: m.Shard, epoch: m.Epoch}
	s.shards.Set(m.Shard, sh)
	if len(m.Snapshot) > 0 {
		var body snapshotBody
		if err := json.Unmarshal(m.Snapshot, &body); err != nil {
			s.reportViolation(InvariantHistory, nil, 0, "snapshot of "+m.Shard+" cannot be decoded: "+err.Error())
		}
		for _, i := range body.Programs {
			p := &program{durableState: i, shard: sh}
			sh.programs.Set(i.ID, p)
			s.finalizeSettledCalls(p)
		}
	}
	for _, r := range m.Records {
		if r.Shard != m.Shard {
			continue
		}
		if err := s.replay(sh, r, len(m.Snapshot) > 0); err != nil {
			s.reportViolation(InvariantHistory, nil, 0, "record of "+r.Program+": "+err.Error())
		}
	}
	sh.programs.Scan(func(_ string, p *program) bool {
		s.addToParent(p)
		s.resolveInProgress(p)
		return true
	})
}

// finalizeSettledCalls finalizes the calls whose outcome the snapshot has made durable.
func (s *State) finalizeSettledCalls(p *program) {
	for _, c := range p.Calls {
		if c.State == callSettling {
			s.finalizeCall(p, c)
		}
	}
}

// resolveInProgress handles the calls that an earlier owner left in progress, and an
// end that it left undone.
func (s *State) resolveInProgress(p *program) {
	s.touch(p)
	for _, c := range p.Calls {
		c.durable = true
		c.durabilityWaitStart = s.now
		switch {
		case c.State == callRunning && c.Repeatable:
			s.fire(p, c, eventInterrupt)
		case c.State == callIntent || c.State == callRunning:
			s.resolveIntent(p, c)
		}
	}
	if p.ended() {
		s.closeOpenCall(p)
	}
	if p.runningCall() == nil && p.State == programActive {
		s.fireProgram(p, eventCallSettled)
	}
	if c := p.lastCall(); c != nil && c.EndProgram && c.terminal() {
		s.end(p, ReasonCompleted)
	}
	s.releaseMemory(p)
	s.offloadTail(p)
}

// resolveIntent handles a call that cannot be repeated and may have run. It does not
// run the call again: it looks up the result if the target supports that, otherwise
// it settles the call as unknown.
func (s *State) resolveIntent(p *program, c *call) {
	if s.testHooks.skipResolve {
		s.fire(p, c, eventLookup)
		s.fire(p, c, eventInterrupt)
		return
	}
	if !c.SupportsLookup {
		s.settle(p, c, OutcomeUnknown, CodeOwnerChanged, Result{})
		return
	}
	s.fire(p, c, eventLookup)
	c.attempt = s.nextAttempt(p.shard)
	c.expiresAt = s.now.Add(s.options.CancelGrace)
	s.command(LookupAttempt{CallID: CallID(p.ID, c.Step), Attempt: c.attempt, Service: c.Service, IdempotencyKey: targetIdempotencyKey(p, c)})
}

// releaseShard removes a shard. Requests for calls in progress get an unknown outcome,
// because this daemon can no longer determine it; requests for queued calls are
// rejected, since those calls did not run.
func (s *State) releaseShard(name string) {
	sh, ok := s.shards.Get(name)
	if !ok {
		return
	}
	sh.programs.Scan(func(_ string, p *program) bool {
		s.releaseProgram(p)
		return true
	})
	s.shards.Delete(name)
	s.touched = slices.DeleteFunc(s.touched, func(p *program) bool { return p.shard == sh })
	s.dropRecords(sh)
}

// dropRecords removes the current update's records of a shard that the same update
// releases.
func (s *State) dropRecords(sh *shard) {
	for i := len(s.records) - 1; i >= 0; i-- {
		if s.recordInfos[i].program.shard == sh {
			s.pendingRecords--
			s.pendingBytes -= s.recordInfos[i].size
			s.records = slices.Delete(s.records, i, i+1)
			s.recordInfos = slices.Delete(s.recordInfos, i, i+1)
		}
	}
}

// releaseProgram responds to all open requests of a program whose shard is released
// and cancels its running attempt if the call is repeatable.
func (s *State) releaseProgram(p *program) {
	if c := p.queued; c != nil {
		s.rejectQueued(p, c, rejection{code: CodeOwnerChanged, message: "the program has moved to another host"})
	}
	for _, c := range p.Calls {
		if c.State == callRunning && c.Repeatable {
			s.command(CancelAttempt{CallID: CallID(p.ID, c.Step), Attempt: c.attempt})
		}
		s.releaseExpected(c)
		for _, id := range c.waiters {
			s.respond(Response{
				RequestID: id, Program: p.ID, Step: c.Step, Outcome: OutcomeUnknown, Code: CodeOwnerChanged,
				Message: "the program has moved to another host",
			})
		}
		c.waiters = nil
	}
	for _, id := range p.cancelRequestIDs {
		s.respond(Response{RequestID: id, Program: p.ID, Outcome: OutcomeUnknown, Code: CodeOwnerChanged})
	}
	p.cancelRequestIDs = nil
}

// ShardIdle reports whether a shard has no call in progress and no record that
// waits for the store, so that it can be handed over.
func (s *State) ShardIdle(name string) bool {
	sh, ok := s.shards.Get(name)
	idle := true
	if ok {
		sh.programs.Scan(func(_ string, p *program) bool {
			idle = p.pendingRecords == 0 && p.queued == nil && p.runningCall() == nil
			return idle
		})
	}
	return idle
}
