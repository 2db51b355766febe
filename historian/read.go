package historian

import (
	"errors"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// maxReads bounds how often a turn is read anew that is rewritten meanwhile.
	maxReads = 3
	// ReadCopies bounds the memory that reading a row takes, in sizes of the row: the store's response, its
	// growing buffer, and the row's value while it is decoded.
	ReadCopies = 5
	// unpackCopies is the same for inflating the text of a turn of an earlier version.
	unpackCopies = 3
)

// RowsBytes bounds the size of the rows of a turn whose deflated text has so many bytes.
func RowsBytes(packedBytes, rowBytes int) int {
	return (packedBytes/max(1, rowBytes-segmentOverheadBytes) + 2) * rowBytes
}

// Reader reads turns of the store.
type Reader struct {
	// Range reads one page of rows.
	Range func(provider.RowRange) (provider.RowPage, error)
	// Admit is called before memory is taken: keep is the memory that the turn and the earlier ones of its chain
	// will take, or 0 if it is not known yet, work the memory for reading. It replaces what was
	// admitted before for the turn. The turn is not read if it fails.
	Admit func(keep, work int) error
	// RowBytes is the largest size of a row.
	RowBytes int
}

// Read reads a turn from a partition. It fails with KindNotFound if the partition does not have the turn,
// with KindCorrupt if its rows cannot be decoded, and with KindUnavailable if they cannot be read. An
// error of Admit is returned as it is.
func (r *Reader) Read(id, partition string) (*Turn, error) {
	var failure error
	for _, key := range keys(id) {
		turn, err := r.read(key, partition)
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

func (r *Reader) read(key, partition string) (*Turn, error) {
	var turn *Turn
	var err error
	for range maxReads {
		var rows []provider.VersionedRow
		var head *segment
		if rows, head, err = r.readHead(key, partition); err != nil {
			return nil, err
		}
		turn, err = r.readOthers(key, partition, rows, head)
		if KindOf(err) != KindCorrupt || head.Count == 1 {
			break
		}
	}
	return turn, err
}

// readOthers reads the other rows of a turn, or its parts, and decodes it.
func (r *Reader) readOthers(key, partition string, first []provider.VersionedRow, head *segment) (*Turn, error) {
	if head.Write != "" {
		return r.readParts(key, &first[0], head)
	}
	rows, err := r.readRest(key, partition, first, head)
	if err != nil {
		return nil, err
	}
	return decode(key, rows, r.admitText)
}

// readHead reads the first row of a turn, alone, since it has the number of the others.
func (r *Reader) readHead(key, partition string) ([]provider.VersionedRow, *segment, error) {
	if err := r.Admit(0, ReadCopies*r.RowBytes); err != nil {
		return nil, nil, err
	}
	page, err := r.Range(headRange(key, partition))
	if err != nil {
		return nil, nil, NewError("read turn", KindUnavailable, err)
	}
	_, head, err := decodeHead(key, page.Rows)
	return page.Rows, head, err
}

// readRest returns the first row and the others. While it waits for their memory, the first one is within that of a
// small turn, which the call has already.
func (r *Reader) readRest(key, partition string, first []provider.VersionedRow, head *segment) ([]provider.VersionedRow, error) {
	if head.Count == 1 {
		return first, nil
	}
	size := head.Count * r.RowBytes
	if err := r.Admit(size+head.EarlierBytes, ReadCopies*size); err != nil {
		return nil, err
	}
	// The turn may have been rewritten or removed since its first row was read.
	rest, err := provider.ReadAll(restRange(key, partition, head.Count), r.Range)
	if err != nil {
		return nil, NewError("read turn", KindUnavailable, err)
	}
	return append(first, rest.Rows...), nil
}

// admitText admits the memory for inflating a text that is not known to be small.
func (r *Reader) admitText(textBytes, packedBytes int) error {
	return r.Admit(textBytes, unpackCopies*textBytes+ReadCopies*packedBytes)
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
