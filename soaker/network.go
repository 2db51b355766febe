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
	mu        sync.Mutex
	hostNames map[string]string // name by address
	cutCounts map[[2]string]int
	conns     map[*faultConn]struct{}
}

func newNetwork() *network {
	return &network{hostNames: map[string]string{}, cutCounts: map[[2]string]int{}, conns: map[*faultConn]struct{}{}}
}

var errNetworkCut = errors.New("the network is cut")

func hostPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// dialer returns the function by which a host reaches others.
func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.hostNames[address]
		cut := n.cutCounts[hostPair(from, to)] > 0
		n.mu.Unlock()
		if cut {
			<-ctx.Done() // packets are dropped, not refused
			return nil, errNetworkCut
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		c := &faultConn{Conn: conn, network: n, hosts: hostPair(from, to), closed: make(chan struct{})}
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
	key := hostPair(a, b)
	if !on {
		n.cutCounts[key]--
		return
	}
	n.cutCounts[key]++
	n.stallConnsLocked(key)
}

// silence makes the open connections of a pair silent; new ones work.
func (n *network) stallConns(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stallConnsLocked(hostPair(a, b))
}

func (n *network) stallConnsLocked(key [2]string) {
	for c := range n.conns {
		if c.hosts == key {
			c.stalled.Store(true)
		}
	}
}

type faultConn struct {
	net.Conn
	network *network
	hosts   [2]string
	stalled atomic.Bool
	once    sync.Once
	closed  chan struct{}
}

func (c *faultConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil && !errors.Is(err, net.ErrClosed) && c.stalled.Load() && !isTimeout(err) {
			<-c.closed
			return 0, net.ErrClosed
		}
		if err != nil || !c.stalled.Load() {
			return n, err
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (c *faultConn) Write(b []byte) (int, error) {
	if c.stalled.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *faultConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}
