package assembler

import (
	"net"
	"sync"
	"time"
)

// phase is what a caller's connection is doing.
type phase int

const (
	waitingForCall phase = iota
	// readingHead connections have bytes of a call that is not served yet.
	readingHead
	inCall
)

// callerListener accepts callers' connections.
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
	connection := &callerConnection{Conn: c, server: l.server}
	l.server.mutex.Lock()
	defer l.server.mutex.Unlock()
	l.server.connections[connection] = true
	return connection, nil
}

// callerConnection knows whether bytes of a call have arrived. The HTTP library counts a
// connection as idle until it has read a whole head, and closes idle ones when the server
// stops: a call that was just being read would be served and its answer lost.
type callerConnection struct {
	net.Conn
	server *callerServer
	mutex  sync.Mutex
	phase  phase
	closed bool
	// waitingSince is when it began to wait for a call; fresh connections wait for their first one.
	waitingSince time.Time
	firstCall    bool
}

// Read implements net.Conn. Bytes that arrive after the connection was closed as idle are
// dropped, so that no part of their call runs.
func (c *callerConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.phase == waitingForCall {
		c.phase = readingHead
	}
	return n, err
}

// Close implements net.Conn. While the server stops, the HTTP library's closing of idle
// connections is ignored where a call may be on its way.
func (c *callerConnection) Close() error {
	c.mutex.Lock()
	keep := c.server.stopping.Load() && !c.closed &&
		(c.phase == readingHead || c.phase == waitingForCall && c.server.keepIdle.Load())
	c.mutex.Unlock()
	if keep {
		return nil
	}
	return c.abort()
}

// abort closes the connection whatever it is doing.
func (c *callerConnection) abort() error {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.server.remove(c)
	return c.Conn.Close()
}

// closeIfIdle closes the connection unless bytes of a call have arrived. The caller holds the
// server's lock.
func (c *callerConnection) closeIfIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase != waitingForCall || c.closed {
		return
	}
	c.closed = true
	delete(c.server.connections, c)
	// The caller learns of it either way.
	_ = c.Conn.Close()
}

// closeServed closes a connection that is not served any more. The caller holds the server's lock.
func (c *callerConnection) closeServed() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	delete(c.server.connections, c)
	// It may be closed already.
	_ = c.Conn.Close()
}

// startWaiting begins to wait for a call.
func (c *callerConnection) startWaiting(now time.Time, firstCall bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase, c.waitingSince, c.firstCall = waitingForCall, now, firstCall
}

// waitingTime returns for how long the connection has waitingTime for a call or its whole head, 0 during
// a call.
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
	c.phase = p
}

func (c *callerConnection) currentPhase() phase {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.phase
}

// remove drops a connection that is closed.
func (s *callerServer) remove(c *callerConnection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c)
}
