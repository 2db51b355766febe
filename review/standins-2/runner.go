package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a runner began to work on.
type run struct {
	id, service, runner, method, path string
	bytes                             int
	sum                               string
	lost                              bool
}

// fleet holds the runners and what they have run.
type fleet struct {
	mutex   sync.Mutex
	runs    map[string][]run
	runners []*runner
	record  *record
	// logRuns makes each run a line of the record.
	logRuns bool
}

func newFleet(r *record) *fleet { return &fleet{runs: map[string][]run{}, record: r} }

func (f *fleet) runsOf(id string) []run {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]run(nil), f.runs[id]...)
}

// runner is a stand-in of a runner.
type runner struct {
	fleet    *fleet
	id       string
	service  string
	address  string
	slots    chan struct{}
	started  time.Time
	streams  bool
	events   int
	interval time.Duration
	work     time.Duration
	server   *http.Server
	mutex    sync.Mutex
	// loseAnswer decides whether the answer of a run is lost: it has run, and its channel is closed.
	loseAnswer func(id string) bool
}

// start adds a runner that serves on a free port of the address.
func (f *fleet) start(s *store, ip, id, service, zone string, slots int, streams bool) *runner {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		cannotRun(err)
	}
	n := &runner{
		fleet: f, id: id, service: service, address: l.Addr().String(), slots: make(chan struct{}, slots), started: time.Now(), streams: streams,
		events: 4, interval: 20 * time.Millisecond, work: 15 * time.Millisecond, loseAnswer: func(string) bool { return false },
	}
	n.server = &http.Server{Handler: n}
	go func() { _ = n.server.Serve(l) }()
	f.runners = append(f.runners, n)
	go func() {
		for seq := 1; ; seq++ {
			s.put("servers", id, map[string]any{
				"service": service, "address": n.address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", names["cold"]: 0,
				"seq": seq, "born": n.started.UnixMilli(),
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return n
}

func (n *runner) setLoss(lose func(id string) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.loseAnswer = lose
}

func (n *runner) loses(id string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.loseAnswer(id)
}

// busy returns the share of the slots that are taken.
func (f *fleet) busy(service string) float64 {
	taken, all := 0, 0
	for _, n := range f.runners {
		if n.service == service {
			taken, all = taken+len(n.slots), all+cap(n.slots)
		}
	}
	return float64(taken) / float64(all)
}

func (n *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(names["instanceID"], n.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(names["id"])
	w.Header().Set(names["id"], id)
	if wanted := r.Header.Get(names["instance"]); wanted != "" && wanted != n.id {
		w.Header().Set(names["instanceID"], n.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case n.slots <- struct{}{}:
		defer func() { <-n.slots }()
	case <-r.Context().Done():
		return
	case <-time.After(time.Second):
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	sum := sha256.Sum256(body)
	lost := n.loses(id)
	one := run{id: id, service: n.service, runner: n.id, method: r.Method, path: r.RequestURI, bytes: len(body), sum: hex.EncodeToString(sum[:8]), lost: lost}
	n.fleet.mutex.Lock()
	n.fleet.runs[id] = append(n.fleet.runs[id], one)
	n.fleet.mutex.Unlock()
	if n.fleet.logRuns {
		n.fleet.record.line("run    %s at %s of %s: %s %s, %d bytes", id, n.id, n.service, one.method, one.path, one.bytes)
	}
	w.Header().Set(names["seal"], "s."+n.id+"."+id)
	if !n.streams {
		time.Sleep(n.work)
		if lost {
			n.fleet.record.line("lost   the answer to %s at %s", id, n.id)
			panic(http.ErrAbortHandler)
		}
		answer := "done by " + n.service + " for " + id + "\n"
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= n.events; i++ {
		select {
		case <-time.After(n.interval):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: said %s %d\n\n", i, id, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
