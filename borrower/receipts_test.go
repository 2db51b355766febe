package borrower

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against tokens that both the lender and the borrower keep, or neither: whatever the order of replies, time-outs and
// questions of the lender, a loan that the lender has taken back is not received later, and one that was received is not
// taken back until the lender has its confirmation.
func TestLoanIsReceivedOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := newReceipts(), time.Unix(1000, 0)
		received, takenBack, confirmed := map[question]bool{}, map[question]bool{}, map[question]bool{}
		var questions []question
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(questions) == 0 || rapid.IntRange(0, 4).Draw(t, "new") == 0 {
				number := r.ask([]string{"b", "c"})
				questions = append(questions, question{"b", number}, question{"c", number})
			}
			q := rapid.SampledFrom(questions).Draw(t, "question")
			switch rapid.SampledFrom([]string{"reply", "timeout", "lender asks", "confirm"}).Draw(t, "event") {
			case "reply":
				if r.receive(now, q) {
					if takenBack[q] || received[q] {
						t.Fatalf("%v is received, although taken back (%v) or received before (%v)", q, takenBack[q], received[q])
					}
					received[q] = true
				}
			case "timeout":
				r.close(q)
			case "lender asks":
				if confirmed[q] {
					// The lender has settled the loan and ignores the answer.
					r.settle(q)
					continue
				}
				if got := r.settle(q); got != received[q] {
					t.Fatalf("the lender is told that %v is received: %v, want %v", q, got, received[q])
				}
				takenBack[q] = !received[q]
			case "confirm":
				now = now.Add(time.Second)
				for lender, numbers := range r.takeDue(now, time.Second) {
					r.confirmed(lender, numbers)
					for _, number := range numbers {
						confirmed[question{lender, number}] = true
					}
				}
			}
		}
	})
}
