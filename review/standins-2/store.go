package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The limits of the platform's store, from its page and the settings.
const (
	maxTxEntries  = 100
	maxTxBytes    = 1 << 20
	maxPageRows   = 500
	maxPageBytes  = 1 << 20
	maxKeyBytes   = 200
	maxValueBytes = 65536
	txTime        = 3 * time.Millisecond
	answerTime    = time.Millisecond
)

type rowKey struct{ table, part, key string }

type storedRow struct {
	rowKey
	value   string // base64
	version int64
	deleted bool
}

func (r *storedRow) encode(withValue bool) map[string]any {
	m := map[string]any{"table": r.table, "part": r.part, "key": r.key, names["version"]: r.version}
	if r.deleted {
		m["deleted"] = true
	} else if withValue {
		m["value"] = r.value
	}
	return m
}

// store is a stand-in of the platform's store. It keeps all history and loses nothing.
type store struct {
	mutex   sync.Mutex
	rows    map[rowKey]*storedRow
	version int64
	changed chan struct{}
	started time.Time
	parts   map[string]*sync.Mutex
	calls   int
	refused map[string]int
}

func newStore() *store {
	return &store{rows: map[rowKey]*storedRow{}, changed: make(chan struct{}), started: time.Now(), parts: map[string]*sync.Mutex{}, refused: map[string]int{}}
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	k := rowKey{table: table, key: key}
	s.rows[k] = &storedRow{rowKey: k, value: base64.StdEncoding.EncodeToString(text), version: s.version}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) part(name string) *sync.Mutex {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls++
	s.mutex.Unlock()
	time.Sleep(answerTime)
	switch {
	case r.Method == http.MethodPost && r.URL.Path == names["tx"]:
		s.transact(w, r)
	case r.URL.Path == names["get"]:
		s.get(w, r)
	case r.URL.Path == names["feed"]:
		s.feed(w, r)
	case r.URL.Path == names["parts"]:
		s.listParts(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) refuse(w http.ResponseWriter, status int, reason string) {
	s.mutex.Lock()
	s.refused[reason]++
	s.mutex.Unlock()
	http.Error(w, reason, status)
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body[names["now"]] = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func text(m map[string]any, field string) string {
	t, _ := m[field].(string)
	return t
}

func keyOf(m map[string]any) rowKey {
	return rowKey{table: text(m, "table"), part: text(m, "part"), key: text(m, "key")}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		return
	}
	if len(content) > maxTxBytes {
		s.refuse(w, http.StatusRequestEntityTooLarge, "call over 1 MB")
		return
	}
	var body struct{ Expected, Writes, Deletes []map[string]any }
	if err := json.Unmarshal(content, &body); err != nil {
		s.refuse(w, http.StatusBadRequest, "not JSON")
		return
	}
	if len(body.Expected)+len(body.Writes)+len(body.Deletes) > maxTxEntries {
		s.refuse(w, http.StatusRequestEntityTooLarge, "over 100 entries")
		return
	}
	part := ""
	for _, list := range [][]map[string]any{body.Expected, body.Writes, body.Deletes} {
		for _, m := range list {
			k := keyOf(m)
			part = k.part
			if len(k.table) > maxKeyBytes || len(k.part) > maxKeyBytes || len(k.key) > maxKeyBytes {
				s.refuse(w, http.StatusBadRequest, "name over 200 bytes")
				return
			}
			if k.table == "op" || k.table == "servers" {
				s.refuse(w, http.StatusForbidden, "table of the operator")
				return
			}
			if base64.StdEncoding.DecodedLen(len(text(m, "value"))) > maxValueBytes+2 {
				s.refuse(w, http.StatusRequestEntityTooLarge, "value over row_bytes")
				return
			}
		}
	}
	lock := s.part(part)
	lock.Lock()
	defer lock.Unlock()
	time.Sleep(txTime)
	s.mutex.Lock()
	conflict := false
	current := []map[string]any{}
	for _, m := range body.Expected {
		row := s.rows[keyOf(m)]
		var version int64
		if row != nil && !row.deleted {
			version = row.version
			current = append(current, row.encode(true))
		}
		wanted, _ := m[names["version"]].(float64)
		conflict = conflict || version != int64(wanted)
	}
	if conflict {
		version := s.version
		s.mutex.Unlock()
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, names["version"]: version})
		return
	}
	s.version++
	for _, m := range body.Writes {
		k := keyOf(m)
		s.rows[k] = &storedRow{rowKey: k, value: text(m, "value"), version: s.version}
	}
	for _, m := range body.Deletes {
		k := keyOf(m)
		if row := s.rows[k]; row != nil && !row.deleted {
			s.rows[k] = &storedRow{rowKey: k, version: s.version, deleted: true}
		}
	}
	version := s.version
	s.wake()
	s.mutex.Unlock()
	s.answer(w, http.StatusOK, map[string]any{names["version"]: version})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mutex.Lock()
	var found []*storedRow
	for k, row := range s.rows {
		if row.deleted || k.table != q.Get("table") || k.part != q.Get("part") || k.key < q.Get("from") || q.Get("to") != "" && k.key >= q.Get("to") {
			continue
		}
		found = append(found, row)
	}
	version := s.version
	s.mutex.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].key < found[j].key })
	rows, bytes, more := []map[string]any{}, 0, false
	for _, row := range found {
		if len(rows) == limit || len(rows) > 0 && bytes+len(row.value) > maxPageBytes {
			more = true
			break
		}
		bytes += len(row.value)
		rows = append(rows, row.encode(true))
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows, names["more"]: more, names["version"]: version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mutex.Lock()
		var found []*storedRow
		for k, row := range s.rows {
			if k.table == q.Get("table") && row.version > after {
				found = append(found, row)
			}
		}
		version, changed := s.version, s.changed
		s.mutex.Unlock()
		if len(found) > 0 {
			sort.Slice(found, func(i, j int) bool { return found[i].version < found[j].version })
			rows := []map[string]any{}
			for _, row := range found {
				rows = append(rows, row.encode(true))
			}
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, names["version"]: version})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, map[string]any{"rows": []any{}, names["version"]: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mutex.Lock()
	set := map[string]bool{}
	for k, row := range s.rows {
		if !row.deleted && k.table == q.Get("table") && k.part > q.Get("after") {
			set[k.part] = true
		}
	}
	s.mutex.Unlock()
	parts := []string{}
	for p := range set {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	more := len(parts) > 1000
	parts = parts[:min(len(parts), 1000)]
	s.answer(w, http.StatusOK, map[string]any{"parts": parts, names["more"]: more})
}
