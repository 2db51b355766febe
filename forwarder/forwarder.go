package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// keepAliveProbes is the number of unanswered probes after which an idle connection
	// is closed.
	keepAliveProbes = 2
	// maxStaleResponses is the number of responses to earlier calls that are skipped before the
	// response to a call.
	maxStaleResponses = 3
	// maxStaleResponseBytes bounds the body of a response that is skipped.
	maxStaleResponseBytes = 1 << 20
	// minStatus and maxStatus are the range of statuses in the protocol, of which the HTTP parser takes any three
	// digits.
	minStatus = 100
	maxStatus = 599
)

// Options configure a Forwarder.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// TCPUserTimeout is how long sent data may stay unacknowledged before a connection is
	// closed. It is far above the round-trip time between regions.
	TCPUserTimeout time.Duration
	// KeepAliveIdle is the time after which a connection without traffic is probed.
	KeepAliveIdle time.Duration
	// IdleTimeout bounds the time for which an idle connection is kept.
	IdleTimeout time.Duration
	// MaxConnections bounds the connections to all targets together, 0 for no bound.
	MaxConnections int
}

// DefaultOptions returns options for targets with a latency of tens of milliseconds.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 400 * time.Millisecond, TCPUserTimeout: 800 * time.Millisecond, KeepAliveIdle: time.Second,
		IdleTimeout: 4 * time.Second,
	}
}

// Body is the body of a call. It can be read more than once.
type Body interface {
	// Len returns the size of the body in bytes.
	Len() int
	// Reader returns a reader of the whole body.
	Reader() io.Reader
}

// Bytes is a body in memory.
type Bytes []byte

// Len implements Body.
func (b Bytes) Len() int { return len(b) }

// Reader implements Body.
func (b Bytes) Reader() io.Reader { return bytes.NewReader(b) }

// Request is a call to a target.
type Request struct {
	Method string
	// URL is the URL in the caller's request line, URI its original spelling.
	URL    *url.URL
	URI    string
	Host   string
	Header http.Header
	// Body may be nil.
	Body Body
	// CallID is echoed by the target.
	CallID  string
	Attempt Attempt
	// NewConnection forbids the use of an idle connection.
	NewConnection bool
	// OnHead is called with the head of each response that arrives, also of those to earlier calls.
	OnHead func(ResponseHead)
	// MaxIdleConnections bounds the idle connections to the target that are kept after the call.
	MaxIdleConnections int
}

// Forwarder sends calls to targets. It is safe for concurrent use.
type Forwarder struct {
	dialect Dialect
	pool    *pool
}

// New returns a Forwarder without open connections.
func New(dialect Dialect, options Options) *Forwarder {
	return &Forwarder{dialect: dialect, pool: newPool(options)}
}

// ConnectionsOpened returns the number of connections opened so far.
func (f *Forwarder) ConnectionsOpened() int64 {
	f.pool.mutex.Lock()
	defer f.pool.mutex.Unlock()
	return f.pool.opened
}

// OpenConnections returns the number of open connections to all targets.
func (f *Forwarder) OpenConnections() int64 { return f.pool.open.Load() }

// IdleConnections returns the number of idle connections to a target.
func (f *Forwarder) IdleConnections(target string) int {
	f.pool.mutex.Lock()
	defer f.pool.mutex.Unlock()
	return len(f.pool.idle[target])
}

// CloseStale closes idle connections that have timed out, and those to targets that are no
// longer listed.
func (f *Forwarder) CloseStale(listed func(target string) bool) { f.pool.closeStale(listed) }

// CloseIdle closes the idle connections to a target that has failed.
func (f *Forwarder) CloseIdle(target string) { f.pool.closeIdle(target) }

// Exchange is a call whose response head has arrived.
type Exchange struct {
	forwarder *Forwarder
	conn      *connection
	response  *http.Response
	head      ResponseHead
	maxIdle   int
	stop      func() bool
	written   bool
	complete  bool
	closed    bool
}

// Response returns the HTTP response. Read its body with Exchange.Read.
func (e *Exchange) Response() *http.Response { return e.response }

// Head returns the decoded head of the response.
func (e *Exchange) Head() ResponseHead { return e.head }

// Send sends a call and reads the head of its response. The error of a failed call tells by
// its kind whether the call may have run. Close the exchange when it is no longer needed.
func (f *Forwarder) Send(ctx context.Context, r Request) (*Exchange, error) {
	// On a connection that is used again, the response to a call without an ID cannot be told from a
	// late one.
	c, err := f.pool.get(ctx, r.Attempt.Target, r.Attempt.Address, r.NewConnection || r.CallID == "")
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, NewError("connect", KindGone, err)
	}
	if err != nil {
		return nil, NewError("connect", KindNotSent, err)
	}
	e := &Exchange{forwarder: f, conn: c, maxIdle: r.MaxIdleConnections}
	// Closing the connection unblocks reads and writes and stops the target's work.
	e.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	request := f.httpRequest(&r)
	writeErr := e.writeRequest(request)
	if errors.Is(writeErr, errNothingWritten) {
		e.discard()
		return nil, NewError("send", KindNotSent, writeErr)
	}
	e.written = writeErr == nil
	if err := e.readHead(&r, request); err != nil {
		e.discard()
		if ctx.Err() != nil {
			return nil, NewError("answer", KindCancelled, context.Cause(ctx))
		}
		return nil, NewError("answer", KindUncertain, errors.Join(err, writeErr))
	}
	return e, nil
}

// httpRequest returns the HTTP request for a call. It keeps the caller's spelling of the URI.
func (f *Forwarder) httpRequest(r *Request) *http.Request {
	address := *r.URL
	address.Scheme, address.Host = "http", ""
	if address.RequestURI() != r.URI {
		address = url.URL{Scheme: "http", Opaque: r.URI}
		if strings.HasPrefix(r.URI, "//") {
			// The library takes a leading double slash for the start of an authority.
			address.Opaque = "//" + r.Host + r.URI
		}
	}
	address.Host = r.Host
	body := r.Body
	if body == nil {
		body = Bytes(nil)
	}
	return &http.Request{
		Method: r.Method, URL: &address, Host: r.Host, ProtoMajor: 1, ProtoMinor: 1,
		Header: f.dialect.RequestHeader(r.Header, &r.Attempt),
		Body:   io.NopCloser(body.Reader()), ContentLength: int64(body.Len()),
	}
}

var (
	errNothingWritten = errors.New("no byte of the request was written")
	errBrokenUpload   = errors.New("the connection broke during the request, so that its end does not mark that of the response")
)

// countingWriter counts the bytes that were sent.
type countingWriter struct {
	io.Writer
	count atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.count.Add(int64(n))
	return n, err
}

// writeRequest sends the request. It returns errNothingWritten if no byte was sent.
func (e *Exchange) writeRequest(request *http.Request) error {
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

// readHead reads the head of the response to this call. A late extra response to an earlier
// call may precede it and is recognized by its call ID.
func (e *Exchange) readHead(r *Request, request *http.Request) error {
	for range maxStaleResponses {
		e.conn.limiter.begin()
		response, err := http.ReadResponse(e.conn.reader, request)
		e.conn.limiter.end()
		if err != nil {
			return err
		}
		if response.StatusCode < minStatus || response.StatusCode > maxStatus {
			return fmt.Errorf("status %03d is none of a response", response.StatusCode)
		}
		head := e.forwarder.dialect.ParseResponse(response)
		if r.OnHead != nil {
			r.OnHead(head)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if head.ID == r.CallID || (head.ID == "" && !e.conn.reused) {
			e.response, e.head = response, head
			return nil
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleResponseBytes+1))
		if err != nil {
			return err
		}
		if skipped > maxStaleResponseBytes {
			// What follows would be read as the head of a response.
			return errors.New("response to another call is too long to skip")
		}
	}
	return errors.New("only responses to other calls arrived")
}

// Read reads from the response body. At io.EOF the response is complete.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.response.Body.Read(p)
	if err == io.EOF && !e.written && e.EndsWithConnection() {
		// The system reports a reset once. If a write has got it, reads end as if the target had closed the
		// connection in an orderly way.
		return n, errBrokenUpload
	}
	if err == io.EOF {
		e.complete = true
	}
	return n, err
}

// EndsWithConnection reports whether the body has neither a length nor chunks, so that only the end of
// the connection marks its end.
func (e *Exchange) EndsWithConnection() bool {
	return e.response.ContentLength < 0 && len(e.response.TransferEncoding) == 0
}

// Drain reads the rest of a short response, so that its connection can be used again. If the
// response does not end within the bounds, Close closes the connection.
func (e *Exchange) Drain(maxBytes int64, timeout time.Duration) {
	_ = e.conn.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(e, maxBytes))
}

// Complete reports whether the whole response has been read.
func (e *Exchange) Complete() bool { return e.complete }

// discard ends the exchange and closes its connection.
func (e *Exchange) discard() {
	e.closed = true
	e.stop()
	_ = e.conn.Close()
}

// Close ends the exchange. The connection is kept if the response was read to its end and
// no further bytes have arrived, and is closed otherwise.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	e.closed = true
	if !e.stop() || !e.complete || !e.written || e.response.Close || e.conn.reader.Buffered() > 0 || e.EndsWithConnection() {
		_ = e.conn.Close()
		return
	}
	_ = e.conn.SetDeadline(time.Time{})
	e.forwarder.pool.put(e.conn, e.head.KeepAlive, e.maxIdle)
}
