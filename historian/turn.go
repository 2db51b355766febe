package historian

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodweir/dogwoodweir/packer"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Table is the table of turns.
const Table = "turns"

const (
	// partCount spreads turns over parts of the table. The store takes a few hundred
	// transactions a second for each part.
	partCount = 16
	// placeCount is the number of parts that may hold a turn.
	placeCount = 3
	// maxKeyBytes leaves room for a segment number in the store's limit of 200 bytes.
	maxKeyBytes = 160
	// segmentDigits is the width of a segment number.
	segmentDigits = 3
	// maxTurnBytes bounds what a row of another writer can expand to.
	maxTurnBytes = 32 << 20
)

// Turn is one turn of a chain.
type Turn struct {
	ID string
	// Partition is the part of the table that holds the turn.
	Partition string
	// Previous is the turn before, empty at the start of a chain.
	Previous string
	// Text is the turn's input followed by its output.
	Text []byte
	// Expires is when the turn may be forgotten.
	Expires time.Time
}

// storedTurn is a turn as it is encoded, deflated, into one or more rows.
type storedTurn struct {
	Previous string `cbor:"1,keyasint,omitempty"`
	Text     []byte `cbor:"2,keyasint"`
	Expires  int64  `cbor:"3,keyasint"`
}

// segment is the value of one row of a turn. The first has the number of rows.
type segment struct {
	Count int    `cbor:"1,keyasint,omitempty"`
	Data  []byte `cbor:"2,keyasint"`
}

// Key returns the row key of a turn; segments follow it.
func Key(id string) string {
	if len(id) <= maxKeyBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:])
}

// CandidatePartitions returns the parts of the table that may hold a turn, in the order in which they
// are tried: a turn is written to the first that answers.
func CandidatePartitions(id string) []string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	sum := h.Sum64()
	first := int(sum % partCount)
	// An odd step visits different parts.
	step := int(sum>>32%(partCount/2))*2 + 1
	places := make([]string, placeCount)
	for i := range places {
		places[i] = partName((first + i*step) % partCount)
	}
	return places
}

// Range selects all rows of a turn in a part.
func Range(id, part string) provider.RowRange {
	key := Key(id)
	// Segments are key/001 and so on; '0' is the byte after '/'.
	return provider.RowRange{Table: Table, Partition: part, From: key, To: key + "0"}
}

func segmentKey(key string, number int) string {
	if number == 0 {
		return key
	}
	return fmt.Sprintf("%s/%0*d", key, segmentDigits, number)
}

// Encode returns the rows of a turn, each of at most rowBytes, and its entry in the list
// of expiries.
func Encode(t *Turn, rowBytes int) ([]provider.RowWrite, error) {
	plain, err := cbor.Marshal(storedTurn{Previous: t.Previous, Text: t.Text, Expires: t.Expires.Unix()})
	if err != nil {
		return nil, NewError("encode turn", KindCorrupt, err)
	}
	return split(t, packer.Deflate(plain), rowBytes)
}

// frameBytes is the room that a row keeps beside its data.
const frameBytes = 64

func split(t *Turn, data []byte, rowBytes int) ([]provider.RowWrite, error) {
	size := max(1, rowBytes-frameBytes)
	segments := max(1, (len(data)+size-1)/size)
	key, part := Key(t.ID), t.Partition
	writes := make([]provider.RowWrite, 0, segments)
	for i := range segments {
		row := segment{Data: data[i*size : min(len(data), (i+1)*size)]}
		if i == 0 {
			row.Count = segments
		}
		value, err := cbor.Marshal(row)
		if err != nil {
			return nil, NewError("encode turn", KindCorrupt, err)
		}
		writes = append(writes, provider.RowWrite{
			RowKey: provider.RowKey{Table: Table, Partition: part, Key: segmentKey(key, i)}, Value: value,
		})
	}
	expiry := provider.RowWrite{RowKey: ExpiryKey(t), Value: strconv.AppendInt(nil, int64(segments), 10)}
	return append(writes, expiry), nil
}

// Decode returns a turn from its rows.
func Decode(id string, rows []provider.VersionedRow) (*Turn, error) {
	const operation = "decode turn"
	var packed bytes.Buffer
	segments, key := 0, Key(id)
	for i := range rows {
		if rows[i].Key != segmentKey(key, i) {
			break
		}
		var row segment
		if err := cbor.Unmarshal(rows[i].Value, &row); err != nil {
			return nil, NewError(operation, KindCorrupt, err)
		}
		if i == 0 {
			segments = row.Count
		}
		if i < segments {
			packed.Write(row.Data)
		}
	}
	if len(rows) == 0 || rows[0].Key != key {
		return nil, NewError(operation, KindNotFound, errors.New("no such turn"))
	}
	if len(rows) < segments {
		return nil, NewError(operation, KindCorrupt, fmt.Errorf("%d of %d rows", len(rows), segments))
	}
	plain, err := packer.Inflate(packed.Bytes(), maxTurnBytes)
	if err != nil {
		return nil, NewError(operation, KindCorrupt, err)
	}
	var stored storedTurn
	if err := cbor.Unmarshal(plain, &stored); err != nil {
		return nil, NewError(operation, KindCorrupt, err)
	}
	return &Turn{
		ID: id, Partition: rows[0].Partition, Previous: stored.Previous, Text: stored.Text, Expires: time.Unix(stored.Expires, 0),
	}, nil
}
