package recorder_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/dogwoodweir/dogwoodweir/borrower"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/recorder"
)

// pool is the memory of all calls.
type pool struct{ *semaphore.Weighted }

// callShare is the share of one call in a pool.
type callShare struct {
	pool  pool
	bytes int64
}

// Resize implements recorder.Memory.
func (s *callShare) Resize(ctx context.Context, bytes int) error {
	if missing := int64(bytes) - s.bytes; missing > 0 {
		if err := s.pool.Acquire(ctx, missing); err != nil {
			return err
		}
	} else {
		s.pool.Release(-missing)
	}
	s.bytes = int64(bytes)
	return nil
}

func (s *callShare) release() {
	s.pool.Release(s.bytes)
	s.bytes = 0
}

// busyPeer has the turns of a peer but never sends a large one.
type busyPeer struct{ peer }

func (busyPeer) ReadTurn(context.Context, string, borrower.FoundTurn) *historian.Turn { return nil }

// Guards against calls that wait for each other's memory: none with a chain of large turns was served while several
// of them came at once.
func TestChainsDoNotWaitForEachOther(t *testing.T) {
	const (
		programs, turns, turnBytes = 24, 3, 300_000
		// poolBytes holds three chains with what reading them takes in addition.
		poolBytes = 3 << 20
	)
	rows := emulator.NewRowStore()
	writer := start(t, rows, "writer", noPeers{})
	last := make([]string, programs)
	for i := range last {
		var chain []*historian.Turn
		for k := range turns {
			d := historian.Draft{ID: fmt.Sprintf("p%d-%d", i, k), Previous: last[i], Parts: [][]byte{text(turnBytes, byte(i*turns+k))}}
			if err := writer.Commit(timeout(t, 5*time.Second), d, chain, time.Minute); err != nil {
				t.Fatal(err)
			}
			last[i] = d.ID
			var err error
			if chain, err = writer.Chain(timeout(t, 5*time.Second), d.ID, anyMemory{}); err != nil {
				t.Fatal(err)
			}
		}
	}
	tests := []struct {
		name  string
		peers recorder.Peers
	}{
		{"from the store", noPeers{}},
		{"from a peer", peer{writer}},
		{"from the store after a peer", busyPeer{peer{writer}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader := start(t, rows, "reader", test.peers)
			all := pool{semaphore.NewWeighted(poolBytes)}
			var group sync.WaitGroup
			var served atomic.Int64
			for i, id := range last {
				group.Go(func() {
					share := &callShare{pool: all}
					defer share.release()
					chain, err := reader.Chain(timeout(t, 20*time.Second), id, share)
					if err != nil {
						t.Errorf("program %d: %v", i, err)
						return
					}
					var want []byte
					for k := range turns {
						want = append(want, text(turnBytes, byte(i*turns+k))...)
					}
					if !bytes.Equal(want, textOf(t, chain)) {
						t.Errorf("the text of program %d differs", i)
					}
					if int64(turns*turnBytes) > share.bytes {
						t.Errorf("program %d holds %d bytes in a share of %d", i, turns*turnBytes, share.bytes)
					}
					served.Add(1)
				})
			}
			group.Wait()
			if !all.TryAcquire(poolBytes) {
				t.Error("memory is still taken after the end of all calls")
			}
			t.Logf("%d of %d served", served.Load(), programs)
		})
	}
}

// Guards against a call that fails without saying that memory was short, and against memory that it keeps.
func TestChainWithoutMemory(t *testing.T) {
	rows := emulator.NewRowStore()
	writer := start(t, rows, "writer", noPeers{})
	if err := writer.Commit(timeout(t, 5*time.Second), historian.Draft{ID: "a", Parts: [][]byte{text(300_000, 1)}}, nil, time.Minute); err != nil {
		t.Fatal(err)
	}
	reader := start(t, rows, "reader", noPeers{})
	all := pool{semaphore.NewWeighted(1 << 20)}
	if !all.TryAcquire(900 << 10) {
		t.Fatal("an empty pool has no room")
	}
	share := &callShare{pool: all}
	if _, err := reader.Chain(timeout(t, 100*time.Millisecond), "a", share); recorder.KindOf(err) != recorder.KindNoMemory {
		t.Errorf("error of kind %d: %v", recorder.KindOf(err), err)
	}
	share.release()
	all.Release(900 << 10)
	if chain, err := reader.Chain(timeout(t, 5*time.Second), "a", share); err != nil || !bytes.Equal(text(300_000, 1), textOf(t, chain)) {
		t.Errorf("after memory is free: %v", err)
	}
}
