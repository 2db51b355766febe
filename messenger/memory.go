package messenger

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// MemoryNetwork connects messengers of one process by in-memory links with faults.
// Hosts are named by their addresses.
type MemoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	cut       map[[2]string]bool
	delay     func(from, to string) time.Duration
	links     map[*memoryConn]struct{}
}

// NewMemoryNetwork returns a network without hosts.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{
		listeners: map[string]*memoryListener{}, cut: map[[2]string]bool{}, links: map[*memoryConn]struct{}{},
	}
}

// SetDelay sets the one-way latency; call it before the first Dial.
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

// SetBlocked drops everything sent in one direction, on established connections too, and
// prevents new connections between the two; false ends it for new connections.
// An established connection that lost bytes stays silent, as one does whose
// state was dropped by a device on the path.
func (n *MemoryNetwork) SetBlocked(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !cut {
		delete(n.cut, [2]string{from, to})
		return
	}
	n.cut[[2]string{from, to}] = true
	n.silence(from, to)
}

// BlackholeConnections makes the established connections in one direction silent for good,
// while new ones work.
func (n *MemoryNetwork) BlackholeConnections(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silence(from, to)
}

func (n *MemoryNetwork) silence(from, to string) {
	for conn := range n.links {
		if conn.from == from && conn.to == to {
			conn.silent.Store(true)
		}
	}
}

func (n *MemoryNetwork) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	listener := n.listeners[to]
	blocked := n.cut[[2]string{from, to}] || n.cut[[2]string{to, from}]
	n.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if listener == nil {
		return nil, fmt.Errorf("no host at %q", to)
	}
	near, far := net.Pipe()
	dialled, accepted := n.wrap(near, from, to), n.wrap(far, to, from)
	select {
	case listener.queue <- accepted:
		return dialled, nil
	case <-listener.done:
	case <-ctx.Done():
	}
	dialled.Close()
	accepted.Close()
	return nil, fmt.Errorf("host at %q does not accept", to)
}

func (n *MemoryNetwork) wrap(conn net.Conn, from, to string) *memoryConn {
	c := &memoryConn{Conn: conn, network: n, from: from, to: to}
	if n.delay != nil {
		c.delay = n.delay(from, to)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[c] = struct{}{}
	return c
}

// memoryConn is one end; it drops what it writes once its direction is silent.
type memoryConn struct {
	net.Conn
	network  *MemoryNetwork
	from, to string
	delay    time.Duration
	silent   atomic.Bool
}

func (c *memoryConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	if c.delay > 0 {
		time.Sleep(c.delay)
	}
	return c.Conn.Write(p)
}

func (c *memoryConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.links, c)
	c.network.mu.Unlock()
	if c.silent.Load() {
		// The other end does not learn of the close either; its own silence bound
		// ends it.
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
