package borrower

import (
	"sync"
	"time"

	"github.com/dogwoodweir/dogwoodweir/accountant"
)

// borrowerRun is one run of a daemon that borrows tokens.
type borrowerRun struct {
	host        string
	incarnation string
}

// loan is a loan of which it is not known whether it was received.
type loan struct {
	program string
	ticket  accountant.Ticket
	tokens  int
}

// loans are the loans of this daemon that are not settled, by borrower and the number of its question. It is safe for
// concurrent use.
type loans struct {
	mutex     sync.Mutex
	unsettled dueTable[borrowerRun, loan]
}

func newLoans() *loans { return &loans{unsettled: dueTable[borrowerRun, loan]{}} }

// add adds a loan, for which its borrower is to be asked at the given time.
func (l *loans) add(borrower borrowerRun, number int, made loan, askAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unsettled.add(borrower, number, made, askAt)
}

// settle removes loans of a borrower and returns those that were not settled, by number.
func (l *loans) settle(borrower borrowerRun, numbers []int) map[int]loan {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	settled := map[int]loan{}
	for _, number := range numbers {
		if made, ok := l.unsettled.remove(borrower, number); ok {
			settled[number] = made
		}
	}
	return settled
}

// takeDue returns the loans for which their borrowers are to be asked, which are due again after the given delay.
func (l *loans) takeDue(now time.Time, delay time.Duration) map[borrowerRun][]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.unsettled.takeDue(now, delay)
}

// isEmpty reports whether all loans are settled.
func (l *loans) isEmpty() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.unsettled) == 0
}
