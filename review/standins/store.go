package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the store, as the pages give them.
const (
	maxEntries    = 100
	maxCallBytes  = 1 << 20
	maxRowBytes   = 65536
	maxPageRows   = 500
	answerTime    = 4 * time.Millisecond
	operatorTable = "op"
	runnerTable   = "servers"
)

type rowKey struct{ table, part, key string }

type row struct {
	rowKey
	value   string // base64
	version int64
	deleted bool
}

func (r *row) encode() map[string]any {
	m := map[string]any{"table": r.table, "part": r.part, "key": r.key, name("version"): r.version}
	if r.deleted {
		m["deleted"] = true
	} else {
		m["value"] = r.value
	}
	return m
}

// store is the platform's metadata store: rows in tables, transactions under conditions, feeds.
type store struct {
	record  *record
	address string

	mutex   sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	// slow is the factor by which the time of all answers is stretched, 1 normally.
	slow int
	// slowed counts the calls that were answered slowly.
	slowed int
}

func newStore(r *record, address string) (*store, func(), error) {
	s := &store{record: r, address: address, rows: map[rowKey]row{}, changed: make(chan struct{}), slow: 1}
	stop, err := serve(address, s)
	return s, stop, err
}

func (s *store) setSlow(factor int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slow = factor
}

func (s *store) slowAnswers() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.slowed
}

// put writes a row for the operator or a runner.
func (s *store) put(table, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.apply(row{rowKey: rowKey{table, "", key}, value: base64.StdEncoding.EncodeToString(value), version: s.version})
	s.notify()
}

func (s *store) apply(r row) {
	if r.deleted {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	factor := s.slow
	if factor > 1 {
		s.slowed++
	}
	s.mutex.Unlock()
	status, body := s.handle(r)
	time.Sleep(time.Duration(factor) * answerTime)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handle(r *http.Request) (int, map[string]any) {
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodPost && r.URL.Path == name("transaction"):
		return s.transact(r)
	case r.Method == http.MethodGet && r.URL.Path == name("range"):
		return s.rangeOf(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), q.Get("limit"))
	case r.Method == http.MethodGet && r.URL.Path == name("feed"):
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		return s.feed(r, q.Get("table"), after, time.Duration(min(wait, 30000))*time.Millisecond)
	}
	return http.StatusNotFound, map[string]any{}
}

// answer adds what each answer about rows holds. The mutex must be held.
func (s *store) answer(m map[string]any) map[string]any {
	m[name("version")] = s.version
	m["now_ms"] = time.Since(s.record.began).Milliseconds()
	return m
}

func (s *store) transact(r *http.Request) (int, map[string]any) {
	content, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes+1))
	var body struct {
		Expected, Writes, Deletes []map[string]any
		Across                    bool
	}
	if err != nil || len(content) > maxCallBytes || json.Unmarshal(content, &body) != nil ||
		len(body.Expected)+len(body.Writes)+len(body.Deletes) > maxEntries {
		return http.StatusBadRequest, map[string]any{}
	}
	text := func(m map[string]any, field string) string { t, _ := m[field].(string); return t }
	keyOf := func(m map[string]any) rowKey { return rowKey{text(m, "table"), text(m, "part"), text(m, "key")} }
	var keys []rowKey
	for _, m := range slices.Concat(body.Expected, body.Writes, body.Deletes) {
		keys = append(keys, keyOf(m))
	}
	for _, k := range keys {
		if k.table == operatorTable || k.table == runnerTable {
			return http.StatusForbidden, map[string]any{}
		}
		if len(k.table) > 200 || len(k.part) > 200 || len(k.key) > 200 || k.part != keys[0].part && !body.Across {
			return http.StatusBadRequest, map[string]any{}
		}
	}
	for _, m := range body.Writes {
		if raw, err := base64.StdEncoding.DecodeString(text(m, "value")); err != nil || len(raw) > maxRowBytes {
			return http.StatusBadRequest, map[string]any{}
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	holds, current := true, []map[string]any{}
	for _, m := range body.Expected {
		stored, found := s.rows[keyOf(m)]
		if found {
			current = append(current, stored.encode())
		}
		expected, _ := m[name("version")].(float64)
		holds = holds && int64(expected) == stored.version
	}
	if !holds {
		return http.StatusPreconditionFailed, s.answer(map[string]any{"rows": current})
	}
	s.version++
	for _, m := range body.Writes {
		s.apply(row{rowKey: keyOf(m), value: text(m, "value"), version: s.version})
	}
	for _, m := range body.Deletes {
		s.apply(row{rowKey: keyOf(m), version: s.version, deleted: true})
	}
	s.notify()
	return http.StatusOK, s.answer(map[string]any{})
}

func (s *store) rangeOf(table, part, from, to, limitText string) (int, map[string]any) {
	limit, err := strconv.Atoi(limitText)
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []row
	for k, r := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.key, b.key) })
	rows, bytes, more := []map[string]any{}, 0, false
	for i := range found {
		bytes += len(found[i].value)
		if len(rows) == limit || len(rows) > 0 && bytes > maxCallBytes {
			more = true
			break
		}
		rows = append(rows, found[i].encode())
	}
	return http.StatusOK, s.answer(map[string]any{"rows": rows, "has_more": more})
}

func (s *store) feed(r *http.Request, table string, after int64, wait time.Duration) (int, map[string]any) {
	end := time.After(wait)
	for {
		s.mutex.Lock()
		rows := []map[string]any{}
		for i := range s.history {
			if s.history[i].table == table && s.history[i].version > after {
				rows = append(rows, s.history[i].encode())
			}
		}
		changed, answer := s.changed, s.answer(map[string]any{"rows": rows})
		s.mutex.Unlock()
		if len(rows) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}
