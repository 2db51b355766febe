package messenger

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// MemoryNetwork connects messengers of one process by in-memory connections and can
// inject delays and losses. Hosts are named by their addresses.
type MemoryNetwork struct {
	mu           sync.Mutex
	listeners    map[string]*memoryListener
	blockedPaths map[[2]string]bool
	delay        func(from, to string) time.Duration
	conns        map[*memoryConn]struct{}
}

// NewMemoryNetwork returns a network without hosts.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{
		listeners: map[string]*memoryListener{}, blockedPaths: map[[2]string]bool{}, conns: map[*memoryConn]struct{}{},
	}
}

// SetDelay sets the one-way delay of each write; call it before the first dial.
func (n *MemoryNetwork) SetDelay(delay func(from, to string) time.Duration) { n.delay = delay }

// Listen returns the listener of an address.
func (n *MemoryNetwork) Listen(address string) net.Listener {
	l := &memoryListener{network: n, address: address, queue: make(chan net.Conn, 64), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Dialer returns the Dialer of the host with the given address.
func (n *MemoryNetwork) Dialer(from string) Dialer {
	return func(ctx context.Context, to string) (net.Conn, error) { return n.dial(ctx, from, to) }
}

// SetBlocked blocks or unblocks one direction. While it is blocked, all data sent in that
// direction is dropped, and dials between the two hosts, in either direction, wait until
// their context ends. After unblocking only new connections work: an established one
// stays blackholed, like a TCP connection whose state was dropped by a device on the
// path.
func (n *MemoryNetwork) SetBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !blocked {
		delete(n.blockedPaths, [2]string{from, to})
		return
	}
	n.blockedPaths[[2]string{from, to}] = true
	n.blackhole(from, to)
}

// BlackholeConnections drops all further data sent in one direction on the established
// connections, while new ones work.
func (n *MemoryNetwork) BlackholeConnections(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blackhole(from, to)
}

func (n *MemoryNetwork) blackhole(from, to string) {
	for conn := range n.conns {
		if conn.from == from && conn.to == to {
			conn.blackholed.Store(true)
		}
	}
}

func (n *MemoryNetwork) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	listener := n.listeners[to]
	blocked := n.blockedPaths[[2]string{from, to}] || n.blockedPaths[[2]string{to, from}]
	n.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if listener == nil {
		return nil, fmt.Errorf("dial %q: no listener", to)
	}
	client, server := newMemoryPipe(from, to)
	dialled, accepted := n.newConn(client, from, to), n.newConn(server, to, from)
	select {
	case listener.queue <- accepted:
		return dialled, nil
	case <-listener.done:
	case <-ctx.Done():
	}
	dialled.Close()
	accepted.Close()
	return nil, fmt.Errorf("dial %q: listener closed or context ended", to)
}

func (n *MemoryNetwork) newConn(conn net.Conn, from, to string) *memoryConn {
	c := &memoryConn{Conn: conn, network: n, from: from, to: to}
	if n.delay != nil {
		c.delay = n.delay(from, to)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	return c
}

// memoryConn is one end of a connection; once blackholed it drops what it writes.
type memoryConn struct {
	net.Conn
	network    *MemoryNetwork
	from, to   string
	delay      time.Duration
	blackholed atomic.Bool
}

func (c *memoryConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	if c.delay > 0 {
		time.Sleep(c.delay)
	}
	return c.Conn.Write(p)
}

func (c *memoryConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	if c.blackholed.Load() {
		// The other end is not notified of the close; its own stall timeout closes it.
		return c.Conn.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

type memoryListener struct {
	network *MemoryNetwork
	address string
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.queue:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		l.network.mu.Unlock()
		close(l.done)
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }
