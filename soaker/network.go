package soaker

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// network carries the connections between daemons over loopback TCP and can cut the network
// between two hosts. A connection that was open during a cut stays stalled for ever.
type network struct {
	mu        sync.Mutex
	hostNames map[string]string // by address
	cutCounts map[[2]string]int // number of faults that currently cut a pair of hosts
	conns     map[*faultConn]struct{}
}

func newNetwork() *network {
	return &network{hostNames: map[string]string{}, cutCounts: map[[2]string]int{}, conns: map[*faultConn]struct{}{}}
}

var errNetworkCut = errors.New("network between the hosts is cut")

// hostPair returns the key of two hosts, whatever their order.
func hostPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// dialer returns the function with which a host dials other daemons.
func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.hostNames[address]
		cut := n.cutCounts[hostPair(from, to)] > 0
		n.mu.Unlock()
		if cut {
			<-ctx.Done() // a cut drops packets, so the dial times out
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

// setCut cuts the network between two hosts or ends a cut. Cuts are counted, since faults overlap.
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

// stallConns stalls the open connections between two hosts. New connections work.
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

// faultConn is a connection between two hosts that can be stalled: it then discards written data
// and delivers none.
type faultConn struct {
	net.Conn
	network *network
	hosts   [2]string
	stalled atomic.Bool
	once    sync.Once
	closed  chan struct{}
}

// Read discards data that arrives while the connection is stalled. The end of a stalled
// connection is hidden until Close, as if its packets were lost.
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

// isTimeout reports whether err is a network timeout.
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
