package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a runner has run.
type run struct {
	runner, id, program, previous, lastEvent string
	body                                     []byte
	// events is the number of events that it sent.
	events int
}

// runner is a model runner. Its streams have a number of events whose data depends on nothing but
// the number of the event, so that two runs of one request say the same.
type runner struct {
	record  *record
	id      string
	address string
	events  int
	gap     time.Duration
	// tokensPerMs is the number of prompt tokens that it reads in a millisecond, 0 if that takes no time.
	tokensPerMs int
	// slots is the number of plain requests that it works on at once, work the time that one takes.
	slots chan struct{}
	work  time.Duration

	mutex sync.Mutex
	runs  []*run
	// kept holds the number of tokens that it keeps of each part of a prompt.
	kept map[string]int
}

// plainSlots is the number of slots of a plain service, toolPrefix the prefix of its routes.
const (
	plainSlots = 6
	toolPrefix = "/pule252/"
	plainBytes = 800
)

// servePlain answers a request of a plain service once it has had a slot.
func (n *runner) servePlain(w http.ResponseWriter, r *http.Request) {
	select {
	case n.slots <- struct{}{}:
		defer func() { <-n.slots }()
	case <-r.Context().Done():
		return
	}
	select {
	case <-time.After(n.work):
	case <-r.Context().Done():
		return
	}
	_, _ = w.Write(make([]byte, plainBytes))
}

// eventData returns the data of the numbered event of every stream.
func eventData(event int) string { return fmt.Sprintf("word-%02d", event) }

func newRunner(r *record, id, address string, events int, gap time.Duration) (*runner, func(), error) {
	n := &runner{record: r, id: id, address: address, events: events, gap: gap, kept: map[string]int{}, slots: make(chan struct{}, plainSlots)}
	stop, err := serve(address, n)
	return n, stop, err
}

// register writes the runner's entry and keeps it fresh until the channel is closed.
func (n *runner) register(s *store, service, zone string, slots int, stop <-chan struct{}) {
	born := time.Now().UnixMilli()
	beat := func(sequence int) {
		entry, _ := json.Marshal(map[string]any{
			"service": service, "address": n.address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
			name("coldLeft"): 0, "seq": sequence, "born": born,
		})
		s.put(runnerTable, n.id, entry)
	}
	beat(1)
	go func() {
		for sequence := 2; ; sequence++ {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				beat(sequence)
			}
		}
	}()
}

func (n *runner) allRuns() []*run {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]*run(nil), n.runs...)
}

func (n *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(name("id"))
	w.Header().Set(name("id"), id)
	if wanted := r.Header.Get(name("instance")); wanted != "" && wanted != n.id {
		w.Header().Set(name("instanceId"), n.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x := &run{
		runner: n.id, id: id, program: r.Header.Get(name("program")), previous: r.Header.Get(name("previous")),
		lastEvent: r.Header.Get(name("lastEvent")), body: body,
	}
	n.mutex.Lock()
	n.runs = append(n.runs, x)
	n.mutex.Unlock()
	n.record.line("run       %s runs %s of program %s, previous turn %q, goes on after event %q, body %s",
		n.id, id, x.program, x.previous, x.lastEvent, shorten(body))
	w.Header().Set(name("seal"), "seal."+n.id+"."+id)
	if strings.HasPrefix(r.URL.Path, toolPrefix) {
		n.servePlain(w, r)
		return
	}
	if !n.readPrompt(r) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	first := 1
	if last, err := strconv.Atoi(x.lastEvent); err == nil {
		first = last + 1
	}
	for i := first; i <= n.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, eventData(i)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		n.mutex.Lock()
		x.events++
		n.mutex.Unlock()
		select {
		case <-time.After(n.gap):
		case <-r.Context().Done():
			return
		}
	}
}

// shorten returns a body as text for the record, its start only if it is long.
func shorten(body []byte) string {
	const most = 240
	if len(body) <= most {
		return strconv.Quote(string(body))
	}
	return fmt.Sprintf("%q... (%d bytes)", body[:40], len(body))
}

// readPrompt reads the parts of the prompt that it doesn't keep. It returns false if the time limit has
// passed before the end.
func (n *runner) readPrompt(r *http.Request) bool {
	if n.tokensPerMs == 0 {
		return true
	}
	n.mutex.Lock()
	missing, broken := 0, false
	for part := range strings.SplitSeq(r.Header.Get(name("prefix")), ",") {
		id, text, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(text)
		known := 0
		if !broken {
			known = min(tokens, n.kept[id])
		}
		missing, broken = missing+tokens-known, broken || known < tokens
		n.kept[id] = max(n.kept[id], tokens)
	}
	n.mutex.Unlock()
	took := time.Duration(missing/n.tokensPerMs) * time.Millisecond
	limit := took
	if ms, err := strconv.Atoi(r.Header.Get(name("deadline"))); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	n.record.line("prompt    %s reads %d tokens of %s in %v", n.id, missing, r.Header.Get(name("id")), took)
	select {
	case <-time.After(min(took, limit)):
	case <-r.Context().Done():
	}
	return took <= limit
}
