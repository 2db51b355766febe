package recorder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/recorder"
)

// slowWrites delays each write by up to a duration.
type slowWrites struct {
	provider.RowStore
	most time.Duration
}

func (s slowWrites) Apply(ctx context.Context, t provider.RowTransaction) (int64, error) {
	time.Sleep(rand.N(s.most))
	return s.RowStore.Apply(ctx, t)
}

// Guards against tokens that stay reserved for a turn whose caller left at the moment of the decision.
func TestCancelledReservationKeepsNoTokens(t *testing.T) {
	const (
		programs = 400
		turn     = 10
		wait     = 2 * time.Millisecond
	)
	r := start(t, slowWrites{emulator.NewRowStore(), 2 * wait}, "host", noPeers{})
	request := func(i int) recorder.Request {
		return recorder.Request{Program: fmt.Sprint("p", i), Budget: turn, Tokens: turn}
	}
	var callers sync.WaitGroup
	for i := range programs {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), rand.N(2*wait))
			defer cancel()
			r.Finish(r.Reserve(ctx, request(i)), 0)
		})
	}
	callers.Wait()
	for i := range programs {
		if got := r.Reserve(timeout(t, 10*time.Second), request(i)); got.Verdict != accountant.Admitted {
			t.Errorf("program %d: %v", i, got.Verdict)
		}
	}
}

// Guards against tokens that are lent to a peer that has gone before the reply: they were in nobody's account.
func TestCancelledLoanIsTakenBack(t *testing.T) {
	const programs, budget = 500, 10
	r := start(t, emulator.NewRowStore(), "host", noPeers{})
	for i := range programs {
		program := fmt.Sprint("p", i)
		r.Finish(r.Reserve(timeout(t, 10*time.Second), recorder.Request{Program: program, Budget: budget, Tokens: budget}), 0)
		ctx, cancel := context.WithTimeout(context.Background(), rand.N(20*time.Microsecond))
		question := accountant.BorrowRequested{Program: program, Tokens: budget, Confirms: i%2 == 0}
		lent := r.LendTokens(ctx, question)
		cancel()
		question.Confirms = false
		left := r.LendTokens(timeout(t, 10*time.Second), question)
		if lent.Tokens+left.Tokens != budget {
			t.Errorf("%s: %d tokens were lent and %d are left of %d", program, lent.Tokens, left.Tokens, budget)
		}
	}
}
