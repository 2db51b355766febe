package historian

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// ExpiryTable lists turns by the time at which they expire, in the part of the turn, so
// that expired turns are found without reading any text.
const ExpiryTable = "expiries"

// timeDigits is the width of a Unix time in an expiry's key.
const timeDigits = 12

// maxSegments bounds the rows that one removal deletes, below the store's limit of a
// transaction.
const maxSegments = 90

// ExpiryKey returns the key of a turn's entry in the list of expiries.
func ExpiryKey(t *Turn) provider.RowKey {
	return provider.RowKey{
		Table: ExpiryTable, Partition: t.Partition,
		Key: fmt.Sprintf("%0*d/%s", timeDigits, t.Expires.Unix(), Key(t.ID)),
	}
}

// ExpiredRange selects the entries of a part that expired before a time.
func ExpiredRange(part string, now time.Time, limit int) provider.RowRange {
	return provider.RowRange{
		Table: ExpiryTable, Partition: part, To: fmt.Sprintf("%0*d", timeDigits, now.Unix()), Limit: limit,
	}
}

// Partitions returns the names of all parts.
func Partitions() []string {
	parts := make([]string, partCount)
	for i := range parts {
		parts[i] = partName(i)
	}
	return parts
}

func partName(number int) string { return "t" + strconv.Itoa(number) }

// Removal deletes the turn of an expiry's row, unless the entry has changed.
func Removal(row *provider.VersionedRow) provider.RowTransaction {
	_, key, _ := strings.Cut(row.Key, "/")
	t := provider.RowTransaction{
		Conditions: []provider.RowCondition{{RowKey: row.RowKey, Version: row.Version}},
		Deletes:    []provider.RowKey{row.RowKey},
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
