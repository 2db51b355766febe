package borrower

import (
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
	// unconfirmed are the loans that were received, by lender, for as long as it may ask for them.
	unconfirmed dueTable[string, struct{}]
}

func newReceipts() *receipts {
	return &receipts{open: map[question]struct{}{}, unconfirmed: dueTable[string, struct{}]{}}
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
	r.unconfirmed.add(q.lender, q.number, struct{}{}, now)
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
	_, received := r.unconfirmed[q.lender][q.number]
	return received
}

// takeDue returns the loans to be confirmed by lender, which are due again after the given delay.
func (r *receipts) takeDue(now time.Time, delay time.Duration) map[string][]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.unconfirmed.takeDue(now, delay)
}

// confirmed removes loans that their lender will not ask for any more.
func (r *receipts) confirmed(lender string, numbers []int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, number := range numbers {
		r.unconfirmed.remove(lender, number)
	}
}

// isEmpty reports whether no loan is to be confirmed.
func (r *receipts) isEmpty() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.unconfirmed) == 0
}
