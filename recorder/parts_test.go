package recorder_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/recorder"
)

// Guards against turns inside the limit on bodies that cannot be recorded: they ran, and their connection was closed. They
// are read by a daemon that has just started, alone and as a chain.
func TestTurnsOfAnySizeAreRecorded(t *testing.T) {
	rows := emulator.NewRowStore()
	writer := start(t, rows, "writer", noPeers{})
	previous, whole := "", []byte(nil)
	for i, size := range []int{12_000, 700_000, 741_000, 1_200_000, 4 << 20, 20_000, 4<<20 + 500_000} {
		id, data := fmt.Sprint("turn", i), text(size, byte(i))
		for _, d := range []historian.Draft{
			{ID: id + " alone", Parts: [][]byte{data}}, {ID: id, Previous: previous, Parts: [][]byte{data}},
		} {
			chain, err := writer.Chain(timeout(t, 10*time.Second), d.Previous, anyMemory{})
			if err != nil {
				t.Fatal(err)
			}
			if err := writer.Commit(timeout(t, 10*time.Second), d, chain, time.Minute); err != nil {
				t.Fatalf("turn of %d bytes: %v", size, err)
			}
		}
		previous, whole = id, append(whole, data...)
		reader := start(t, rows, fmt.Sprint("reader", i), noPeers{})
		for id, want := range map[string][]byte{id + " alone": data, id: whole} {
			if len(want) > 8<<20 {
				continue // more than the memory of a chain
			}
			chain, err := reader.Chain(timeout(t, 10*time.Second), id, anyMemory{})
			if err != nil {
				t.Fatalf("chain of %d bytes: %v", len(want), err)
			}
			if !bytes.Equal(want, textOf(t, chain)) {
				t.Errorf("the text of a chain of %d bytes differs", len(want))
			}
		}
	}
}

// dyingStore performs a number of writes and none after them.
type dyingStore struct {
	provider.RowStore
	left atomic.Int64
}

func (s *dyingStore) Apply(ctx context.Context, t provider.RowTransaction) (int64, error) {
	if s.left.Add(-1) < 0 {
		return 0, provider.NewError("apply", provider.KindUnavailable, errors.New("stopped"))
	}
	return s.RowStore.Apply(ctx, t)
}

// Guards against a turn that exists in part after a daemon was killed while it wrote one, and against one that another
// daemon cannot write then.
func TestCrashBetweenWritesOfTurn(t *testing.T) {
	const size = 2_000_000
	first, second := text(size, 1), text(size, 2)
	for written := int64(0); ; written++ {
		rows := emulator.NewRowStore()
		dying := &dyingStore{RowStore: rows}
		dying.left.Store(written)
		killed := start(t, dying, "killed", noPeers{})
		err := killed.Commit(timeout(t, 300*time.Millisecond), historian.Draft{ID: "a", Parts: [][]byte{first}}, nil, time.Minute)
		if err == nil {
			if written < 3 {
				t.Errorf("a turn of %d bytes was written in %d transactions", size, written)
			}
			return
		}
		other := start(t, rows, "other", noPeers{})
		if _, err := other.Chain(timeout(t, 10*time.Second), "a", anyMemory{}); !recorder.IsNotFound(err) {
			t.Errorf("after %d writes the turn is there: %v", written, err)
		}
		if err := other.Commit(timeout(t, 10*time.Second), historian.Draft{ID: "a", Parts: [][]byte{second}}, nil, time.Minute); err != nil {
			t.Fatalf("after %d writes: %v", written, err)
		}
		reader := start(t, rows, "reader", noPeers{})
		chain, err := reader.Chain(timeout(t, 10*time.Second), "a", anyMemory{})
		if err != nil || !bytes.Equal(second, textOf(t, chain)) {
			t.Errorf("after %d writes the second turn is not whole: %v", written, err)
		}
	}
}

// Guards against a turn in parts that is lost when it is renewed for a chain that goes on.
func TestRenewalOfTurnInParts(t *testing.T) {
	rows := emulator.NewRowStore()
	writer := start(t, rows, "writer", noPeers{})
	first := text(1_500_000, 1)
	if err := writer.Commit(timeout(t, 10*time.Second), historian.Draft{ID: "a", Parts: [][]byte{first}}, nil, time.Second); err != nil {
		t.Fatal(err)
	}
	chain, err := writer.Chain(timeout(t, 10*time.Second), "a", anyMemory{})
	if err != nil {
		t.Fatal(err)
	}
	before := chain[0].Expires
	if err := writer.Commit(timeout(t, 10*time.Second), historian.Draft{ID: "b", Previous: "a", Parts: [][]byte{[]byte("more")}}, chain, time.Hour); err != nil {
		t.Fatal(err)
	}
	reader := start(t, rows, "reader", noPeers{})
	got, err := reader.Chain(timeout(t, 10*time.Second), "b", anyMemory{})
	if err != nil || len(got) != 2 || !bytes.Equal(append(first, "more"...), textOf(t, got)) {
		t.Fatalf("%d turns: %v", len(got), err)
	}
	if !got[1].Expires.After(before.Add(time.Hour)) {
		t.Errorf("the renewed turn expires at %v, before at %v", got[1].Expires, before)
	}
}
