package accountant

import (
	"maps"
	"slices"
)

// loseSpare counts the tokens that the row lists for a host, or that were lent to it, as lost.
func (p *program) loseSpare(host string) {
	p.lost += p.tokensAt(host)
	p.unlistHost(host)
}

// unlistHost removes a host from those that may have unused tokens.
func (p *program) unlistHost(host string) {
	delete(p.spare, host)
	delete(p.lent, host)
	delete(p.reported, host)
}

// tokensAt returns the tokens that the row lists for a host, or that were lent to it.
func (p *program) tokensAt(host string) int {
	return p.spare[host] + max(p.lent[host].Tokens, p.reported[host].Tokens)
}

// clearSpare removes the tokens that the row lists for a host whose daemon knows nothing of the program. A daemon that has
// had them has used or returned them, since it keeps a program until then. Those of an earlier run are lost.
func (p *program) clearSpare(host, incarnation string) {
	hadTokens := p.writers[host].Incarnation == incarnation || p.lent[host].Incarnation == incarnation || p.reported[host].Incarnation == incarnation
	if incarnation != "" && hadTokens {
		p.unlistHost(host)
		return
	}
	p.loseSpare(host)
}

// silentSpare returns the tokens that the hosts may have which did not reply when asked.
func (p *program) silentSpare() int {
	tokens := 0
	for _, host := range p.holdersSilent {
		tokens += p.tokensAt(host)
	}
	return tokens
}

// hostsWithSpare returns the hosts of the peers that may have unused tokens, sorted.
func (s *State) hostsWithSpare(p *program) []string {
	var hosts []string
	for host, tokens := range p.spare {
		if host != s.host && tokens > 0 {
			hosts = append(hosts, host)
		}
	}
	hosts = slices.AppendSeq(hosts, maps.Keys(p.lent))
	hosts = slices.AppendSeq(hosts, maps.Keys(p.reported))
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// noteBorrower notes that a daemon may have unused tokens that it has borrowed.
func (s *State) noteBorrower(p *program, b Borrower) {
	if b.Host == s.host {
		return
	}
	if p.reported == nil {
		p.reported = map[string]Borrower{}
	}
	if before := p.reported[b.Host]; before.Incarnation != b.Incarnation || before.Tokens < b.Tokens {
		p.reported[b.Host] = b
	}
}
