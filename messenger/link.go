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

// maxHandlers bounds the requests of one peer that are served at a time.
const maxHandlers = 1_024

// Codes of JSON-RPC errors besides the standard ones.
const (
	codeUnauthenticated = -32001
	codeBusy            = -32002
	codeDuplicate       = -32003
)

// link is one connection. Both ends watch it while an answer is due.
type link struct {
	messenger *Messenger
	conn      *jsonrpc2.Conn
	stream    *stream
	// accept authenticates the first message; nil on the dialling side.
	accept   func(encoder.Hello) error
	peer     atomic.Pointer[string]
	received atomic.Int64
	sent     atomic.Int64
	used     atomic.Int64

	mu       sync.Mutex
	due      int
	dueSince time.Time
	incoming map[string]*incoming
}

// newLink starts a link on a connection; accept is nil on the dialling side.
func (m *Messenger) newLink(conn net.Conn, accept func(encoder.Hello) error) (*link, error) {
	l := &link{messenger: m, accept: accept, incoming: map[string]*incoming{}}
	l.stream = newStream(conn, m.settings, &m.counters, l)
	l.touchReceived()
	l.touchSent()
	l.touchUsed()
	quiet := jsonrpc2.SetLogger(log.New(zap.NewStdLog(m.logger).Writer(), "", 0))
	ready := make(chan struct{})
	handler := jsonrpc2.Handler(gate{link: l, ready: ready})
	if !m.spawn(l.stream.write) {
		conn.Close()
		return nil, errConnClosed
	}
	l.conn = jsonrpc2.NewConn(m.ctx, l.stream, handler, quiet)
	close(ready)
	if !m.spawn(l.watch) {
		l.conn.Close()
		return nil, errConnClosed
	}
	return l, nil
}

// gate holds back the first request until the link has its connection.
type gate struct {
	link  *link
	ready chan struct{}
}

func (g gate) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-g.ready
	g.link.handle(request)
}

func (l *link) touchReceived() { l.received.Store(time.Now().UnixNano()) }
func (l *link) touchSent()     { l.sent.Store(time.Now().UnixNano()) }
func (l *link) touchUsed()     { l.used.Store(time.Now().UnixNano()) }

func (l *link) name() string {
	if p := l.peer.Load(); p != nil {
		return *p
	}
	return ""
}

// begin notes that an answer is due; it reports false when too many are.
func (l *link) begin() bool {
	l.touchUsed()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.due >= maxHandlers {
		return false
	}
	if l.due == 0 {
		l.dueSince = time.Now()
	}
	l.due++
	return true
}

// requestSent notes that a request was queued: the silence of its answer begins now, not
// while a large request is encoded.
func (l *link) requestSent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.due == 1 {
		l.dueSince = time.Now()
	}
}

func (l *link) end() {
	l.touchUsed()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due--
}

// watch pings while an answer is due, closes the link when it is silent then, and
// closes it when it has not been used for long.
func (l *link) watch() {
	settings := l.messenger.settings
	ticker := time.NewTicker(settings.PingInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-l.conn.DisconnectNotify():
			l.stream.Close()
			return
		case now := <-ticker.C:
			if l.check(now, settings) {
				l.conn.Close()
				return
			}
		}
	}
}

func (l *link) check(now time.Time, settings Settings) (closing bool) {
	l.mu.Lock()
	due, since := l.due > 0, l.dueSince
	l.mu.Unlock()
	if !due {
		return now.Sub(time.Unix(0, l.used.Load())) > settings.IdleTimeout
	}
	last := time.Unix(0, l.received.Load())
	if last.Before(since) {
		last = since
	}
	if now.Sub(last) > settings.StallTimeout && !l.stream.writing.Load() {
		l.messenger.counters.silent.Add(1)
		l.messenger.logger.Info("closing silent connection", zap.String("peer", l.name()))
		return true
	}
	if now.Sub(time.Unix(0, l.sent.Load())) >= settings.PingInterval {
		// A failed ping shows as silence.
		_ = l.conn.Notify(l.messenger.ctx, methodPing, nil)
	}
	return false
}

// handle runs on the read loop and must not block.
func (l *link) handle(request *jsonrpc2.Request) {
	if l.accept != nil && l.peer.Load() == nil {
		l.handleHello(request)
		return
	}
	params := json.RawMessage(nil)
	if request.Params != nil {
		params = *request.Params
	}
	switch request.Method {
	case methodPing:
	case methodCallEvent:
		l.deliver(params)
	case MethodCancelCall:
		l.messenger.cancelServing(l.name(), params)
	default:
		l.serve(request, params)
	}
}

func (l *link) serve(request *jsonrpc2.Request, params json.RawMessage) {
	if l.accept == nil {
		l.refuse(request, jsonrpc2.CodeMethodNotFound, "requests go on the caller's own connection")
		return
	}
	if !l.begin() {
		l.refuse(request, codeBusy, "too many requests")
		return
	}
	started := l.messenger.spawn(func() {
		defer l.end()
		l.answer(request, params)
	})
	if !started {
		l.end()
	}
}

func (l *link) answer(request *jsonrpc2.Request, params json.RawMessage) {
	m := l.messenger
	var result any
	var err error
	recovered := panics.Try(func() {
		if request.Method == MethodCall {
			result, err = l.serveCall(params)
		} else {
			result, err = m.handler.Handle(m.ctx, l.name(), request.Method, params)
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
		l.refuse(request, code, err.Error())
		return
	}
	if err := l.conn.Reply(m.ctx, request.ID, result); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		m.logger.Debug("answer not sent", zap.String("peer", l.name()), zap.String("method", request.Method), zap.Error(err))
	}
}

func (l *link) refuse(request *jsonrpc2.Request, code int64, text string) {
	if request.Notif {
		return
	}
	// The peer sees a closed connection when this cannot be sent.
	_ = l.conn.ReplyWithError(l.messenger.ctx, request.ID, &jsonrpc2.Error{Code: code, Message: text})
}

// request sends a request and waits for its answer.
func (l *link) request(ctx context.Context, method string, params, result any) error {
	if !l.begin() {
		return &Error{operation: method, kind: KindUnreachable, peer: l.name(), cause: errors.New("too many requests")}
	}
	defer l.end()
	sent := time.Now().UnixNano()
	waiter, err := l.conn.DispatchCall(ctx, method, params)
	if err != nil {
		return l.notSent(method, err)
	}
	l.requestSent()
	err = waiter.Wait(ctx, result)
	if ctx.Err() != nil && l.received.Load() < sent {
		// The next request uses a fresh connection: this one may be silent for good.
		l.conn.Close()
	}
	return l.classify(ctx, method, err)
}

func (l *link) notSent(method string, err error) error {
	kind := KindUnreachable
	if errors.Is(err, errTooLarge) {
		kind = KindTooLarge
	}
	return &Error{operation: method, kind: kind, peer: l.name(), cause: err}
}

func (l *link) classify(ctx context.Context, method string, err error) error {
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
	return &Error{operation: method, kind: kind, peer: l.name(), cause: err}
}
