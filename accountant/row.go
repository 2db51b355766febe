package accountant

import (
	"encoding/json"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// maxRowTokens bounds the numbers of tokens in a row. Sums of a few of them do not overflow.
const maxRowTokens = 1 << 53

// inRange reports whether a row has numbers of tokens that daemons write. Others would overflow and
// grant tokens beyond the budget.
func inRange(b *encoder.ProgramBudget) bool {
	for _, tokens := range b.Spare {
		if tokens < -maxRowTokens || tokens > maxRowTokens {
			return false
		}
	}
	return b.Granted >= 0 && b.Granted <= maxRowTokens && b.Lost >= -maxRowTokens && b.Lost <= maxRowTokens
}

// adoptRow makes a row that was read the current one, and settles the pending write by it.
func (s *State) adoptRow(p *program, row *provider.VersionedRow) {
	var stored encoder.ProgramBudget
	version := provider.VersionAbsent
	if row != nil && row.Version != provider.VersionAbsent {
		version = row.Version
		if err := json.Unmarshal(row.Value, &stored); err != nil || !inRange(&stored) {
			// Treat the budget of a row that cannot be decoded as exhausted.
			stored = encoder.ProgramBudget{Granted: p.budget}
		}
	}
	s.settlePending(p, &stored, version)
	p.granted, p.version, p.spare, p.lost, p.writers = stored.Granted, version, stored.Spare, stored.Lost, stored.Writers
	if !p.hasGrant && stored.Writers[s.host].Incarnation != s.incarnation {
		// An earlier daemon on this host was granted these tokens.
		p.loseSpare(s.host)
	}
	s.setRenewal(p, &stored)
	s.voidIfExpired(p, version)
	p.hadTokens = p.hadTokens || stored.Granted > 0
	p.rowKnown, p.rowReadAt = true, s.now
}

func (s *State) readRow(name string, p *program) {
	p.reading = true
	s.emit(Read{Program: name, Needed: p.needed()})
}

func (s *State) readCompleted(m ReadCompleted) {
	p := s.programs[m.Program]
	if p == nil || !p.reading {
		return
	}
	p.reading = false
	if m.Kind != provider.KindNone {
		p.rowKnown = false
		s.delayReturn(p)
		s.rejectWaiters(p)
		return
	}
	s.adoptRow(p, m.Row)
	if p.pending != nil {
		s.sendPending(m.Program, p)
		return
	}
	s.serveWaiters(m.Program, p)
}
