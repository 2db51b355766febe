package accountant

import (
	"maps"
	"slices"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// lend lends tokens of this daemon's grant to a peer.
func (s *State) lend(m BorrowRequested) {
	p := s.programs[m.Program]
	if p == nil {
		s.emit(Lend{Ticket: m.Ticket, UnknownProgram: true, Incarnation: s.incarnation})
		return
	}
	reply := Lend{
		Ticket: m.Ticket, Tokens: p.loanTokens(m.Tokens), UnknownProgram: !p.hasGrant && !p.hadTokens && p.pending == nil,
		Uncertain: p.isUncertain(), Borrowers: p.borrowersFor(m.Host), Incarnation: s.incarnation,
	}
	p.unused -= reply.Tokens
	if reply.Tokens > 0 {
		made := Borrower{Host: m.Host, Incarnation: m.Incarnation, Tokens: reply.Tokens}
		if m.Confirms {
			p.addLoan(m.Ticket, made)
		} else {
			p.addLent(made)
		}
	}
	s.emit(reply)
	if p.pending != nil && !p.busy() {
		s.readRow(m.Program, p)
	}
}

func (p *program) addLoan(ticket Ticket, made Borrower) {
	if p.loans == nil {
		p.loans = map[Ticket]Borrower{}
	}
	p.loans[ticket] = made
}

// addLent records tokens that a peer has received.
func (p *program) addLent(received Borrower) {
	if received.Host == "" {
		return
	}
	if before := p.lent[received.Host]; before.Incarnation == received.Incarnation {
		received.Tokens += before.Tokens
	}
	if p.lent == nil {
		p.lent = map[string]Borrower{}
	}
	p.lent[received.Host] = received
}

// unlist removes tokens from those that the row does not list for a host.
func (p *program) unlist(host string, tokens int) {
	left := p.lent[host]
	left.Tokens -= tokens
	if left.Tokens <= 0 {
		delete(p.lent, host)
		return
	}
	p.lent[host] = left
}

// borrowersFor returns the other daemons to which this one has lent tokens that the row does not list, sorted by host.
func (p *program) borrowersFor(host string) []Borrower {
	var borrowers []Borrower
	for _, name := range slices.Sorted(maps.Keys(p.lent)) {
		if name != host {
			borrowers = append(borrowers, p.lent[name])
		}
	}
	return borrowers
}

// listBorrowers lists the tokens that borrowers have received in a row, so that others ask them too.
func listBorrowers(row *encoder.ProgramBudget, lent map[string]Borrower) {
	for host, b := range lent {
		// No write is replaced: it is not known which of two runs is the later one, and a daemon recognizes its write
		// by the entry.
		if _, ok := row.Writers[host]; !ok {
			row.Writers[host] = encoder.BudgetWrite{Incarnation: b.Incarnation}
		}
		row.Spare[host] += b.Tokens
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
		tokens += lent.Tokens
	}
	return tokens
}

// settleLoan takes the tokens of a loan back if the peer has not received them.
func (s *State) settleLoan(m LoanSettled) {
	p := s.programs[m.Program]
	if p == nil {
		return
	}
	made, unsettled := p.loans[m.Ticket]
	if !unsettled {
		return
	}
	delete(p.loans, m.Ticket)
	if m.Received {
		p.addLent(made)
		return
	}
	p.unused += made.Tokens
	s.serveWaiters(m.Program, p)
}
