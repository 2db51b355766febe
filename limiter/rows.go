package limiter

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// rowState is what is known of the row of a group.
type rowState struct {
	// version is the version to which allocations belong, known once the store has told it.
	version     int64
	known       bool
	confirmed   time.Time
	allocations map[string]*allocation
	// unreadable is set if the row cannot be decoded. Nothing is taken from it.
	unreadable bool
	// write is the write in progress.
	write *pendingWrite
	// unresolved is set after a write of unknown outcome, until the row has another version.
	unresolved bool
	// stale is set after a lapse of the lease, until a write under the new lease has succeeded. A read
	// is not enough: a late copy of an earlier response looks the same.
	stale   bool
	reading bool
	// readAt is when the row was last read.
	readAt time.Time
	// reread is set if the row has to be read again after the present read.
	reread bool
	// retryAt is the earliest time of the next write.
	retryAt time.Time
	// conflicts is the number of conflicting writes in a row.
	conflicts int
}

type pendingWrite struct {
	// epoch is that of the lease under which the write was sent.
	epoch       int
	allocations map[string]*allocation
	changes     []change
}

// row returns the state of a group's row.
func (s *holder) row(g group) *rowState {
	r := s.groups[g]
	if r == nil {
		r = &rowState{allocations: map[string]*allocation{}}
		s.groups[g] = r
	}
	return r
}

func (s *holder) finishWrite(now time.Time, m *rowWritten) {
	r := s.groups[m.group]
	w := r.write
	r.write = nil
	switch {
	case m.kind == provider.KindNone:
		s.completeWrite(now, m, r, w)
	case m.kind == provider.KindConflict:
		s.resolveConflict(now, m, r, w)
	case m.kind.NoEffect():
		s.undo(now, r, w)
		r.retryAt = now.Add(failureDelay/2 + time.Duration(s.random.Int64N(int64(failureDelay))))
	default:
		// The tokens that were given are lost, and fractions stay reduced until the outcome is known.
		r.unresolved = true
		r.retryAt = now.Add(failureDelay/2 + time.Duration(s.random.Int64N(int64(failureDelay))))
	}
	s.afterRow(now, m.group)
}

func (s *holder) completeWrite(now time.Time, m *rowWritten, r *rowState, w *pendingWrite) {
	notified := map[string]bool{}
	r.version, r.known, r.confirmed, r.unresolved = m.version, true, now, false
	r.allocations, r.conflicts = w.allocations, 0
	if w.epoch == s.lease.epoch && s.usable(now) {
		r.stale = false
	}
	for _, c := range w.changes {
		if h := s.holdings[c.workspace]; h != nil && c.after > c.before {
			h.grownAt = now
		}
		// All others hear that this daemon is short; those that are short, that it has returned a part.
		a := r.allocations[c.workspace]
		lacks := a.lacks(&share{host: s.host, parts: c.after, need: c.need})
		for _, o := range a.shares {
			if o.host != s.host && (lacks || c.after < c.before && a.lacks(&o)) {
				notified[o.host] = true
			}
		}
	}
	s.applyParts(now, m.group, r)
	for _, c := range w.changes {
		if h := s.holdings[c.workspace]; h != nil && !r.stale && s.usable(now) {
			h.bucket.add(c.taken, &h.quota)
		}
	}
	if len(notified) > 0 {
		s.emit(notifyHolders{group: m.group, hosts: sortedKeys(notified)})
	}
}

// applyParts sets the fractions to those of the row, unless they are not valid.
func (s *holder) applyParts(now time.Time, g group, r *rowState) {
	for _, workspace := range s.workspaces[g] {
		h := s.holdings[workspace]
		parts := s.ownParts(r, h)
		if r.stale || !s.usable(now) {
			parts = 0
		}
		if r.unresolved {
			parts = min(parts, h.bucket.parts)
		}
		h.bucket.refill(now, s.lease.end, &h.quota)
		h.bucket.resize(parts, &h.quota)
	}
}

// undo restores the fractions after a write that had no effect.
func (s *holder) undo(now time.Time, r *rowState, w *pendingWrite) {
	if r.stale || r.unresolved || !s.usable(now) {
		return
	}
	for _, c := range w.changes {
		if h := s.holdings[c.workspace]; h != nil && c.after < c.before {
			h.bucket.refill(now, s.lease.end, &h.quota)
			h.bucket.resize(c.before, &h.quota)
			h.bucket.add(c.given, &h.quota)
		}
	}
}

func (s *holder) resolveConflict(now time.Time, m *rowWritten, r *rowState, w *pendingWrite) {
	s.undo(now, r, w)
	current := provider.VersionedRow{RowKey: m.group.key()}
	for i := range m.conflict {
		if m.conflict[i].RowKey == current.RowKey {
			current = m.conflict[i]
		} else if m.conflict[i].Table == HolderTable {
			s.observeHolder(now, &m.conflict[i])
		}
	}
	s.adopt(now, m.group, r, &current)
	limit := maxConflictDelay
	if s.waits(m.group) {
		limit = maxWaitingDelay
	}
	delay := min(limit, conflictDelay<<min(r.conflicts, 6))
	r.conflicts++
	r.retryAt = now.Add(time.Duration(s.random.Int64N(int64(2 * delay))))
}

// adopt takes over a row as the store has it.
func (s *holder) adopt(now time.Time, g group, r *rowState, row *provider.VersionedRow) {
	if r.known && row.Version < r.version {
		// Rows are never removed, so that this is a late copy of an earlier response.
		return
	}
	if r.unresolved && row.Version != r.version {
		// A write under the earlier version can no longer take effect.
		r.unresolved = false
	}
	allocations := map[string]*allocation{}
	r.unreadable = false
	if row.Version != provider.VersionAbsent {
		var err error
		if allocations, err = decodeRow(row.Value); err != nil {
			r.unreadable = true
			allocations = map[string]*allocation{}
		}
	}
	r.version, r.known, r.confirmed, r.allocations = row.Version, true, now, allocations
	s.applyParts(now, g, r)
}

// read reads the row of a group.
func (s *holder) read(now time.Time, g group, r *rowState) {
	if r.reading || r.write != nil || now.Sub(r.readAt) < noticeInterval {
		r.reread = true
		return
	}
	r.reading, r.reread, r.readAt = true, false, now
	s.emit(readRow{group: g})
}

func (s *holder) finishRead(now time.Time, m *rowRead) {
	r := s.groups[m.group]
	r.reading = false
	if m.kind == provider.KindNone {
		s.adopt(now, m.group, r, &m.row)
	} else {
		r.retryAt = now.Add(failureDelay/2 + time.Duration(s.random.Int64N(int64(failureDelay))))
		r.reread = true
	}
	s.afterRow(now, m.group)
}

// afterRow continues after a change of what is known of a row.
func (s *holder) afterRow(now time.Time, g group) {
	r := s.groups[g]
	if r.reread && r.write == nil && !now.Before(r.retryAt) {
		s.read(now, g, r)
	}
	s.maintain(now, g)
	for _, workspace := range s.workspaces[g] {
		h := s.holdings[workspace]
		s.serve(now, h)
		s.help(now, h)
	}
}
