package committer

import (
	"encoding/json"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// commitFinished handles the outcome of an attempt. It ignores outcomes of other
// transactions and late ones.
func (s *State) commitFinished(now time.Time, m CommitFinished) {
	f := s.flight
	if f == nil || f.transaction.ID != m.ID || f.stage != stageAwaitingResponse {
		return
	}
	switch {
	case m.Kind == provider.KindNone && len(m.Versions) == len(f.transaction.Writes):
		s.completeFlight(m.Versions[0], f.lastSentAt)
	case m.Kind == provider.KindConflict:
		// An earlier attempt may have taken effect, a shard row may have another
		// version, or the lease row may have been fenced. The lease row shows which.
		f.conflict = true
		f.stage = stageOutcomeUnknown
	case m.Kind.NoEffect() && !f.mayHaveCommitted:
		s.noteFailure(now)
		s.flight = nil
		s.queue.putBack(f.entries)
	default:
		s.noteFailure(now)
		// Read the lease row without backoff: a lost response is more likely than an
		// outage.
		if !f.mayHaveCommitted {
			s.retryAt = time.Time{}
		}
		f.mayHaveCommitted = true
		f.stage = stageOutcomeUnknown
	}
}

// resolve takes the next step for the transaction in flight: it reads the lease row
// or sends the transaction again.
func (s *State) resolve(now time.Time) {
	switch s.flight.stage {
	case stageOutcomeUnknown:
		s.readingLeaseRow = true
		s.emit(ReadLeaseRow{})
	case stageResend:
		s.sendAttempt(now)
	case stageAwaitingResponse:
	}
}

// leaseRowRead handles the result of ReadLeaseRow. A failed read is repeated after a
// backoff.
func (s *State) leaseRowRead(now time.Time, m LeaseRowRead) {
	if !s.readingLeaseRow {
		return
	}
	s.readingLeaseRow = false
	row, ok := decodeLease(m)
	if !ok {
		s.noteFailure(now)
		return
	}
	s.retryAt = time.Time{}
	switch {
	case s.flight != nil && s.flight.stage == stageOutcomeUnknown:
		s.resolveFromLeaseRow(now, m.Row.Version, row)
	case s.phase == phaseAcquiring:
		s.observeLeaseRow(now, m.Row.Version, row)
	}
}

// resolveFromLeaseRow derives the outcome of the transaction in flight from the lease
// row. A fenced row keeps the ID of the holder's last transaction.
func (s *State) resolveFromLeaseRow(now time.Time, version int64, row encoder.LeaseRow) {
	f := s.flight
	switch {
	case version != provider.VersionAbsent && row.Commit == f.transaction.ID:
		s.completeFlight(version, f.firstSentAt)
		if row.State == LeaseRowFenced {
			s.loseLease()
		}
	case version == s.leaseVersion && f.conflict:
		// The condition on the lease row still holds, so the one on a shard row does
		// not. Versions only grow, so no attempt of this transaction can succeed.
		s.rejectFlight(f)
	case version == s.leaseVersion:
		f.stage = stageResend
	case s.phase == phaseAcquiring:
		s.flight = nil
		s.observeLeaseRow(now, version, row)
	default:
		s.loseLease()
	}
}

// rejectFlight clears the flight and rejects its entries after the condition on a
// shard row did not hold.
func (s *State) rejectFlight(f *flight) {
	s.flight = nil
	s.noteSuccess()
	s.queue.subtractCounts(f.entries)
	for _, e := range f.entries {
		s.emit(TicketRejected{Ticket: e.ticket, Kind: provider.KindConflict})
	}
}

// acquire starts to acquire the lease by reading the lease row.
func (s *State) acquire(time.Time) {
	s.readingLeaseRow = true
	s.emit(ReadLeaseRow{})
}

// observeLeaseRow takes over the lease row when its last holder can no longer act on
// it. Otherwise it schedules the next read.
func (s *State) observeLeaseRow(now time.Time, version int64, row encoder.LeaseRow) {
	s.noteSuccess()
	if version != s.observedVersion {
		s.observedVersion, s.observedAt = version, now
	}
	expiry := s.observedAt.Add(ClaimerLease(s.options.Lease, s.options.ClockRateError))
	held := version != provider.VersionAbsent && row.State == LeaseRowActive
	if held && now.Before(expiry) {
		s.retryAt = earlier(expiry, now.Add(s.options.Lease/3))
		return
	}
	s.leaseVersion = version
	s.leaseRow.Past = nil
	if row.Incarnation != "" {
		s.leaseRow.Past = append(row.Past, encoder.LogRange{
			Host: row.Host, Incarnation: row.Incarnation, After: row.Checkpoint, Through: row.Sequence,
		})
		s.leaseRow.Past = s.leaseRow.Past[max(0, len(s.leaseRow.Past)-maxPast):]
	}
	s.refill(now)
	s.send(now, flight{leaseRow: s.leaseRow})
}

// decodeLease decodes a lease row; an absent one decodes to the zero value. It returns
// false for a failed read and for a damaged row, so that a damaged row is never
// mistaken for a free lease or the daemon's own.
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
