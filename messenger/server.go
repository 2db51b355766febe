package messenger

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

// rejectionFlushDelay is the time between the error reply to a rejected peer and the
// close of the connection, so that the reply arrives.
const rejectionFlushDelay = 100 * time.Millisecond

// Serve accepts connections until the listener is closed or Close is called.
func (m *Messenger) Serve(listener net.Listener) error {
	stop := context.AfterFunc(m.ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			m.logger.Warn("cannot accept a connection; retrying in 50 ms", zap.Error(err))
			// The usual cause is a lack of file descriptors, so an immediate retry would
			// fail too.
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if !m.spawn(func() { m.serveConn(conn) }) {
			conn.Close()
		}
	}
}

// serveConn authenticates the peer of an accepted connection and serves its requests
// until the connection is closed.
func (m *Messenger) serveConn(netConn net.Conn) {
	defer netConn.Close()
	if m.counters.open.Add(1) > int64(m.settings.MaxConnections) {
		m.counters.open.Add(-1)
		m.counters.rejected.Add(1)
		return
	}
	defer m.counters.open.Add(-1)
	conn := net.Conn(countingConn{Conn: netConn, counters: &m.counters})
	remote := netConn.RemoteAddr().String()
	verify := m.verifyToken
	if m.settings.TLS != nil {
		server, err := m.handshake(conn)
		if err != nil {
			m.counters.rejected.Add(1)
			m.logger.Warn("rejected connection: TLS handshake failed", zap.String("address", remote), zap.Error(err))
			return
		}
		conn = server
		certificate := server.ConnectionState().PeerCertificates[0]
		verify = func(hello encoder.Hello) error { return certificate.VerifyHostname(hello.Host) }
	}
	c, err := m.newPeerConn(conn, verify)
	if err != nil {
		return
	}
	timer := time.AfterFunc(m.settings.DialTimeout, func() {
		if c.peerHost.Load() == nil && c.reject() {
			m.logger.Warn("rejected connection", zap.String("address", remote), zap.String("reason", "no hello in time"))
			c.rpc.Close()
		}
	})
	defer timer.Stop()
	<-c.rpc.DisconnectNotify()
}

func (m *Messenger) handshake(conn net.Conn) (*tls.Conn, error) {
	config := m.settings.TLS.Clone()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	server := tls.Server(conn, config)
	ctx, cancel := context.WithTimeout(m.ctx, m.settings.DialTimeout)
	defer cancel()
	return server, server.HandshakeContext(ctx)
}

func (m *Messenger) verifyToken(hello encoder.Hello) error {
	// Hashes have equal length, so the time of the comparison does not depend on the
	// token.
	want, got := sha256.Sum256([]byte(m.settings.Token)), sha256.Sum256([]byte(hello.Token))
	if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
		return errors.New("wrong token")
	}
	return nil
}

// reject marks the connection as rejected and counts it; it returns false if it was rejected before.
func (c *peerConn) reject() bool {
	if !c.rejected.CompareAndSwap(false, true) {
		return false
	}
	c.messenger.counters.rejected.Add(1)
	return true
}

// handleHello authenticates the dialling side by its first message. A peer that fails
// is sent an error reply, and the connection is closed; it cannot authenticate meanwhile.
func (c *peerConn) handleHello(request *jsonrpc2.Request) {
	m := c.messenger
	var hello encoder.Hello
	err := errors.New("first message is not hello")
	if request.Method == methodHello && request.Params != nil {
		if err = json.Unmarshal(*request.Params, &hello); err == nil {
			err = c.authenticate(hello)
		}
		if err == nil && hello.Host == "" {
			err = errors.New("hello without a host name")
		}
	}
	if err != nil || c.rejected.Load() {
		if !c.reject() {
			c.sendErrorReply(request, codeUnauthenticated, "not authenticated")
			return
		}
		m.logger.Warn("rejected connection: peer not authenticated", zap.String("host", hello.Host), zap.Error(err))
		c.sendErrorReply(request, codeUnauthenticated, "not authenticated")
		time.AfterFunc(rejectionFlushDelay, func() { c.rpc.Close() })
		return
	}
	c.peerHost.Store(&hello.Host)
	m.counters.accepted.Add(1)
	if err := c.rpc.Reply(m.ctx, request.ID, encoder.HelloResult{Host: m.settings.Host}); err != nil {
		c.rpc.Close()
	}
}
