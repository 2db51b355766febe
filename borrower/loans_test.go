package borrower_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/borrower"
	"github.com/dogwoodweir/dogwoodweir/messenger"
)

// tokenLender lends a number of tokens once it is released, and reports how the loan was settled.
type tokenLender struct {
	lender
	tokens  int
	release chan struct{}
	settled chan accountant.LoanSettled
}

func (l *tokenLender) LendTokens(ctx context.Context, _ accountant.BorrowRequested) accountant.Lend {
	select {
	case <-l.release:
	case <-ctx.Done():
	}
	return accountant.Lend{Ticket: 7, Tokens: l.tokens}
}

func (l *tokenLender) SettleLoan(_ context.Context, settled accountant.LoanSettled) {
	l.settled <- settled
}

// loanHandler serves the requests of peers on loans.
type loanHandler struct {
	lenderHandler
	lender  *tokenLender
	borrows *borrower.Borrower
	// lostNotices is set if confirmations do not arrive.
	lostNotices bool
}

func (h *loanHandler) Handle(ctx context.Context, _, method string, params json.RawMessage) (any, error) {
	if h.lostNotices && method == messenger.MethodLoanNotice {
		return nil, errors.New("lost")
	}
	result, _, err := h.borrows.Handle(ctx, h.lender, method, params)
	return result, err
}

// listOf lists the daemons on some hosts.
type listOf []string

func (l listOf) Peers() []messenger.Peer {
	var peers []messenger.Peer
	for _, host := range l {
		peers = append(peers, messenger.Peer{Host: host, Address: host})
	}
	return peers
}
func (l listOf) RegionPeers() []messenger.Peer { return l.Peers() }
func (listOf) Refresh(context.Context) error   { return nil }

// Guards against tokens of a loan whose borrower no longer waits for the reply: they were in nobody's account, and programs
// were told that their budget was spent after a daemon had stood still.
func TestLoansAreSettled(t *testing.T) {
	const tokens = 100
	taken := accountant.LoanSettled{Program: "p", Ticket: 7, Received: true}
	returned := accountant.LoanSettled{Program: "p", Ticket: 7}
	tests := []struct {
		name string
		// callTimeout bounds the wait for the reply, which is sent after sendAfter.
		callTimeout time.Duration
		sendAfter   time.Duration
		lostNotices bool
		// lenderList are the daemons that the lender knows.
		lenderList listOf
		// atOnce and late are the tokens that the borrower gets.
		atOnce, late int
		settled      accountant.LoanSettled
	}{
		{"reply in time", 10 * time.Second, 0, false, listOf{"a"}, tokens, 0, taken},
		{"late reply", 10 * time.Second, 400 * time.Millisecond, false, listOf{"a"}, 0, tokens, taken},
		{"confirmation is lost", 10 * time.Second, 0, true, listOf{"a"}, tokens, 0, taken},
		{"nobody waits for the reply", 200 * time.Millisecond, time.Second, false, listOf{"a"}, 0, 0, returned},
		{"borrower has ended", 200 * time.Millisecond, time.Second, false, listOf{}, 0, 0, taken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			network := messenger.NewMemoryNetwork()
			lends := &tokenLender{tokens: tokens, release: make(chan struct{}), settled: make(chan accountant.LoanSettled, 2)}
			options := borrower.DefaultOptions()
			options.ReplyTimeout, options.CallTimeout = 200*time.Millisecond, test.callTimeout
			start := func(host string, list listOf) *borrower.Borrower {
				handler := &loanHandler{lender: lends, lostNotices: test.lostNotices}
				m := messenger.New(messenger.Settings{Host: host, Dial: network.Dialer(host)}, handler, zap.NewNop())
				t.Cleanup(m.Close)
				listener := network.Listen(host)
				// It returns an error only if the listener fails, and then the peer does not reply.
				go func() { _ = m.Serve(listener) }()
				handler.borrows = borrower.New(m, list, host, host+"-run", options, zap.NewNop())
				ctx, cancel := context.WithCancel(t.Context())
				var settlement sync.WaitGroup
				settlement.Go(func() { handler.borrows.RunSettlement(ctx, lends) })
				t.Cleanup(func() {
					cancel()
					settlement.Wait()
				})
				return handler.borrows
			}
			start("b", test.lenderList)
			asking := start("a", listOf{"b"})
			late := make(chan int, 1)
			time.AfterFunc(test.sendAfter, func() { close(lends.release) })
			got := asking.BorrowTokens(t.Context(), accountant.Borrow{Program: "p", Tokens: 10, Hosts: []string{"b"}}, func(tokens int) { late <- tokens })
			if got.Tokens != test.atOnce {
				t.Errorf("%d tokens at once, want %d", got.Tokens, test.atOnce)
			}
			select {
			case settled := <-lends.settled:
				if diff := cmp.Diff(test.settled, settled); diff != "" {
					t.Errorf("settled (-want +got):\n%s", diff)
				}
			case <-time.After(20 * time.Second):
				t.Fatal("the loan is not settled")
			}
			lateTokens := 0
			select {
			case lateTokens = <-late:
			default:
			}
			if lateTokens != test.late {
				t.Errorf("%d tokens late, want %d", lateTokens, test.late)
			}
			select {
			case again := <-lends.settled:
				t.Errorf("settled again: %+v", again)
			case <-time.After(3 * options.SettleInterval):
			}
		})
	}
}
