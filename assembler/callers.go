package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/dogwoodweir/dogwoodweir/follower"
)

const (
	// tcpUserTimeout closes the connection of a caller that has vanished.
	tcpUserTimeout = 4 * time.Second
	// maxHeaderBytes bounds a head before a configuration is known.
	maxHeaderBytes = 64 << 10
	// shutdownHeadTimeout is how long a daemon that ends waits for the rest of a head.
	shutdownHeadTimeout  = 500 * time.Millisecond
	shutdownPollInterval = 5 * time.Millisecond
	// readHeaderTimeout bounds a head on a connection that has had a request; the configuration's
	// own time holds for the first one.
	readHeaderTimeout = 10 * time.Second
)

// listen opens a listener whose connections end when their bytes are not acknowledged.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(tcpUserTimeout.Milliseconds()))
			})
			return errors.Join(err, failure)
		},
	}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, &Error{operation: "listen on " + address, kind: KindListen, cause: err}
	}
	return l, nil
}

// callerServer serves callers and closes connections that stay idle for longer than the
// configuration allows, which may change at any time.
type callerServer struct {
	server http.Server
	log    *zap.Logger
	limits atomic.Pointer[follower.CallerLimits]
	// stopping is set from the request to stop on, lingering until no new connections arrive.
	stopping    atomic.Bool
	keepIdle    atomic.Bool
	mutex       sync.Mutex
	listener    net.Listener
	connections map[*callerConnection]bool
}

func newCallerServer(handler http.Handler, log *zap.Logger) *callerServer {
	s := &callerServer{log: log, connections: map[*callerConnection]bool{}}
	s.server = http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, ConnState: s.trackState,
		ErrorLog: zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	return s
}

func (s *callerServer) setLimits(l follower.CallerLimits) { s.limits.Store(&l) }

func (s *callerServer) trackState(c net.Conn, state http.ConnState) {
	connection, ok := c.(*callerConnection)
	if !ok {
		return // the listener makes no others
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		connection.startWaiting(time.Now(), state == http.StateNew)
	case http.StateActive:
		connection.setPhase(inCall)
	case http.StateClosed:
		// Nobody reads it any more, also if its closing was ignored.
		connection.closeServed()
	}
}

// closeTimedOut closes connections that have been idle, or have taken over their first head, for
// too long.
func (s *callerServer) closeTimedOut(now time.Time) {
	limits := s.limits.Load()
	if limits == nil {
		return
	}
	s.mutex.Lock()
	var timedOut []*callerConnection
	for c := range s.connections {
		wait, first := c.waitingTime(now)
		switch {
		case first && limits.HeaderTimeout > 0 && wait > limits.HeaderTimeout:
			timedOut = append(timedOut, c)
		case !first && limits.IdleTimeout > 0 && wait > limits.IdleTimeout:
			c.closeIfIdle()
		}
	}
	s.mutex.Unlock()
	for _, c := range timedOut {
		// The connection is gone either way.
		_ = c.abort()
	}
}

func (s *callerServer) serve(l net.Listener) {
	s.mutex.Lock()
	s.listener = l
	s.mutex.Unlock()
	if err := s.server.Serve(callerListener{l, s}); !errors.Is(err, http.ErrServerClosed) && !s.stopping.Load() {
		s.log.Error("listener failed", zap.String("listener", "callers"), zap.Error(err))
	}
}

// beginShutdown tells callers with each answer to use other connections. The listener stays
// open, since new connections arrive until the platform has noticed, and so do idle
// connections: a call may be on its way on any of them.
func (s *callerServer) beginShutdown() {
	s.stopping.Store(true)
	s.keepIdle.Store(true)
	s.server.SetKeepAlivesEnabled(false)
}

// shutdown closes the listener and the idle connections and waits for the calls that are
// being served or read. The HTTP library's own shutdown comes last: it drops calls whose
// heads are being read.
func (s *callerServer) shutdown(ctx context.Context) error {
	s.keepIdle.Store(false)
	s.closeIdle()
	for headDeadline := time.Now().Add(shutdownHeadTimeout); s.hasCalls(time.Now().Before(headDeadline)); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPollInterval):
		}
	}
	return s.server.Shutdown(ctx)
}

// closeIdle closes the listener and the connections on which no byte of a call has arrived.
func (s *callerServer) closeIdle() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener != nil {
		// Nothing more arrives either way.
		_ = s.listener.Close()
	}
	for c := range s.connections {
		c.closeIfIdle()
	}
}

// hasCalls reports whether a call is being served, or read if heads count.
func (s *callerServer) hasCalls(includeHeads bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.connections {
		if p := c.currentPhase(); p == inCall || includeHeads && p == readingHead {
			return true
		}
	}
	return false
}

func (s *callerServer) close() error { return s.server.Close() }
