package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const host = "ficu95.example"

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// request is one client attempt.
type request struct {
	id       string
	method   string
	target   string // the target of the request line, as it is sent
	body     []byte
	header   map[string]string
	deadline time.Duration
}

// answer is what a client attempt got.
type answer struct {
	status     int
	sealed     bool
	whole      bool
	body       []byte
	retryAfter time.Duration
	err        error
	daemon     string
}

func (a *answer) ok() bool { return a.status == http.StatusOK && a.whole }

func (a *answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer (%v)", a.err)
	case !a.whole:
		return fmt.Sprintf("%d, cut (%v)", a.status, a.err)
	case a.status != http.StatusOK:
		return fmt.Sprintf("%d %q, retry after %v", a.status, strings.TrimSpace(string(a.body[:min(len(a.body), 40)])), a.retryAfter)
	}
	return fmt.Sprintf("%d, whole, sealed %v", a.status, a.sealed)
}

// send makes one client attempt on a new channel.
func send(d *daemon, r *request) *answer {
	transport := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	client := http.Client{Transport: transport, Timeout: r.deadline, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	a := &answer{daemon: d.host}
	q, err := http.NewRequest(r.method, "http://"+d.front+"/", bytes.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	q.URL = &url.URL{Scheme: "http", Host: d.front, Opaque: r.target}
	q.Host = host
	q.Header.Set(names["id"], r.id)
	q.Header.Set(names["deadline"], strconv.FormatInt(r.deadline.Milliseconds(), 10))
	for name, value := range r.header {
		q.Header.Set(name, value)
	}
	response, err := client.Do(q)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.sealed = response.StatusCode, response.Header.Get(names["seal"]) != ""
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	a.body, a.err = io.ReadAll(response.Body)
	a.whole = a.err == nil
	return a
}

// pick returns a daemon in rotation, another one than the last if there is one.
func (c *cluster) pick(last *daemon) *daemon {
	in := c.rotation()
	if len(in) > 1 && last != nil {
		others := in[:0:0]
		for _, d := range in {
			if d != last {
				others = append(others, d)
			}
		}
		in = others
	}
	return in[mathrand.IntN(len(in))]
}

// try is a client attempt with what became of it.
type try struct {
	id     string
	sentAt time.Time
	answer *answer
	ran    bool
}

// turn is one turn of a program.
type turn struct {
	program, session, previous string
	input                      []byte
	budget, maxTokens          int
	finishAt                   time.Time
	prefix                     string
	target                     string
	deadline                   time.Duration
	// newID returns the id of a client attempt.
	newID func() string
}

// tryTurn sends a turn once, to a daemon in rotation or to the given one.
func (c *cluster) tryTurn(t *turn, d *daemon) *try {
	id := t.newID()
	r := &request{
		id: id, method: http.MethodPost, target: t.target, body: t.input, deadline: t.deadline,
		header: map[string]string{
			names["program"]: t.program, names["session"]: t.session, names["model"]: "m",
			names["finish"]: strconv.FormatInt(max(1, time.Until(t.finishAt).Milliseconds()), 10),
			names["counts"]: fmt.Sprintf("%d,%d", min(len(t.input)/4+1, 4300), t.maxTokens),
			names["prefix"]: t.prefix,
		},
	}
	if t.budget > 0 {
		r.header[names["budget"]] = strconv.Itoa(t.budget)
	}
	if t.previous != "" {
		r.header[names["previous"]] = t.previous
	}
	sentAt := time.Now()
	c.record.line("send   %s (program %s, after %q, %d bytes) to %s", id, t.program, t.previous, len(t.input), d.host)
	a := send(d, r)
	ran := len(c.fleet.runsOf(id)) > 0
	c.record.line("answer %s from %s: %v; reached a runner: %v", id, d.host, a, ran)
	return &try{id: id, sentAt: sentAt, answer: a, ran: ran}
}

// runTurn sends a turn as a client does: a second client attempt after a promise that it has not run, and the
// whole once more after 0.1 to 0.4 s, at most twice. It returns all tries; the last one tells how the turn ended.
func (c *cluster) runTurn(t *turn, last *daemon) []*try {
	var tries []*try
	for range 3 {
		for range 2 {
			last = c.pick(last)
			one := c.tryTurn(t, last)
			tries = append(tries, one)
			switch one.answer.status {
			case 200, 400, 401, 402, 403, 404, 413:
				if one.answer.whole {
					return tries
				}
			}
			if s := one.answer.status; s != 503 && s != 429 {
				break
			}
			time.Sleep(min(one.answer.retryAfter, t.deadline/3))
		}
		time.Sleep(100*time.Millisecond + mathrand.N(300*time.Millisecond))
	}
	return tries
}
