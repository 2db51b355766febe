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

// delaySimulation measures commit delays of many daemons in virtual time. The store
// responds after 2 to 6 ms; each daemon gets requests of two records at random times.
type delaySimulation struct {
	random       *rand.Rand
	now          time.Time
	events       eventHeap
	daemons      []*State
	plannedTicks []time.Time
	requestedAt  []map[Ticket]time.Time
	delays       []time.Duration
	transactions int
}

type timedEvent struct {
	at      time.Time
	daemon  int
	message Message
}

// eventHeap is a heap of events in order of time.
type eventHeap []timedEvent

func (d eventHeap) Len() int           { return len(d) }
func (d eventHeap) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d eventHeap) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *eventHeap) Push(event any)    { *d = append(*d, event.(timedEvent)) }
func (d *eventHeap) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func (r *delaySimulation) schedule(at time.Time, daemon int, message Message) {
	heap.Push(&r.events, timedEvent{at, daemon, message})
}

func (r *delaySimulation) step() {
	e := heap.Pop(&r.events).(timedEvent)
	r.now = e.at
	state := r.daemons[e.daemon]
	if _, tick := e.message.(Tick); tick {
		if r.plannedTicks[e.daemon] != e.at {
			return
		}
		r.plannedTicks[e.daemon] = time.Time{}
	}
	if request, ok := e.message.(AppendRequested); ok {
		r.requestedAt[e.daemon][request.Ticket] = r.now
	}
	for _, command := range state.Update(r.now, e.message) {
		responseAt := r.now.Add(2*time.Millisecond + time.Duration(r.random.Int64N(int64(4*time.Millisecond))))
		switch c := command.(type) {
		case CommitTransaction:
			r.transactions++
			versions := make([]int64, len(c.Transaction.Writes))
			versions[0] = c.Transaction.Conditions[0].Version + 1
			r.schedule(responseAt, e.daemon, CommitFinished{ID: c.Transaction.ID, Versions: versions})
		case ReadLeaseRow:
			r.schedule(responseAt, e.daemon, LeaseRowRead{Row: provider.Row{}})
		case TicketCommitted:
			r.delays = append(r.delays, r.now.Sub(r.requestedAt[e.daemon][c.Ticket]))
			delete(r.requestedAt[e.daemon], c.Ticket)
		}
	}
	if next := state.Next(); !next.IsZero() {
		if next.Before(r.now) {
			next = r.now.Add(time.Microsecond)
		}
		if planned := r.plannedTicks[e.daemon]; planned.IsZero() || next.Before(planned) {
			r.plannedTicks[e.daemon] = next
			r.schedule(next, e.daemon, Tick{})
		}
	}
}

// run simulates the daemons for the given seconds. It returns the commit delays in
// ascending order and the transactions per second.
func (r *delaySimulation) run(daemons int, requestsPerSec float64, seconds int) (delays []time.Duration, writes float64) {
	r.now = start
	for daemon := range daemons {
		state := New(Options{Host: fmt.Sprint(daemon), Incarnation: "i", Seed: uint64(daemon)})
		state.Update(start, LiveHostsChanged{Hosts: daemons})
		r.daemons = append(r.daemons, state)
		r.plannedTicks = append(r.plannedTicks, time.Time{})
		r.requestedAt = append(r.requestedAt, map[Ticket]time.Time{})
		r.schedule(start.Add(time.Duration(r.random.Int64N(int64(time.Second)))), daemon, LeaseRowRead{})
		ticket := Ticket(0)
		for at := start.Add(3 * time.Second); at.Before(start.Add(time.Duration(seconds) * time.Second)); {
			at = at.Add(time.Duration(r.random.ExpFloat64() / (requestsPerSec / float64(daemons)) * float64(time.Second)))
			ticket++
			r.schedule(at, daemon, records(ticket, "a short body", "another body"))
		}
	}
	for len(r.events) > 0 && r.now.Before(start.Add(time.Duration(seconds)*time.Second)) {
		r.step()
	}
	slices.Sort(r.delays)
	return r.delays, float64(r.transactions) / float64(seconds)
}

// BenchmarkCommitDelay reports the delay from a request until it is durable, with the
// default write budget of 400 transactions per second.
func BenchmarkCommitDelay(b *testing.B) {
	for _, perDaemon := range []float64{1, 10, 23} {
		for _, daemons := range []int{9, 50, 150, 350} {
			b.Run(fmt.Sprintf("daemons=%d/requestsPerSec=%g", daemons, perDaemon*float64(daemons)), func(b *testing.B) {
				for b.Loop() {
					r := &delaySimulation{random: rand.New(rand.NewPCG(1, 1))}
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

// BenchmarkGroupCommit measures the state's updates and the encoding for one
// transaction.
func BenchmarkGroupCommit(b *testing.B) {
	for _, batch := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("requests=%d", batch), func(b *testing.B) {
			s := New(Options{Host: "a", Incarnation: "i", WritesPerSec: 1e9})
			now := start
			finishCommits := func(commands []Command) {
				for _, command := range commands {
					if c, ok := command.(CommitTransaction); ok {
						versions := make([]int64, len(c.Transaction.Writes))
						versions[0] = s.leaseVersion + 1
						now = now.Add(time.Millisecond)
						s.Update(now, CommitFinished{ID: c.Transaction.ID, Versions: versions})
					}
				}
			}
			s.Update(now, Tick{})
			finishCommits(s.Update(now, LeaseRowRead{}))
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
				finishCommits(s.Update(now, CommitFinished{ID: id, Versions: []int64{s.leaseVersion + 1}}))
			}
			if s.leaseRow.Sequence == 0 {
				b.Fatal("no log row was committed")
			}
		})
	}
}
