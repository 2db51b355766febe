package committer

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

type phase int

const (
	// phaseAcquiring means that the daemon has no lease yet.
	phaseAcquiring phase = iota
	// phaseHolding means that the daemon, as far as it knows, was the last to write
	// the lease row.
	phaseHolding
	// phaseLost means that the lease was fenced. The state waits for Restarted.
	phaseLost
	// phaseReleased means that the daemon has released the lease.
	phaseReleased
)

// unreachableAfter is the number of consecutive failed requests after which the store
// counts as unreachable. A single lost response is not an outage.
const unreachableAfter = 2

// State decides which transactions are sent and when. It performs no I/O.
type State struct {
	options  Options
	random   *rand.Rand
	commands []Command

	phase     phase
	row       encoder.LeaseRow
	version   int64
	renewedAt time.Time

	// observed is the version of another incarnation's lease row, observedAt the time
	// at which it was first received.
	observed   int64
	observedAt time.Time

	queue                       queue
	pending                     *pendingTransaction
	readingLease                bool
	renewalRequested, releasing bool
	counter                     int64
	objects                     map[int][]string

	liveHosts int
	tokens    float64
	tokensAt  time.Time

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
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, 1)),
		liveHosts: 1,
		tokens:    1,
		objects:   map[int][]string{},
	}
	s.reset(options.Incarnation)
	return s
}

// reset starts a new incarnation without a lease.
func (s *State) reset(incarnation string) {
	s.phase = phaseAcquiring
	s.observed = -1
	s.row = encoder.LeaseRow{
		Host: s.options.Host, Address: s.options.Address, FailureDomain: s.options.FailureDomain,
		Region: s.options.Region, Incarnation: incarnation, State: LeaseRowActive,
	}
	s.version, s.counter, s.releasing, s.renewalRequested = 0, 0, false, false
	s.pending = nil
	clear(s.objects)
}

// Update takes one message and returns the commands to execute.
func (s *State) Update(now time.Time, message Message) []Command {
	s.commands = nil
	switch m := message.(type) {
	case AppendRequested:
		s.append(m)
	case CommitFinished:
		s.handleCommitFinished(now, m)
	case LeaseRowRead:
		s.handleLeaseRow(now, m)
	case PutFinished:
		s.handlePutFinished(now, m)
	case LiveHostsChanged:
		s.refill(now)
		s.liveHosts = max(1, m.Hosts)
	case RenewalRequested:
		s.renewalRequested = true
	case ReleaseRequested:
		s.releasing = true
	case Restarted:
		if s.phase == phaseLost {
			s.reset(m.Incarnation)
		}
	case Tick:
	}
	s.advance(now)
	return s.commands
}

func (s *State) emit(command Command) { s.commands = append(s.commands, command) }

// advance takes the next step that is due: it resolves the transaction in flight,
// acquires the lease or sends the next transaction.
func (s *State) advance(now time.Time) {
	if s.phase == phaseLost || s.phase == phaseReleased || s.readingLease || now.Before(s.retryAt) {
		return
	}
	switch {
	case s.pending != nil:
		s.resolve(now)
	case s.phase == phaseAcquiring:
		s.acquire(now)
	default:
		s.commitMarkers()
		s.retryObjects(now)
		s.commitNext(now)
	}
}

// commitNext sends the next transaction if the write budget allows it. An overdue
// renewal is sent in any case.
func (s *State) commitNext(now time.Time) {
	renewalDue := s.renewalRequested || !now.Before(s.renewedAt.Add(s.options.Lease/3))
	overdue := !now.Before(s.renewedAt.Add(s.options.Lease / 2))
	ready := s.queue.ready()
	if !ready && !renewalDue && !(s.releasing && s.queue.empty()) {
		return
	}
	s.refill(now)
	if s.tokens < 1 && !overdue {
		return
	}
	s.renewalRequested = false
	switch {
	case ready:
		s.send(now, s.nextBatch())
	case s.releasing && s.queue.empty():
		row := s.row
		row.State = LeaseRowReleased
		s.send(now, pendingTransaction{row: row})
	default:
		s.send(now, pendingTransaction{row: s.row})
	}
}

// commitMarkers reports the markers at the head of the queue as committed.
func (s *State) commitMarkers() {
	for !s.queue.empty() && s.queue.entries[0].marker() {
		s.emit(TicketCommitted{Ticket: s.queue.take(1)[0].ticket, Sequence: s.row.Sequence})
	}
}

// refill adds the tokens of the write budget for the time that has passed. At most one
// is saved up, so that many idle daemons cannot exceed the budget together.
func (s *State) refill(now time.Time) {
	if !s.tokensAt.IsZero() {
		s.tokens = min(1, s.tokens+now.Sub(s.tokensAt).Seconds()*s.rate())
	}
	s.tokensAt = now
}

func (s *State) rate() float64 { return s.options.WritesPerSec / float64(s.liveHosts) }

// Next returns the time at which the state needs a Tick, or the zero time if it only
// waits for other messages.
func (s *State) Next() time.Time {
	if s.phase == phaseLost || s.phase == phaseReleased || s.readingLease || s.pending != nil && s.pending.stage == stageSent {
		return time.Time{}
	}
	if s.pending != nil || s.phase == phaseAcquiring {
		return s.retryAt
	}
	missing := max(0, 1-s.tokens) / s.rate()
	allowed := s.tokensAt.Add(time.Duration(missing*float64(time.Second)) + time.Microsecond)
	next := s.renewedAt.Add(s.options.Lease / 3)
	if s.queue.ready() || s.renewalRequested || s.releasing && s.queue.empty() || next.Before(allowed) {
		next = earlier(allowed, s.renewedAt.Add(s.options.Lease/2))
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

// Incarnation returns the current incarnation.
func (s *State) Incarnation() string { return s.row.Incarnation }

// Checkpoint returns the sequence up to which log rows have been deleted.
func (s *State) Checkpoint() int { return s.row.Checkpoint }

// HoldsLease reports whether the daemon, as far as it knows, was the last to write the
// lease row.
func (s *State) HoldsLease() bool { return s.phase == phaseHolding }

// recordSuccess records a response of the store and ends the backoff.
func (s *State) recordSuccess() {
	s.failures, s.retryAt = 0, time.Time{}
	if s.unreachable {
		s.unreachable = false
		s.emit(StoreHealthChanged{Reachable: true})
	}
}

// recordFailure records a failed request and sets the time of the next one.
func (s *State) recordFailure(now time.Time) {
	s.failures++
	s.retryAt = now.Add(s.backoff(s.failures))
	if s.failures >= unreachableAfter && !s.unreachable {
		s.unreachable = true
		s.emit(StoreHealthChanged{Reachable: false})
	}
}

// backoff returns the backoff after consecutive failures. It has jitter, so that daemons
// do not return to a recovered store together.
func (s *State) backoff(failures int) time.Duration {
	pause := s.options.InitialBackoff << min(failures-1, 16)
	if pause > s.options.MaxBackoff || pause <= 0 {
		pause = s.options.MaxBackoff
	}
	return pause/2 + time.Duration(s.random.Int64N(int64(pause)))
}

// loseLease handles the loss of the lease: it drops all pending requests.
func (s *State) loseLease() {
	s.phase = phaseLost
	var dropped []entry
	if s.pending != nil {
		dropped = s.pending.entries
		s.pending = nil
	}
	for _, e := range append(dropped, s.queue.entries...) {
		s.emit(TicketDropped{Ticket: e.ticket})
	}
	s.queue = queue{}
	s.retryAt = time.Time{}
	s.emit(LeaseLost{})
}
