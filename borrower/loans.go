package borrower

import (
	"slices"
	"sync"
	"time"

	"github.com/dogwoodweir/dogwoodweir/accountant"
)

// borrowerRun is one run of a daemon that borrows tokens.
type borrowerRun struct {
	host        string
	incarnation string
}

// loanKey identifies a loan by the borrower and the number of its question.
type loanKey struct {
	borrower borrowerRun
	number   int
}

// loan is a loan of which it is not known whether it was received.
type loan struct {
	program string
	ticket  accountant.Ticket
	tokens  int
	// askAt is when the borrower is asked.
	askAt time.Time
}

// loans are the loans of this daemon that are not settled. It is safe for concurrent use.
type loans struct {
	mutex     sync.Mutex
	unsettled map[loanKey]loan
}

func newLoans() *loans { return &loans{unsettled: map[loanKey]loan{}} }

func (l *loans) add(key loanKey, made loan) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unsettled[key] = made
}

// settle removes loans of a borrower and returns those that were not settled, by number.
func (l *loans) settle(borrower borrowerRun, numbers []int) map[int]loan {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	settled := map[int]loan{}
	for _, number := range numbers {
		key := loanKey{borrower, number}
		if made, ok := l.unsettled[key]; ok {
			settled[number] = made
			delete(l.unsettled, key)
		}
	}
	return settled
}

// takeDue returns the loans for which their borrowers are to be asked, which are due again after the given delay.
func (l *loans) takeDue(now time.Time, delay time.Duration) map[borrowerRun][]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	due := map[borrowerRun][]int{}
	for key, made := range l.unsettled {
		if !now.Before(made.askAt) {
			due[key.borrower] = append(due[key.borrower], key.number)
			made.askAt = now.Add(delay)
			l.unsettled[key] = made
		}
	}
	for _, numbers := range due {
		slices.Sort(numbers)
	}
	return due
}

// isEmpty reports whether all loans are settled.
func (l *loans) isEmpty() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.unsettled) == 0
}
