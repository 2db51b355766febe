package recorder_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// text returns text of a size that does not deflate.
func text(size int, seed byte) []byte {
	t := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(t)
	return t
}

// textOf returns the text of a chain.
func textOf(t *testing.T, chain []*historian.Turn) []byte {
	t.Helper()
	text, err := io.ReadAll(historian.NewHistory(chain, nil).Reader())
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// commonPartition returns a base for the IDs of turns and a partition in which both base and base+suffix may be
// stored.
func commonPartition(t *testing.T, suffix string) (base, partition string) {
	t.Helper()
	for i := range 1000 {
		base := fmt.Sprintf("%08x", i)
		for _, partition := range historian.CandidatePartitions(base) {
			if slices.Contains(historian.CandidatePartitions(base+suffix), partition) {
				return base, partition
			}
		}
	}
	t.Fatalf("no base for suffix %q", suffix)
	return "", ""
}

// Guards against turns of several rows that cannot be read from the store, or are overwritten, because
// the ID of another turn in their partition begins with theirs.
func TestTurnsWithCommonPrefix(t *testing.T) {
	// The store's pages have at most 500 rows.
	const storePage = 500
	tests := []struct {
		name, suffix string
		// turns is the largest number of further turns, whose IDs have the suffix and a number.
		turns    int
		pageRows int
	}{
		{"hyphen and number", "-1", 0, storePage},
		{"dot", ".", 0, storePage},
		{"exclamation mark", "!", 0, storePage},
		{"number of a segment", "/001", 0, storePage},
		{"beginning with the number of a segment", "/0010", 0, storePage},
		{"slash", "/", 0, storePage},
		{"character after the slash", "0", 0, storePage},
		{"escaped number of a segment", "%2F001", 0, storePage},
		{"many", "-", 40, storePage},
		{"many in small pages", "-", 40, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rows := emulator.NewRowStore()
			rows.SetPageRows(test.pageRows)
			base, partition := commonPartition(t, test.suffix)
			ids := []string{base, base + test.suffix}
			for i := range test.turns {
				if id := fmt.Sprintf("%s%s%d", base, test.suffix, i); slices.Contains(historian.CandidatePartitions(id), partition) {
					ids = append(ids, id)
				}
			}
			// Several rows each, so that each turn may overwrite rows of the others.
			for i, id := range ids {
				turn, err := historian.NewTurn(&historian.Draft{ID: id, Parts: [][]byte{text(200_000, byte(i))}})
				if err != nil {
					t.Fatal(err)
				}
				turn.Partition, turn.Expires = partition, time.Now().Add(time.Minute)
				writes, err := historian.Encode(turn, 65536)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := rows.Apply(t.Context(), provider.RowTransaction{Writes: writes}); err != nil {
					t.Fatal(err)
				}
			}
			reader := start(t, rows, "reader", noPeers{})
			for i, id := range ids {
				turns, err := reader.Chain(timeout(t, 5*time.Second), id, anyMemory{})
				if err != nil {
					t.Errorf("turn %s: %v", id, err)
					continue
				}
				if !bytes.Equal(text(200_000, byte(i)), textOf(t, turns)) {
					t.Errorf("turn %s differs", id)
				}
			}
		})
	}
}
