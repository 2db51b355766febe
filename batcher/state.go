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
	// MaxInFlight is the number of transactions under way at once.
	MaxInFlight int
	// InitialTimeout applies until an answer has been timed; MinTimeout and MaxTimeout
	// bound the time that an answer is waited for.
	InitialTimeout time.Duration
	MinTimeout     time.Duration
	MaxTimeout     time.Duration
	// InitialBackoff and LongestPause bound the pause after a failed transaction.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// ProbeTimeout bounds the read that decides whether the part is down; it is above
	// the answers of a store that is slow. FirstProbeAfter is the time between two of
	// them, doubled up to LastProbeAfter.
	ProbeTimeout         time.Duration
	InitialProbeInterval time.Duration
	MaxProbeInterval     time.Duration
	// Seed decides the jitter of pauses.
	Seed uint64
}

// DefaultOptions returns options for a store that answers within a few milliseconds
// and takes several hundred transactions a second from all daemons.
func DefaultOptions() Options {
	return Options{
		MaxEntries: 96, MaxBytes: 600_000, MaxInFlight: 3,
		InitialTimeout: 400 * time.Millisecond, MinTimeout: 150 * time.Millisecond, MaxTimeout: 1200 * time.Millisecond,
		InitialBackoff: 40 * time.Millisecond, MaxBackoff: 320 * time.Millisecond,
		ProbeTimeout: 350 * time.Millisecond, InitialProbeInterval: 200 * time.Millisecond,
		MaxProbeInterval: 800 * time.Millisecond, Seed: 1,
	}
}

type flight struct {
	entries []Entry
	sent    time.Time
}

// State is the queue of entries and the transactions under way. It is not safe for
// concurrent use.
type State struct {
	options  Options
	random   *rand.Rand
	queue    []Entry
	flights  map[uint64]*flight
	next     uint64
	timeout  time.Duration
	smoothed time.Duration
	failures int
	down     bool
	probing  bool
	probeAt  time.Time
	// probeAfter is the time between the last two probes.
	probeAfter time.Duration
	pause      time.Duration
	resume     time.Time
	commands   []Command
}

// New returns an empty queue before a store that is taken to be up.
func New(options Options) *State {
	return &State{
		options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed)),
		flights: map[uint64]*flight{}, timeout: options.InitialTimeout,
	}
}

// Up reports whether the store takes writes, as far as is known.
func (s *State) Up() bool { return !s.down }

// QueueLength returns the number of entries that wait for a transaction.
func (s *State) QueueLength() int { return len(s.queue) }

// Update applies a message.
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
		s.probeAt = time.Time{}
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

func (s *State) land(batch uint64) *flight {
	f := s.flights[batch]
	delete(s.flights, batch)
	return f
}

// answered notes that the store has answered, and how fast.
func (s *State) answered(now time.Time, f *flight) {
	s.recover()
	took := now.Sub(f.sent)
	if s.smoothed == 0 {
		s.smoothed = took
	}
	s.smoothed += (took - s.smoothed) / 8
	s.timeout = min(max(4*s.smoothed, s.options.MinTimeout), s.options.MaxTimeout)
}

// recover ends the pause after failures.
func (s *State) recover() {
	s.failures, s.pause, s.resume = 0, 0, time.Time{}
	s.probeAfter, s.probeAt = 0, time.Time{}
	if s.down {
		s.down = false
		s.emit(HealthChanged{Up: true})
	}
}

func (s *State) applied(now time.Time, m Applied) {
	f := s.land(m.Batch)
	if f == nil {
		return
	}
	s.answered(now, f)
	for i := range f.entries {
		s.resolve(&f.entries[i], Outcome{Version: m.Version})
	}
}

// conflicted resolves the entries whose conditions do not hold and sends the others
// again, first of all.
func (s *State) conflicted(now time.Time, m Conflicted) {
	f := s.land(m.Batch)
	if f == nil {
		return
	}
	s.answered(now, f)
	current := make(map[provider.RowKey]provider.VersionedRow, len(m.Rows))
	for _, row := range m.Rows {
		current[row.RowKey] = row
	}
	var again []Entry
	for _, e := range f.entries {
		if rows := violated(&e, current); rows != nil {
			s.resolve(&e, Outcome{Kind: provider.KindConflict, Rows: rows})
			continue
		}
		again = append(again, e)
	}
	if len(again) == len(f.entries) {
		// The answer names no row that explains the conflict: give up rather than loop.
		for i := range again {
			s.resolve(&again[i], Outcome{Kind: provider.KindUnavailable})
		}
		return
	}
	s.queue = append(again, s.queue...)
}

// violated returns the current rows of an entry's conditions if one does not hold.
func violated(e *Entry, current map[provider.RowKey]provider.VersionedRow) []provider.VersionedRow {
	broken := false
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
		broken = broken || row.Version != c.Version
	}
	if !broken {
		return nil
	}
	return rows
}

func (s *State) failed(now time.Time, m Failed) {
	f := s.land(m.Batch)
	if f == nil {
		return
	}
	s.backOff(now, m.Kind)
	var again []Entry
	for _, e := range f.entries {
		if m.Kind != provider.KindUnavailable || s.down || !now.Before(e.Deadline) {
			s.resolve(&e, Outcome{Kind: m.Kind})
			continue
		}
		again = append(again, e)
	}
	s.queue = append(again, s.queue...)
}

// backOff waits longer after each failure in a row, and for an answer too: a slow
// store answers late, and a second copy of the call would make it slower.
func (s *State) backOff(now time.Time, kind provider.Kind) {
	s.failures++
	if kind == provider.KindUnknown {
		s.timeout = min(2*s.timeout, s.options.MaxTimeout)
	}
	s.pause = min(max(2*s.pause, s.options.InitialBackoff), s.options.MaxBackoff)
	s.resume = now.Add(s.pause/2 + time.Duration(s.random.Int64N(int64(s.pause/2)+1)))
}

// probe asks for a read after a failure, and again and again while the store is down.
func (s *State) probe(now time.Time) {
	if s.probing || now.Before(s.probeAt) || (s.failures == 0 && !s.down) {
		return
	}
	s.probeAfter = min(max(2*s.probeAfter, s.options.InitialProbeInterval), s.options.MaxProbeInterval)
	s.probing, s.probeAt = true, now.Add(s.probeAfter)
	s.emit(Probe{Timeout: s.options.ProbeTimeout})
}

func (s *State) probed(now time.Time, answered bool) {
	s.probing = false
	if answered {
		s.recover()
		return
	}
	if s.failures > 0 && !s.down {
		s.down = true
		s.emit(HealthChanged{Up: false})
	}
	if s.down {
		s.refuseAll()
	}
}

// refuseAll resolves what waits, now that the part is down. Owners refuse their callers at
// once or write to another part.
func (s *State) refuseAll() {
	for i := range s.queue {
		s.resolve(&s.queue[i], Outcome{Kind: provider.KindUnavailable})
	}
	s.queue = nil
}

// expire drops entries that nobody waits for any more. They have not been sent, or
// only in transactions whose outcome is unknown.
func (s *State) expire(now time.Time) {
	kept := s.queue[:0]
	for _, e := range s.queue {
		if now.Before(e.Deadline) {
			kept = append(kept, e)
			continue
		}
		s.resolve(&e, Outcome{Kind: provider.KindUnknown})
	}
	s.queue = kept
}

func (s *State) flush(now time.Time) {
	for len(s.queue) > 0 && !s.down && len(s.flights) < s.flightLimit() && !now.Before(s.resume) {
		entries := s.take()
		s.next++
		s.flights[s.next] = &flight{entries: entries, sent: now}
		s.emit(Apply{Batch: s.next, Transaction: join(entries), Timeout: s.timeout})
	}
}

// probeFlights is the number of transactions under way before a store that fails: a
// second one finds out that the store is back while the first one still hangs.
const probeFlights = 2

func (s *State) flightLimit() int {
	if s.failures > 0 {
		return probeFlights
	}
	return s.options.MaxInFlight
}

// take removes the next batch from the queue: the oldest entries, background entries
// only when nothing else waits. Two entries with the same row do not go together.
func (s *State) take() []Entry {
	background := true
	for i := range s.queue {
		background = background && s.queue[i].Background
	}
	var batch, rest []Entry
	count, size := 0, 0
	rows := map[provider.RowKey]bool{}
	for _, e := range s.queue {
		n := e.Transaction.EntryCount()
		fits := len(batch) == 0 || (count+n <= s.options.MaxEntries && size+e.Bytes <= s.options.MaxBytes)
		if !fits || (e.Background && !background) || touches(rows, &e) {
			rest = append(rest, e)
			continue
		}
		claim(rows, &e)
		batch = append(batch, e)
		count += n
		size += e.Bytes
	}
	s.queue = rest
	return batch
}

func touches(rows map[provider.RowKey]bool, e *Entry) bool {
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

func claim(rows map[provider.RowKey]bool, e *Entry) {
	for i := range e.Transaction.Writes {
		rows[e.Transaction.Writes[i].RowKey] = true
	}
	for _, k := range e.Transaction.Deletes {
		rows[k] = true
	}
}

func join(entries []Entry) provider.RowTransaction {
	var t provider.RowTransaction
	for i := range entries {
		t.Conditions = append(t.Conditions, entries[i].Transaction.Conditions...)
		t.Writes = append(t.Writes, entries[i].Transaction.Writes...)
		t.Deletes = append(t.Deletes, entries[i].Transaction.Deletes...)
	}
	return t
}
