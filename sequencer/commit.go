package sequencer

func (s *State) recordsCommitted(ticket uint64) {
	infos := s.takeTicket(ticket)
	for _, info := range infos {
		p := info.program
		if s.program(p.ID) != p {
			continue
		}
		p.pendingRecords--
		s.touch(p)
		switch info.kind {
		case recordIntent:
			if c := p.callByStep(info.step); c != nil {
				c.intentDurable = true
				s.dispatchIntent(p, c)
			}
		case recordFinished:
			s.finishedCommitted(p, p.callByStep(info.step))
		case recordSegment:
			p.pendingSegment = nil
			s.offloadTail(p)
		}
		if p.ended() && p.pendingRecords == 0 {
			s.respondToCancellers(p)
		}
	}
}

// recordsDropped releases every shard with a dropped record: the lease was fenced,
// and a new owner continues from the durable records.
func (s *State) recordsDropped(ticket uint64) {
	for _, info := range s.takeTicket(ticket) {
		if s.program(info.program.ID) == info.program {
			s.releaseShard(info.program.shard.name)
		}
	}
}

// takeTicket removes a ticket and returns its records, which no longer count as
// pending.
func (s *State) takeTicket(ticket uint64) []recordInfo {
	infos := s.tickets[ticket]
	delete(s.tickets, ticket)
	for _, info := range infos {
		s.pendingRecords--
		s.pendingBytes -= info.size
	}
	return infos
}
