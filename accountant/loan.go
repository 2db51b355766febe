package accountant

// lend lends tokens of this daemon's grant to a peer.
func (s *State) lend(m BorrowRequested) {
	p := s.programs[m.Program]
	if p == nil {
		s.emit(Lend{Ticket: m.Ticket, UnknownProgram: true})
		return
	}
	reply := Lend{Ticket: m.Ticket, Tokens: p.loanTokens(m.Tokens), UnknownProgram: !p.hasGrant}
	reply.Uncertain = p.isUncertain()
	p.unused -= reply.Tokens
	if reply.Tokens > 0 && m.Confirms {
		if p.loans == nil {
			p.loans = map[Ticket]int{}
		}
		p.loans[m.Ticket] = reply.Tokens
	}
	s.emit(reply)
	if p.pending != nil && !p.busy() {
		s.readRow(m.Program, p)
	}
}

// loanTokens returns the number of tokens to lend to a peer: what it requests, or half of the unused tokens if that is
// more, so that the peer need not borrow for each turn. It is 0 while turns wait here.
func (p *program) loanTokens(requested int) int {
	if requested <= 0 || p.unused <= 0 || len(p.waiters) > 0 {
		return 0
	}
	return min(p.unused, max(requested, p.unused/2))
}

// isUncertain reports whether the daemon may have more tokens to lend soon: a write or a loan is not settled, or turns
// wait that may leave tokens.
func (p *program) isUncertain() bool {
	return p.pending != nil || len(p.loans) > 0 || p.unused > 0 && len(p.waiters) > 0
}

// loaned returns the number of tokens in loans that are not settled.
func (p *program) loaned() int {
	tokens := 0
	for _, lent := range p.loans {
		tokens += lent
	}
	return tokens
}

// settleLoan takes the tokens of a loan back if the peer has not received them.
func (s *State) settleLoan(m LoanSettled) {
	p := s.programs[m.Program]
	if p == nil {
		return
	}
	tokens := p.loans[m.Ticket]
	delete(p.loans, m.Ticket)
	if !m.Received {
		p.unused += tokens
		s.serveWaiters(m.Program, p)
	}
}
