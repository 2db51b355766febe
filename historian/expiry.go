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
	return provider.RowKey{
		Table: ExpiryTable, Partition: t.Partition,
		Key: fmt.Sprintf("%0*d/%s", timeDigits, t.Expires.Unix(), turnKey(t.ID)),
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

// Removal returns the transaction that deletes an expiry row and its turn, whose rows are given in
// the order of their keys. It deletes the expiry row only, if the turn has been renewed by several
// daemons and expires later than this row says. The transaction fails if the expiry row or the
// turn has changed.
func Removal(row *provider.VersionedRow, turnRows []provider.VersionedRow, now time.Time) provider.RowTransaction {
	key := expiredKey(row)
	t := provider.RowTransaction{
		Conditions: []provider.RowCondition{{RowKey: row.RowKey, Version: row.Version}},
		Deletes:    []provider.RowKey{row.RowKey},
	}
	if len(turnRows) > 0 {
		t.Conditions = append(t.Conditions, provider.RowCondition{RowKey: turnRows[0].RowKey, Version: turnRows[0].Version})
	}
	// A turn that cannot be decoded cannot be continued either.
	if expires, err := decodeExpiry(key, turnRows); err == nil && expires.After(now) {
		return t
	}
	segments, err := strconv.Atoi(string(row.Value))
	if err != nil || segments < 1 || segments > maxSegments {
		segments = 1
	}
	for i := range segments {
		t.Deletes = append(t.Deletes, provider.RowKey{Table: Table, Partition: row.Partition, Key: segmentKey(key, i)})
	}
	return t
}

// ReadExpired reads the rows that Removal needs of the turn that an expiry row names. It returns none if there is
// no such turn.
func (r *Reader) ReadExpired(row *provider.VersionedRow) ([]provider.VersionedRow, error) {
	key := expiredKey(row)
	if err := r.Admit(0, ReadCopies*r.RowBytes); err != nil {
		return nil, err
	}
	rows, head, err := r.readHead(key, row.Partition)
	switch {
	case isNotFound(err):
		return nil, nil
	case KindOf(err) == KindCorrupt, err == nil && head.isPacked():
		return rows, nil
	case err != nil:
		return nil, err
	}
	rows, err = r.readRows(key, row.Partition)
	if isNotFound(err) {
		return nil, nil
	}
	return rows, err
}

// expiredKey returns the key of the turn that an expiry row names.
func expiredKey(row *provider.VersionedRow) string {
	_, key, _ := strings.Cut(row.Key, "/")
	return key
}
