package allocator

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"math"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// maxUnresolved bounds the transactions of unknown outcome that are kept. If an earlier one takes effect, the
// owner takes its partition over from itself with a block.
const maxUnresolved = 200

// Options configure a State. All daemons must use the same values.
type Options struct {
	// RenewInterval is the time between two renewals, RetryInterval the time after a failed one.
	RenewInterval time.Duration
	RetryInterval time.Duration
	// Validity is the time for which an owner may act, from before its last successful renewal was sent.
	Validity time.Duration
	// TakeoverAfter is the time without a renewal after which another daemon takes the partition over.
	// It has to exceed Validity by the difference of two clocks in that time.
	TakeoverAfter time.Duration
	// MemoryAfter is the time after the first renewal without a response from which the owner grants
	// from memory.
	MemoryAfter time.Duration
	// BlockTime is the time for which no second row is used after an owner may have been lost with
	// grants that are in no row. It exceeds the duration of a program.
	BlockTime time.Duration
	// WatchInterval is the time between two reads of the owner by a daemon that may claim the partition.
	// ClaimStagger is the time between two such daemons that claim a partition without an owner.
	WatchInterval time.Duration
	ClaimStagger  time.Duration
	// AskedInterval replaces WatchInterval after a request that only the owner can serve.
	AskedInterval time.Duration
	// MaxChanges is the largest number of second rows in a transaction. Each takes a condition and a
	// write, and the row of the owner does too.
	MaxChanges int
	// ExpiryInterval is the time between two removals of expired rows from memory.
	ExpiryInterval time.Duration
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options {
	return Options{
		RenewInterval: time.Second, RetryInterval: 250 * time.Millisecond, Validity: 20 * time.Second,
		TakeoverAfter: 21 * time.Second, MemoryAfter: 2500 * time.Millisecond, BlockTime: 2 * time.Minute,
		WatchInterval: 3 * time.Second, ClaimStagger: 3 * time.Second, AskedInterval: 300 * time.Millisecond, MaxChanges: 49,
		ExpiryInterval: time.Minute,
	}
}

// Identity names a run of a daemon.
type Identity struct {
	Host        string
	Incarnation string
	// Boot names the run of the host's operating system. Times of the boot clock can be compared only
	// within one.
	Boot string
}

// row is a second row as the owner has it.
type row struct {
	// value is nil if the row does not exist.
	value []byte
	// stored is the version of the row in the store.
	stored int64
	// unwritten is set if the store has another value.
	unwritten bool
}

// VersionOf returns the version by which the daemons refer to a second row. It depends on the value only,
// so that it stays the same when the owner changes or writes the row later. No two values of a row are
// equal, since each has the incarnation and the number of its write.
func VersionOf(value []byte) int64 {
	if value == nil {
		return provider.VersionAbsent
	}
	h := fnv.New64a()
	_, _ = h.Write(value)
	return max(1, int64(h.Sum64()&math.MaxInt64))
}

// attempt is a transaction of the owner.
type attempt struct {
	sequence int
	sentAt   time.Time
	// values are those of the second rows that the transaction writes, bases those that the owner
	// had when it was sent.
	values map[string][]byte
	bases  map[string][]byte
	// replies are those that are due if the transaction takes effect.
	replies  []pendingReply
	claims   bool
	releases bool
	// unwritten is set if the transaction marks the partition as having unwritten grants.
	unwritten bool
}

// pendingReply is a reply that waits for a transaction.
type pendingReply struct {
	key   string
	reply Reply
}

// State decides which daemon owns a partition and, on the owner, serves its second rows. It is not safe
// for concurrent use. Times are those of a clock that counts the time in which the process is frozen.
type State struct {
	options  Options
	self     Identity
	commands []Command
	now      time.Time

	// seen is the row of the owner as another daemon last wrote it, seenVersion its version and
	// seenAt when this daemon first saw that version; zero if it was never read.
	seen        *encoder.BudgetOwner
	seenVersion int64
	seenAt      time.Time
	reading     bool
	readAt      time.Time
	// claimFailed is set after a failed claim until the owner has been read again.
	claimFailed bool
	rank        int

	owned bool
	// version is that of the owner's row after the last transaction of which the outcome is known.
	version int64
	// renewedAt is when the last successful renewal was sent, failingSince when the first one was sent
	// that has failed since, zero if none has.
	renewedAt    time.Time
	failingSince time.Time
	// attempt is the transaction in progress. unresolved are those of unknown outcome; since all of
	// them have the same condition, at most one takes effect.
	attempt    *attempt
	unresolved []*attempt
	lastSentAt time.Time
	sequence   int
	// loadSequence is that of the read of all rows in progress, 0 if none is.
	loadSequence int
	loaded       bool
	// loadedAt is when the last read of all rows was sent.
	loadedAt     time.Time
	blockedUntil time.Time
	rows         map[string]*row
	queue        []Request
	fromMemory   bool
	memoryWrites int
	expiredAt    time.Time

	stopping bool
	released bool
}

// New returns the state of one partition on a daemon that does not own it.
func New(options Options, self Identity) *State {
	return &State{options: options, self: self, rank: -1}
}

// Owned reports whether this daemon owns the partition, as far as it knows.
func (s *State) Owned() bool { return s.owned }

// FromMemory reports whether tokens are granted from memory.
func (s *State) FromMemory() bool { return s.fromMemory }

// Blocked reports whether second rows are not used, since an earlier owner may have been lost with grants.
func (s *State) Blocked() bool { return s.owned && s.now.Before(s.blockedUntil) }

// Unwritten returns the number of rows that the store does not have yet as the owner has them.
func (s *State) Unwritten() int {
	n := 0
	for _, r := range s.rows {
		if r.unwritten {
			n++
		}
	}
	return n
}

// Stopped reports whether the partition has been released, or was not owned, after Stopping.
func (s *State) Stopped() bool { return s.stopping && !s.owned && s.attempt == nil }

// Update applies a message and returns the commands that follow from it.
func (s *State) Update(now time.Time, message Message) []Command {
	s.commands, s.now = nil, now
	switch m := message.(type) {
	case Request:
		s.serve(m)
	case Tick:
		s.rank = m.Rank
		s.tick(m.UnixNow)
	case OwnerRead:
		s.ownerRead(m)
	case Applied:
		s.applied(m)
	case RowsRead:
		s.rowsRead(m)
	case Stopping:
		s.stopping = true
		s.send()
	}
	s.updateMemory()
	return s.commands
}

func (s *State) emit(c Command) { s.commands = append(s.commands, c) }

// valid reports whether this daemon may act as the owner.
func (s *State) valid() bool { return s.owned && s.now.Sub(s.renewedAt) < s.options.Validity }

// mayServe reports whether the owner knows all second rows and may use them.
func (s *State) mayServe() bool {
	return s.valid() && s.loaded && !s.stopping && !s.now.Before(s.blockedUntil)
}

// mayGrantFromMemory reports whether the owner may change rows that it cannot write. The time counts from
// the first renewal that failed: only that one can be stored without its mark for unwritten grants.
func (s *State) mayGrantFromMemory() bool {
	return s.mayServe() && !s.failingSince.IsZero() && s.now.Sub(s.failingSince) >= s.options.MemoryAfter
}

func (s *State) updateMemory() {
	active := s.mayGrantFromMemory()
	if active == s.fromMemory {
		return
	}
	s.fromMemory = active
	s.emit(MemoryChanged{Active: active, Writes: s.memoryWrites, SinceRenewal: s.now.Sub(s.renewedAt)})
	s.memoryWrites = 0
	if active {
		queue := s.queue
		s.queue = nil
		for _, r := range queue {
			s.serve(r)
		}
	}
}

func (s *State) serve(m Request) {
	switch {
	case !s.owned:
		s.emit(Reply{Ticket: m.Ticket, Kind: provider.KindUnavailable, NotOwner: true, Owner: s.knownOwner()})
		s.watch(s.options.AskedInterval)
	case !s.mayServe():
		s.emit(Reply{Ticket: m.Ticket, Kind: provider.KindUnavailable})
	case m.Value == nil:
		value := s.value(m.Key)
		s.emit(Reply{Ticket: m.Ticket, Version: VersionOf(value), Value: value})
	case VersionOf(s.value(m.Key)) == VersionOf(m.Value):
		// The asker repeats a request that has been served. No two writes have the same value.
		s.emit(Reply{Ticket: m.Ticket, Version: VersionOf(m.Value), Value: m.Value})
	case s.mayGrantFromMemory():
		s.serveFromMemory(m)
	case !s.failingSince.IsZero():
		s.emit(Reply{Ticket: m.Ticket, Kind: provider.KindUnavailable})
	default:
		s.queue = append(s.queue, m)
		s.send()
	}
}

// knownOwner returns the host of another daemon that was seen to own the partition.
func (s *State) knownOwner() string {
	if s.seen == nil || s.seen.Released || s.seen.Host == s.self.Host {
		return ""
	}
	return s.seen.Host
}

func (s *State) value(key string) []byte {
	if r := s.rows[key]; r != nil {
		return r.value
	}
	return nil
}

// serveFromMemory writes a row in memory only.
func (s *State) serveFromMemory(m Request) {
	value := s.value(m.Key)
	if VersionOf(value) != m.Version {
		s.emit(Reply{Ticket: m.Ticket, Kind: provider.KindConflict, Version: VersionOf(value), Value: value})
		return
	}
	r := s.rows[m.Key]
	if r == nil {
		r = &row{}
		s.rows[m.Key] = r
	}
	r.value, r.unwritten = m.Value, true
	s.memoryWrites++
	s.emit(Reply{Ticket: m.Ticket, Version: VersionOf(m.Value), Value: m.Value})
}

func (s *State) tick(unixNow int64) {
	if !s.owned {
		interval := s.options.WatchInterval
		if s.claimFailed {
			interval = s.options.AskedInterval
		}
		s.watch(interval)
		s.claimIfDue()
		return
	}
	if s.attempt != nil {
		return
	}
	interval := s.options.RenewInterval
	if !s.failingSince.IsZero() {
		interval = s.options.RetryInterval
	}
	if s.stopping || s.now.Sub(s.lastSentAt) >= interval {
		s.send()
	}
	if !s.loaded && s.loadSequence == 0 && s.now.Sub(s.loadedAt) >= s.options.RenewInterval {
		s.load()
	}
	s.dropExpired(unixNow)
}

// watch reads the owner unless that was done within the interval. Any daemon reads it once, since an earlier
// process on its host may have been the owner.
func (s *State) watch(interval time.Duration) {
	if s.rank < 0 && !s.seenAt.IsZero() && !s.claimFailed || s.reading || s.stopping || s.attempt != nil || s.now.Sub(s.readAt) < interval {
		return
	}
	s.reading, s.readAt = true, s.now
	s.emit(ReadOwner{})
}

func (s *State) ownerRead(m OwnerRead) {
	s.reading = false
	if m.Kind != provider.KindNone || s.owned {
		return
	}
	if m.Row == nil {
		m.Row = &provider.VersionedRow{}
	}
	s.claimFailed = false
	s.see(*m.Row)
	s.claimIfDue()
}

// see records the row of another owner. The time of its last renewal is at most that of this read.
func (s *State) see(stored provider.VersionedRow) {
	if !s.seenAt.IsZero() && s.seenVersion == stored.Version {
		return
	}
	s.seen, s.seenVersion, s.seenAt = nil, stored.Version, s.now
	if stored.Version == provider.VersionAbsent {
		return
	}
	var owner encoder.BudgetOwner
	if err := json.Unmarshal(stored.Value, &owner); err != nil {
		// An owner that cannot be read is taken over after its time, with a block.
		owner = encoder.BudgetOwner{Unwritten: true}
	}
	s.seen = &owner
}

// claimIfDue takes the partition over if it has no owner or its owner may no longer act.
func (s *State) claimIfDue() {
	if s.owned || s.stopping || s.attempt != nil || s.seenAt.IsZero() || s.claimFailed {
		return
	}
	waited := s.now.Sub(s.seenAt)
	stagger := time.Duration(s.rank) * s.options.ClaimStagger
	isOwnHost := s.seen != nil && s.seen.Host == s.self.Host && !s.seen.Released
	switch {
	case isOwnHost:
		// The earlier process on this host has ended.
	case s.rank < 0:
		return
	case s.seen == nil || s.seen.Released:
		if waited < stagger {
			return
		}
	case waited < s.options.TakeoverAfter+stagger:
		return
	}
	s.sendTransaction(s.seenVersion, &attempt{claims: true}, s.blockAfter(), false)
}

// blockAfter returns the time for which second rows may not be used after the owner seen.
func (s *State) blockAfter() time.Duration {
	if s.seen == nil {
		return 0
	}
	remaining := time.Duration(s.seen.BlockedMs) * time.Millisecond
	if s.seen.Released {
		return remaining
	}
	age := s.now.Sub(time.UnixMilli(int64(s.seen.SentAtMs)))
	sameClock := s.seen.Host == s.self.Host && s.seen.Boot == s.self.Boot
	if sameClock && !s.seen.Unwritten && age >= 0 && age < s.options.MemoryAfter {
		return remaining
	}
	return max(remaining, s.options.BlockTime)
}

// sendTransaction writes the row of the owner if it has the version, and the second rows of the attempt.
func (s *State) sendTransaction(version int64, a *attempt, blocked time.Duration, unwritten bool) {
	s.sequence++
	a.sequence, a.sentAt, a.unwritten, s.lastSentAt, s.attempt = s.sequence, s.now, unwritten, s.now, a
	owner := encoder.BudgetOwner{
		Host: s.self.Host, Incarnation: s.self.Incarnation, Boot: s.self.Boot, Sequence: a.sequence,
		SentAtMs: int(s.now.UnixMilli()), BlockedMs: int(math.Ceil(float64(max(0, blocked)) / float64(time.Millisecond))),
		Unwritten: unwritten, Released: a.releases,
	}
	c := Apply{Sequence: a.sequence, Version: version, Owner: owner}
	for key, value := range a.values {
		change := Change{Key: key, Value: value}
		if r := s.rows[key]; r != nil {
			change.Version = r.stored
		}
		c.Changes = append(c.Changes, change)
	}
	s.emit(c)
}

// send renews the ownership with a transaction that writes back what the store lacks, then what waits.
func (s *State) send() {
	if !s.owned || s.attempt != nil || s.released {
		return
	}
	a := &attempt{values: map[string][]byte{}, bases: map[string][]byte{}}
	complete := true
	for key, r := range s.rows {
		if !r.unwritten {
			continue
		}
		if len(a.values) == s.options.MaxChanges {
			complete = false
			break
		}
		a.values[key], a.bases[key] = r.value, r.value
	}
	for len(s.queue) > 0 && s.addToAttempt(a, s.queue[0]) {
		s.queue = s.queue[1:]
	}
	a.releases = s.stopping && complete && len(s.queue) == 0
	unwritten := !complete || !s.failingSince.IsZero() && !a.releases
	s.sendTransaction(s.version, a, s.blockedUntil.Sub(s.now), unwritten)
}

// addToAttempt adds a request to a transaction. It returns false if the transaction is full.
func (s *State) addToAttempt(a *attempt, m Request) bool {
	current, isChanged := a.values[m.Key]
	if !isChanged {
		current = s.value(m.Key)
	}
	reply := Reply{Ticket: m.Ticket, Kind: provider.KindConflict, Version: VersionOf(current), Value: current}
	switch reply.Version {
	case VersionOf(m.Value):
		// The asker repeats a request that is in this transaction.
		reply.Kind = provider.KindNone
	case m.Version:
		if !isChanged {
			if len(a.values) == s.options.MaxChanges {
				return false
			}
			a.bases[m.Key] = current
		}
		a.values[m.Key] = m.Value
		reply = Reply{Ticket: m.Ticket, Version: VersionOf(m.Value), Value: m.Value}
	}
	a.replies = append(a.replies, pendingReply{m.Key, reply})
	return true
}

func (s *State) applied(m Applied) {
	a := s.attempt
	if a == nil || a.sequence != m.Sequence {
		return
	}
	s.attempt = nil
	if a.claims {
		s.claimed(a, m)
		return
	}
	switch m.Kind {
	case provider.KindNone:
		s.succeeded(a, m.Version)
	case provider.KindConflict:
		s.conflicted(a, m)
	case provider.KindUnknown:
		s.unresolved = append(s.unresolved, a)
		s.unresolved = s.unresolved[max(0, len(s.unresolved)-maxUnresolved):]
		s.failed(a)
	default:
		s.failed(a)
	}
}

// claimed handles the result of a claim. After any failure the owner is read again.
func (s *State) claimed(a *attempt, m Applied) {
	if m.Kind != provider.KindNone {
		s.claimFailed = true
		s.watch(s.options.AskedInterval)
		return
	}
	before := s.knownOwner()
	blocked := s.blockAfterClaim(a)
	s.owned, s.version, s.renewedAt, s.failingSince = true, m.Version, a.sentAt, time.Time{}
	s.rows, s.loaded, s.unresolved, s.queue = map[string]*row{}, false, nil, nil
	s.blockedUntil = s.now.Add(blocked)
	s.emit(OwnershipChanged{Owned: true, Other: before, Blocked: blocked})
	s.load()
}

// blockAfterClaim returns the block that the claim has written.
func (s *State) blockAfterClaim(a *attempt) time.Duration {
	now := s.now
	defer func() { s.now = now }()
	s.now = a.sentAt
	return s.blockAfter()
}

func (s *State) load() {
	s.sequence++
	s.loadSequence, s.loadedAt = s.sequence, s.now
	s.emit(ReadRows{Sequence: s.loadSequence})
}

func (s *State) rowsRead(m RowsRead) {
	if m.Sequence != s.loadSequence {
		return
	}
	s.loadSequence = 0
	if m.Kind != provider.KindNone || !s.owned {
		return
	}
	for _, r := range m.Rows {
		s.rows[r.Key] = &row{value: r.Value, stored: r.Version}
	}
	s.loaded = true
}

// succeeded records that a transaction took effect. Those of unknown outcome never will.
func (s *State) succeeded(a *attempt, version int64) {
	s.version, s.renewedAt, s.failingSince, s.unresolved = version, a.sentAt, time.Time{}, nil
	for key, value := range a.values {
		s.stored(key, a.bases[key], value, version)
	}
	for _, p := range a.replies {
		current := s.value(p.key)
		if p.reply.Kind == provider.KindNone && s.rows[p.key].unwritten {
			// The row has been changed in memory since the transaction was sent.
			p.reply.Kind = provider.KindConflict
		}
		if p.reply.Kind == provider.KindConflict {
			p.reply.Version, p.reply.Value = VersionOf(current), current
		}
		s.emit(p.reply)
	}
	if a.releases {
		s.released = true
		s.lose("")
		return
	}
	if len(s.queue) > 0 || s.stopping || a.unwritten {
		// A transaction without the mark tells the next owner that there are no unwritten grants.
		s.send()
	}
}

// stored records that the store has a value of a row. It becomes the row's value unless the row has been
// changed in memory since the base.
func (s *State) stored(key string, base, value []byte, version int64) {
	r := s.rows[key]
	if r == nil {
		r = &row{}
		s.rows[key] = r
	}
	r.stored = version
	if r.value == nil || bytes.Equal(r.value, base) {
		r.value = value
	}
	r.unwritten = !bytes.Equal(r.value, value)
}

// failed rejects the requests of a transaction of which no response confirms the effect. If it takes
// effect later, resolve finds that out.
func (s *State) failed(a *attempt) {
	if s.failingSince.IsZero() {
		s.failingSince = a.sentAt
	}
	s.reject(a)
	if s.mayGrantFromMemory() {
		// updateMemory serves the queue.
		return
	}
	s.rejectQueue()
}

func (s *State) reject(a *attempt) {
	for _, p := range a.replies {
		s.emit(Reply{Ticket: p.reply.Ticket, Kind: provider.KindUnavailable})
	}
}

func (s *State) rejectQueue() {
	for _, m := range s.queue {
		s.emit(Reply{Ticket: m.Ticket, Kind: provider.KindUnavailable})
	}
	s.queue = nil
}

// conflicted handles a transaction that had no effect, since the row of the owner or a second row has
// another version.
func (s *State) conflicted(a *attempt, m Applied) {
	if m.Owner.Version == s.version {
		s.adoptRows(a, m.Rows)
		return
	}
	s.reject(a)
	var owner encoder.BudgetOwner
	if err := json.Unmarshal(m.Owner.Value, &owner); err == nil && owner.Incarnation == s.self.Incarnation {
		for _, u := range s.unresolved {
			if u.sequence == owner.Sequence {
				s.resolve(u, m.Owner.Version)
				return
			}
		}
	}
	s.see(m.Owner)
	s.lose(s.knownOwner())
}

// resolve records that a transaction of unknown outcome took effect. Its requests have been rejected: the
// askers do not use the tokens, and find the row changed.
func (s *State) resolve(u *attempt, version int64) {
	s.version, s.renewedAt, s.unresolved = version, u.sentAt, nil
	for key, value := range u.values {
		s.stored(key, u.bases[key], value, version)
	}
	if u.releases {
		s.released = true
		s.lose("")
		return
	}
	s.send()
}

// adoptRows takes over the second rows that have been changed by others: clean-up removes them once they
// have expired. Rows that have been changed in memory are written again.
func (s *State) adoptRows(a *attempt, rows []provider.VersionedRow) {
	for _, current := range rows {
		r := s.rows[current.Key]
		if r == nil {
			r = &row{}
			s.rows[current.Key] = r
		}
		if r.stored == current.Version {
			continue
		}
		r.stored = current.Version
		if !r.unwritten {
			r.value = nil
			if current.Version != provider.VersionAbsent {
				r.value = current.Value
			}
		}
	}
	s.reject(a)
	s.send()
}

// lose ends the ownership. The grants from memory that are in no row are lost; the next owner blocks the
// second rows.
func (s *State) lose(owner string) {
	s.rejectQueue()
	s.emit(OwnershipChanged{Other: owner, Rows: s.Unwritten()})
	s.owned, s.loaded, s.rows, s.unresolved, s.loadSequence = false, false, nil, nil, 0
	s.failingSince = time.Time{}
}

// dropExpired removes rows from memory that have expired, so that memory does not grow. Transactions of
// unknown outcome refer to the values in memory, so that nothing is removed while there are any.
func (s *State) dropExpired(unixNow int64) {
	if s.now.Sub(s.expiredAt) < s.options.ExpiryInterval || s.attempt != nil || !s.failingSince.IsZero() {
		return
	}
	s.expiredAt = s.now
	for key, r := range s.rows {
		var budget encoder.ProgramBudget
		if !r.unwritten && (r.value == nil || json.Unmarshal(r.value, &budget) == nil && int64(budget.ExpiresAt) < unixNow) {
			delete(s.rows, key)
		}
	}
}
