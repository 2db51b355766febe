package recorder_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/recorder"
)

// Guards against programs that are refused for good since their history is larger than the cache of turns, though each
// turn was accepted.
func TestChainLargerThanCache(t *testing.T) {
	const turnBytes = 700_000
	tests := []struct {
		name  string
		turns int
		kind  recorder.Kind
	}{
		{"one turn", 1, 0},
		{"larger than the cache", 3, 0},
		{"larger than the memory for chains", 13, recorder.KindTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rows := emulator.NewRowStore()
			writer := start(t, rows, "writer", noPeers{})
			previous := ""
			for i := range test.turns {
				turn := historian.Draft{ID: string(rune('a' + i)), Previous: previous, Parts: [][]byte{text(turnBytes, byte(i))}}
				if err := writer.Commit(timeout(t, 5*time.Second), turn, nil, time.Minute); err != nil {
					t.Fatal(err)
				}
				previous = turn.ID
			}
			reader := start(t, rows, "reader", noPeers{})
			for _, r := range []*recorder.Recorder{writer, reader, reader} {
				turns, err := r.Chain(timeout(t, 5*time.Second), previous, anyMemory{})
				if diff := cmp.Diff(test.kind, recorder.KindOf(err)); diff != "" {
					t.Fatalf("kind of %v (-want +got):\n%s", err, diff)
				}
				if err != nil {
					continue
				}
				if diff := cmp.Diff(test.turns, len(turns)); diff != "" {
					t.Errorf("turns (-want +got):\n%s", diff)
				}
				var want []byte
				for i := range test.turns {
					want = append(want, text(turnBytes, byte(i))...)
				}
				if !bytes.Equal(want, textOf(t, turns)) {
					t.Error("the text of the chain differs")
				}
			}
		})
	}
}
