package historian

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// ExpiryTable lists turns by the time at which they expire, in the partition of the turn, so
// that expired turns are found without reading their text.
const ExpiryTable = "expiries"

// timeDigits is the width of the Unix time in the key of an expiry row.
const timeDigits = 12

// maxSegments bounds the rows that one removal deletes, below the store's limit for a
// transaction.
const maxSegments = 90

// ExpiryKey returns the key of a turn's row in ExpiryTable.
func ExpiryKey(t *Turn) provider.RowKey {
	return rowPlace{partition: t.Partition, key: turnKey(t.ID), expires: t.Expires}.expiryKey()
}

// expiryKey returns the key of the expiry row of the rows.
func (p rowPlace) expiryKey() provider.RowKey {
	return provider.RowKey{
		Table: ExpiryTable, Partition: p.partition, Key: fmt.Sprintf("%0*d/%s", timeDigits, p.expires.Unix(), p.key),
	}
}

// ExpiredRange selects the expiry rows of a partition whose turns expired before now.
func ExpiredRange(partition string, now time.Time, limit int) provider.RowRange {
	return provider.RowRange{
		Table: ExpiryTable, Partition: partition, To: fmt.Sprintf("%0*d", timeDigits, now.Unix()), Limit: limit,
	}
}

// Partitions returns the names of all partitions of turns.
func Partitions() []string {
	partitions := make([]string, partitionCount)
	for i := range partitions {
		partitions[i] = partitionName(i)
	}
	return partitions
}

func partitionName(number int) string { return "t" + strconv.Itoa(number) }

// ExpiredTurn is what Removal needs of the turn that an expiry row names.
type ExpiredTurn struct {
	first provider.RowCondition
	// expires is when the turn expires, zero if it cannot be decoded.
	expires time.Time
}

// ReadExpired reads the turn that an expiry row names, and of a packed one its first row only. It returns nil if there
// is no such turn, as for a part of one.
func (r *Reader) ReadExpired(row *provider.VersionedRow) (*ExpiredTurn, error) {
	key := expiredKey(row)
	rows, head, err := r.readHead(key, row.Partition)
	if isNotFound(err) {
		return nil, nil
	}
	if len(rows) == 0 {
		return nil, err
	}
	t := &ExpiredTurn{first: provider.RowCondition{RowKey: rows[0].RowKey, Version: rows[0].Version}}
	if err == nil {
		t.expires, err = r.readExpiry(key, row.Partition, rows, head)
	}
	if KindOf(err) == KindCorrupt {
		return t, nil
	}
	return t, err
}

// readExpiry returns when the turn with a first row expires.
func (r *Reader) readExpiry(key, partition string, first []provider.VersionedRow, head *segment) (time.Time, error) {
	if head.isPacked() {
		return time.Unix(head.Expires, 0), nil
	}
	rows, err := r.readRest(key, partition, first, head)
	if err != nil {
		return time.Time{}, err
	}
	turn, err := decode(key, rows, r.admitText)
	if err != nil {
		return time.Time{}, err
	}
	return turn.Expires, nil
}

// Removal returns the transaction that deletes an expiry row and its turn, which may be nil. It deletes the expiry row
// only, if the turn has been renewed by several daemons and expires later than this row says. The transaction fails if
// the expiry row or the turn has changed.
func Removal(row *provider.VersionedRow, turn *ExpiredTurn, now time.Time) provider.RowTransaction {
	t := provider.RowTransaction{
		Conditions: []provider.RowCondition{{RowKey: row.RowKey, Version: row.Version}},
		Deletes:    []provider.RowKey{row.RowKey},
	}
	if turn != nil {
		t.Conditions = append(t.Conditions, turn.first)
		// A turn that cannot be decoded cannot be continued either.
		if turn.expires.After(now) {
			return t
		}
	}
	segments, err := strconv.Atoi(string(row.Value))
	if err != nil || segments < 1 || segments > maxSegments {
		segments = 1
	}
	for i := range segments {
		t.Deletes = append(t.Deletes, provider.RowKey{Table: Table, Partition: row.Partition, Key: segmentKey(expiredKey(row), i)})
	}
	return t
}

// expiredKey returns the key of the turn that an expiry row names.
func expiredKey(row *provider.VersionedRow) string {
	_, key, _ := strings.Cut(row.Key, "/")
	return key
}
