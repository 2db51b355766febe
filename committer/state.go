package committer

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

type phase int

const (
	// phaseAcquiring has no lease yet.
	phaseAcquiring phase = iota
	// phaseHolding wrote the lease row last, as far as it knows.
	phaseHolding
	// phaseLost was fenced and waits for Restarted.
	phaseLost
	// phaseReleased gave the lease up.
	phaseReleased
)

// unreachableAfter is the number of failed requests in a row after which the store
// counts as unreachable. A single lost answer is not an outage.
const unreachableAfter = 2

// State decides what is written when. It has no I/O.
type State struct {
	options Options
	random  *rand.Rand
	out     []Command

	phase   phase
	row     encoder.LeaseRow
	version int64
	renewed time.Time

	// Acquisition: the version of another incarnation's row and when it was first
	// received.
	observed   int64
	observedAt time.Time

	queue          queue
	flight         *flight
	reading        bool
	due, releasing bool
	counter        int64
	objects        map[int][]string

	live     int
	tokens   float64
	tokensAt time.Time

	failures       int
	retryAt        time.Time
	unreachable    bool
	objectFailures int
	objectsAt      time.Time
}

// New returns a state that acquires the host's lease.
func New(options Options) *State {
	options.fillDefaults()
	s := &State{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		live:    1,
		tokens:  1,
		objects: map[int][]string{},
	}
	s.reset(options.Incarnation)
	return s
}

// reset starts an incarnation without a lease.
func (s *State) reset(incarnation string) {
	s.phase = phaseAcquiring
	s.observed = -1
	s.row = encoder.LeaseRow{
		Host: s.options.Host, Address: s.options.Address, FailureDomain: s.options.FailureDomain,
		Region: s.options.Region, Incarnation: incarnation, State: LeaseRowActive,
	}
	s.version, s.counter, s.releasing, s.due = 0, 0, false, false
	s.flight = nil
	clear(s.objects)
}

// Update takes one message and returns the commands to execute.
func (s *State) Update(now time.Time, message Message) []Command {
	s.out = nil
	switch m := message.(type) {
	case AppendRequested:
		s.append(m)
	case CommitFinished:
		s.finished(now, m)
	case LeaseRowRead:
		s.leaseRead(now, m)
	case PutFinished:
		s.objectPut(now, m)
	case LiveHostsChanged:
		s.refill(now)
		s.live = max(1, m.Hosts)
	case RenewalRequested:
		s.due = true
	case ReleaseRequested:
		s.releasing = true
	case Restarted:
		if s.phase == phaseLost {
			s.reset(m.Incarnation)
		}
	case Tick:
	}
	s.advance(now)
	return s.out
}

func (s *State) emit(command Command) { s.out = append(s.out, command) }

// advance starts whatever may be started now.
func (s *State) advance(now time.Time) {
	if s.phase == phaseLost || s.phase == phaseReleased || s.reading || now.Before(s.retryAt) {
		return
	}
	switch {
	case s.flight != nil:
		s.resolve(now)
	case s.phase == phaseAcquiring:
		s.acquire(now)
	default:
		s.passMarkers()
		s.retryObjects(now)
		s.commitNext(now)
	}
}

// commitNext sends the next transaction if the write allowance permits.
func (s *State) commitNext(now time.Time) {
	renewalDue := s.due || !now.Before(s.renewed.Add(s.options.Lease/3))
	overdue := !now.Before(s.renewed.Add(s.options.Lease / 2))
	ready := s.queue.ready()
	if !ready && !renewalDue && !(s.releasing && s.queue.empty()) {
		return
	}
	s.refill(now)
	if s.tokens < 1 && !overdue {
		return
	}
	s.due = false
	switch {
	case ready:
		s.send(now, s.nextBatch())
	case s.releasing && s.queue.empty():
		row := s.row
		row.State = LeaseRowReleased
		s.send(now, flight{row: row})
	default:
		s.send(now, flight{row: s.row})
	}
}

// passMarkers answers the markers that everything before them has passed.
func (s *State) passMarkers() {
	for !s.queue.empty() && s.queue.entries[0].marker() {
		s.emit(TicketCommitted{Ticket: s.queue.take(1)[0].ticket, Sequence: s.row.Sequence})
	}
}

// refill adds the write allowance of the time that has passed. At most one
// transaction is saved up, so that many idle daemons cannot exceed the budget
// together.
func (s *State) refill(now time.Time) {
	if !s.tokensAt.IsZero() {
		s.tokens = min(1, s.tokens+now.Sub(s.tokensAt).Seconds()*s.rate())
	}
	s.tokensAt = now
}

func (s *State) rate() float64 { return s.options.WritesPerSec / float64(s.live) }

// Next returns when the state needs a Tick, or the zero time when it only waits for
// other messages.
func (s *State) Next() time.Time {
	if s.phase == phaseLost || s.phase == phaseReleased || s.reading || s.flight != nil && s.flight.stage == stageSent {
		return time.Time{}
	}
	if s.flight != nil || s.phase == phaseAcquiring {
		return s.retryAt
	}
	missing := max(0, 1-s.tokens) / s.rate()
	allowed := s.tokensAt.Add(time.Duration(missing*float64(time.Second)) + time.Microsecond)
	next := s.renewed.Add(s.options.Lease / 3)
	if s.queue.ready() || s.due || s.releasing && s.queue.empty() || next.Before(allowed) {
		next = earlier(allowed, s.renewed.Add(s.options.Lease/2))
	}
	if s.queue.waiting() && s.queue.entries[0].failed {
		next = earlier(next, s.objectsAt)
	}
	if next.Before(s.retryAt) {
		return s.retryAt
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Pending returns the number and size of the records that are not yet committed.
func (s *State) Pending() (records, bytes int) { return s.queue.records, s.queue.bytes }

// Sequence returns the sequence of the last log row that is known to be durable.
func (s *State) Sequence() int { return s.row.Sequence }

// Incarnation returns the incarnation that the state writes for.
func (s *State) Incarnation() string { return s.row.Incarnation }

// Checkpoint returns the sequence up to which log rows have been deleted.
func (s *State) Checkpoint() int { return s.row.Checkpoint }

// HoldsLease reports whether the state wrote the lease row last, as far as it knows.
func (s *State) HoldsLease() bool { return s.phase == phaseHolding }

// succeeded notes an answer from the store.
func (s *State) succeeded() {
	s.failures, s.retryAt = 0, time.Time{}
	if s.unreachable {
		s.unreachable = false
		s.emit(StoreHealthChanged{Reachable: true})
	}
}

// failed notes a failed request and sets the time of the next one.
func (s *State) failed(now time.Time) {
	s.failures++
	s.retryAt = now.Add(s.pause(s.failures))
	if s.failures >= unreachableAfter && !s.unreachable {
		s.unreachable = true
		s.emit(StoreHealthChanged{Reachable: false})
	}
}

// pause grows with the failures in a row. It has jitter, so that daemons do not
// return to a recovered store together.
func (s *State) pause(failures int) time.Duration {
	pause := s.options.InitialBackoff << min(failures-1, 16)
	if pause > s.options.MaxBackoff || pause <= 0 {
		pause = s.options.MaxBackoff
	}
	return pause/2 + time.Duration(s.random.Int64N(int64(pause)))
}

// lose drops everything that is pending.
func (s *State) lose() {
	s.phase = phaseLost
	var dropped []entry
	if s.flight != nil {
		dropped = s.flight.entries
		s.flight = nil
	}
	for _, e := range append(dropped, s.queue.entries...) {
		s.emit(TicketDropped{Ticket: e.ticket})
	}
	s.queue = queue{}
	s.retryAt = time.Time{}
	s.emit(LeaseLost{})
}
