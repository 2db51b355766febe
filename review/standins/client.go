package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns an ID for a client attempt.
func newID(prefix string) string { return fmt.Sprintf("%s-%04d", prefix, lastID.Add(1)) }

// attempt is one client attempt of a turn.
type attempt struct {
	id, program, previous, lastEvent string
	host, path                       string
	budget, most                     int
	// prompt lists the parts of the prompt; without it, the prompt is the body.
	prompt       string
	promptTokens int
	finish       time.Duration
	deadline     time.Duration
	body         []byte
}

// answer is what the client got.
type answer struct {
	status   int
	sealed   bool
	lastID   string
	data     []string
	complete bool
	reason   string
	err      error
}

// send sends an attempt over a new channel to an address and reads its answer. onEvent, which may be
// nil, is called after each event with the number of events so far.
func send(ctx context.Context, r *record, address string, a *attempt, onEvent func(int)) answer {
	var result answer
	r.line("sent      %s of program %s to %s, previous turn %q, last event %q, body %s", a.id, a.program, address, a.previous, a.lastEvent,
		shorten(a.body))
	defer func() {
		r.line("answered  %s: status %d, sealed %t, %d events, whole %t, %s %v", a.id, result.status, result.sealed, len(result.data),
			result.complete, result.reason, result.err)
	}()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(a.deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n", a.path, a.host)
	header := func(key string, value any) { fmt.Fprintf(&b, "%s: %v\r\n", name(key), value) }
	header("id", a.id)
	header("model", "m")
	if a.prompt == "" {
		a.promptTokens = max(1, len(a.body)/4)
		a.prompt = fmt.Sprintf("5c1e07a2:%d", a.promptTokens)
	}
	header("counts", fmt.Sprintf("%d,%d", a.promptTokens, a.most))
	header("prefix", a.prompt)
	header("deadline", a.deadline.Milliseconds())
	header("program", a.program)
	header("session", "s-"+a.program)
	header("finish", a.finish.Milliseconds())
	header("budget", a.budget)
	if a.previous != "" {
		header("previous", a.previous)
	}
	if a.lastEvent != "" {
		header("lastEvent", a.lastEvent)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.body))
	if _, err := conn.Write(append([]byte(b.String()), a.body...)); err != nil {
		result.err = err
		return result
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.status, result.sealed = response.StatusCode, response.Header.Get(name("seal")) != ""
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 200))
		result.reason = strings.TrimSpace(string(text))
		return result
	}
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			result.complete = true
			return result
		}
		if err != nil {
			result.err = err
			return result
		}
		switch line = strings.TrimRight(line, "\r\n"); {
		case strings.HasPrefix(line, "id: "):
			result.lastID = line[4:]
		case strings.HasPrefix(line, "data: "):
			result.data = append(result.data, line[6:])
		case line == "" && onEvent != nil:
			onEvent(len(result.data))
		}
	}
}
