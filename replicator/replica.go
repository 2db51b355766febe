package replicator

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// maxDeletedRows bounds the deleted rows that a replica remembers. A daemon that lacks changes from
// before a forgotten one reads the whole table again.
const maxDeletedRows = 512

// maxPackedReplies bounds the packed replies that are kept for questions from the same version.
const maxPackedReplies = 16

// replica is a copy of one table. It is not safe for concurrent use.
type replica struct {
	// rows holds the rows by key, deleted ones too.
	rows map[string]provider.VersionedRow
	// version is the newest version of the table that the copy includes. Changes up to floor are
	// not known one by one.
	version int64
	floor   int64
	// confirmedAt is when the store confirmed the copy, zero before the first time.
	confirmedAt time.Time
	// updated is closed when the store has confirmed or changed the copy.
	updated chan struct{}
	// packed holds the packed changes by the version that they follow, until rows change.
	packed map[int64][]byte
}

func newReplica() *replica {
	return &replica{rows: map[string]provider.VersionedRow{}, updated: make(chan struct{}), packed: map[int64][]byte{}}
}

func (r *replica) known() bool { return !r.confirmedAt.IsZero() }

func (r *replica) age(now time.Time) time.Duration { return now.Sub(r.confirmedAt) }

// replace sets the copy to the rows of the whole table, unless the copy is newer.
func (r *replica) replace(confirmedAt time.Time, rows []provider.VersionedRow, version int64) {
	if version < r.version {
		return
	}
	clear(r.rows)
	for _, row := range rows {
		r.rows[row.Key] = row
	}
	r.version, r.floor = version, version
	clear(r.packed)
	r.confirm(confirmedAt)
}

// apply adds a page of changes to the copy.
func (r *replica) apply(confirmedAt time.Time, page provider.RowPage) {
	for _, row := range page.Rows {
		if row.Version > r.rows[row.Key].Version {
			r.rows[row.Key] = row
		}
	}
	r.version = max(r.version, page.Version)
	if len(page.Rows) > 0 {
		r.forgetDeleted()
		clear(r.packed)
	}
	r.confirm(confirmedAt)
}

// confirm records when the store confirmed the copy and wakes those who wait for it.
func (r *replica) confirm(confirmedAt time.Time) {
	if confirmedAt.After(r.confirmedAt) {
		r.confirmedAt = confirmedAt
	}
	close(r.updated)
	r.updated = make(chan struct{})
}

// pack returns the packed rows of a reply to a question about the changes after a version.
func (r *replica) pack(after int64, rows []provider.VersionedRow) []byte {
	packed, ok := r.packed[after]
	if !ok {
		packed = pack(rows)
		if len(r.packed) >= maxPackedReplies {
			clear(r.packed)
		}
		r.packed[after] = packed
	}
	return packed
}

// forgetDeleted drops the oldest deleted rows beyond maxDeletedRows.
func (r *replica) forgetDeleted() {
	var deleted []provider.VersionedRow
	for _, row := range r.rows {
		if row.Deleted {
			deleted = append(deleted, row)
		}
	}
	if len(deleted) <= maxDeletedRows {
		return
	}
	sortByVersion(deleted)
	for _, row := range deleted[:len(deleted)-maxDeletedRows] {
		delete(r.rows, row.Key)
		r.floor = max(r.floor, row.Version)
	}
}

// table returns all rows that exist.
func (r *replica) table() []provider.VersionedRow {
	rows := make([]provider.VersionedRow, 0, len(r.rows))
	for _, row := range r.rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	sortByVersion(rows)
	return rows
}

// changesAfter returns the rows that changed after a version, oldest first. It returns false if
// these are not known.
func (r *replica) changesAfter(version int64) ([]provider.VersionedRow, bool) {
	if version < r.floor {
		return nil, false
	}
	var rows []provider.VersionedRow
	for _, row := range r.rows {
		if row.Version > version {
			rows = append(rows, row)
		}
	}
	sortByVersion(rows)
	return rows, true
}

func sortByVersion(rows []provider.VersionedRow) {
	slices.SortFunc(rows, func(a, b provider.VersionedRow) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
}
