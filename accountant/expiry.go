package accountant

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// setRenewal sets when a row is renewed: in the middle of its lifetime.
func (s *State) setRenewal(p *program, row *encoder.ProgramBudget) {
	if row.ExpiresAt == 0 {
		return
	}
	p.renewAt = time.Unix(int64(row.ExpiresAt), 0).Add(-s.options.Retention / 2)
}

// renewRow writes a row that would expire while this daemon has tokens of the program: clean-up would remove it, and the
// budget would begin anew beside these tokens.
func (s *State) renewRow(name string, p *program) {
	hasTokens := p.unused > 0 || p.reserved > 0
	if !hasTokens || s.now.Before(p.renewAt) || s.now.Before(p.nextReturnAt) || p.busy() || p.pending != nil {
		return
	}
	s.writeGrant(name, p, 0)
}

// voidIfExpired drops unused tokens if the row that counts them has expired, since the budget begins anew.
func (s *State) voidIfExpired(p *program, version int64) {
	if version == provider.VersionAbsent && p.pending == nil {
		p.unused = min(p.unused, 0)
	}
}
