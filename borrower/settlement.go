package borrower

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
)

// errNotListed is the failure of a call to a daemon that is not on the list.
var errNotListed = errors.New("the daemon is not listed")

// RunSettlement settles loans until the context ends. A loan's reply may be lost, or reach a borrower that no longer waits
// for it. The borrower therefore confirms the loans that it has received. The lender asks for the others, and takes the
// tokens back if the borrower has not received them and will not accept them any more.
func (b *Borrower) RunSettlement(ctx context.Context, lender Lender) {
	for {
		for !b.loans.isEmpty() || !b.receipts.isEmpty() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(b.options.SettleInterval):
				b.settle(ctx, lender)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-b.unsettled:
		}
	}
}

// wakeSettlement makes RunSettlement look for loans that are due.
func (b *Borrower) wakeSettlement() {
	select {
	case b.unsettled <- struct{}{}:
	default:
	}
}

// settle confirms the loans that are due and asks for those of this daemon, one call for each peer.
func (b *Borrower) settle(ctx context.Context, lender Lender) {
	now := time.Now()
	confirm := b.receipts.takeDue(now, b.options.SettleRetryDelay)
	ask := b.loans.takeDue(now, b.options.SettleRetryDelay)
	ended := b.endedHosts(ctx, confirm, ask)
	var calls conc.WaitGroup
	for host, numbers := range confirm {
		calls.Go(func() { b.confirmLoans(ctx, host, numbers, slices.Contains(ended, host)) })
	}
	for borrower, numbers := range ask {
		calls.Go(func() { b.askForLoans(ctx, lender, borrower, numbers, slices.Contains(ended, borrower.host)) })
	}
	calls.Wait()
}

// endedHosts returns those of the lenders and borrowers whose daemons have ended: a current list lacks them.
func (b *Borrower) endedHosts(ctx context.Context, lenders map[string][]int, borrowers map[borrowerRun][]int) []string {
	var hosts []string
	for host := range lenders {
		hosts = append(hosts, host)
	}
	for borrower := range borrowers {
		hosts = append(hosts, borrower.host)
	}
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	peers, current := b.listedPeers(ctx, hosts)
	if !current {
		return nil
	}
	return slices.DeleteFunc(hosts, func(host string) bool {
		_, listed := peerOn(peers, host)
		return listed
	})
}

// confirmLoans tells a lender which loans were received.
func (b *Borrower) confirmLoans(ctx context.Context, host string, numbers []int, ended bool) {
	if !ended {
		notice := encoder.LoanNotice{Host: b.host, Incarnation: b.incarnation, Loans: numbers}
		if _, err := callHost[struct{}](ctx, b, host, messenger.MethodLoanNotice, notice); err != nil {
			b.log.Debug("lender did not take the confirmation of loans", zap.String("peer", host), zap.Error(err))
			return
		}
	}
	b.receipts.confirmed(host, numbers)
}

// askForLoans asks a borrower which loans it has received and settles them.
func (b *Borrower) askForLoans(ctx context.Context, lender Lender, borrower borrowerRun, numbers []int, ended bool) {
	reply := encoder.LoanAnswer{Ended: ended}
	if !ended {
		request := encoder.LoanQuestion{Host: b.host, Incarnation: borrower.incarnation, Loans: numbers}
		var err error
		if reply, err = callHost[encoder.LoanAnswer](ctx, b, borrower.host, messenger.MethodLoanQuestion, request); err != nil {
			b.log.Debug("borrower did not tell which loans it has received", zap.String("peer", borrower.host), zap.Error(err))
			return
		}
	}
	if !reply.Ended && len(reply.Received) != len(numbers) {
		b.log.Warn("borrower told of another number of loans", zap.String("peer", borrower.host),
			zap.Int("loans", len(numbers)), zap.Int("told", len(reply.Received)))
		return
	}
	for number, made := range b.loans.settle(borrower, numbers) {
		// What a borrower had that has ended is lost with it.
		received := reply.Ended || reply.Received[slices.Index(numbers, number)]
		lender.SettleLoan(ctx, accountant.LoanSettled{Program: made.program, Ticket: made.ticket, Received: received})
		if !received {
			b.log.Info("took back tokens that a peer has not received", zap.String("program", made.program),
				zap.String("peer", borrower.host), zap.Int("tokens", made.tokens))
		}
	}
}

// callHost calls the daemon on a host.
func callHost[Reply any](ctx context.Context, b *Borrower, host, method string, request any) (Reply, error) {
	peer, listed := peerOn(b.peers.Peers(), host)
	if !listed {
		var none Reply
		return none, errNotListed
	}
	ctx, cancel := context.WithTimeout(ctx, b.options.CallTimeout)
	defer cancel()
	return messenger.Call[Reply](ctx, b.messenger, peer, method, request)
}

// lendTokens serves a peer's request for tokens.
func (b *Borrower) lendTokens(ctx context.Context, lender Lender, request encoder.TokenQuestion) encoder.TokenAnswer {
	lent := lender.LendTokens(ctx, accountant.BorrowRequested{
		Program: request.Program, Tokens: request.Tokens, Host: request.Host, Incarnation: request.Incarnation, Confirms: request.Loan > 0,
	})
	answer := encoder.TokenAnswer{
		Tokens: lent.Tokens, UnknownProgram: lent.UnknownProgram, Uncertain: lent.Uncertain, Incarnation: lent.Incarnation,
	}
	for _, l := range lent.Borrowers {
		answer.Borrowers = append(answer.Borrowers, encoder.TokenBorrower(l))
	}
	if lent.Tokens > 0 && request.Loan > 0 {
		answer.Confirm = true
		made := loan{program: request.Program, ticket: lent.Ticket, tokens: lent.Tokens}
		b.loans.add(borrowerRun{request.Host, request.Incarnation}, request.Loan, made, time.Now().Add(b.options.SettleDelay))
		b.wakeSettlement()
	}
	return answer
}

// receive returns the tokens of a reply, none if the loan is refused.
func (b *Borrower) receive(host string, number int, reply *encoder.TokenAnswer) int {
	if !reply.Confirm {
		b.receipts.close(question{host, number})
		return reply.Tokens
	}
	if !b.receipts.receive(time.Now(), question{host, number}) {
		b.log.Info("refused tokens that their lender has taken back", zap.String("peer", host), zap.Int("tokens", reply.Tokens))
		return 0
	}
	b.wakeSettlement()
	return reply.Tokens
}

// settleReceived serves a borrower's confirmation of loans.
func (b *Borrower) settleReceived(ctx context.Context, lender Lender, notice encoder.LoanNotice) {
	for _, made := range b.loans.settle(borrowerRun{notice.Host, notice.Incarnation}, notice.Loans) {
		lender.SettleLoan(ctx, accountant.LoanSettled{Program: made.program, Ticket: made.ticket, Received: true})
	}
}

// answerLoans serves a lender's question which of its loans were received.
func (b *Borrower) answerLoans(request encoder.LoanQuestion) encoder.LoanAnswer {
	if request.Incarnation != b.incarnation {
		return encoder.LoanAnswer{Ended: true}
	}
	answer := encoder.LoanAnswer{}
	for _, number := range request.Loans {
		answer.Received = append(answer.Received, b.receipts.settle(question{request.Host, number}))
	}
	return answer
}
