package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// maxPoolEntries is the size of the pool from which on unused entries are evicted before
// another is added.
const maxPoolEntries = 1_024

var errBackoff = errors.New("backing off after a failed dial")

// poolEntry holds a connection to one peer. dialLock is a mutex that can be awaited
// with a context; it guards the other fields and is held while dialling.
type poolEntry struct {
	dialLock chan struct{}
	conn     *peerConn
	failures int
	nextDial time.Time
}

// Call sends a request to a peer and waits for its result.
func Call[Result any](ctx context.Context, m *Messenger, peer Peer, method string, params any) (Result, error) {
	var result Result
	c, err := m.connect(ctx, peer, method)
	if err != nil {
		return result, err
	}
	err = c.request(ctx, method, params, &result)
	return result, err
}

// Probe sends a probe to a host on a new connection.
func (m *Messenger) Probe(ctx context.Context, peer Peer) (encoder.ProbeResult, error) {
	var result encoder.ProbeResult
	c, err := m.dial(ctx, peer, MethodProbe)
	if err != nil {
		return result, err
	}
	defer c.rpc.Close()
	err = c.request(ctx, MethodProbe, encoder.Probe{Host: m.settings.Host}, &result)
	return result, err
}

// connect returns the pooled connection to a peer, or dials one. It fails without
// dialling during the backoff after a failed dial.
func (m *Messenger) connect(ctx context.Context, peer Peer, operation string) (*peerConn, error) {
	e := m.entry(peer, operation == MethodCall)
	select {
	case e.dialLock <- struct{}{}:
	case <-ctx.Done():
		return nil, &Error{operation: operation, kind: KindUnreachable, peer: peer.Host, cause: ctx.Err()}
	}
	defer func() { <-e.dialLock }()
	if e.conn != nil {
		select {
		case <-e.conn.rpc.DisconnectNotify():
			e.conn = nil
		default:
			return e.conn, nil
		}
	}
	if time.Now().Before(e.nextDial) {
		return nil, &Error{operation: operation, kind: KindUnreachable, peer: peer.Host, cause: errBackoff}
	}
	c, err := m.dial(ctx, peer, operation)
	if err != nil {
		e.scheduleRetry(m.settings)
		return nil, err
	}
	e.conn, e.failures, e.nextDial = c, 0, time.Time{}
	return c, nil
}

// scheduleRetry sets the earliest time of the next dial. Jitter keeps the daemons that
// lost a host from dialling it all at once.
func (e *poolEntry) scheduleRetry(settings Settings) {
	backoff := settings.MaxBackoff
	if e.failures < 16 {
		backoff = min(backoff, settings.InitialBackoff<<e.failures)
	}
	e.failures++
	e.nextDial = time.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(backoff)))
}

// entry returns the pool entry of a peer and adds it if needed. Calls use a separate
// connection, so that a long history on a slow connection does not delay heartbeats.
func (m *Messenger) entry(peer Peer, calls bool) *poolEntry {
	key := peer.Host + " " + peer.Address
	if calls {
		key += " calls"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.pool[key]
	if !ok {
		if len(m.pool) >= maxPoolEntries {
			m.evictUnused()
		}
		e = &poolEntry{dialLock: make(chan struct{}, 1)}
		m.pool[key] = e
	}
	return e
}

// evictUnused removes the entries that have no open connection and no backoff. The
// caller holds m.mu.
func (m *Messenger) evictUnused() {
	for key, e := range m.pool {
		select {
		case e.dialLock <- struct{}{}:
		default:
			continue
		}
		unused := e.conn == nil && time.Now().After(e.nextDial)
		if e.conn != nil {
			select {
			case <-e.conn.rpc.DisconnectNotify():
				unused = true
			default:
			}
		}
		<-e.dialLock
		if unused {
			delete(m.pool, key)
		}
	}
}

// dial opens a connection and authenticates both sides.
func (m *Messenger) dial(ctx context.Context, peer Peer, operation string) (*peerConn, error) {
	dialError := func(kind Kind, err error) error {
		return &Error{operation: operation, kind: kind, peer: peer.Host, cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, m.settings.DialTimeout)
	defer cancel()
	m.counters.dials.Add(1)
	netConn, err := m.settings.Dial(ctx, peer.Address)
	if err != nil {
		return nil, dialError(KindUnreachable, err)
	}
	conn := net.Conn(countingConn{Conn: netConn, counters: &m.counters})
	if m.settings.TLS != nil {
		config := m.settings.TLS.Clone()
		config.ServerName = peer.Host
		client := tls.Client(conn, config)
		if err := client.HandshakeContext(ctx); err != nil {
			netConn.Close()
			return nil, dialError(KindUnauthenticated, err)
		}
		conn = client
	}
	c, err := m.newPeerConn(conn, nil)
	if err != nil {
		return nil, dialError(KindUnreachable, err)
	}
	c.peerHost.Store(&peer.Host)
	var result encoder.HelloResult
	hello := encoder.Hello{Host: m.settings.Host, Token: m.settings.Token}
	if err := c.request(ctx, methodHello, hello, &result); err != nil {
		c.rpc.Close()
		kind := KindUnreachable
		if KindOf(err) == KindUnauthenticated {
			kind = KindUnauthenticated
		}
		return nil, dialError(kind, err)
	}
	if result.Host != peer.Host && peer.Host != "" {
		c.rpc.Close()
		return nil, dialError(KindUnauthenticated, fmt.Errorf("address belongs to host %q", result.Host))
	}
	return c, nil
}
