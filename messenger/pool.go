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

// maxSlots is the number of remembered peers above which unused ones are
// forgotten.
const maxSlots = 1_024

var errBackoff = errors.New("waiting after a failed dial")

// slot holds the connection to one peer. Its token serializes dialling.
type slot struct {
	token     chan struct{}
	link      *link
	failures  int
	notBefore time.Time
}

// Call sends a request to a peer and waits for its result.
func Call[Result any](ctx context.Context, m *Messenger, peer Peer, method string, params any) (Result, error) {
	var result Result
	l, err := m.connect(ctx, peer, method)
	if err != nil {
		return result, err
	}
	err = l.request(ctx, method, params, &result)
	return result, err
}

// Probe asks on a new connection whether a host answers.
func (m *Messenger) Probe(ctx context.Context, peer Peer) (encoder.ProbeResult, error) {
	var result encoder.ProbeResult
	l, err := m.dial(ctx, peer, MethodProbe)
	if err != nil {
		return result, err
	}
	defer l.conn.Close()
	err = l.request(ctx, MethodProbe, encoder.Probe{Host: m.settings.Host}, &result)
	return result, err
}

// connect returns the peer's connection and opens one when there is none.
func (m *Messenger) connect(ctx context.Context, peer Peer, operation string) (*link, error) {
	s := m.slot(peer, operation == MethodCall)
	select {
	case s.token <- struct{}{}:
	case <-ctx.Done():
		return nil, &Error{operation: operation, kind: KindUnreachable, peer: peer.Host, cause: ctx.Err()}
	}
	defer func() { <-s.token }()
	if s.link != nil {
		select {
		case <-s.link.conn.DisconnectNotify():
			s.link = nil
		default:
			return s.link, nil
		}
	}
	if time.Now().Before(s.notBefore) {
		return nil, &Error{operation: operation, kind: KindUnreachable, peer: peer.Host, cause: errBackoff}
	}
	l, err := m.dial(ctx, peer, operation)
	if err != nil {
		s.fail(m.settings)
		return nil, err
	}
	s.link, s.failures, s.notBefore = l, 0, time.Time{}
	return l, nil
}

// fail sets the time of the next attempt, with jitter so that the daemons that
// lost a host do not all return to it at once.
func (s *slot) fail(settings Settings) {
	pause := settings.MaxBackoff
	if s.failures < 16 {
		pause = min(pause, settings.InitialBackoff<<s.failures)
	}
	s.failures++
	s.notBefore = time.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(pause)))
}

// slot returns the slot of a peer. Calls have a connection of their own, so that a
// long history on a slow link does not delay heartbeats.
func (m *Messenger) slot(peer Peer, calls bool) *slot {
	key := peer.Host + " " + peer.Address
	if calls {
		key += " calls"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.slots[key]
	if !ok {
		if len(m.slots) >= maxSlots {
			m.forgetSlots()
		}
		s = &slot{token: make(chan struct{}, 1)}
		m.slots[key] = s
	}
	return s
}

func (m *Messenger) forgetSlots() {
	for key, s := range m.slots {
		select {
		case s.token <- struct{}{}:
		default:
			continue
		}
		unused := s.link == nil && time.Now().After(s.notBefore)
		if s.link != nil {
			select {
			case <-s.link.conn.DisconnectNotify():
				unused = true
			default:
			}
		}
		<-s.token
		if unused {
			delete(m.slots, key)
		}
	}
}

// dial opens and authenticates a connection.
func (m *Messenger) dial(ctx context.Context, peer Peer, operation string) (*link, error) {
	fail := func(kind Kind, err error) error {
		return &Error{operation: operation, kind: kind, peer: peer.Host, cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, m.settings.DialTimeout)
	defer cancel()
	m.counters.dials.Add(1)
	raw, err := m.settings.Dial(ctx, peer.Address)
	if err != nil {
		return nil, fail(KindUnreachable, err)
	}
	conn := net.Conn(countingConn{Conn: raw, counters: &m.counters})
	if m.settings.TLS != nil {
		config := m.settings.TLS.Clone()
		config.ServerName = peer.Host
		client := tls.Client(conn, config)
		if err := client.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, fail(KindUnauthenticated, err)
		}
		conn = client
	}
	l, err := m.newLink(conn, nil)
	if err != nil {
		return nil, fail(KindUnreachable, err)
	}
	l.peer.Store(&peer.Host)
	var result encoder.HelloResult
	hello := encoder.Hello{Host: m.settings.Host, Token: m.settings.Token}
	if err := l.request(ctx, methodHello, hello, &result); err != nil {
		l.conn.Close()
		kind := KindUnreachable
		if KindOf(err) == KindUnauthenticated {
			kind = KindUnauthenticated
		}
		return nil, fail(kind, err)
	}
	if result.Host != peer.Host && peer.Host != "" {
		l.conn.Close()
		return nil, fail(KindUnauthenticated, fmt.Errorf("address belongs to host %q", result.Host))
	}
	return l, nil
}
