package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/sourcegraph/conc/panics"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

// maxPendingRequests bounds the requests of one peer that are served at a time.
const maxPendingRequests = 1_024

// Codes of JSON-RPC errors besides the standard ones.
const (
	codeUnauthenticated = -32001
	codeBusy            = -32002
	codeDuplicate       = -32003
)

// peerConn is one connection. Both ends watch it while an answer is due.
type peerConn struct {
	messenger *Messenger
	rpc       *jsonrpc2.Conn
	stream    *objectStream
	// authenticate authenticates the first message; nil on the dialling side.
	authenticate func(encoder.Hello) error
	peerHost     atomic.Pointer[string]
	lastReceived atomic.Int64
	lastSent     atomic.Int64
	lastUsed     atomic.Int64

	mu           sync.Mutex
	pending      int
	pendingSince time.Time
	eventBuffers map[string]*eventBuffer
}

// newPeerConn starts a link on a connection; accept is nil on the dialling side.
func (m *Messenger) newPeerConn(conn net.Conn, authenticate func(encoder.Hello) error) (*peerConn, error) {
	c := &peerConn{messenger: m, authenticate: authenticate, eventBuffers: map[string]*eventBuffer{}}
	c.stream = newObjectStream(conn, m.settings, &m.counters, c)
	c.markReceived()
	c.markSent()
	c.markUsed()
	logOption := jsonrpc2.SetLogger(log.New(zap.NewStdLog(m.logger).Writer(), "", 0))
	ready := make(chan struct{})
	handler := jsonrpc2.Handler(delayedHandler{conn: c, ready: ready})
	if !m.spawn(c.stream.write) {
		conn.Close()
		return nil, errConnClosed
	}
	c.rpc = jsonrpc2.NewConn(m.ctx, c.stream, handler, logOption)
	close(ready)
	if !m.spawn(c.monitor) {
		c.rpc.Close()
		return nil, errConnClosed
	}
	return c, nil
}

// delayedHandler holds back the first request until the link has its connection.
type delayedHandler struct {
	conn  *peerConn
	ready chan struct{}
}

func (h delayedHandler) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-h.ready
	h.conn.handle(request)
}

func (c *peerConn) markReceived() { c.lastReceived.Store(time.Now().UnixNano()) }
func (c *peerConn) markSent()     { c.lastSent.Store(time.Now().UnixNano()) }
func (c *peerConn) markUsed()     { c.lastUsed.Store(time.Now().UnixNano()) }

func (c *peerConn) peerName() string {
	if p := c.peerHost.Load(); p != nil {
		return *p
	}
	return ""
}

// addPending notes that an answer is due; it reports false when too many are.
func (c *peerConn) addPending() bool {
	c.markUsed()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending >= maxPendingRequests {
		return false
	}
	if c.pending == 0 {
		c.pendingSince = time.Now()
	}
	c.pending++
	return true
}

// restartStallTimer notes that a request was queued: the silence of its answer begins now, not
// while a large request is encoded.
func (c *peerConn) restartStallTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 1 {
		c.pendingSince = time.Now()
	}
}

func (c *peerConn) removePending() {
	c.markUsed()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

// monitor pings while an answer is due, closes the link when it is silent then, and
// closes it when it has not been used for long.
func (c *peerConn) monitor() {
	settings := c.messenger.settings
	ticker := time.NewTicker(settings.PingInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-c.rpc.DisconnectNotify():
			c.stream.Close()
			return
		case now := <-ticker.C:
			if c.checkTimeouts(now, settings) {
				c.rpc.Close()
				return
			}
		}
	}
}

func (c *peerConn) checkTimeouts(now time.Time, settings Settings) (closing bool) {
	c.mu.Lock()
	pending, since := c.pending > 0, c.pendingSince
	c.mu.Unlock()
	if !pending {
		return now.Sub(time.Unix(0, c.lastUsed.Load())) > settings.IdleTimeout
	}
	last := time.Unix(0, c.lastReceived.Load())
	if last.Before(since) {
		last = since
	}
	if now.Sub(last) > settings.StallTimeout && !c.stream.writing.Load() {
		c.messenger.counters.stalled.Add(1)
		c.messenger.logger.Info("closing silent connection", zap.String("peer", c.peerName()))
		return true
	}
	if now.Sub(time.Unix(0, c.lastSent.Load())) >= settings.PingInterval {
		// A failed ping shows as silence.
		_ = c.rpc.Notify(c.messenger.ctx, methodPing, nil)
	}
	return false
}

// handle runs on the read loop and must not block.
func (c *peerConn) handle(request *jsonrpc2.Request) {
	if c.authenticate != nil && c.peerHost.Load() == nil {
		c.handleHello(request)
		return
	}
	params := json.RawMessage(nil)
	if request.Params != nil {
		params = *request.Params
	}
	switch request.Method {
	case methodPing:
	case methodCallEvent:
		c.deliverEvent(params)
	case MethodCancelCall:
		c.messenger.cancelServedCall(c.peerName(), params)
	default:
		c.serve(request, params)
	}
}

func (c *peerConn) serve(request *jsonrpc2.Request, params json.RawMessage) {
	if c.authenticate == nil {
		c.sendErrorReply(request, jsonrpc2.CodeMethodNotFound, "requests go on the caller's own connection")
		return
	}
	if !c.addPending() {
		c.sendErrorReply(request, codeBusy, "too many requests")
		return
	}
	started := c.messenger.spawn(func() {
		defer c.removePending()
		c.runHandler(request, params)
	})
	if !started {
		c.removePending()
	}
}

func (c *peerConn) runHandler(request *jsonrpc2.Request, params json.RawMessage) {
	m := c.messenger
	var result any
	var err error
	recovered := panics.Try(func() {
		if request.Method == MethodCall {
			result, err = c.serveCall(params)
		} else {
			result, err = m.handler.Handle(m.ctx, c.peerName(), request.Method, params)
		}
	})
	if recovered != nil {
		m.logger.Error("handler panicked", zap.String("method", request.Method), zap.String("panic", recovered.String()))
		err = errors.New("internal error")
	}
	if request.Notif {
		return
	}
	if err != nil {
		code := int64(jsonrpc2.CodeInternalError)
		var remote *jsonrpc2.Error
		if errors.As(err, &remote) {
			code = remote.Code
		}
		c.sendErrorReply(request, code, err.Error())
		return
	}
	if err := c.rpc.Reply(m.ctx, request.ID, result); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		m.logger.Debug("answer not sent", zap.String("peer", c.peerName()), zap.String("method", request.Method), zap.Error(err))
	}
}

func (c *peerConn) sendErrorReply(request *jsonrpc2.Request, code int64, text string) {
	if request.Notif {
		return
	}
	// The peer sees a closed connection when this cannot be sent.
	_ = c.rpc.ReplyWithError(c.messenger.ctx, request.ID, &jsonrpc2.Error{Code: code, Message: text})
}

// request sends a request and waits for its answer.
func (c *peerConn) request(ctx context.Context, method string, params, result any) error {
	if !c.addPending() {
		return &Error{operation: method, kind: KindUnreachable, peer: c.peerName(), cause: errors.New("too many requests")}
	}
	defer c.removePending()
	sent := time.Now().UnixNano()
	waiter, err := c.rpc.DispatchCall(ctx, method, params)
	if err != nil {
		return c.wrapSendError(method, err)
	}
	c.restartStallTimer()
	err = waiter.Wait(ctx, result)
	if ctx.Err() != nil && c.lastReceived.Load() < sent {
		// The next request uses a fresh connection: this one may be silent for good.
		c.rpc.Close()
	}
	return c.wrapCallError(ctx, method, err)
}

func (c *peerConn) wrapSendError(method string, err error) error {
	kind := KindUnreachable
	if errors.Is(err, errTooLarge) {
		kind = KindTooLarge
	}
	return &Error{operation: method, kind: kind, peer: c.peerName(), cause: err}
}

func (c *peerConn) wrapCallError(ctx context.Context, method string, err error) error {
	if err == nil {
		return nil
	}
	kind := KindClosed
	var remote *jsonrpc2.Error
	switch {
	case errors.As(err, &remote) && remote.Code == codeUnauthenticated:
		kind = KindUnauthenticated
	case errors.As(err, &remote) && remote.Code == codeBusy:
		kind = KindBusy
	case errors.As(err, &remote):
		kind = KindRemoteError
	case ctx.Err() != nil:
		kind = KindTimeout
	}
	return &Error{operation: method, kind: kind, peer: c.peerName(), cause: err}
}
