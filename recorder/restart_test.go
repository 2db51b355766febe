package recorder_test

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/recorder"
)

// panickingPeers panics when it is asked for tokens of one program.
type panickingPeers struct {
	noPeers
	program string
}

func (p panickingPeers) BorrowTokens(ctx context.Context, request accountant.Borrow, onLate func(int)) accountant.TokensReceived {
	if request.Program == p.program {
		panic("malformed reply")
	}
	return p.noPeers.BorrowTokens(ctx, request, onLate)
}

// Guards against a recorder that no longer answers after a panic, and against tokens beyond a budget
// that are granted by a state that was built anew.
func TestRebuildAfterPanic(t *testing.T) {
	rows := emulator.NewRowStore()
	r := recorder.New(rows, storedRows{rows}, panickingPeers{program: "poison"}, recorder.Options{
		Batcher: batcher.DefaultOptions(), Accountant: accountant.DefaultOptions(), Host: "a", Incarnation: "a",
		CacheBytes: 1 << 20, MaxChainBytes: 8 << 20, WorkBytes: 16 << 20, LendBytes: 16 << 20, RowBytes: 65536,
	}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	done, rebuilds := make(chan struct{}), 0
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if panics.Try(func() { r.Run(ctx) }) != nil {
				r.Rebuild()
				rebuilds++
			}
		}
	}()
	reserve := func(program string, tokens int, started bool) recorder.Reservation {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		return r.Reserve(ctx, recorder.Request{Program: program, Budget: 1000, Tokens: tokens, ProgramStarted: started})
	}
	running := reserve("p", 300, false)
	if running.Verdict != accountant.Admitted {
		t.Fatalf("first turn: %s", running.Verdict)
	}
	began := time.Now()
	if got := reserve("poison", 100, true); got.Verdict != accountant.Unavailable || time.Since(began) > time.Second {
		t.Errorf("turn that causes the panic: %s after %s, want %s at once", got.Verdict, time.Since(began), accountant.Unavailable)
	}
	admitted := 300
	for range 10 {
		if reserve("p", 100, true).Verdict == accountant.Admitted {
			admitted += 100
		}
		r.Finish(running, 300)
		running = recorder.Reservation{}
	}
	if admitted < 400 || admitted > 1000 {
		t.Errorf("%d tokens admitted of a budget of 1000, want some after the panic and none beyond the budget", admitted)
	}
	cancel()
	<-done
	if rebuilds != 1 {
		t.Errorf("the state was built anew %d times, want once", rebuilds)
	}
}
