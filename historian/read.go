package historian

import (
	"errors"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// maxReads bounds how often a turn is read anew that is rewritten meanwhile.
const maxReads = 3

// RangeReader reads one page of rows.
type RangeReader func(provider.RowRange) (provider.RowPage, error)

// Read reads a turn from a partition. It fails with KindNotFound if the partition does not have the turn,
// with KindCorrupt if its rows cannot be decoded, and with KindUnavailable if they cannot be read.
func Read(id, partition string, read RangeReader) (*Turn, error) {
	var failure error
	for _, key := range keys(id) {
		turn, err := readTurn(key, partition, read)
		if err == nil {
			turn.ID = id
			return turn, nil
		}
		if failure = err; !isNotFound(err) {
			break
		}
	}
	return nil, failure
}

func readTurn(key, partition string, read RangeReader) (*Turn, error) {
	var turn *Turn
	var err error
	for range maxReads {
		var rows []provider.VersionedRow
		if rows, err = readRows(key, partition, read); err != nil {
			return nil, err
		}
		turn, err = decode(key, rows)
		if KindOf(err) != KindCorrupt || len(rows) == 1 {
			break
		}
	}
	return turn, err
}

// readRows reads the rows of a turn, the first one alone, since it has the number of the others. Between the
// two requests the turn may be rewritten or removed.
func readRows(key, partition string, read RangeReader) ([]provider.VersionedRow, error) {
	const operation = "read turn"
	page, err := read(headRange(key, partition))
	if err != nil {
		return nil, NewError(operation, KindUnavailable, err)
	}
	_, head, err := decodeHead(key, page.Rows)
	if err != nil {
		return nil, err
	}
	rows := page.Rows
	if head.Count == 1 {
		return rows, nil
	}
	last := segmentKey(key, head.Count-1)
	for rest := restRange(key, partition); ; {
		page, err := read(rest)
		if err != nil {
			return nil, NewError(operation, KindUnavailable, err)
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 || page.Rows[len(page.Rows)-1].Key >= last {
			return rows, nil
		}
		rest.From = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

func isNotFound(err error) bool { return KindOf(err) == KindNotFound }

// KindOf returns the kind of an error of this package, 0 for others.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return 0
}
