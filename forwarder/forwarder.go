package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// keepAliveProbes is the number of unanswered probes after which an idle connection
	// is closed.
	keepAliveProbes = 2
	// maxForeignAnswers is the number of answers to earlier calls that are skipped in
	// front of a call's own.
	maxForeignAnswers = 3
	// maxForeignBytes bounds the body of an answer that is skipped.
	maxForeignBytes = 1 << 20
)

// Options configure a Forwarder.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// UnackedTimeout closes a connection whose bytes are not acknowledged by the other
	// end. It is far above a round trip between regions.
	UnackedTimeout time.Duration
	// KeepAliveIdle is the silence after which an idle connection is probed.
	KeepAliveIdle time.Duration
	// IdleTimeout bounds the time for which a connection is kept.
	IdleTimeout time.Duration
}

// DefaultOptions returns options for targets within tens of milliseconds.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 400 * time.Millisecond, UnackedTimeout: 800 * time.Millisecond, KeepAliveIdle: time.Second,
		IdleTimeout: 4 * time.Second,
	}
}

// Request is a call to a target.
type Request struct {
	Method string
	// URL is the target of the caller's request line, URI the line's own spelling.
	URL    *url.URL
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// CallID is echoed by the target.
	CallID  string
	Attempt Attempt
	// NewConnection asks for a new connection.
	NewConnection bool
	// MaxIdleConnections bounds the connections to the target that are kept afterwards.
	MaxIdleConnections int
}

// Forwarder sends calls to targets. It is safe for concurrent use.
type Forwarder struct {
	dialect Dialect
	pool    *pool
}

// New returns a forwarder without connections.
func New(dialect Dialect, options Options) *Forwarder {
	return &Forwarder{dialect: dialect, pool: newPool(options)}
}

// ConnectionsOpened returns the number of connections opened so far.
func (f *Forwarder) ConnectionsOpened() int64 {
	f.pool.mutex.Lock()
	defer f.pool.mutex.Unlock()
	return f.pool.opened
}

// IdleConnections returns the number of idle connections to a target.
func (f *Forwarder) IdleConnections(target string) int {
	f.pool.mutex.Lock()
	defer f.pool.mutex.Unlock()
	return len(f.pool.idle[target])
}

// CloseStale closes idle connections that are not needed any more.
func (f *Forwarder) CloseStale(listed func(target string) bool) { f.pool.sweep(listed) }

// CloseIdle closes the idle connections of a target that has failed.
func (f *Forwarder) CloseIdle(target string) { f.pool.drop(target) }

// Exchange is a call whose answer has begun.
type Exchange struct {
	forwarder *Forwarder
	conn      *connection
	response  *http.Response
	answer    ResponseHead
	maxIdle   int
	stop      func() bool
	written   bool
	complete  bool
	closed    bool
}

// Response returns the head and body of the answer. Read the body with Read.
func (e *Exchange) Response() *http.Response { return e.response }

// Head returns what the head says.
func (e *Exchange) Head() ResponseHead { return e.answer }

// Reused reports whether the call went over a connection that had been used before.
func (e *Exchange) Reused() bool { return e.conn.reused }

// Send sends a call and reads the head of its answer.
func (f *Forwarder) Send(ctx context.Context, r Request) (*Exchange, error) {
	c, err := f.pool.get(ctx, r.Attempt.Target, r.Attempt.Address, r.NewConnection)
	if err != nil {
		return nil, NewError("connect", KindNotSent, err)
	}
	e := &Exchange{forwarder: f, conn: c, maxIdle: r.MaxIdleConnections}
	// Closing the connection ends blocked reads and writes and stops the target.
	e.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	request := f.message(&r)
	writeErr := e.write(request)
	if errors.Is(writeErr, errNothingWritten) {
		e.abandon()
		return nil, NewError("send", KindNotSent, writeErr)
	}
	e.written = writeErr == nil
	if err := e.readHead(r.CallID, request); err != nil {
		e.abandon()
		if ctx.Err() != nil {
			return nil, NewError("answer", KindCancelled, context.Cause(ctx))
		}
		return nil, NewError("answer", KindUncertain, errors.Join(err, writeErr))
	}
	return e, nil
}

func (f *Forwarder) message(r *Request) *http.Request {
	address := *r.URL
	address.Scheme, address.Host = "http", ""
	if address.RequestURI() != r.URI && !strings.HasPrefix(r.URI, "//") {
		address = url.URL{Scheme: "http", Opaque: r.URI}
	}
	address.Host = r.Host
	return &http.Request{
		Method: r.Method, URL: &address, Host: r.Host, ProtoMajor: 1, ProtoMinor: 1,
		Header: f.dialect.RequestHeader(r.Header, &r.Attempt),
		Body:   io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body)),
	}
}

var errNothingWritten = errors.New("nothing was written")

// countingWriter tells whether any byte has left.
type countingWriter struct {
	io.Writer
	count atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.count.Add(int64(n))
	return n, err
}

func (e *Exchange) write(request *http.Request) error {
	if request.ContentLength == 0 {
		request.Body = http.NoBody
	}
	w := &countingWriter{Writer: e.conn.Conn}
	err := request.Write(w)
	if err != nil && w.count.Load() == 0 {
		return errNothingWritten
	}
	return err
}

// readHead reads the head of the call's own answer. A late extra answer to an earlier
// call may come first; its ID shows that.
func (e *Exchange) readHead(callID string, request *http.Request) error {
	for range maxForeignAnswers {
		response, err := http.ReadResponse(e.conn.reader, request)
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		answer := e.forwarder.dialect.ParseResponse(response)
		if answer.ID == callID || (answer.ID == "" && !e.conn.reused) {
			e.response, e.answer = response, answer
			return nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil {
			return err
		}
	}
	return errors.New("only answers to other calls arrived")
}

// Read reads from the answer's body. At io.EOF the answer is complete.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.response.Body.Read(p)
	if err == io.EOF {
		e.complete = true
	}
	return n, err
}

// Complete reports whether the whole answer has been read.
func (e *Exchange) Complete() bool { return e.complete }

// abandon closes the connection.
func (e *Exchange) abandon() {
	e.closed = true
	e.stop()
	_ = e.conn.Close()
}

// Close ends the exchange: the connection is kept if the answer was read to its end
// and nothing else lies in it, and closed otherwise.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	e.closed = true
	if !e.stop() || !e.complete || !e.written || e.response.Close || e.conn.reader.Buffered() > 0 ||
		(e.response.ContentLength < 0 && len(e.response.TransferEncoding) == 0) {
		_ = e.conn.Close()
		return
	}
	_ = e.conn.SetDeadline(time.Time{})
	e.forwarder.pool.put(e.conn, e.answer.KeepAlive, e.maxIdle)
}
