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

// transactionStage is the progress of the transaction in flight.
type transactionStage int

const (
	// stageAwaitingResponse waits for CommitFinished.
	stageAwaitingResponse transactionStage = iota
	// stageOutcomeUnknown reads the lease row to find out the outcome.
	stageOutcomeUnknown
	// stageResend sends the same transaction again.
	stageResend
)

// pendingTransaction is the transaction that was sent and has no known outcome yet.
type pendingTransaction struct {
	transaction provider.Transaction
	// leaseRow is the lease row that the transaction writes.
	leaseRow encoder.LeaseRow
	entries  []entry
	stage    transactionStage
	// firstSentAt and lastSentAt are the times before the first and the last attempt.
	// The lease is counted from firstSentAt if it is unknown which attempt took effect.
	firstSentAt, lastSentAt time.Time
	// conflict is set when a condition of the last attempt did not hold.
	conflict bool
	// mayHaveCommitted is set once the outcome of an attempt is unknown.
	mayHaveCommitted bool
}

// LogKey returns the key of a log row.
func LogKey(host, incarnation string, sequence int) string {
	return fmt.Sprintf("%s/%s/%012d", host, incarnation, sequence)
}

// nextBatch removes the entries of the next transaction from the queue and returns an
// unsent transaction with them.
func (s *State) nextBatch() pendingTransaction {
	f := pendingTransaction{leaseRow: s.leaseRow}
	head := &s.queue.entries[0]
	if !head.hasRecords() {
		through := min(head.trimThrough, s.leaseRow.Sequence)
		if limit := s.leaseRow.Checkpoint + maxTrimRows; through > limit {
			// The entry stays queued until its last rows are deleted.
			f.leaseRow.Checkpoint = limit
			return f
		}
		f.leaseRow.Checkpoint = max(f.leaseRow.Checkpoint, through)
		f.entries = s.queue.take(s.ownedShardEntries())
		return f
	}
	n, bytes := 0, 0
	for n < len(s.queue.entries) {
		e := &s.queue.entries[n]
		if !e.hasRecords() || len(e.missingObjects) > 0 || n > 0 && bytes+e.transactionBytes > s.options.MaxBatchBytes {
			break
		}
		bytes += e.transactionBytes
		n++
	}
	f.leaseRow.Sequence++
	f.entries = s.queue.take(n)
	return f
}

// ownedShardEntries returns the number of entries at the head of the queue that can
// share a transaction of shard rows, at least 1. A draining daemon hands over its
// shards in such transactions.
func (s *State) ownedShardEntries() int {
	n, rows := 0, 0
	for n < len(s.queue.entries) && s.queue.entries[n].writesOwnedShards() {
		if rows += len(s.queue.entries[n].shards); rows > maxShardRows {
			break
		}
		n++
	}
	return max(1, n)
}

// send builds the transaction of f and sends it.
func (s *State) send(now time.Time, f pendingTransaction) {
	s.transactionCount++
	f.leaseRow.Commit = fmt.Sprintf("%s-%d", f.leaseRow.Incarnation, s.transactionCount)
	f.transaction = provider.Transaction{
		ID:         f.leaseRow.Commit,
		Conditions: []provider.Condition{{Table: TableLeases, Key: s.options.Host, Version: s.leaseVersion}},
		Writes:     []provider.Write{{Table: TableLeases, Key: s.options.Host, Value: encode(f.leaseRow)}},
	}
	if f.leaseRow.Sequence > s.leaseRow.Sequence && s.phase == phaseHolding {
		f.transaction.Writes = append(f.transaction.Writes, s.logWrite(&f))
	}
	for i := range f.entries {
		s.addShardWrites(&f, f.entries[i].shards)
	}
	s.addLogDeletes(&f)
	f.firstSentAt = now
	s.pending = &f
	s.sendAttempt(now)
}

// sendAttempt sends the transaction in flight. A repeated attempt is identical.
func (s *State) sendAttempt(now time.Time) {
	s.writeTokens--
	s.pending.stage = stageAwaitingResponse
	s.pending.lastSentAt = now
	s.pending.conflict = false
	s.emit(CommitTransaction{Transaction: s.pending.transaction})
}

// logWrite returns the write of the log row with the records of f.
func (s *State) logWrite(f *pendingTransaction) provider.Write {
	batch := encoder.Batch{Commit: f.leaseRow.Commit, Sequence: f.leaseRow.Sequence}
	for i := range f.entries {
		batch.Records = append(batch.Records, f.entries[i].records...)
	}
	key := LogKey(s.options.Host, f.leaseRow.Incarnation, f.leaseRow.Sequence)
	return provider.Write{Table: TableLog, Key: key, Value: EncodeBatch(batch)}
}

// addShardWrites adds the shard rows and their conditions to the transaction of f.
func (s *State) addShardWrites(f *pendingTransaction, shards []ShardWrite) {
	for _, shard := range shards {
		row := shard.Row
		if shard.AppendLogRange {
			open := encoder.LogRange{Host: s.options.Host, Incarnation: f.leaseRow.Incarnation, After: f.leaseRow.Sequence}
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

// addLogDeletes adds the deletion of the log rows up to the new checkpoint to the
// transaction of f.
func (s *State) addLogDeletes(f *pendingTransaction) {
	for sequence := s.leaseRow.Checkpoint + 1; sequence <= f.leaseRow.Checkpoint; sequence++ {
		key := LogKey(s.options.Host, f.leaseRow.Incarnation, sequence)
		f.transaction.Writes = append(f.transaction.Writes, provider.Write{Table: TableLog, Key: key, Delete: true})
	}
}

// encode returns value as JSON. It panics on failure, which cannot occur: the row
// types have only fields that JSON can encode.
func encode(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// completePending applies the effects of the committed transaction and clears
// pending. The lease is counted from sentAt.
func (s *State) completePending(version int64, sentAt time.Time) {
	f := s.pending
	s.pending = nil
	s.recordSuccess()
	s.deleteObjects(s.leaseRow.Checkpoint, f.leaseRow.Checkpoint)
	s.leaseRow, s.leaseVersion, s.renewedAt = f.leaseRow, version, sentAt
	s.queue.subtractCounts(f.entries)
	if f.leaseRow.State == LeaseRowReleased {
		s.phase = phaseReleased
		s.emit(LeaseReleased{})
		return
	}
	s.phase = phaseHolding
	s.emit(LeaseRenewed{SentAt: sentAt, Incarnation: s.leaseRow.Incarnation, Past: s.leaseRow.Past})
	for i := range f.entries {
		s.recordObjects(&f.entries[i])
		s.emit(TicketCommitted{Ticket: f.entries[i].ticket, Sequence: s.leaseRow.Sequence})
	}
}

// recordObjects records the objects that the newest log row refers to, so that they
// are deleted with the row.
func (s *State) recordObjects(e *entry) {
	for _, r := range e.records {
		if r.Object != "" {
			s.objectsBySequence[s.leaseRow.Sequence] = append(s.objectsBySequence[s.leaseRow.Sequence], r.Object)
		}
	}
}

// deleteObjects deletes the objects of the log rows after+1 to through.
func (s *State) deleteObjects(after, through int) {
	for sequence := after + 1; sequence <= through; sequence++ {
		for _, name := range s.objectsBySequence[sequence] {
			s.emit(DeleteObject{Name: name})
		}
		delete(s.objectsBySequence, sequence)
	}
}

// putFinished removes a stored object from the missing objects of its entry. After
// a failure it marks the entry for a retry.
func (s *State) putFinished(now time.Time, m PutFinished) {
	failed := m.Kind != provider.KindNone
	if failed {
		s.objectFailures++
		s.objectRetryAt = now.Add(s.backoff(s.objectFailures))
	} else {
		s.objectFailures = 0
	}
	for i := range s.queue.entries {
		e := &s.queue.entries[i]
		if _, found := e.missingObjects[m.Name]; !found {
			continue
		}
		if e.putFailed = e.putFailed || failed; !failed {
			delete(e.missingObjects, m.Name)
		}
	}
}

// retryObjects writes the missing objects of the first entry again after a failure.
// Objects are immutable, so writing one twice is harmless.
func (s *State) retryObjects(now time.Time) {
	if !s.queue.awaitsObjects() || !s.queue.entries[0].putFailed || now.Before(s.objectRetryAt) {
		return
	}
	head := &s.queue.entries[0]
	head.putFailed = false
	for _, name := range slices.Sorted(maps.Keys(head.missingObjects)) {
		s.emit(PutObject{Name: name, Value: head.missingObjects[name]})
	}
}
