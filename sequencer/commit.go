package sequencer

func (s *State) recordsCommitted(ticket uint64) {
	effects := s.takeTicket(ticket)
	for _, e := range effects {
		p := e.program
		if s.program(p.ID) != p {
			continue
		}
		p.pendingRecords--
		s.touch(p)
		switch e.kind {
		case recordIntent:
			if c := p.callByStep(e.step); c != nil {
				c.intentDurable = true
				s.dispatchIntent(p, c)
			}
		case recordFinished:
			s.finishedCommitted(p, p.callByStep(e.step))
		case recordSegment:
			p.pendingSegment = nil
			s.offloadTail(p)
		}
		if p.ended() && p.pendingRecords == 0 {
			s.respondToCancellers(p)
		}
	}
}

// recordsDropped gives up every shard with a dropped record: the lease was
// fenced, and a new owner continues from what is durable.
func (s *State) recordsDropped(ticket uint64) {
	for _, e := range s.takeTicket(ticket) {
		if s.program(e.program.ID) == e.program {
			s.releaseShard(e.program.shard.name)
		}
	}
}

func (s *State) takeTicket(ticket uint64) []recordInfo {
	effects := s.tickets[ticket]
	delete(s.tickets, ticket)
	for _, e := range effects {
		s.pendingRecords--
		s.pendingBytes -= e.size
	}
	return effects
}
