package committer

import (
	"fmt"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// recordOverhead is the estimated size of a record's JSON field names and numbers.
const recordOverhead = 96

// entry is one request that is not yet committed.
type entry struct {
	ticket      Ticket
	records     []encoder.Record
	shards      []ShardWrite
	trimThrough int
	// transactionBytes is the estimated size in a transaction, memoryBytes the one in
	// memory, which includes bodies that are stored as objects.
	transactionBytes, memoryBytes int
	// missingObjects are the objects, by name, that must be stored before the entry
	// can be committed.
	missingObjects map[string][]byte
	// putFailed is set when a missing object could not be stored and must be retried.
	putFailed bool
}

// writesOwnedShards reports whether the entry writes only rows of shards that this
// daemon owns. Such an entry has no condition that could fail on its own.
func (e *entry) writesOwnedShards() bool {
	for _, shard := range e.shards {
		if shard.Version != AnyVersion {
			return false
		}
	}
	return len(e.shards) > 0 && e.trimThrough == 0
}

// hasRecords reports whether the entry has records. Such entries can share a batch.
func (e *entry) hasRecords() bool { return len(e.records) > 0 }

// isMarker reports whether the entry needs no write and only marks a position in the
// order of requests.
func (e *entry) isMarker() bool {
	return len(e.records) == 0 && len(e.shards) == 0 && e.trimThrough == 0
}

// queue holds entries in the order of their requests. records and bytes also count
// the entries of the transaction in flight.
type queue struct {
	entries []entry
	records int
	bytes   int
}

func (q *queue) empty() bool { return len(q.entries) == 0 }
func (q *queue) ready() bool { return len(q.entries) > 0 && len(q.entries[0].missingObjects) == 0 }
func (q *queue) awaitsObjects() bool {
	return len(q.entries) > 0 && len(q.entries[0].missingObjects) > 0
}

func (q *queue) add(e entry) {
	q.entries = append(q.entries, e)
	q.records += len(e.records)
	q.bytes += e.memoryBytes
}

// take removes and returns the first n entries. They stay in the counts until
// subtractCounts.
func (q *queue) take(n int) []entry {
	taken := q.entries[:n:n]
	q.entries = q.entries[n:]
	return taken
}

// putBack puts taken entries back at the head of the queue.
func (q *queue) putBack(entries []entry) {
	q.entries = append(append([]entry(nil), entries...), q.entries...)
}

// subtractCounts subtracts finished entries from the counts.
func (q *queue) subtractCounts(entries []entry) {
	for _, e := range entries {
		q.records -= len(e.records)
		q.bytes -= e.memoryBytes
	}
}

// recordSize estimates the encoded size of a record in bytes.
func recordSize(r *encoder.Record) int {
	return recordOverhead + len(r.Shard) + len(r.Program) + len(r.Kind) + len(r.Body) + len(r.Object)
}

// enqueue adds a request to the queue. It rejects a request that deletes log rows and has records or
// shard rows too, since the deletion may take several transactions. It rejects the request when the bounds on
// pending requests would be exceeded and drops it when the lease is lost or released.
func (s *State) enqueue(m AppendRequested) {
	if s.phase == phaseLost || s.phase == phaseReleased {
		s.emit(TicketDropped{Ticket: m.Ticket})
		return
	}
	if m.TrimThrough > 0 && len(m.Records)+len(m.Shards) > 0 {
		s.emit(TicketRejected{Ticket: m.Ticket, Kind: provider.KindInvalid})
		return
	}
	e := entry{ticket: m.Ticket, records: append([]encoder.Record(nil), m.Records...), shards: m.Shards, trimThrough: m.TrimThrough}
	for i := range e.records {
		e.transactionBytes += recordSize(&e.records[i])
	}
	e.memoryBytes = e.transactionBytes
	full := s.queue.records+len(e.records) > s.options.MaxPendingRecords ||
		s.queue.bytes+e.transactionBytes > s.options.MaxPendingBytes
	if full && len(e.records) > 0 {
		s.emit(TicketRejected{Ticket: m.Ticket, Kind: provider.KindRefused})
		return
	}
	s.moveLargeBodies(&e)
	s.queue.add(e)
}

// moveLargeBodies moves large record bodies to objects. An entry must fit into one
// batch, so the size limit of a body is lower when the entry exceeds MaxBatchBytes.
func (s *State) moveLargeBodies(e *entry) {
	limit := s.options.MaxRecordBytes
	if e.transactionBytes > s.options.MaxBatchBytes {
		limit = min(limit, s.options.MaxBatchBytes/(2*len(e.records)))
	}
	for i := range e.records {
		r := &e.records[i]
		if len(r.Body) <= limit {
			continue
		}
		name := fmt.Sprintf("records/%s/%s/%012d-%d", s.options.Host, s.leaseRow.Incarnation, e.ticket, i)
		if e.missingObjects == nil {
			e.missingObjects = map[string][]byte{}
		}
		e.missingObjects[name] = []byte(r.Body)
		s.emit(PutObject{Name: name, Value: e.missingObjects[name]})
		e.transactionBytes -= len(r.Body) - len(name)
		r.Body, r.Object = "", name
	}
}
