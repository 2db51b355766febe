package batcher

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Options configure a State.
type Options struct {
	// MaxEntries and MaxBytes bound one transaction, below the store's limits of 100
	// entries and 1 MB of encoded values.
	MaxEntries int
	MaxBytes   int
	// MaxInFlight is the largest number of transactions in flight.
	MaxInFlight int
	// InitialTimeout is the timeout of a transaction until the first latency is known;
	// MinTimeout and MaxTimeout bound it after that.
	InitialTimeout time.Duration
	MinTimeout     time.Duration
	MaxTimeout     time.Duration
	// A transaction with more than SmallBytes gets the time in addition that it takes at MinBytesPerSecond.
	SmallBytes        int
	MinBytesPerSecond int
	// InitialBackoff and MaxBackoff bound the backoff after failed transactions, which
	// doubles with each failure in a row.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// ProbeTimeout bounds the read that decides whether the partition is down; it is above
	// the latency of a slow store. InitialProbeInterval is the time between the first two
	// probes, doubled up to MaxProbeInterval.
	ProbeTimeout         time.Duration
	InitialProbeInterval time.Duration
	MaxProbeInterval     time.Duration
	// Seed seeds the jitter of backoffs.
	Seed uint64
}

// DefaultOptions returns options for a store that responds within a few milliseconds and
// takes several hundred transactions a second from all daemons.
func DefaultOptions() Options {
	return Options{
		MaxEntries: 96, MaxBytes: 600_000, MaxInFlight: 3, SmallBytes: 64 << 10, MinBytesPerSecond: 1 << 20,
		InitialTimeout: 400 * time.Millisecond, MinTimeout: 150 * time.Millisecond, MaxTimeout: 1200 * time.Millisecond,
		InitialBackoff: 40 * time.Millisecond, MaxBackoff: 320 * time.Millisecond,
		ProbeTimeout: 350 * time.Millisecond, InitialProbeInterval: 200 * time.Millisecond,
		MaxProbeInterval: 800 * time.Millisecond, Seed: 1,
	}
}

// sentBatch is a transaction in flight.
type sentBatch struct {
	entries []Entry
	sentAt  time.Time
}

// State is the queue of entries and the transactions in flight of one partition. It is not
// safe for concurrent use.
type State struct {
	options         Options
	random          *rand.Rand
	queue           []Entry
	inFlight        map[uint64]*sentBatch
	lastBatch       uint64
	timeout         time.Duration
	smoothedLatency time.Duration
	failures        int
	down            bool
	probing         bool
	nextProbeAt     time.Time
	// probeInterval is the time from the last probe to nextProbeAt.
	probeInterval time.Duration
	backoff       time.Duration
	resumeAt      time.Time
	commands      []Command
}

// New returns an empty queue for a partition that is assumed to be up.
func New(options Options) *State {
	return &State{
		options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed)),
		inFlight: map[uint64]*sentBatch{}, timeout: options.InitialTimeout,
	}
}

// Up reports whether the partition accepts writes, as far as is known.
func (s *State) Up() bool { return !s.down }

// QueueLength returns the number of entries that wait to be sent.
func (s *State) QueueLength() int { return len(s.queue) }

// Update applies a message and returns the commands that follow from it.
func (s *State) Update(now time.Time, message Message) []Command {
	s.commands = nil
	switch m := message.(type) {
	case Submitted:
		s.queue = append(s.queue, m.Entry)
	case Applied:
		s.applied(now, m)
	case Conflicted:
		s.conflicted(now, m)
	case Failed:
		s.failed(now, m)
	case ProbeRequested:
		s.nextProbeAt = time.Time{}
	case ReadFailed:
		s.failures++
	case Probed:
		s.probed(now, m.Succeeded)
	case Tick:
		s.expire(now)
	}
	s.probe(now)
	s.flush(now)
	return s.commands
}

func (s *State) emit(c Command) { s.commands = append(s.commands, c) }

func (s *State) resolve(e *Entry, o Outcome) { s.emit(Resolve{Ticket: e.Ticket, Outcome: o}) }

func (s *State) removeBatch(batch uint64) *sentBatch {
	b := s.inFlight[batch]
	delete(s.inFlight, batch)
	return b
}

// responded marks the partition as up and derives the timeout from the latency of a
// response.
func (s *State) responded(now time.Time, b *sentBatch) {
	s.markUp()
	latency := now.Sub(b.sentAt)
	if s.smoothedLatency == 0 {
		s.smoothedLatency = latency
	}
	s.smoothedLatency += (latency - s.smoothedLatency) / 8
	s.timeout = min(max(4*s.smoothedLatency, s.options.MinTimeout), s.options.MaxTimeout)
}

// markUp resets failures, backoff and probes, and reports a partition that was down as up.
func (s *State) markUp() {
	s.failures, s.backoff, s.resumeAt = 0, 0, time.Time{}
	s.probeInterval, s.nextProbeAt = 0, time.Time{}
	if s.down {
		s.down = false
		s.emit(HealthChanged{Up: true})
	}
}

func (s *State) applied(now time.Time, m Applied) {
	b := s.removeBatch(m.Batch)
	if b == nil {
		return
	}
	s.responded(now, b)
	for i := range b.entries {
		s.resolve(&b.entries[i], Outcome{Version: m.Version})
	}
}

// conflicted resolves the entries whose conditions do not hold and puts the others at the
// head of the queue.
func (s *State) conflicted(now time.Time, m Conflicted) {
	b := s.removeBatch(m.Batch)
	if b == nil {
		return
	}
	s.responded(now, b)
	current := make(map[provider.RowKey]provider.VersionedRow, len(m.Rows))
	for _, row := range m.Rows {
		current[row.RowKey] = row
	}
	var retry []Entry
	for _, e := range b.entries {
		if rows := conflictRows(&e, current); rows != nil {
			s.resolve(&e, Outcome{Kind: provider.KindConflict, Rows: rows})
			continue
		}
		retry = append(retry, e)
	}
	if len(retry) == len(b.entries) {
		// No returned row explains the conflict. Retrying could loop forever.
		for i := range retry {
			s.resolve(&retry[i], Outcome{Kind: provider.KindUnavailable})
		}
		return
	}
	s.queue = append(retry, s.queue...)
}

// conflictRows returns the current rows of an entry's conditions if one of them does not
// hold, otherwise nil.
func conflictRows(e *Entry, current map[provider.RowKey]provider.VersionedRow) []provider.VersionedRow {
	conflict := false
	rows := []provider.VersionedRow{}
	for _, c := range e.Transaction.Conditions {
		row, listed := current[c.RowKey]
		if !listed {
			row = provider.VersionedRow{RowKey: c.RowKey}
		}
		if row.Deleted {
			row.Version = provider.VersionAbsent
		}
		rows = append(rows, row)
		conflict = conflict || row.Version != c.Version
	}
	if !conflict {
		return nil
	}
	return rows
}

func (s *State) failed(now time.Time, m Failed) {
	b := s.removeBatch(m.Batch)
	if b == nil {
		return
	}
	s.backOff(now, m.Kind)
	var retry []Entry
	for _, e := range b.entries {
		if m.Kind != provider.KindUnavailable || s.down || !now.Before(e.Deadline) {
			s.resolve(&e, Outcome{Kind: m.Kind})
			continue
		}
		retry = append(retry, e)
	}
	s.queue = append(retry, s.queue...)
}

// backOff doubles the backoff with each failure in a row. After an unknown outcome it also
// doubles the timeout: the store may be slow, and repeated transactions would slow it down
// further.
func (s *State) backOff(now time.Time, kind provider.Kind) {
	s.failures++
	if kind == provider.KindUnknown {
		s.timeout = min(2*s.timeout, s.options.MaxTimeout)
	}
	s.backoff = min(max(2*s.backoff, s.options.InitialBackoff), s.options.MaxBackoff)
	s.resumeAt = now.Add(s.backoff/2 + time.Duration(s.random.Int64N(int64(s.backoff/2)+1)))
}

// probe sends a probe if one is due: after a failure, and repeatedly while the partition is
// down.
func (s *State) probe(now time.Time) {
	if s.probing || now.Before(s.nextProbeAt) || (s.failures == 0 && !s.down) {
		return
	}
	s.probeInterval = min(max(2*s.probeInterval, s.options.InitialProbeInterval), s.options.MaxProbeInterval)
	s.probing, s.nextProbeAt = true, now.Add(s.probeInterval)
	s.emit(Probe{Timeout: s.options.ProbeTimeout})
}

func (s *State) probed(now time.Time, succeeded bool) {
	s.probing = false
	if succeeded {
		s.markUp()
		return
	}
	if s.failures > 0 && !s.down {
		s.down = true
		s.emit(HealthChanged{Up: false})
	}
	if s.down {
		s.rejectQueue()
	}
}

// rejectQueue resolves all queued entries as unavailable, since the partition is down. Their
// owners reject their callers at once or write to another partition.
func (s *State) rejectQueue() {
	for i := range s.queue {
		s.resolve(&s.queue[i], Outcome{Kind: provider.KindUnavailable})
	}
	s.queue = nil
}

// expire resolves queued entries whose deadline has passed as unavailable: they have not been
// sent, or only in transactions that had no effect.
func (s *State) expire(now time.Time) {
	kept := s.queue[:0]
	for _, e := range s.queue {
		if now.Before(e.Deadline) {
			kept = append(kept, e)
			continue
		}
		s.resolve(&e, Outcome{Kind: provider.KindUnavailable})
	}
	s.queue = kept
}

func (s *State) flush(now time.Time) {
	for len(s.queue) > 0 && !s.down && len(s.inFlight) < s.inFlightLimit() && !now.Before(s.resumeAt) {
		entries, bytes := s.takeBatch()
		s.lastBatch++
		s.inFlight[s.lastBatch] = &sentBatch{entries: entries, sentAt: now}
		s.emit(Apply{Batch: s.lastBatch, Transaction: mergeTransactions(entries), Timeout: s.timeout + s.transferTime(bytes)})
	}
}

// transferTime returns the time that sending so many bytes takes on a slow link. That of few is part of the latency.
func (s *State) transferTime(bytes int) time.Duration {
	if bytes <= s.options.SmallBytes {
		return 0
	}
	return time.Duration(bytes) * time.Second / time.Duration(s.options.MinBytesPerSecond)
}

// maxInFlightAfterFailure replaces MaxInFlight after a failure. A second transaction can show
// that the partition is back while the first one still hangs.
const maxInFlightAfterFailure = 2

func (s *State) inFlightLimit() int {
	if s.failures > 0 {
		return maxInFlightAfterFailure
	}
	return s.options.MaxInFlight
}

// takeBatch removes the next batch from the queue: the oldest entries, with background
// entries only when no others wait. Two entries that change the same row are never in one
// batch. It returns the batch and its size in bytes.
func (s *State) takeBatch() ([]Entry, int) {
	onlyBackground := true
	for i := range s.queue {
		onlyBackground = onlyBackground && s.queue[i].Background
	}
	var batch, rest []Entry
	count, size := 0, 0
	rows := map[provider.RowKey]bool{}
	for _, e := range s.queue {
		n := e.Transaction.EntryCount()
		fits := len(batch) == 0 || (count+n <= s.options.MaxEntries && size+e.Bytes <= s.options.MaxBytes)
		if !fits || (e.Background && !onlyBackground) || sharesRow(rows, &e) {
			rest = append(rest, e)
			continue
		}
		addRows(rows, &e)
		batch = append(batch, e)
		count += n
		size += e.Bytes
	}
	s.queue = rest
	return batch, size
}

// sharesRow reports whether an entry changes one of the rows.
func sharesRow(rows map[provider.RowKey]bool, e *Entry) bool {
	for i := range e.Transaction.Writes {
		if rows[e.Transaction.Writes[i].RowKey] {
			return true
		}
	}
	for _, k := range e.Transaction.Deletes {
		if rows[k] {
			return true
		}
	}
	return false
}

// addRows adds the rows that an entry changes.
func addRows(rows map[provider.RowKey]bool, e *Entry) {
	for i := range e.Transaction.Writes {
		rows[e.Transaction.Writes[i].RowKey] = true
	}
	for _, k := range e.Transaction.Deletes {
		rows[k] = true
	}
}

func mergeTransactions(entries []Entry) provider.RowTransaction {
	var t provider.RowTransaction
	for i := range entries {
		t.Conditions = append(t.Conditions, entries[i].Transaction.Conditions...)
		t.Writes = append(t.Writes, entries[i].Transaction.Writes...)
		t.Deletes = append(t.Deletes, entries[i].Transaction.Deletes...)
	}
	return t
}
