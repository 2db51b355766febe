package committer

import (
	"encoding/json"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// finished handles the answer to a transaction.
func (s *State) finished(now time.Time, m CommitFinished) {
	f := s.flight
	if f == nil || f.transaction.ID != m.ID || f.stage != stageSent {
		return
	}
	switch {
	case m.Kind == provider.KindNone && len(m.Versions) == len(f.transaction.Writes):
		s.applied(m.Versions[0], f.last)
	case m.Kind == provider.KindConflict:
		// An earlier attempt may have taken effect, or a shard row has another
		// version, or the lease row was fenced: the lease row tells.
		f.conflict = true
		f.stage = stageDoubt
	case m.Kind.NoEffect() && !f.inDoubt:
		s.failed(now)
		s.flight = nil
		s.queue.putBack(f.entries)
	default:
		s.failed(now)
		// The lease row is read at once: a lost answer is more likely than an outage.
		if !f.inDoubt {
			s.retryAt = time.Time{}
		}
		f.inDoubt = true
		f.stage = stageDoubt
	}
}

// resolve continues a transaction whose outcome is not known.
func (s *State) resolve(now time.Time) {
	switch s.flight.stage {
	case stageDoubt:
		s.reading = true
		s.emit(ReadLeaseRow{})
	case stageResend:
		s.attempt(now)
	case stageSent:
	}
}

// leaseRead handles the lease row.
func (s *State) leaseRead(now time.Time, m LeaseRowRead) {
	if !s.reading {
		return
	}
	s.reading = false
	row, ok := decodeLease(m)
	if !ok {
		s.failed(now)
		return
	}
	s.retryAt = time.Time{}
	switch {
	case s.flight != nil && s.flight.stage == stageDoubt:
		s.resolveRow(now, m.Row.Version, row)
	case s.phase == phaseAcquiring:
		s.observeRow(now, m.Row.Version, row)
	}
}

// resolveRow decides the outcome of the transaction in flight. A fenced row keeps
// the id of the holder's last transaction.
func (s *State) resolveRow(now time.Time, version int64, row encoder.LeaseRow) {
	f := s.flight
	switch {
	case version != provider.VersionAbsent && row.Commit == f.transaction.ID:
		s.applied(version, f.first)
		if row.State == LeaseRowFenced {
			s.lose()
		}
	case version == s.version && f.conflict:
		// The lease row still satisfies the condition, so another row did not.
		// Versions only rise: no attempt of this transaction can succeed any more.
		s.refuse(f)
	case version == s.version:
		f.stage = stageResend
	case s.phase == phaseAcquiring:
		s.flight = nil
		s.observeRow(now, version, row)
	default:
		s.lose()
	}
}

// refuse ends a transaction that failed the condition on a shard row.
func (s *State) refuse(f *flight) {
	s.flight = nil
	s.succeeded()
	s.queue.done(f.entries)
	for _, e := range f.entries {
		s.emit(TicketRejected{Ticket: e.ticket, Kind: provider.KindConflict})
	}
}

// acquire reads the lease row that is to be taken over.
func (s *State) acquire(time.Time) {
	s.reading = true
	s.emit(ReadLeaseRow{})
}

// observeRow takes the lease row over when its last holder cannot act any more.
func (s *State) observeRow(now time.Time, version int64, row encoder.LeaseRow) {
	s.succeeded()
	if version != s.observed {
		s.observed, s.observedAt = version, now
	}
	expiry := s.observedAt.Add(ClaimerLease(s.options.Lease, s.options.ClockRateError))
	held := version != provider.VersionAbsent && row.State == LeaseRowActive
	if held && now.Before(expiry) {
		s.retryAt = earlier(expiry, now.Add(s.options.Lease/3))
		return
	}
	s.version = version
	s.row.Past = nil
	if row.Incarnation != "" {
		s.row.Past = append(row.Past, encoder.LogRange{
			Host: row.Host, Incarnation: row.Incarnation, After: row.Checkpoint, Through: row.Sequence,
		})
		s.row.Past = s.row.Past[max(0, len(s.row.Past)-maxPast):]
	}
	s.refill(now)
	s.send(now, flight{row: s.row})
}

// decodeLease decodes a lease row; a damaged one is handled like a failed read, so
// that it is never taken for a free or an own one.
func decodeLease(m LeaseRowRead) (encoder.LeaseRow, bool) {
	var row encoder.LeaseRow
	if m.Kind != provider.KindNone {
		return row, false
	}
	if m.Row.Version == provider.VersionAbsent {
		return row, true
	}
	err := json.Unmarshal(m.Row.Value, &row)
	return row, err == nil && row.Incarnation != ""
}
