package borrower

import (
	"slices"
	"sync"
	"time"
)

// question identifies a request for tokens of a peer.
type question struct {
	lender string
	number int
}

// receipts are the loans that this daemon has requested. A loan is either received or refused, once and for all, so that
// its lender can take back the tokens of one that was not received. It is safe for concurrent use.
type receipts struct {
	mutex      sync.Mutex
	lastNumber int
	// open are the questions whose replies are accepted.
	open map[question]struct{}
	// unconfirmed maps the loans that were received to the time at which they are confirmed to their lenders, for as
	// long as these may ask for them.
	unconfirmed map[question]time.Time
}

func newReceipts() *receipts {
	return &receipts{open: map[question]struct{}{}, unconfirmed: map[question]time.Time{}}
}

// ask opens a question to lenders and returns its number.
func (r *receipts) ask(lenders []string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastNumber++
	for _, lender := range lenders {
		r.open[question{lender, r.lastNumber}] = struct{}{}
	}
	return r.lastNumber
}

// receive accepts a loan. It reports false if the question is no longer open: then the tokens are the lender's.
func (r *receipts) receive(now time.Time, q question) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, open := r.open[q]; !open {
		return false
	}
	delete(r.open, q)
	r.unconfirmed[q] = now
	return true
}

// close ends a question. A reply that arrives later is refused.
func (r *receipts) close(q question) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.open, q)
}

// settle closes a question and reports whether its loan was received.
func (r *receipts) settle(q question) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.open, q)
	_, received := r.unconfirmed[q]
	return received
}

// takeDue returns the loans to be confirmed by lender, which are due again after the given delay.
func (r *receipts) takeDue(now time.Time, delay time.Duration) map[string][]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	due := map[string][]int{}
	for q, at := range r.unconfirmed {
		if !now.Before(at) {
			due[q.lender] = append(due[q.lender], q.number)
			r.unconfirmed[q] = now.Add(delay)
		}
	}
	for _, numbers := range due {
		slices.Sort(numbers)
	}
	return due
}

// confirmed removes loans that their lender will not ask for any more.
func (r *receipts) confirmed(lender string, numbers []int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, number := range numbers {
		delete(r.unconfirmed, question{lender, number})
	}
}

// isEmpty reports whether no loan is to be confirmed.
func (r *receipts) isEmpty() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.unconfirmed) == 0
}
