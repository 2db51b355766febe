package historian

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"strings"
	"time"
	"unicode/utf8"

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
	// PlainBytes is the size up to which the text of a turn is kept as it is. A larger one is kept deflated, and
	// inflated while it is sent.
	PlainBytes = 64 << 10
	// maxStoredBytes bounds the deflated text of a turn that is written in one transaction: the store takes calls of
	// 1 MB, in which it takes a third more.
	maxStoredBytes = 740_000
	// deflaterBytes is the memory of a deflater, bufferCopies that of the deflated text, in pieces and as a whole.
	deflaterBytes = 1 << 20
	bufferCopies  = 2
)

// Draft is a turn that is not written yet.
type Draft struct {
	ID string
	// Previous is the ID of the previous turn, empty at the start of a chain.
	Previous string
	// Workspace is the name of the workspace that the turn belongs to, empty for none.
	Workspace string
	// Parts are the turn's input and its output.
	Parts [][]byte
}

// TextBytes returns the size of the text.
func (d *Draft) TextBytes() int {
	size := 0
	for _, p := range d.Parts {
		size += len(p)
	}
	return size
}

// Turn is one turn of a chain.
type Turn struct {
	ID string
	// Partition is the partition of the table that holds the turn.
	Partition string
	// Previous is the ID of the previous turn, empty at the start of a chain.
	Previous string
	// Workspace is the name of the workspace that the turn belongs to, empty for none.
	Workspace string
	// Text is the turn's input followed by its output. It is nil if the text has more than PlainBytes bytes; then
	// Packed is the deflated text and UnpackedBytes the size of the text.
	Text          []byte
	Packed        []byte
	UnpackedBytes int
	// EarlierBytes is the memory that the earlier turns of the chain take, 0 if it is not known.
	EarlierBytes int
	// Expires is when the turn may be removed from the store.
	Expires time.Time
}

// WorkBytes returns the memory that NewTurn takes besides that of the draft. A small text counts nothing: it is a small
// part of what its call holds.
func (d *Draft) WorkBytes() int {
	size := d.TextBytes()
	if size <= PlainBytes {
		return 0
	}
	return deflaterBytes + bufferCopies*size
}

// NewTurn returns the turn of a draft. It fails with KindTooLarge if the text has more than maxTurnBytes.
func NewTurn(d *Draft) (*Turn, error) {
	const operation = "new turn"
	t := &Turn{ID: d.ID, Previous: d.Previous, Workspace: d.Workspace}
	size := d.TextBytes()
	if size > maxTurnBytes {
		return nil, NewError(operation, KindTooLarge, fmt.Errorf("%d bytes, at most %d are kept", size, maxTurnBytes))
	}
	if err := t.setText(size, d.Parts...); err != nil {
		return nil, NewError(operation, KindTooLarge, err)
	}
	return t, nil
}

// setText sets the text of so many bytes, deflated to at most maxTurnBytes if it is large.
func (t *Turn) setText(size int, parts ...[]byte) error {
	if size <= PlainBytes {
		t.Text = bytes.Join(parts, nil)
		return nil
	}
	var err error
	t.Packed, err = packer.DeflateParts(maxTurnBytes, parts...)
	t.UnpackedBytes = size
	return err
}

// TextBytes returns the size of the text.
func (t *Turn) TextBytes() int { return len(t.Text) + t.UnpackedBytes }

// MemoryBytes returns the memory that the turn takes.
func (t *Turn) MemoryBytes() int { return len(t.Text) + len(t.Packed) }

// reader returns a reader of the text.
func (t *Turn) reader() io.Reader {
	if t.UnpackedBytes > 0 {
		return packer.NewReader(t.Packed, t.UnpackedBytes)
	}
	return bytes.NewReader(t.Text)
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

// Key returns a name as the key of a row: the name itself, or its hash if it is too long or not UTF-8. Stores whose
// protocol is JSON replace bytes that are not UTF-8.
func Key(name string) string {
	if len(name) <= maxKeyBytes && utf8.ValidString(name) {
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

// restRange selects the other rows of a turn that has so many rows.
func restRange(key, partition string, count int) provider.RowRange {
	return provider.RowRange{Table: Table, Partition: partition, From: key + segmentSeparator, To: segmentKey(key, count-1) + "\x00"}
}

func segmentKey(key string, number int) string {
	if number == 0 {
		return key
	}
	return fmt.Sprintf("%s%s%0*d", key, segmentSeparator, segmentDigits, number)
}
