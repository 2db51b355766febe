package committer

import (
	"fmt"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// recordOverhead estimates the JSON field names and numbers of one record.
const recordOverhead = 96

// entry is one request that is not yet committed.
type entry struct {
	ticket  Ticket
	records []encoder.Record
	shards  []ShardWrite
	trim    int
	// bytes is the size in a transaction, held the size in memory.
	bytes, held int
	// puts are the objects that must be stored before the entry can be committed.
	puts map[string][]byte
	// failed is set when one of them could not be stored.
	failed bool
}

// owned reports whether the entry writes only rows of shards that this daemon owns,
// so that no condition of it can fail alone.
func (e *entry) owned() bool {
	for _, shard := range e.shards {
		if shard.Version != AnyVersion {
			return false
		}
	}
	return len(e.shards) > 0 && e.trim == 0
}

// plain reports whether the entry has records only and can share a batch.
func (e *entry) plain() bool { return len(e.records) > 0 }

// marker reports whether the entry only marks a place in the order.
func (e *entry) marker() bool { return len(e.records) == 0 && len(e.shards) == 0 && e.trim == 0 }

// queue holds entries in the order of their requests. Its counts include the
// entries of the transaction in flight.
type queue struct {
	entries []entry
	records int
	bytes   int
}

func (q *queue) empty() bool   { return len(q.entries) == 0 }
func (q *queue) ready() bool   { return len(q.entries) > 0 && len(q.entries[0].puts) == 0 }
func (q *queue) waiting() bool { return len(q.entries) > 0 && len(q.entries[0].puts) > 0 }

func (q *queue) add(e entry) {
	q.entries = append(q.entries, e)
	q.records += len(e.records)
	q.bytes += e.held
}

// take removes the first n entries from the order; done ends their counting.
func (q *queue) take(n int) []entry {
	taken := q.entries[:n:n]
	q.entries = q.entries[n:]
	return taken
}

func (q *queue) putBack(entries []entry) {
	q.entries = append(append([]entry(nil), entries...), q.entries...)
}

func (q *queue) done(entries []entry) {
	for _, e := range entries {
		q.records -= len(e.records)
		q.bytes -= e.held
	}
}

func recordBytes(r *encoder.Record) int {
	return recordOverhead + len(r.Shard) + len(r.Program) + len(r.Kind) + len(r.Body) + len(r.Object)
}

// append queues a request or refuses it.
func (s *State) append(m AppendRequested) {
	if s.phase == phaseLost || s.phase == phaseReleased {
		s.emit(TicketDropped{Ticket: m.Ticket})
		return
	}
	e := entry{ticket: m.Ticket, records: append([]encoder.Record(nil), m.Records...), shards: m.Shards, trim: m.TrimThrough}
	for i := range e.records {
		e.bytes += recordBytes(&e.records[i])
	}
	e.held = e.bytes
	full := s.queue.records+len(e.records) > s.options.MaxPendingRecords ||
		s.queue.bytes+e.bytes > s.options.MaxPendingBytes
	if full && len(e.records) > 0 {
		s.emit(TicketRejected{Ticket: m.Ticket, Kind: provider.KindRefused})
		return
	}
	s.moveBodies(&e)
	s.queue.add(e)
}

// moveBodies moves large bodies to objects. An entry must fit into one batch, so
// the limit is lower for an entry with many records.
func (s *State) moveBodies(e *entry) {
	limit := s.options.MaxRecordBytes
	if e.bytes > s.options.MaxBatchBytes {
		limit = min(limit, s.options.MaxBatchBytes/(2*len(e.records)))
	}
	for i := range e.records {
		r := &e.records[i]
		if len(r.Body) <= limit {
			continue
		}
		name := fmt.Sprintf("records/%s/%s/%012d-%d", s.options.Host, s.row.Incarnation, e.ticket, i)
		if e.puts == nil {
			e.puts = map[string][]byte{}
		}
		e.puts[name] = []byte(r.Body)
		s.emit(PutObject{Name: name, Value: e.puts[name]})
		e.bytes -= len(r.Body) - len(name)
		r.Body, r.Object = "", name
	}
}
