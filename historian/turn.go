package historian

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodweir/dogwoodweir/packer"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Table is the table of turns.
const Table = "turns"

const (
	// partitionCount is the number of partitions of the table. The store takes a few hundred
	// transactions a second for each partition.
	partitionCount = 16
	// candidateCount is the number of candidate partitions of a turn.
	candidateCount = 3
	// maxKeyBytes leaves room for a segment number within the store's limit of 200 bytes.
	maxKeyBytes = 160
	// segmentSeparator stands between a turn's key and a segment number of segmentDigits digits.
	segmentSeparator = "/"
	segmentDigits    = 3
	// maxTurnBytes bounds the inflated size of rows, which another writer may have written.
	maxTurnBytes = 32 << 20
)

// Turn is one turn of a chain.
type Turn struct {
	ID string
	// Partition is the partition of the table that holds the turn.
	Partition string
	// Previous is the ID of the previous turn, empty at the start of a chain.
	Previous string
	// Workspace is the name of the workspace that the turn belongs to, empty for none.
	Workspace string
	// Text is the turn's input followed by its output.
	Text []byte
	// Expires is when the turn may be removed from the store.
	Expires time.Time
}

// storedTurn is the encoding of a turn. It is deflated and split into one or more rows.
type storedTurn struct {
	Previous  string `cbor:"1,keyasint,omitempty"`
	Text      []byte `cbor:"2,keyasint"`
	Expires   int64  `cbor:"3,keyasint"`
	Workspace string `cbor:"4,keyasint,omitempty"`
}

// segment is the value of one row of a turn. The first one has the number of rows.
type segment struct {
	Count int    `cbor:"1,keyasint,omitempty"`
	Data  []byte `cbor:"2,keyasint"`
}

// keyEscaper keeps the separator of segment numbers out of keys, so that no turn has a key of another
// turn's segment.
var keyEscaper = strings.NewReplacer("%", "%25", segmentSeparator, "%2F")

// turnKey returns the key of a turn's first row.
func turnKey(id string) string { return Key(keyEscaper.Replace(id)) }

// keys returns the keys under which a turn may be stored. Rows of earlier versions have IDs that are not
// escaped.
func keys(id string) []string {
	if key, old := turnKey(id), Key(id); old != key {
		return []string{key, old}
	}
	return []string{Key(id)}
}

// Key returns a name as the key of a row: the name itself, or its hash if it is too long.
func Key(name string) string {
	if len(name) <= maxKeyBytes {
		return name
	}
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:])
}

// CandidatePartitions returns the partitions in which a turn may be stored, in the order in
// which they are tried: a turn is written to the first that responds.
func CandidatePartitions(id string) []string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	sum := h.Sum64()
	first := int(sum % partitionCount)
	// An odd step visits different partitions, since their number is a power of two.
	step := int(sum>>32%(partitionCount/2))*2 + 1
	candidates := make([]string, candidateCount)
	for i := range candidates {
		candidates[i] = partitionName((first + i*step) % partitionCount)
	}
	return candidates
}

// headRange selects the first row of a turn. IDs of other turns may begin with this one's, so that their rows
// lie between the first row and the others.
func headRange(key, partition string) provider.RowRange {
	return provider.RowRange{Table: Table, Partition: partition, From: key, To: key + "\x00", Limit: 1}
}

// restRange selects the other rows of a turn.
func restRange(key, partition string) provider.RowRange {
	// '0' is the byte after '/'.
	return provider.RowRange{Table: Table, Partition: partition, From: key + segmentSeparator, To: key + "0"}
}

func segmentKey(key string, number int) string {
	if number == 0 {
		return key
	}
	return fmt.Sprintf("%s%s%0*d", key, segmentSeparator, segmentDigits, number)
}

// Encode returns the rows of a turn, each of at most rowBytes, and its expiry row.
func Encode(t *Turn, rowBytes int) ([]provider.RowWrite, error) {
	plain, err := cbor.Marshal(storedTurn{
		Previous: t.Previous, Text: t.Text, Expires: t.Expires.Unix(), Workspace: t.Workspace,
	})
	if err != nil {
		return nil, NewError("encode turn", KindCorrupt, err)
	}
	return split(t, packer.Deflate(plain), rowBytes)
}

// segmentOverheadBytes bounds what the encoding of a segment adds to its data.
const segmentOverheadBytes = 64

// split returns the rows that hold the encoded turn, and its expiry row.
func split(t *Turn, data []byte, rowBytes int) ([]provider.RowWrite, error) {
	size := max(1, rowBytes-segmentOverheadBytes)
	segments := max(1, (len(data)+size-1)/size)
	key, partition := turnKey(t.ID), t.Partition
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
			RowKey: provider.RowKey{Table: Table, Partition: partition, Key: segmentKey(key, i)}, Value: value,
		})
	}
	expiry := provider.RowWrite{RowKey: ExpiryKey(t), Value: strconv.AppendInt(nil, int64(segments), 10)}
	return append(writes, expiry), nil
}

// Decode returns a turn from its rows, sorted by key; rows of other turns are ignored. It fails with
// KindNotFound without a first row, and with KindCorrupt if rows are missing, of different writes, or
// cannot be decoded.
func Decode(id string, rows []provider.VersionedRow) (*Turn, error) {
	var failure error
	for _, key := range keys(id) {
		turn, err := decode(key, rows)
		if err == nil {
			turn.ID = id
			return turn, nil
		}
		if failure == nil || isNotFound(failure) {
			failure = err
		}
	}
	return nil, failure
}

// decodeHead returns the first row of a turn among rows and its segment.
func decodeHead(key string, rows []provider.VersionedRow) (*provider.VersionedRow, *segment, error) {
	const operation = "decode first row"
	i := slices.IndexFunc(rows, func(r provider.VersionedRow) bool { return r.Key == key })
	if i < 0 {
		return nil, nil, NewError(operation, KindNotFound, errors.New("no row of the turn"))
	}
	var head segment
	if err := cbor.Unmarshal(rows[i].Value, &head); err != nil {
		return nil, nil, NewError(operation, KindCorrupt, err)
	}
	if head.Count < 1 {
		// The row is a later segment of a turn whose ID this one begins with, written by an earlier version.
		return nil, nil, NewError(operation, KindNotFound, errors.New("the row is not the first of a turn"))
	}
	return &rows[i], &head, nil
}

// decode returns the turn with a key, without its ID.
func decode(key string, rows []provider.VersionedRow) (*Turn, error) {
	const operation = "decode turn"
	first, head, err := decodeHead(key, rows)
	if err != nil {
		return nil, err
	}
	deflated := bytes.NewBuffer(head.Data)
	found := 1
	for i := range rows {
		if found == head.Count {
			break
		}
		if rows[i].Key != segmentKey(key, found) {
			continue
		}
		if rows[i].Version != first.Version {
			return nil, NewError(operation, KindCorrupt, fmt.Errorf("row %d is of another write", found))
		}
		var row segment
		if err := cbor.Unmarshal(rows[i].Value, &row); err != nil {
			return nil, NewError(operation, KindCorrupt, err)
		}
		deflated.Write(row.Data)
		found++
	}
	if found < head.Count {
		return nil, NewError(operation, KindCorrupt, fmt.Errorf("found %d of %d rows", found, head.Count))
	}
	plain, err := packer.Inflate(deflated.Bytes(), maxTurnBytes)
	if err != nil {
		return nil, NewError(operation, KindCorrupt, err)
	}
	var stored storedTurn
	if err := cbor.Unmarshal(plain, &stored); err != nil {
		return nil, NewError(operation, KindCorrupt, err)
	}
	return &Turn{
		Partition: first.Partition, Previous: stored.Previous, Workspace: stored.Workspace, Text: stored.Text,
		Expires: time.Unix(stored.Expires, 0),
	}, nil
}
