package assembler

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

// phase is the state of a caller's connection.
type phase int

const (
	waitingForCall phase = iota
	// readingHead means that bytes of a call have arrived and it is not being served yet.
	readingHead
	inCall
)

// callerListener accepts connections of callers and registers them with the server.
type callerListener struct {
	net.Listener
	server *callerServer
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	raw, err := rawConnection(c)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	connection := &callerConnection{Conn: c, raw: raw, server: l.server}
	l.server.mutex.Lock()
	l.server.connections[connection] = true
	l.server.mutex.Unlock()
	l.server.awaitRoom()
	return connection, nil
}

// rawConnection returns access to the descriptor of a connection.
func rawConnection(c net.Conn) (syscall.RawConn, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil, &Error{operation: "access the descriptor of a caller's connection", kind: KindListen, cause: errors.ErrUnsupported}
	}
	return socket.SyscallConn()
}

// callerConnection tracks whether bytes of a call have arrived. The HTTP library treats a
// connection as idle until it has read a whole request head, and closes idle connections
// when the server stops. A call whose head was being read would run, and its response
// would be lost.
type callerConnection struct {
	net.Conn
	raw    syscall.RawConn
	server *callerServer
	// mutex is also held while the descriptor is read, so it must not be held during Close, which
	// waits for the reader.
	mutex  sync.Mutex
	phase  phase
	closed bool
	// waitingSince is when the connection began to wait for a call.
	waitingSince time.Time
	// firstCall is set while that call is the first one of the connection.
	firstCall bool
	// headBytes is what has been read while the connection waits for a call and its head.
	headBytes int
	// writingSince is when the write in progress began, zero without one.
	writingSince time.Time
}

// Read implements net.Conn. Taking bytes from the socket and marking the connection are one step
// under the mutex: between the two, closeIfIdle would find nothing to read and close the
// connection of a call that has arrived. Bytes that arrive after the connection was closed as idle
// are not read, so that their call does not run.
func (c *callerConnection) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	var n int
	var failure error
	if err := c.raw.Read(func(fd uintptr) bool {
		n, failure = c.readDescriptor(int(fd), p)
		return !errors.Is(failure, unix.EAGAIN)
	}); err != nil {
		return 0, c.readError(err)
	}
	if failure != nil && !errors.Is(failure, io.EOF) {
		return 0, c.readError(failure)
	}
	return n, failure
}

// readError returns the error of a failed read in the form that net.Conn gives it: the HTTP library
// tells by the operation that there is no caller to respond to.
func (c *callerConnection) readError(cause error) error {
	failure := &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: cause}
	if operation, ok := errors.AsType[*net.OpError](cause); ok {
		failure.Err = operation.Err
	}
	return failure
}

// readDescriptor reads without waiting.
func (c *callerConnection) readDescriptor(fd int, p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	for {
		n, err := unix.Read(fd, p)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		}
		if c.phase == waitingForCall {
			c.phase = readingHead
		}
		return c.limitHead(n, nil)
	}
}

// headRejectionTimeout bounds the write of headTooLarge.
const headRejectionTimeout = 10 * time.Millisecond

// headTooLarge is the response to a head that is far over the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// limitHead counts the bytes of a head and returns the result of the read, or io.EOF once the head is far over
// the limit of the configuration: the HTTP library would keep up to maxHeaderBytes of each. The mutex must be
// held.
func (c *callerConnection) limitHead(n int, err error) (int, error) {
	limits := c.server.limits.Load()
	if c.phase != readingHead || limits == nil || limits.HeaderBytes <= 0 {
		return n, err
	}
	limit := limits.HeaderBytes + readAheadBytes
	wasWithin := c.headBytes <= limit
	if c.headBytes += n; c.headBytes <= limit {
		return n, err
	}
	if !wasWithin {
		return 0, io.EOF
	}
	c.server.countClosed(closedForHead)
	// The caller may not read the response, or have left.
	_ = c.SetWriteDeadline(time.Now().Add(headRejectionTimeout))
	_, _ = c.Conn.Write([]byte(headTooLarge))
	return 0, io.EOF
}

// Write implements net.Conn. It records for how long the caller does not read.
func (c *callerConnection) Write(p []byte) (int, error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	return c.Conn.Write(p)
}

func (c *callerConnection) setWriting(since time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writingSince = since
}

// state returns the state for the decision which connection is closed.
func (c *callerConnection) state(now time.Time) connectionState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	// The HTTP library has not begun to serve a connection that does not wait yet.
	began := !c.waitingSince.IsZero()
	s := connectionState{phase: c.phase, served: began && !c.firstCall}
	if c.phase != inCall && began {
		s.waited = now.Sub(c.waitingSince)
	}
	if !c.writingSince.IsZero() {
		s.writing = now.Sub(c.writingSince)
	}
	return s
}

// Close implements net.Conn. While the server stops, it ignores the HTTP library's closing
// of connections on which a call is being read.
func (c *callerConnection) Close() error {
	c.mutex.Lock()
	keep := c.server.stopping.Load() && !c.closed && c.phase == readingHead
	c.mutex.Unlock()
	if keep {
		return nil
	}
	return c.abort()
}

// SetLinger sets what happens to unsent bytes when the connection is closed; with 0 it is reset.
func (c *callerConnection) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// abort closes the connection in any phase.
func (c *callerConnection) abort() error {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.server.remove(c)
	return c.Conn.Close()
}

// closeIfIdle closes the connection unless bytes of a call have arrived, read or not, and reports whether it
// did. The server's mutex must be held.
func (c *callerConnection) closeIfIdle() bool {
	c.mutex.Lock()
	if c.phase != waitingForCall || c.closed || forwarder.PeekInput(c.Conn) == forwarder.InputWaiting {
		c.mutex.Unlock()
		return false
	}
	c.closed = true
	c.mutex.Unlock()
	delete(c.server.connections, c)
	// The connection is closed even if Close returns an error.
	_ = c.Conn.Close()
	return true
}

// evict closes the connection unless bytes of a call have arrived that are not read yet, and reports whether it
// did. The server's mutex must not be held.
func (c *callerConnection) evict(s connectionState) bool {
	if s.phase == waitingForCall {
		c.server.mutex.Lock()
		defer c.server.mutex.Unlock()
		return c.closeIfIdle()
	}
	if s.writing == 0 && forwarder.PeekInput(c.Conn) == forwarder.InputWaiting {
		return false
	}
	// The connection is closed even if Close returns an error.
	_ = c.abort()
	return true
}

// closeFinished closes a connection that is no longer served. The server's mutex must be
// held.
func (c *callerConnection) closeFinished() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	delete(c.server.connections, c)
	// Close fails if the connection is closed already.
	_ = c.Conn.Close()
}

// startWaiting marks the connection as waiting for a call, its first one if firstCall is
// set.
func (c *callerConnection) startWaiting(now time.Time, firstCall bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase, c.waitingSince, c.firstCall, c.headBytes = waitingForCall, now, firstCall, 0
}

// waitingTime returns how long the connection has waited for a call and its whole request
// head, 0 during a call, and whether that call is its first one.
func (c *callerConnection) waitingTime(now time.Time) (wait time.Duration, firstCall bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == inCall || c.waitingSince.IsZero() {
		return 0, c.firstCall
	}
	return now.Sub(c.waitingSince), c.firstCall
}

func (c *callerConnection) setPhase(p phase) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase, c.headBytes = p, 0
}

func (c *callerConnection) currentPhase() phase {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.phase
}

// remove removes a closed connection from the set of connections.
func (s *callerServer) remove(c *callerConnection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c)
}
