package committer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// delayRun measures commit delays of many daemons in virtual time. The store answers
// within 2 to 6 ms; each daemon gets requests of two records at random times.
type delayRun struct {
	random *rand.Rand
	now    time.Time
	due    dueEvents
	states []*State
	ticks  []time.Time
	asked  []map[Ticket]time.Time
	delays []time.Duration
	writes int
}

type dueEvent struct {
	at      time.Time
	daemon  int
	message Message
}

// dueEvents is a heap of events by time.
type dueEvents []dueEvent

func (d dueEvents) Len() int           { return len(d) }
func (d dueEvents) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d dueEvents) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dueEvents) Push(event any)    { *d = append(*d, event.(dueEvent)) }
func (d *dueEvents) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func (r *delayRun) at(at time.Time, daemon int, message Message) {
	heap.Push(&r.due, dueEvent{at, daemon, message})
}

func (r *delayRun) step() {
	e := heap.Pop(&r.due).(dueEvent)
	r.now = e.at
	state := r.states[e.daemon]
	if _, tick := e.message.(Tick); tick {
		if r.ticks[e.daemon] != e.at {
			return
		}
		r.ticks[e.daemon] = time.Time{}
	}
	if request, ok := e.message.(AppendRequested); ok {
		r.asked[e.daemon][request.Ticket] = r.now
	}
	for _, command := range state.Update(r.now, e.message) {
		answer := r.now.Add(2*time.Millisecond + time.Duration(r.random.Int64N(int64(4*time.Millisecond))))
		switch c := command.(type) {
		case CommitTransaction:
			r.writes++
			versions := make([]int64, len(c.Transaction.Writes))
			versions[0] = c.Transaction.Conditions[0].Version + 1
			r.at(answer, e.daemon, CommitFinished{ID: c.Transaction.ID, Versions: versions})
		case ReadLeaseRow:
			r.at(answer, e.daemon, LeaseRowRead{Row: provider.Row{}})
		case TicketCommitted:
			r.delays = append(r.delays, r.now.Sub(r.asked[e.daemon][c.Ticket]))
			delete(r.asked[e.daemon], c.Ticket)
		}
	}
	if next := state.Next(); !next.IsZero() {
		if next.Before(r.now) {
			next = r.now.Add(time.Microsecond)
		}
		if planned := r.ticks[e.daemon]; planned.IsZero() || next.Before(planned) {
			r.ticks[e.daemon] = next
			r.at(next, e.daemon, Tick{})
		}
	}
}

// run returns the delays, in order, and the transactions a second.
func (r *delayRun) run(daemons int, requestsPerSec float64, seconds int) (delays []time.Duration, writes float64) {
	r.now = start
	for daemon := range daemons {
		state := New(Options{Host: fmt.Sprint(daemon), Incarnation: "i", Seed: uint64(daemon)})
		state.Update(start, LiveHostsChanged{Hosts: daemons})
		r.states = append(r.states, state)
		r.ticks = append(r.ticks, time.Time{})
		r.asked = append(r.asked, map[Ticket]time.Time{})
		r.at(start.Add(time.Duration(r.random.Int64N(int64(time.Second)))), daemon, LeaseRowRead{})
		ticket := Ticket(0)
		for at := start.Add(3 * time.Second); at.Before(start.Add(time.Duration(seconds) * time.Second)); {
			at = at.Add(time.Duration(r.random.ExpFloat64() / (requestsPerSec / float64(daemons)) * float64(time.Second)))
			ticket++
			r.at(at, daemon, records(ticket, "a short body", "another body"))
		}
	}
	for len(r.due) > 0 && r.now.Before(start.Add(time.Duration(seconds)*time.Second)) {
		r.step()
	}
	slices.Sort(r.delays)
	return r.delays, float64(r.writes) / float64(seconds)
}

// BenchmarkCommitDelay reports the delay from a request to its durability, with the
// default write budget of 400 transactions a second.
func BenchmarkCommitDelay(b *testing.B) {
	for _, perDaemon := range []float64{1, 10, 23} {
		for _, daemons := range []int{9, 50, 150, 350} {
			b.Run(fmt.Sprintf("daemons=%d/requestsPerSec=%g", daemons, perDaemon*float64(daemons)), func(b *testing.B) {
				for b.Loop() {
					r := &delayRun{random: rand.New(rand.NewPCG(1, 1))}
					delays, writes := r.run(daemons, perDaemon*float64(daemons), 30)
					var sum time.Duration
					for _, delay := range delays {
						sum += delay
					}
					ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
					b.ReportMetric(ms(sum/time.Duration(len(delays))), "mean-ms")
					b.ReportMetric(ms(delays[len(delays)*95/100]), "p95-ms")
					b.ReportMetric(writes, "writes/s")
				}
			})
		}
	}
}

// BenchmarkGroupCommit measures the decision and the encoding of one transaction.
func BenchmarkGroupCommit(b *testing.B) {
	for _, batch := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("requests=%d", batch), func(b *testing.B) {
			s := New(Options{Host: "a", Incarnation: "i", WritesPerSec: 1e9})
			now := start
			answer := func(commands []Command) {
				for _, command := range commands {
					if c, ok := command.(CommitTransaction); ok {
						versions := make([]int64, len(c.Transaction.Writes))
						versions[0] = s.version + 1
						now = now.Add(time.Millisecond)
						s.Update(now, CommitFinished{ID: c.Transaction.ID, Versions: versions})
					}
				}
			}
			s.Update(now, Tick{})
			answer(s.Update(now, LeaseRowRead{}))
			body := strings.Repeat("x", 400)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				s.Update(now, RenewalRequested{})
				id := s.flight.transaction.ID
				for ticket := range batch {
					s.Update(now, records(Ticket(ticket), body))
				}
				now = now.Add(time.Millisecond)
				answer(s.Update(now, CommitFinished{ID: id, Versions: []int64{s.version + 1}}))
			}
			if s.row.Sequence == 0 {
				b.Fatal("nothing was committed")
			}
		})
	}
}
