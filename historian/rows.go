package historian

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodweir/dogwoodweir/packer"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// maxTurnBytes bounds the inflated size of rows, which another writer may have written.
	maxTurnBytes = 32 << 20
	// segmentOverheadBytes bounds what the encoding of a segment adds to its data.
	segmentOverheadBytes = 64
	// headOverheadBytes bounds what the encoding of the first segment of a packed turn adds besides its strings.
	headOverheadBytes = 128
)

// decodeMode accepts strings that are not UTF-8, since callers choose the IDs of turns.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// storedTurn is the encoding of a turn whose text is small. It is deflated and split into one or more rows. Earlier
// versions encoded all turns so.
type storedTurn struct {
	Previous     string `cbor:"1,keyasint,omitempty"`
	Text         []byte `cbor:"2,keyasint"`
	Expires      int64  `cbor:"3,keyasint"`
	Workspace    string `cbor:"4,keyasint,omitempty"`
	EarlierBytes int    `cbor:"5,keyasint,omitempty"`
}

// segment is the value of one row of a turn. The first one has the number of rows. If the turn is packed, the
// data of its segments is the deflated text, and the first one has the rest of the turn too.
type segment struct {
	Count         int    `cbor:"1,keyasint,omitempty"`
	Data          []byte `cbor:"2,keyasint"`
	UnpackedBytes int    `cbor:"3,keyasint,omitempty"`
	Previous      string `cbor:"4,keyasint,omitempty"`
	Workspace     string `cbor:"5,keyasint,omitempty"`
	Expires       int64  `cbor:"6,keyasint,omitempty"`
	EarlierBytes  int    `cbor:"7,keyasint,omitempty"`
	// The following are set in the first row of a turn in parts: the name of the write, the number of parts, and the size
	// of the deflated text.
	Write       string `cbor:"8,keyasint,omitempty"`
	Parts       int    `cbor:"9,keyasint,omitempty"`
	PackedBytes int    `cbor:"10,keyasint,omitempty"`
}

// isPacked reports whether the segment is the first one of a packed turn.
func (s *segment) isPacked() bool { return s.UnpackedBytes > 0 }

// packedTurn returns the turn of which the segment is the first one, without its ID and its text.
func (s *segment) packedTurn(partition string) *Turn {
	return &Turn{
		Partition: partition, Previous: s.Previous, Workspace: s.Workspace, UnpackedBytes: s.UnpackedBytes,
		EarlierBytes: s.EarlierBytes, Expires: time.Unix(s.Expires, 0),
	}
}

// Encode returns the rows of a turn, each of at most rowBytes, and its expiry row. It fails with KindTooLarge if the
// store does not take them in one transaction; see Parts.
func Encode(t *Turn, rowBytes int) ([]provider.RowWrite, error) {
	const operation = "encode turn"
	head := segment{}
	data, size := t.Packed, max(1, rowBytes-segmentOverheadBytes)
	if t.UnpackedBytes > 0 {
		head = segment{
			UnpackedBytes: t.UnpackedBytes, Previous: t.Previous, Workspace: t.Workspace, Expires: t.Expires.Unix(), EarlierBytes: t.EarlierBytes,
		}
		size = max(1, rowBytes-headOverheadBytes-len(t.Previous)-len(t.Workspace))
	} else {
		plain, err := cbor.Marshal(storedTurn{
			Previous: t.Previous, Text: t.Text, Expires: t.Expires.Unix(), Workspace: t.Workspace, EarlierBytes: t.EarlierBytes,
		})
		if err != nil {
			return nil, NewError(operation, KindCorrupt, err)
		}
		data = packer.Deflate(plain)
	}
	if len(data) > maxStoredBytes {
		return nil, NewError(operation, KindTooLarge, fmt.Errorf("%d bytes deflated, the store takes %d", len(data), maxStoredBytes))
	}
	head.Count = max(1, (len(data)+size-1)/size)
	return encodeRows(head, data, size, head.Count, rowPlace{partition: t.Partition, key: turnKey(t.ID), expires: t.Expires})
}

// rowPlace says where rows are written, by the key of the first one, and when they expire.
type rowPlace struct {
	partition, key string
	expires        time.Time
}

// encodeRows returns the rows that hold the data, of which each segment has so many bytes, and the expiry row.
func encodeRows(head segment, data []byte, size, count int, place rowPlace) ([]provider.RowWrite, error) {
	writes := make([]provider.RowWrite, 0, count+1)
	for i := range count {
		row := segment{}
		if i == 0 {
			row = head
		}
		row.Data = data[i*size : min(len(data), (i+1)*size)]
		value, err := cbor.Marshal(row)
		if err != nil {
			return nil, NewError("encode turn", KindCorrupt, err)
		}
		writes = append(writes, provider.RowWrite{
			RowKey: provider.RowKey{Table: Table, Partition: place.partition, Key: segmentKey(place.key, i)}, Value: value,
		})
	}
	expiry := provider.RowWrite{RowKey: place.expiryKey(), Value: strconv.AppendInt(nil, int64(count), 10)}
	return append(writes, expiry), nil
}

// decodeHead returns the first row of a turn among rows and its segment.
func decodeHead(key string, rows []provider.VersionedRow) (*provider.VersionedRow, *segment, error) {
	const operation = "decode first row"
	i := slices.IndexFunc(rows, func(r provider.VersionedRow) bool { return r.Key == key })
	if i < 0 {
		return nil, nil, NewError(operation, KindNotFound, errors.New("no row of the turn"))
	}
	var head segment
	if err := decodeMode.Unmarshal(rows[i].Value, &head); err != nil {
		return nil, nil, NewError(operation, KindCorrupt, err)
	}
	if head.Count < 1 {
		// The row is a later segment of a turn whose ID this one begins with, written by an earlier version.
		return nil, nil, NewError(operation, KindNotFound, errors.New("the row is not the first of a turn"))
	}
	if head.UnpackedBytes < 0 || head.UnpackedBytes > maxTurnBytes || head.EarlierBytes < 0 {
		return nil, nil, NewError(operation, KindCorrupt, errors.New("sizes out of range"))
	}
	return &rows[i], &head, nil
}

// joinSegments returns the first row of a turn, its segment and the data of all segments.
func joinSegments(key string, rows []provider.VersionedRow) (*provider.VersionedRow, *segment, []byte, error) {
	const operation = "decode turn"
	first, head, err := decodeHead(key, rows)
	if err != nil {
		return nil, nil, nil, err
	}
	data, found := head.Data, 1
	for i := range rows {
		if found == head.Count {
			break
		}
		if rows[i].Key != segmentKey(key, found) {
			continue
		}
		if rows[i].Version != first.Version {
			return nil, nil, nil, NewError(operation, KindCorrupt, fmt.Errorf("row %d is of another write", found))
		}
		var row segment
		if err := decodeMode.Unmarshal(rows[i].Value, &row); err != nil {
			return nil, nil, nil, NewError(operation, KindCorrupt, err)
		}
		data = append(data, row.Data...)
		found++
	}
	if found < head.Count {
		return nil, nil, nil, NewError(operation, KindCorrupt, fmt.Errorf("found %d of %d rows", found, head.Count))
	}
	return first, head, data, nil
}

// decode returns the turn with a key, without its ID, from its rows, sorted by key; rows of other turns are ignored. It
// fails with KindNotFound without a first row, with KindCorrupt if rows are missing, of different writes, or cannot be
// decoded, and with the error of admit, which is called as for inflate.
func decode(key string, rows []provider.VersionedRow, admit func(textBytes, packedBytes int) error) (*Turn, error) {
	const operation = "decode turn"
	first, head, data, err := joinSegments(key, rows)
	if err != nil {
		return nil, err
	}
	if head.isPacked() {
		turn := head.packedTurn(first.Partition)
		turn.Packed = bytes.Clone(data)
		return turn, nil
	}
	plain, err := inflate(data, admit)
	if err != nil {
		return nil, err
	}
	var stored storedTurn
	if err := decodeMode.Unmarshal(plain, &stored); err != nil {
		return nil, NewError(operation, KindCorrupt, err)
	}
	if stored.EarlierBytes < 0 {
		return nil, NewError(operation, KindCorrupt, errors.New("sizes out of range"))
	}
	t := &Turn{
		Partition: first.Partition, Previous: stored.Previous, Workspace: stored.Workspace,
		EarlierBytes: stored.EarlierBytes, Expires: time.Unix(stored.Expires, 0),
	}
	if err := t.setText(len(stored.Text), stored.Text); err != nil {
		return nil, NewError(operation, KindCorrupt, err)
	}
	return t, nil
}

// inflate returns the encoding of a turn that is not packed. Large ones, which earlier versions wrote, are admitted
// before they are inflated.
func inflate(data []byte, admit func(textBytes, packedBytes int) error) ([]byte, error) {
	const operation = "inflate turn"
	plain, err := packer.Inflate(data, PlainBytes)
	if packer.KindOf(err) == packer.KindTooLarge {
		size, sizeErr := packer.InflatedSize(data, maxTurnBytes)
		if sizeErr != nil {
			return nil, NewError(operation, KindCorrupt, sizeErr)
		}
		if err := admit(size, len(data)); err != nil {
			return nil, err
		}
		plain, err = packer.Inflate(data, size)
	}
	if err != nil {
		return nil, NewError(operation, KindCorrupt, err)
	}
	return plain, nil
}
