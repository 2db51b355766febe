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

// maxPendingRequests bounds the pending requests on a connection, on the side that
// sends them and on the side that serves them.
const maxPendingRequests = 1_024

// Codes of JSON-RPC errors besides the standard ones.
const (
	codeUnauthenticated = -32001
	codeBusy            = -32002
	codeDuplicate       = -32003
)

// peerConn is one connection. Only the dialling side sends requests. Both sides check
// for a stall while requests are pending.
type peerConn struct {
	messenger *Messenger
	rpc       *jsonrpc2.Conn
	stream    *objectStream
	// authenticate checks the first message; nil on the dialling side.
	authenticate func(encoder.Hello) error
	// peerHost is nil on the accepting side until the peer is authenticated.
	peerHost atomic.Pointer[string]
	// rejected is set on the accepting side once the connection is rejected; it is closed soon.
	rejected atomic.Bool
	// Times in Unix nanoseconds.
	lastReceived atomic.Int64
	lastSent     atomic.Int64
	lastUsed     atomic.Int64

	mu sync.Mutex
	// pending is the number of requests without a reply.
	pending      int
	pendingSince time.Time
	eventBuffers map[string]*eventBuffer
}

// newPeerConn starts JSON-RPC on a connection; authenticate is nil on the dialling
// side. It closes conn and returns errConnClosed when the messenger is closed.
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

// delayedHandler blocks until newPeerConn has set rpc: jsonrpc2.NewConn starts to
// read before it returns.
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

// peerName returns the host of the peer, or "" while peerHost is nil.
func (c *peerConn) peerName() string {
	if p := c.peerHost.Load(); p != nil {
		return *p
	}
	return ""
}

// addPending counts a pending request; it returns false when the limit is reached.
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

// restartStallTimer sets pendingSince again after the only pending request was queued, so
// that the time for encoding a large request does not count towards the stall timeout.
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

// monitor sends pings while requests are pending, and closes the connection when it
// stalls or exceeds the idle timeout.
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

// checkTimeouts sends a ping if one is due and reports whether the connection must be
// closed.
func (c *peerConn) checkTimeouts(now time.Time, settings Settings) (closing bool) {
	c.mu.Lock()
	pending, since := c.pending > 0, c.pendingSince
	c.mu.Unlock()
	if !pending {
		return now.Sub(time.Unix(0, c.lastUsed.Load())) > settings.IdleTimeout
	}
	last := time.Unix(0, max(c.lastReceived.Load(), c.stream.lastLargeWrite.Load()))
	if last.Before(since) {
		last = since
	}
	if now.Sub(last) > settings.StallTimeout && !c.stream.writing.Load() {
		c.messenger.counters.stalled.Add(1)
		c.messenger.logger.Info("closing stalled connection: nothing received within the stall timeout", zap.String("peer", c.peerName()))
		return true
	}
	if now.Sub(time.Unix(0, c.lastSent.Load())) >= settings.PingInterval {
		// If the ping cannot be sent, the stall timeout closes the connection.
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

// serve runs the handler of a request on its own goroutine.
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

// runHandler runs the handler and sends its result or error; a panic becomes an
// error reply.
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
		m.logger.Error("request handler panicked; replying with an error", zap.String("method", request.Method), zap.String("panic", recovered.String()))
		err = errors.New("internal error")
	}
	if r, ok := result.(Result); ok {
		// The queue is in the order of the calls, so that the reply is written before.
		defer c.stream.whenWritten(r.Done)
		result = r.Value
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
		m.logger.Debug("reply not sent", zap.String("peer", c.peerName()), zap.String("method", request.Method), zap.Error(err))
	}
}

func (c *peerConn) sendErrorReply(request *jsonrpc2.Request, code int64, text string) {
	if request.Notif {
		return
	}
	// If sending fails, the connection is closed, and the peer notices that.
	_ = c.rpc.ReplyWithError(c.messenger.ctx, request.ID, &jsonrpc2.Error{Code: code, Message: text})
}

// request sends a request, waits for its reply and decodes it into result.
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
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && c.lastReceived.Load() < sent {
		// Nothing arrived since the request was sent, so the connection may have
		// stalled; the next request opens a new one.
		c.rpc.Close()
	}
	return c.wrapCallError(ctx, method, err)
}

// wrapSendError wraps an error of sending: the peer has not received the message.
func (c *peerConn) wrapSendError(method string, err error) error {
	kind := KindUnreachable
	if errors.Is(err, errTooLarge) {
		kind = KindTooLarge
	}
	return &Error{operation: method, kind: kind, peer: c.peerName(), cause: err}
}

// wrapCallError wraps an error of waiting for a reply; it returns nil for nil.
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
