package soaker

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// network carries connections between daemons over loopback TCP and can cut
// pairs of hosts. A connection that was open during a cut stays silent for ever.
type network struct {
	mu    sync.Mutex
	hosts map[string]string // name by address
	cut   map[[2]string]int
	conns map[*cutConn]struct{}
}

func newNetwork() *network {
	return &network{hosts: map[string]string{}, cut: map[[2]string]int{}, conns: map[*cutConn]struct{}{}}
}

var errCut = errors.New("the network is cut")

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// dialer returns the function by which a host reaches others.
func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.hosts[address]
		cut := n.cut[pair(from, to)] > 0
		n.mu.Unlock()
		if cut {
			<-ctx.Done() // packets are dropped, not refused
			return nil, errCut
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		c := &cutConn{Conn: conn, network: n, pair: pair(from, to), closed: make(chan struct{})}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		n.mu.Unlock()
		return c, nil
	}
}

// setCut cuts or heals a pair; cuts are counted, since faults overlap.
func (n *network) setCut(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := pair(a, b)
	if !on {
		n.cut[key]--
		return
	}
	n.cut[key]++
	n.silenceLocked(key)
}

// silence makes the open connections of a pair silent; new ones work.
func (n *network) silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silenceLocked(pair(a, b))
}

func (n *network) silenceLocked(key [2]string) {
	for c := range n.conns {
		if c.pair == key {
			c.silent.Store(true)
		}
	}
}

type cutConn struct {
	net.Conn
	network *network
	pair    [2]string
	silent  atomic.Bool
	once    sync.Once
	closed  chan struct{}
}

func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil && !errors.Is(err, net.ErrClosed) && c.silent.Load() && !isTimeout(err) {
			<-c.closed
			return 0, net.ErrClosed
		}
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *cutConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}
