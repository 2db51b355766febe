package committer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

type stage int

const (
	// stageSent waits for CommitFinished.
	stageSent stage = iota
	// stageDoubt must read the lease row.
	stageDoubt
	// stageResend may send the same transaction again.
	stageResend
)

// flight is the one transaction that was sent and is not resolved.
type flight struct {
	transaction provider.Transaction
	// row is the lease row as the transaction writes it.
	row     encoder.LeaseRow
	entries []entry
	stage   stage
	// first and last are the times before the first and the last attempt.
	first, last time.Time
	// conflict is set when the last attempt failed a condition.
	conflict bool
	// inDoubt is set once an attempt had no answer.
	inDoubt bool
}

// LogKey returns the key of a log row.
func LogKey(host, incarnation string, sequence int) string {
	return fmt.Sprintf("%s/%s/%012d", host, incarnation, sequence)
}

// nextBatch takes the entries of the next transaction from the queue.
func (s *State) nextBatch() flight {
	f := flight{row: s.row}
	head := &s.queue.entries[0]
	if !head.plain() {
		f.row.Checkpoint = max(f.row.Checkpoint, s.trimTo(head.trim))
		f.entries = s.queue.take(s.ownedRun())
		return f
	}
	n, bytes := 0, 0
	for n < len(s.queue.entries) {
		e := &s.queue.entries[n]
		if !e.plain() || len(e.puts) > 0 || n > 0 && bytes+e.bytes > s.options.MaxBatchBytes {
			break
		}
		bytes += e.bytes
		n++
	}
	f.row.Sequence++
	f.entries = s.queue.take(n)
	return f
}

// ownedRun returns how many entries at the head of the queue may share one
// transaction of shard rows; a drain hands over all shards of a daemon this way.
func (s *State) ownedRun() int {
	n, rows := 0, 0
	for n < len(s.queue.entries) && s.queue.entries[n].owned() && rows < maxShardRows {
		rows += len(s.queue.entries[n].shards)
		n++
	}
	return max(1, n)
}

// trimTo bounds a deletion of log rows to what is durable and to one transaction.
func (s *State) trimTo(through int) int {
	return min(through, s.row.Sequence, s.row.Checkpoint+maxTrimRows)
}

// send completes a transaction and sends it.
func (s *State) send(now time.Time, f flight) {
	s.counter++
	f.row.Commit = fmt.Sprintf("%s-%d", f.row.Incarnation, s.counter)
	f.transaction = provider.Transaction{
		ID:         f.row.Commit,
		Conditions: []provider.Condition{{Table: TableLeases, Key: s.options.Host, Version: s.version}},
		Writes:     []provider.Write{{Table: TableLeases, Key: s.options.Host, Value: encode(f.row)}},
	}
	if f.row.Sequence > s.row.Sequence && s.phase == phaseHolding {
		f.transaction.Writes = append(f.transaction.Writes, s.logWrite(&f))
	}
	for i := range f.entries {
		s.addShards(&f, f.entries[i].shards)
		if f.entries[i].trim > 0 {
			s.addTrim(&f)
		}
	}
	f.first = now
	s.flight = &f
	s.attempt(now)
}

// attempt sends the transaction in flight, for the first time or again.
func (s *State) attempt(now time.Time) {
	s.tokens--
	s.flight.stage = stageSent
	s.flight.last = now
	s.flight.conflict = false
	s.emit(CommitTransaction{Transaction: s.flight.transaction})
}

func (s *State) logWrite(f *flight) provider.Write {
	batch := encoder.Batch{Commit: f.row.Commit, Sequence: f.row.Sequence}
	for i := range f.entries {
		batch.Records = append(batch.Records, f.entries[i].records...)
	}
	key := LogKey(s.options.Host, f.row.Incarnation, f.row.Sequence)
	return provider.Write{Table: TableLog, Key: key, Value: EncodeBatch(batch)}
}

func (s *State) addShards(f *flight, shards []ShardWrite) {
	for _, shard := range shards {
		row := shard.Row
		if shard.AppendLogRange {
			open := encoder.LogRange{Host: s.options.Host, Incarnation: f.row.Incarnation, After: f.row.Sequence}
			row.Logs = append(slices.Clone(row.Logs), open)
		}
		if shard.Version != AnyVersion {
			f.transaction.Conditions = append(f.transaction.Conditions,
				provider.Condition{Table: TableShards, Key: row.Shard, Version: shard.Version})
		}
		f.transaction.Writes = append(f.transaction.Writes,
			provider.Write{Table: TableShards, Key: row.Shard, Value: encode(row)})
	}
}

func (s *State) addTrim(f *flight) {
	for sequence := s.row.Checkpoint + 1; sequence <= f.row.Checkpoint; sequence++ {
		key := LogKey(s.options.Host, f.row.Incarnation, sequence)
		f.transaction.Writes = append(f.transaction.Writes, provider.Write{Table: TableLog, Key: key, Delete: true})
	}
}

// encode never fails: all row types consist of strings and numbers.
func encode(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// applied ends the flight after its transaction took effect.
func (s *State) applied(version int64, sentAt time.Time) {
	f := s.flight
	s.flight = nil
	s.succeeded()
	s.deleteObjects(s.row.Checkpoint, f.row.Checkpoint)
	s.row, s.version, s.renewed = f.row, version, sentAt
	s.queue.done(f.entries)
	if f.row.State == LeaseRowReleased {
		s.phase = phaseReleased
		s.emit(LeaseReleased{})
		return
	}
	s.phase = phaseHolding
	s.emit(LeaseRenewed{SentAt: sentAt, Incarnation: s.row.Incarnation, Past: s.row.Past})
	for i := range f.entries {
		s.noteObjects(&f.entries[i])
		s.emit(TicketCommitted{Ticket: f.entries[i].ticket, Sequence: s.row.Sequence})
	}
}

// noteObjects remembers which objects a log row refers to, for its deletion.
func (s *State) noteObjects(e *entry) {
	for _, r := range e.records {
		if r.Object != "" {
			s.objects[s.row.Sequence] = append(s.objects[s.row.Sequence], r.Object)
		}
	}
}

func (s *State) deleteObjects(after, through int) {
	for sequence := after + 1; sequence <= through; sequence++ {
		for _, name := range s.objects[sequence] {
			s.emit(DeleteObject{Name: name})
		}
		delete(s.objects, sequence)
	}
}

// objectPut notes that an object is stored, or that its entry has to wait.
func (s *State) objectPut(now time.Time, m PutFinished) {
	failed := m.Kind != provider.KindNone
	if failed {
		s.objectFailures++
		s.objectsAt = now.Add(s.pause(s.objectFailures))
	} else {
		s.objectFailures = 0
	}
	for i := range s.queue.entries {
		e := &s.queue.entries[i]
		if _, found := e.puts[m.Name]; !found {
			continue
		}
		if e.failed = e.failed || failed; !failed {
			delete(e.puts, m.Name)
		}
	}
}

// retryObjects stores the missing objects of the first entry again after a failure.
// Objects are immutable, so a repetition is harmless.
func (s *State) retryObjects(now time.Time) {
	if !s.queue.waiting() || !s.queue.entries[0].failed || now.Before(s.objectsAt) {
		return
	}
	head := &s.queue.entries[0]
	head.failed = false
	for _, name := range slices.Sorted(maps.Keys(head.puts)) {
		s.emit(PutObject{Name: name, Value: head.puts[name]})
	}
}
