package surveyor_test

import (
	"testing"
	"time"
)

func TestReplay(t *testing.T) {
	for _, x := range []*exchange{nil, {}, {delay: 100 * time.Millisecond}, {delay: 250 * time.Millisecond}, {lost: 0.3}} {
		total := &replayResult{}
		const seeds = 3
		for seed := range uint64(seeds) {
			r := newReplay(seed + 1)
			if x != nil {
				r.startReports(*x)
			}
			one := r.run(16 * time.Second)
			total.uneven += one.uneven / seeds
			total.overfull += one.overfull / seeds
			total.meanCalls += one.meanCalls / seeds
			total.idlest += one.idlest / seeds
			total.busiest += one.busiest / seeds
			total.turns += one.turns
			total.moved += one.moved
			total.elsewhere += one.elsewhere
			total.firstEvents = append(total.firstEvents, one.firstEvents...)
			total.programTimes = append(total.programTimes, one.programTimes...)
			total.reversals += one.reversals
			total.reportRounds += one.reportRounds
		}
		t.Log(x, total)
	}
}
