package server

import (
	"net"
	"sync"
)

// Listener is a TCP listener that can close all of its connections at once.
type Listener struct {
	net.Listener

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	closed      bool
}

// Listen listens on an IP address and port.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{operation: "server.listen", kind: KindListen, cause: err}
	}
	return &Listener{Listener: l, connections: map[net.Conn]struct{}{}}, nil
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	l.connections[c] = struct{}{}
	return &trackedConn{Conn: c, listener: l}, nil
}

// CloseAll closes the listener and all of its connections, including those with
// requests in progress.
func (l *Listener) CloseAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.connections {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(l.connections)
}

// trackedConn is a connection that its listener can close.
type trackedConn struct {
	net.Conn
	listener *Listener
}

// Close closes the connection and removes it from the listener's set.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.connections, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
