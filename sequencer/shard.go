package sequencer

import (
	"encoding/json"
	"slices"
)

// snapshotBody is the content of a shard's snapshot.
type snapshotBody struct {
	Programs []image `json:"programs"`
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
		body.Programs = append(body.Programs, p.image)
		return true
	})
	data, err := json.Marshal(body)
	if err != nil {
		s.violate(InvariantHistory, nil, 0, "shard cannot be encoded: "+err.Error())
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
			s.violate(InvariantHistory, nil, 0, "snapshot of "+m.Shard+" cannot be read: "+err.Error())
		}
		for _, i := range body.Programs {
			p := &program{image: i, shard: sh}
			sh.programs.Set(i.ID, p)
			s.concludeAll(p)
		}
	}
	for _, r := range m.Records {
		if r.Shard != m.Shard {
			continue
		}
		if err := s.replay(sh, r, len(m.Snapshot) > 0); err != nil {
			s.violate(InvariantHistory, nil, 0, "record of "+r.Program+": "+err.Error())
		}
	}
	sh.programs.Scan(func(_ string, p *program) bool {
		s.adopt(p)
		s.resolve(p)
		return true
	})
}

// concludeAll concludes the calls whose outcome the snapshot has made durable.
func (s *State) concludeAll(p *program) {
	for _, c := range p.Calls {
		if c.State == callSettling {
			s.conclude(p, c)
		}
	}
}

// resolve settles what an earlier owner left in progress.
func (s *State) resolve(p *program) {
	s.touch(p)
	for _, c := range p.Calls {
		c.durable = true
		c.settledAt = s.now
		switch {
		case c.State == callRunning && c.Repeatable:
			s.fire(p, c, eventInterrupt)
		case c.State == callIntent || c.State == callRunning:
			s.resolveIntent(p, c)
		}
	}
	if p.ended() {
		s.closeLast(p)
	}
	if p.running() == nil && p.State == programActive {
		s.fireProgram(p, eventCallSettled)
	}
	if c := p.last(); c != nil && c.End && c.terminal() {
		s.end(p, ReasonCompleted)
	}
	s.release(p)
	s.cutTail(p)
}

// resolveIntent handles a call that cannot be repeated and may have run. It is
// not run again; a target that can be asked is asked.
func (s *State) resolveIntent(p *program, c *call) {
	if s.hooks.skipResolve {
		s.fire(p, c, eventLookup)
		s.fire(p, c, eventInterrupt)
		return
	}
	if !c.Lookup {
		s.settle(p, c, OutcomeUnknown, CodeOwnerChanged, Result{})
		return
	}
	s.fire(p, c, eventLookup)
	c.attempt = s.nextAttempt(p.shard)
	c.expires = s.now.Add(s.options.CancelGrace)
	s.command(LookupAttempt{CallID: CallID(p.ID, c.Step), Attempt: c.attempt, Service: c.Service, IdempotencyKey: targetKey(p, c)})
}

// releaseShard drops a shard. Callers of calls in progress cannot be told what
// happened to them; queued calls did not run.
func (s *State) releaseShard(name string) {
	sh, ok := s.shards.Get(name)
	if !ok {
		return
	}
	sh.programs.Scan(func(_ string, p *program) bool {
		s.abandon(p)
		return true
	})
	s.shards.Delete(name)
	s.touched = slices.DeleteFunc(s.touched, func(p *program) bool { return p.shard == sh })
	s.dropRecords(sh)
}

// dropRecords removes the update's own records of a shard that is released in
// the same update.
func (s *State) dropRecords(sh *shard) {
	for i := len(s.records) - 1; i >= 0; i-- {
		if s.effects[i].program.shard == sh {
			s.pendingRecords--
			s.pendingBytes -= s.effects[i].size
			s.records = slices.Delete(s.records, i, i+1)
			s.effects = slices.Delete(s.effects, i, i+1)
		}
	}
}

func (s *State) abandon(p *program) {
	if c := p.queued; c != nil {
		s.refuseQueued(p, c, refusal{code: CodeOwnerChanged, text: "the program has moved to another host"})
	}
	for _, c := range p.Calls {
		if c.State == callRunning && c.Repeatable {
			s.command(CancelAttempt{CallID: CallID(p.ID, c.Step), Attempt: c.attempt})
		}
		s.unexpect(c)
		for _, id := range c.waiters {
			s.answer(Response{
				RequestID: id, Program: p.ID, Step: c.Step, Outcome: OutcomeUnknown, Code: CodeOwnerChanged,
				Message: "the program has moved to another host",
			})
		}
		c.waiters = nil
	}
	for _, id := range p.enders {
		s.answer(Response{RequestID: id, Program: p.ID, Outcome: OutcomeUnknown, Code: CodeOwnerChanged})
	}
	p.enders = nil
}

// ShardIdle reports whether a shard has no call in progress and no record that
// waits for the store, so that it can be handed over.
func (s *State) ShardIdle(name string) bool {
	sh, ok := s.shards.Get(name)
	idle := true
	if ok {
		sh.programs.Scan(func(_ string, p *program) bool {
			idle = p.pending == 0 && p.queued == nil && p.running() == nil
			return idle
		})
	}
	return idle
}
