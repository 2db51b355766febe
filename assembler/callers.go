package assembler

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/dogwoodweir/dogwoodweir/follower"
)

const (
	// tcpUserTimeout is how long sent data may stay unacknowledged before the connection
	// is closed. It ends connections of callers that have disappeared. The system also counts the time for
	// which a slow reader leaves no room for more: 4 s cut the streams of callers that read 90 KB/s.
	tcpUserTimeout = 15 * time.Second
	// maxHeaderBytes limits a request head before a configuration is known.
	maxHeaderBytes = 64 << 10
	// shutdownHeadTimeout is how long a shutdown waits for request heads that have been
	// received in part.
	shutdownHeadTimeout = 500 * time.Millisecond
	// shutdownAcceptTimeout is how long a shutdown waits for connections to be accepted. A process
	// that gets little processor time needed more than 200 ms for 12 connections.
	shutdownAcceptTimeout = time.Second
	// shutdownPollInterval is the interval at which a shutdown checks for open calls.
	shutdownPollInterval = 5 * time.Millisecond
	// readHeaderTimeout limits the reading of a request head on a connection that has
	// served a request. The configuration's HeaderTimeout applies to the first one.
	readHeaderTimeout = 10 * time.Second
	// readAheadBytes is what the HTTP library reads beyond a head at most, and some more.
	readAheadBytes = 4<<10 + 512
	// callerBufferBytes is the size of each of the two buffers of a caller's connection in the system, which
	// doubles it for its own bookkeeping. It fills a link of 22 Mbit/s at a round-trip time of 20 ms.
	callerBufferBytes = 64 << 10
	// roomPollInterval is the interval at which a connection that exceeds the limit waits for another one to
	// be closed.
	roomPollInterval = 5 * time.Millisecond
)

// listen opens a TCP listener whose connections are closed when sent data is not
// acknowledged within tcpUserTimeout. Their buffers in the system have the given size, 0 for the
// system's own sizes, which grow to megabytes.
func listen(address string, bufferBytes int) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(tcpUserTimeout.Milliseconds()))
				if bufferBytes == 0 {
					return
				}
				for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
					failure = errors.Join(failure, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bufferBytes))
				}
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

// callerServer serves callers and closes connections that exceed the time limits of the
// configuration, which may change while it serves.
type callerServer struct {
	server http.Server
	log    *zap.Logger
	limits atomic.Pointer[follower.CallerLimits]
	// stopping is set when the shutdown begins.
	stopping atomic.Bool
	// accepted is closed once all accepted connections are in connections.
	accepted    chan struct{}
	mutex       sync.Mutex
	listener    net.Listener
	connections map[*callerConnection]bool
	// maxConnections bounds the connections, 0 for no bound.
	maxConnections int
	// maxQueuedBytes bounds the bytes that wait in the system's buffers of all connections together, 0 for no
	// bound.
	maxQueuedBytes int
	// dropSlowestBody ends the call whose caller sends its body the slowest, with its connection, and reports
	// whether there was one. It may be nil.
	dropSlowestBody func() bool
	// closedFor counts the connections that were closed because of their callers, by reason.
	closedFor [closeReasons]atomic.Int64
}

func newCallerServer(handler http.Handler, log *zap.Logger) *callerServer {
	s := &callerServer{log: log, accepted: make(chan struct{}), connections: map[*callerConnection]bool{}}
	s.server = http.Server{
		Handler: s.announceClose(handler), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, ConnState: s.trackState,
		ErrorLog: zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	return s
}

// closeAnnouncer is a response that tells the caller to close the connection if the server is
// stopping when its head is sent.
type closeAnnouncer struct {
	http.ResponseWriter
	server      *callerServer
	headWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (a *closeAnnouncer) WriteHeader(status int) {
	if a.server.stopping.Load() {
		a.Header().Set("Connection", "close")
	}
	a.headWritten = true
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *closeAnnouncer) Write(p []byte) (int, error) {
	if !a.headWritten {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(p)
}

// Unwrap returns the HTTP library's response, for http.ResponseController.
func (a *closeAnnouncer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// announceClose returns a handler whose responses tell their callers to close the connection while
// the server is stopping. The HTTP library's own way, turning keep-alive off, also closes the
// connections whose last response did not say so.
func (s *callerServer) announceClose(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &closeAnnouncer{ResponseWriter: w, server: s}
		handler.ServeHTTP(a, r)
		if !a.headWritten {
			a.WriteHeader(http.StatusOK)
		}
	})
}

func (s *callerServer) setLimits(l follower.CallerLimits) { s.limits.Store(&l) }

func (s *callerServer) trackState(c net.Conn, state http.ConnState) {
	connection, ok := c.(*callerConnection)
	if !ok {
		return // callerListener returns no other type
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		connection.startWaiting(time.Now(), state == http.StateNew)
	case http.StateActive:
		connection.setPhase(inCall)
	case http.StateClosed:
		// The HTTP library no longer reads the connection, even if Close left it open.
		connection.closeFinished()
	}
}

// closeTimedOut closes connections that have exceeded the idle timeout, or the header
// timeout of their first call.
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
		// The connection is closed even if Close returns an error.
		_ = c.abort()
	}
}

// closeReason says why the connection of a caller was closed.
type closeReason int

const (
	// closedForHead means that a request head was far over the limit.
	closedForHead closeReason = iota
	// closedAsStalled and closedAsIdle connections made room for others.
	closedAsStalled
	closedAsIdle
	// closedForBody means that the call with the slowest body made room for others.
	closedForBody
	// closedForQueue connections held bytes in the system that their callers do not read.
	closedForQueue
	closeReasons
)

// String returns the reason's name in logs and metrics.
func (r closeReason) String() string {
	return [...]string{"head", "stalled", "idle", "body", "queue"}[r]
}

func (s *callerServer) countClosed(r closeReason) { s.closedFor[r].Add(1) }

// takeClosed returns how many connections were closed for each reason since the last call.
func (s *callerServer) takeClosed() map[string]int64 {
	closed := map[string]int64{}
	for r := range closeReasons {
		if n := s.closedFor[r].Swap(0); n > 0 {
			closed[r.String()] = n
		}
	}
	return closed
}

// connectionCount returns the number of open connections.
func (s *callerServer) connectionCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.connections)
}

// awaitRoom waits until the connections are within their limit. It closes stalled ones first, then the longest
// idle ones, and does not wait while the server stops.
func (s *callerServer) awaitRoom() {
	for s.maxConnections > 0 && s.connectionCount() > s.maxConnections && !s.stopping.Load() {
		if !s.closeOne(time.Now()) {
			time.Sleep(roomPollInterval)
		}
	}
}

// closeOne closes the connection that is the first in the order of eviction, or ends the call with the slowest
// body if no connection has stalled. It reports whether a connection was closed.
func (s *callerServer) closeOne(now time.Time) bool {
	if s.closeRanked(now, stalled) {
		s.countClosed(closedAsStalled)
		return true
	}
	if s.dropSlowestBody != nil && s.dropSlowestBody() {
		s.countClosed(closedForBody)
		return false // its connection is closed in a moment
	}
	if s.closeRanked(now, idleBetweenCalls) {
		s.countClosed(closedAsIdle)
		return true
	}
	return false
}

// closeRanked closes the first connection of a rank for which no bytes have arrived that are not read yet, and
// reports whether there was one.
func (s *callerServer) closeRanked(now time.Time, wanted evictionRank) bool {
	type candidate struct {
		connection *callerConnection
		state      connectionState
	}
	var candidates []candidate
	s.mutex.Lock()
	for c := range s.connections {
		state := c.state(now)
		if rank, _ := state.rank(); rank == wanted {
			candidates = append(candidates, candidate{c, state})
		}
	}
	s.mutex.Unlock()
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.state.closedBefore(b.state):
			return -1
		case b.state.closedBefore(a.state):
			return 1
		}
		return 0
	})
	for _, c := range candidates {
		if c.connection.evict(c.state) {
			return true
		}
	}
	return false
}

// limitQueued closes stalled connections while the bytes that wait in the system's buffers exceed their bound.
func (s *callerServer) limitQueued(now time.Time) {
	if s.maxQueuedBytes <= 0 {
		return
	}
	s.mutex.Lock()
	connections := slices.Collect(maps.Keys(s.connections))
	s.mutex.Unlock()
	total := 0
	queued := map[*callerConnection]int{}
	for _, c := range connections {
		bytes := queuedBytes(c.Conn)
		total += bytes
		if rank, _ := c.state(now).rank(); rank == stalled && bytes > 0 {
			queued[c] = bytes
		}
	}
	stalledConnections := slices.SortedFunc(maps.Keys(queued), func(a, b *callerConnection) int { return queued[b] - queued[a] })
	for _, c := range stalledConnections {
		if total <= s.maxQueuedBytes {
			return
		}
		if c.evict(c.state(now)) {
			s.countClosed(closedForQueue)
			total -= queued[c]
		}
	}
}

// queuedBytes returns the number of bytes that wait in the system's buffers of a connection.
func queuedBytes(c net.Conn) int {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	total := 0
	// On an error the connection is closed, and nothing waits.
	_ = raw.Control(func(fd uintptr) {
		for _, request := range []uint{unix.TIOCINQ, unix.TIOCOUTQ} {
			if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
				total += n
			}
		}
	})
	return total
}

// setListener sets the listener whose connections serve will accept. From then on, a shutdown waits
// for them, even if serve has not begun.
func (s *callerServer) setListener(l net.Listener) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listener = l
}

// serve accepts connections until the listener is closed.
func (s *callerServer) serve() {
	defer close(s.accepted)
	s.mutex.Lock()
	l := s.listener
	s.mutex.Unlock()
	if err := s.server.Serve(callerListener{l, s}); !errors.Is(err, http.ErrServerClosed) && !s.stopping.Load() {
		s.log.Error("listener failed", zap.String("listener", "callers"), zap.Error(err))
	}
}

// beginShutdown makes each response tell its caller to close the connection. The listener
// stays open, since connections arrive until the platform has noticed that the daemon is
// not ready. Idle connections stay open too, since a call may be in transit on them.
func (s *callerServer) beginShutdown() {
	s.stopping.Store(true)
}

// shutdown closes the listener and the idle connections, and waits for the calls that are
// being served or read. Connections that are accepted meanwhile are treated alike. The HTTP
// library's Shutdown runs last, since it drops calls whose heads are being read. On a context
// error, calls may still be running.
func (s *callerServer) shutdown(ctx context.Context) error {
	s.awaitAccepted(ctx)
	if s.closeListener() {
		select {
		case <-s.accepted:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for headDeadline := time.Now().Add(shutdownHeadTimeout); ; {
		s.closeIdle()
		if !s.hasCalls(time.Now().Before(headDeadline)) {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPollInterval):
		}
	}
	s.abortUnfinished()
	return s.server.Shutdown(ctx)
}

// awaitAccepted waits for a short time until the connections that callers have opened are accepted:
// the system resets those that wait when the listener closes, with the calls that were sent on them.
func (s *callerServer) awaitAccepted(ctx context.Context) {
	s.mutex.Lock()
	listener := s.listener
	s.mutex.Unlock()
	for end := time.Now().Add(shutdownAcceptTimeout); time.Now().Before(end) && ctx.Err() == nil && hasPendingConnections(listener); {
		time.Sleep(time.Millisecond)
	}
}

// hasPendingConnections reports whether connections wait to be accepted.
func hasPendingConnections(l net.Listener) bool {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	// On an error the listener is closed, and nothing waits.
	_ = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = err == nil && n > 0
	})
	return pending
}

// closeListener reports whether there is a listener.
func (s *callerServer) closeListener() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener == nil {
		return false
	}
	// The listener accepts nothing more even if Close returns an error.
	_ = s.listener.Close()
	return true
}

// closeIdle closes the connections that have received no byte of a call.
func (s *callerServer) closeIdle() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.connections {
		c.closeIfIdle()
	}
}

// abortUnfinished closes connections whose request heads have not arrived in time.
func (s *callerServer) abortUnfinished() {
	s.mutex.Lock()
	unfinished := slices.Collect(maps.Keys(s.connections))
	s.mutex.Unlock()
	for _, c := range unfinished {
		if c.currentPhase() != inCall {
			// The connection is closed even if Close returns an error.
			_ = c.abort()
		}
	}
}

// hasCalls reports whether a call is being served or, with includeHeads, may have arrived in part.
// Connections on which nothing has arrived must have been closed.
func (s *callerServer) hasCalls(includeHeads bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if includeHeads {
		return len(s.connections) > 0
	}
	for c := range s.connections {
		if c.currentPhase() == inCall {
			return true
		}
	}
	return false
}

func (s *callerServer) close() error { return s.server.Close() }
