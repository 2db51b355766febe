package committer

import (
	"encoding/json"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// handleCommitFinished handles the result of an attempt of the transaction in flight.
func (s *State) handleCommitFinished(now time.Time, m CommitFinished) {
	f := s.pending
	if f == nil || f.transaction.ID != m.ID || f.stage != stageSent {
		return
	}
	switch {
	case m.Kind == provider.KindNone && len(m.Versions) == len(f.transaction.Writes):
		s.completePending(m.Versions[0], f.lastSentAt)
	case m.Kind == provider.KindConflict:
		// An earlier attempt took effect, a shard row has another version, or the
		// lease row was fenced. The lease row shows which.
		f.conflict = true
		f.stage = stageUnknown
	case m.Kind.NoEffect() && !f.outcomeUnknown:
		s.recordFailure(now)
		s.pending = nil
		s.queue.putBack(f.entries)
	default:
		s.recordFailure(now)
		// Read the lease row at once: a lost response is more likely than an outage.
		if !f.outcomeUnknown {
			s.retryAt = time.Time{}
		}
		f.outcomeUnknown = true
		f.stage = stageUnknown
	}
}

// resolve reads the lease row to learn the outcome of the transaction in flight, or
// sends the transaction again.
func (s *State) resolve(now time.Time) {
	switch s.pending.stage {
	case stageUnknown:
		s.readingLease = true
		s.emit(ReadLeaseRow{})
	case stageResend:
		s.attempt(now)
	case stageSent:
	}
}

// handleLeaseRow uses the lease row to resolve the transaction in flight or to acquire
// the lease. A row that could not be read or decoded counts as a failed request.
func (s *State) handleLeaseRow(now time.Time, m LeaseRowRead) {
	if !s.readingLease {
		return
	}
	s.readingLease = false
	row, ok := decodeLease(m)
	if !ok {
		s.recordFailure(now)
		return
	}
	s.retryAt = time.Time{}
	switch {
	case s.pending != nil && s.pending.stage == stageUnknown:
		s.resolveRow(now, m.Row.Version, row)
	case s.phase == phaseAcquiring:
		s.observeRow(now, m.Row.Version, row)
	}
}

// resolveRow determines the outcome of the transaction in flight from the lease row. A
// fenced row keeps the ID of the holder's last transaction.
func (s *State) resolveRow(now time.Time, version int64, row encoder.LeaseRow) {
	f := s.pending
	switch {
	case version != provider.VersionAbsent && row.Commit == f.transaction.ID:
		s.completePending(version, f.firstSentAt)
		if row.State == LeaseRowFenced {
			s.loseLease()
		}
	case version == s.version && f.conflict:
		// The lease row still satisfies its condition, so a shard row did not. Versions
		// only rise, so no attempt of this transaction can succeed any more.
		s.rejectPending(f)
	case version == s.version:
		f.stage = stageResend
	case s.phase == phaseAcquiring:
		s.pending = nil
		s.observeRow(now, version, row)
	default:
		s.loseLease()
	}
}

// rejectPending rejects the requests of a transaction that failed the condition on a
// shard row.
func (s *State) rejectPending(f *pendingTransaction) {
	s.pending = nil
	s.recordSuccess()
	s.queue.done(f.entries)
	for _, e := range f.entries {
		s.emit(TicketRejected{Ticket: e.ticket, Kind: provider.KindConflict})
	}
}

// acquire reads the lease row in order to take it over.
func (s *State) acquire(time.Time) {
	s.readingLease = true
	s.emit(ReadLeaseRow{})
}

// observeRow takes over the lease row if its holder cannot act any more. Otherwise it
// schedules the next read.
func (s *State) observeRow(now time.Time, version int64, row encoder.LeaseRow) {
	s.recordSuccess()
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
	s.send(now, pendingTransaction{row: s.row})
}

// decodeLease decodes a lease row. It returns false after a failed read and for a
// damaged row, which must not be mistaken for an absent row or the daemon's own.
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
