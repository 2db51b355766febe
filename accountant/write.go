package accountant

import (
	"encoding/json"
	"maps"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// pendingWrite is a write of a row that is not settled: it is not known whether it took effect.
type pendingWrite struct {
	row encoder.ProgramBudget
	// version is the version that the row must have.
	version int64
	// tokens are those that it grants to this daemon. A negative number returns tokens, which are deducted from
	// the unused ones already.
	tokens int
	// inProgress is set while a result is due. unanswered is set once there was none: then the store may apply the
	// write later, as long as the row has the version.
	inProgress bool
	unanswered bool
	// listed are the borrowers that it lists for this daemon.
	listed map[string]Borrower
}

// returned returns the number of tokens that the write returns.
func (w *pendingWrite) returned() int { return max(0, -w.tokens) }

// writeGrant writes the row with the given number of further tokens granted to this daemon.
// A negative number returns tokens. No write may be pending.
func (s *State) writeGrant(name string, p *program, tokens int) {
	s.sequence++
	row := encoder.ProgramBudget{
		// A row that has expired no longer counts the tokens that are returned.
		Granted: max(0, p.granted+tokens), Holder: s.incarnation, Sequence: s.sequence,
		ExpiresAt: int(s.now.Add(s.options.Retention).Unix()), Lost: p.lost,
		Spare: encoder.ProgramBudgetSpare{}, Writers: encoder.ProgramBudgetWriters{},
	}
	maps.Copy(row.Spare, p.spare)
	maps.Copy(row.Writers, p.writers)
	row.Spare[s.host] = p.unused + p.reserved + p.loaned() + max(0, tokens)
	row.Writers[s.host] = encoder.BudgetWrite{Incarnation: s.incarnation, Sequence: s.sequence}
	listBorrowers(&row, p.lent)
	p.pending = &pendingWrite{row: row, version: p.version, tokens: tokens, listed: maps.Clone(p.lent)}
	s.sendPending(name, p)
}

// sendPending sends the pending write. If it was not answered, it is sent again as it is: its version lets it take effect
// once at most.
func (s *State) sendPending(name string, p *program) {
	p.pending.inProgress = true
	// The type has only numbers and strings, so encoding cannot fail.
	value, _ := json.Marshal(p.pending.row)
	s.emit(Write{Program: name, Version: p.pending.version, Value: value, Needed: p.needed()})
}

func (s *State) writeCompleted(m WriteCompleted) {
	p := s.programs[m.Program]
	if p == nil || p.pending == nil || !p.pending.inProgress {
		return
	}
	p.pending.inProgress = false
	switch m.Kind {
	case provider.KindNone:
		s.adoptPending(p, m.Version)
	case provider.KindConflict:
		s.adoptRow(p, m.Row)
		if p.pending != nil {
			// The row has the version that the write expects.
			s.rejectWaiters(p)
		}
	case provider.KindUnknown:
		p.pending.unanswered = true
		s.readRow(m.Program, p)
		return
	default:
		if !p.pending.unanswered {
			s.dropPending(p)
		}
		s.delayReturn(p)
		s.rejectWaiters(p)
	}
	s.serveWaiters(m.Program, p)
}

// adoptPending makes the row of the pending write the current one after it took effect.
func (s *State) adoptPending(p *program, version int64) {
	row := &p.pending.row
	p.granted, p.version, p.spare, p.lost, p.writers = row.Granted, version, row.Spare, row.Lost, row.Writers
	p.rowKnown, p.rowReadAt = true, s.now
	s.setRenewal(p, row)
	s.takePending(p)
}

// takePending takes the tokens that the pending write granted.
func (s *State) takePending(p *program) {
	p.unused += max(0, p.pending.tokens)
	for host, listed := range p.pending.listed {
		p.unlist(host, listed.Tokens)
	}
	p.pending, p.hasGrant = nil, true
}

// dropPending drops a write that had no effect. Tokens that it would have returned can be used again.
func (s *State) dropPending(p *program) {
	p.unused += p.pending.returned()
	p.pending = nil
}

// settlePending settles the pending write by the current row. It has taken effect if the row names it, whoever has
// written since. Otherwise it has not, and cannot any more once the row has another version. Until then it stays pending
// if it may still be applied.
func (s *State) settlePending(p *program, stored *encoder.ProgramBudget, version int64) {
	w := p.pending
	switch {
	case w == nil:
	case stored.Writers[s.host] == w.row.Writers[s.host] || stored.Holder == s.incarnation && stored.Sequence == w.row.Sequence:
		s.takePending(p)
	case w.unanswered && version == w.version:
		// It may still be applied.
	case w.unanswered && len(stored.Writers) == 0 && version != provider.VersionAbsent:
		// A daemon of an earlier version has written since, so that the row does not tell. What was returned must
		// not be used again.
		p.pending = nil
	default:
		s.dropPending(p)
	}
}

// delayReturn delays the next attempt to return unused tokens.
func (s *State) delayReturn(p *program) {
	delay := s.options.ReturnRetryDelay
	if s.stopping {
		delay = s.options.StopRetryDelay
	}
	p.nextReturnAt = s.now.Add(delay)
}
