package committer

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// phase is the state of the daemon's lease.
type phase int

const (
	// phaseAcquiring means that the daemon has no lease yet.
	phaseAcquiring phase = iota
	// phaseHolding means that this daemon was the last known writer of the lease row.
	phaseHolding
	// phaseLost means that the lease was lost; the state waits for Restarted.
	phaseLost
	// phaseReleased means that the lease was released as requested.
	phaseReleased
)

// unreachableAfter is the number of consecutive failed requests after which the store
// counts as unreachable. A single lost response is not an outage.
const unreachableAfter = 2

// State decides what is written when. It does no I/O.
type State struct {
	options  Options
	random   *rand.Rand
	commands []Command

	phase        phase
	leaseRow     encoder.LeaseRow
	leaseVersion int64
	renewedAt    time.Time

	// observedVersion is the version of another incarnation's lease row, observedAt
	// the time when it was first received. Both are used while acquiring.
	observedVersion int64
	observedAt      time.Time

	queue                              queue
	pending                            *pendingTransaction
	readingLeaseRow                    bool
	renewalRequested, releaseRequested bool
	transactionCount                   int64
	objectsBySequence                  map[int][]string

	liveHosts   int
	writeTokens float64
	refilledAt  time.Time

	failures         int
	retryAt          time.Time
	storeUnreachable bool
	objectFailures   int
	objectRetryAt    time.Time
}

// New returns a state that acquires the host's lease.
func New(options Options) *State {
	options.fillDefaults()
	s := &State{
		options:           options,
		random:            rand.New(rand.NewPCG(options.Seed, 1)),
		liveHosts:         1,
		writeTokens:       1,
		objectsBySequence: map[int][]string{},
	}
	s.reset(options.Incarnation)
	return s
}

// reset prepares the state for a new incarnation, which has no lease yet.
func (s *State) reset(incarnation string) {
	s.phase = phaseAcquiring
	s.observedVersion = -1
	s.leaseRow = encoder.LeaseRow{
		Host: s.options.Host, Address: s.options.Address, FailureDomain: s.options.FailureDomain,
		Region: s.options.Region, Incarnation: incarnation, State: LeaseRowActive,
	}
	s.leaseVersion, s.transactionCount, s.releaseRequested, s.renewalRequested = 0, 0, false, false
	s.pending = nil
	clear(s.objectsBySequence)
}

// Update takes one message and returns the commands to execute.
func (s *State) Update(now time.Time, message Message) []Command {
	s.commands = nil
	switch m := message.(type) {
	case AppendRequested:
		s.enqueue(m)
	case CommitFinished:
		s.commitFinished(now, m)
	case LeaseRowRead:
		s.leaseRowRead(now, m)
	case PutFinished:
		s.putFinished(now, m)
	case LiveHostsChanged:
		s.refill(now)
		s.liveHosts = max(1, m.Hosts)
	case RenewalRequested:
		s.renewalRequested = true
	case ReleaseRequested:
		s.releaseRequested = true
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

// advance starts all work that is possible now.
func (s *State) advance(now time.Time) {
	if s.phase == phaseLost || s.phase == phaseReleased || s.readingLeaseRow || now.Before(s.retryAt) {
		return
	}
	switch {
	case s.pending != nil:
		s.resolve(now)
	case s.phase == phaseAcquiring:
		s.acquire(now)
	default:
		s.completeMarkers()
		s.retryObjects(now)
		s.commitNext(now)
	}
}

// commitNext sends the next transaction if one is needed and the daemon's share of the
// write budget permits. An overdue renewal is sent even beyond the share.
func (s *State) commitNext(now time.Time) {
	renewalDue := s.renewalRequested || !now.Before(s.renewedAt.Add(s.options.Lease/3))
	overdue := !now.Before(s.renewedAt.Add(s.options.Lease / 2))
	ready := s.queue.ready()
	if !ready && !renewalDue && !(s.releaseRequested && s.queue.empty()) {
		return
	}
	s.refill(now)
	if s.writeTokens < 1 && !overdue {
		return
	}
	s.renewalRequested = false
	switch {
	case ready:
		s.send(now, s.nextBatch())
	case s.releaseRequested && s.queue.empty():
		row := s.leaseRow
		row.State = LeaseRowReleased
		s.send(now, pendingTransaction{leaseRow: row})
	default:
		s.send(now, pendingTransaction{leaseRow: s.leaseRow})
	}
}

// completeMarkers reports markers as committed once they are at the head of the
// queue, when all requests before them have taken effect or been rejected.
func (s *State) completeMarkers() {
	for !s.queue.empty() && s.queue.entries[0].isMarker() {
		s.emit(TicketCommitted{Ticket: s.queue.take(1)[0].ticket, Sequence: s.leaseRow.Sequence})
	}
}

// refill adds the write tokens for the time since the last refill. At most one
// transaction accumulates, so that many idle daemons cannot exceed the budget
// together.
func (s *State) refill(now time.Time) {
	if !s.refilledAt.IsZero() {
		s.writeTokens = min(1, s.writeTokens+now.Sub(s.refilledAt).Seconds()*s.writesPerSec())
	}
	s.refilledAt = now
}

// writesPerSec returns this daemon's share of the write budget.
func (s *State) writesPerSec() float64 { return s.options.WritesPerSec / float64(s.liveHosts) }

// Next returns the time at which the state needs a Tick, or the zero time when it
// needs none.
func (s *State) Next() time.Time {
	if s.phase == phaseLost || s.phase == phaseReleased || s.readingLeaseRow || s.pending != nil && s.pending.stage == stageAwaitingResponse {
		return time.Time{}
	}
	if s.pending != nil || s.phase == phaseAcquiring {
		return s.retryAt
	}
	missing := max(0, 1-s.writeTokens) / s.writesPerSec()
	allowed := s.refilledAt.Add(time.Duration(missing*float64(time.Second)) + time.Microsecond)
	next := s.renewedAt.Add(s.options.Lease / 3)
	if s.queue.ready() || s.renewalRequested || s.releaseRequested && s.queue.empty() || next.Before(allowed) {
		next = earlier(allowed, s.renewedAt.Add(s.options.Lease/2))
	}
	if s.queue.awaitsObjects() && s.queue.entries[0].putFailed {
		next = earlier(next, s.objectRetryAt)
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
func (s *State) Sequence() int { return s.leaseRow.Sequence }

// HoldsLease reports whether this daemon was the last known writer of the lease row.
// The lease may have expired or have been fenced since.
func (s *State) HoldsLease() bool { return s.phase == phaseHolding }

// recordSuccess ends the backoff after a successful request to the store.
func (s *State) recordSuccess() {
	s.failures, s.retryAt = 0, time.Time{}
	if s.storeUnreachable {
		s.storeUnreachable = false
		s.emit(StoreHealthChanged{Reachable: true})
	}
}

// recordFailure counts a failed request to the store and sets the time of the next one.
func (s *State) recordFailure(now time.Time) {
	s.failures++
	s.retryAt = now.Add(s.backoff(s.failures))
	if s.failures >= unreachableAfter && !s.storeUnreachable {
		s.storeUnreachable = true
		s.emit(StoreHealthChanged{Reachable: false})
	}
}

// backoff returns the delay after the given number of consecutive failures, at most MaxBackoff. It
// has jitter of up to half the delay in both directions, so that daemons do not return to a
// recovered store at the same time.
func (s *State) backoff(failures int) time.Duration {
	delay, limit := s.options.InitialBackoff<<min(failures-1, 16), s.options.MaxBackoff*2/3
	if delay > limit || delay <= 0 {
		delay = limit
	}
	return delay/2 + time.Duration(s.random.Int64N(int64(delay)))
}

// loseLease drops all pending requests and reports the loss of the lease.
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
