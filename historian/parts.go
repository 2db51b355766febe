package historian

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// partBytes bounds the rows of a part, so that the store takes one in a transaction.
	partBytes = 600_000
	// partsCount is the number of rows that the first row of a turn in parts tells. Earlier versions, which do not know
	// parts, look for that many rows, find fewer and cannot decode the turn.
	partsCount = 2
)

// InParts reports whether the turn is too large for one transaction, so that it is written in parts.
func (t *Turn) InParts() bool { return len(t.Packed) > maxStoredBytes }

// WriteBytes returns the memory that the turn takes with that of the copies of its rows which are made while it is written.
func (t *Turn) WriteBytes(copies int) int {
	if t.InParts() {
		return t.MemoryBytes() + copies*partBytes
	}
	return copies * t.MemoryBytes()
}

// Parts encodes a turn that is written in parts, each in a transaction of its own, and then its first row, without which
// the turn does not exist. The keys of the parts have the name of the write, so that those of two writes of a turn are
// never joined. Each part has an expiry row, by which clean-up also finds the parts of a write that was not completed.
type Parts struct {
	turn     *Turn
	write    string
	rowBytes int
}

// NewParts returns the parts of a write of a turn, with rows of at most rowBytes. No two writes of a turn may have the
// same name, which has hexadecimal digits only.
func NewParts(t *Turn, rowBytes int, write string) *Parts {
	return &Parts{turn: t, write: write, rowBytes: rowBytes}
}

// dataBytes returns the number of bytes of the text in a row, and in a part.
func (p *Parts) dataBytes() (row, part int) {
	row = max(1, p.rowBytes-segmentOverheadBytes)
	return row, row * min(maxSegments, max(1, partBytes/p.rowBytes))
}

// Count returns the number of parts.
func (p *Parts) Count() int {
	_, size := p.dataBytes()
	return (len(p.turn.Packed) + size - 1) / size
}

// Part returns the rows of a part, and its expiry row.
func (p *Parts) Part(number int) ([]provider.RowWrite, error) {
	rowSize, partSize := p.dataBytes()
	data := p.turn.Packed[number*partSize : min(len(p.turn.Packed), (number+1)*partSize)]
	return encodeRows(segment{}, data, rowSize, (len(data)+rowSize-1)/rowSize, rowPlace{
		partition: p.turn.Partition, key: partKey(turnKey(p.turn.ID), p.write, number), expires: p.turn.Expires,
	})
}

// Head returns the first row of the turn and its expiry row. Write it after all parts.
func (p *Parts) Head() ([]provider.RowWrite, error) {
	t := p.turn
	value, err := cbor.Marshal(segment{
		Count: partsCount, UnpackedBytes: t.UnpackedBytes, Previous: t.Previous, Workspace: t.Workspace,
		Expires: t.Expires.Unix(), EarlierBytes: t.EarlierBytes, Write: p.write, Parts: p.Count(), PackedBytes: len(t.Packed),
	})
	if err != nil {
		return nil, NewError("encode turn", KindCorrupt, err)
	}
	first := provider.RowKey{Table: Table, Partition: t.Partition, Key: turnKey(t.ID)}
	return []provider.RowWrite{{RowKey: first, Value: value}, {RowKey: ExpiryKey(t), Value: strconv.AppendInt(nil, 1, 10)}}, nil
}

// partKey returns the key of the first row of a part. That of the others is made from it like that of a turn's rows.
func partKey(key, write string, number int) string {
	return fmt.Sprintf("%s%s%s-%0*d", key, segmentSeparator, write, segmentDigits, number)
}

// partRange selects the rows of a part.
func partRange(key, partition string) provider.RowRange {
	const afterSeparator = "0"
	return provider.RowRange{Table: Table, Partition: partition, From: key, To: key + afterSeparator}
}

// readParts reads the text of a turn whose first row is given, part by part.
func (r *Reader) readParts(key string, first *provider.VersionedRow, head *segment) (*Turn, error) {
	const operation = "decode turn in parts"
	if head.PackedBytes <= 0 || head.PackedBytes > maxTurnBytes || head.Parts <= 0 || head.Parts > head.PackedBytes {
		return nil, NewError(operation, KindCorrupt, errors.New("sizes out of range"))
	}
	if err := r.Admit(head.PackedBytes+head.EarlierBytes, ReadCopies*partBytes); err != nil {
		return nil, err
	}
	packed := make([]byte, 0, head.PackedBytes)
	for number := range head.Parts {
		rows, err := provider.ReadAll(partRange(partKey(key, head.Write, number), first.Partition), r.Range)
		if err != nil {
			return nil, NewError("read turn", KindUnavailable, err)
		}
		for i := range rows.Rows {
			var row segment
			if err := decodeMode.Unmarshal(rows.Rows[i].Value, &row); err != nil {
				return nil, NewError(operation, KindCorrupt, err)
			}
			if len(packed)+len(row.Data) > head.PackedBytes {
				return nil, NewError(operation, KindCorrupt, errors.New("the parts are larger than the first row says"))
			}
			packed = append(packed, row.Data...)
		}
	}
	if len(packed) < head.PackedBytes {
		return nil, NewError(operation, KindCorrupt, fmt.Errorf("found %d of %d bytes", len(packed), head.PackedBytes))
	}
	turn := head.packedTurn(first.Partition)
	turn.Packed = packed
	return turn, nil
}
