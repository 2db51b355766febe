package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBufferBytes is enough for the head of a response and for most events.
const readBufferBytes = 4096

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

var errHeadTooLarge = errors.New("head of the response exceeds the size limit")

// headLimiter reads from a connection and fails once a head exceeds its limit.
type headLimiter struct {
	reader io.Reader
	// inHead is set while a head is read, of which remaining bytes are still allowed.
	inHead    bool
	remaining int
}

func (l *headLimiter) begin() { l.inHead, l.remaining = true, maxHeadBytes }
func (l *headLimiter) end()   { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// connection is an open connection to a target.
type connection struct {
	net.Conn
	// reader buffers what limiter reads from the connection.
	reader  *bufio.Reader
	limiter *headLimiter
	// target is the ID of the target for which the connection was opened.
	target string
	// idleUntil is the time from which the connection must not be used again.
	idleUntil time.Time
	reused    bool
	// open counts the open connections of the pool, of which this one is none once closed is set.
	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *connection) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// pool keeps idle connections by target ID.
type pool struct {
	options Options
	dialer  net.Dialer
	mutex   sync.Mutex
	idle    map[string][]*connection
	opened  int64
	open    atomic.Int64
}

func newPool(options Options) *pool {
	p := &pool{options: options, idle: map[string][]*connection{}}
	p.dialer = net.Dialer{
		Timeout: options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: options.KeepAliveIdle, Interval: options.KeepAliveIdle, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(options.TCPUserTimeout.Milliseconds()))
			})
			return errors.Join(err, failure)
		},
	}
	return p
}

// get returns an idle connection to the target, or a new one. With fresh set it always opens
// a new one.
func (p *pool) get(ctx context.Context, target, address string, fresh bool) (*connection, error) {
	if !fresh {
		if c := p.takeIdle(target); c != nil {
			return c, nil
		}
	}
	if err := p.makeRoom(); err != nil {
		return nil, err
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	p.mutex.Lock()
	p.opened++
	p.mutex.Unlock()
	limiter := &headLimiter{reader: conn}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(limiter, readBufferBytes), limiter: limiter, target: target, open: &p.open}, nil
}

// errNoConnection means that all connections that the pool may have are in use.
var errNoConnection = errors.New("all connections that may be open are in use")

// makeRoom counts a connection that is about to be opened. If the pool has as many as it may have, it closes
// the idle connection that times out first.
func (p *pool) makeRoom() error {
	limit := int64(p.options.MaxConnections)
	for open := p.open.Add(1); limit > 0 && open > limit; open = p.open.Load() {
		if !p.closeOldestIdle() {
			p.open.Add(-1)
			return errNoConnection
		}
	}
	return nil
}

// closeOldestIdle closes the idle connection that times out first, and reports whether there was one.
func (p *pool) closeOldestIdle() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	oldest := ""
	for target, list := range p.idle {
		// The connections of a target are in the order of their use.
		if len(list) > 0 && (oldest == "" || list[0].idleUntil.Before(p.idle[oldest][0].idleUntil)) {
			oldest = target
		}
	}
	if oldest == "" {
		return false
	}
	_ = p.idle[oldest][0].Close()
	p.idle[oldest] = p.idle[oldest][1:]
	return true
}

// takeIdle returns the most recently used idle connection that is still usable, or nil. It
// closes those that are not.
func (p *pool) takeIdle(target string) *connection {
	now := time.Now()
	for {
		p.mutex.Lock()
		list := p.idle[target]
		if len(list) == 0 {
			p.mutex.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[target] = list[:len(list)-1]
		p.mutex.Unlock()
		if now.Before(c.idleUntil) && c.usable() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// InputState is what can be read from a connection without waiting.
type InputState int

const (
	// NoInput means that the connection is open and nothing has arrived.
	NoInput InputState = iota
	// InputWaiting means that bytes have arrived.
	InputWaiting
	// InputEnded means that the peer has closed the connection, or that its state is unknown.
	InputEnded
)

// PeekInput returns what can be read from a connection without waiting. It consumes no bytes.
func PeekInput(c net.Conn) InputState {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return InputEnded
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return InputEnded
	}
	state := InputEnded
	var probe [1]byte
	// Control, unlike Read, does not wait for a goroutine that reads.
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = NoInput
		case err == nil && n > 0:
			state = InputWaiting
		}
	})
	if err != nil {
		return InputEnded
	}
	return state
}

// usable reports whether the connection is open and has nothing to read. Bytes that arrive
// while it is idle belong to no call.
func (c *connection) usable() bool {
	return c.reader.Buffered() == 0 && PeekInput(c.Conn) == NoInput
}

// put keeps a connection for later calls. It closes the oldest ones so that at most limit
// remain.
func (p *pool) put(c *connection, keepAlive time.Duration, limit int) {
	if limit <= 0 {
		_ = c.Close()
		return
	}
	keep := p.options.IdleTimeout
	if keepAlive > 0 {
		keep = min(keep, keepAlive*4/5)
	}
	c.idleUntil = time.Now().Add(keep)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[c.target]
	for len(list) >= limit {
		_ = list[0].Close()
		list = append(list[:0], list[1:]...)
	}
	p.idle[c.target] = append(list, c)
}

// closeStale closes connections that were idle for too long, and all connections to targets
// that are no longer listed.
func (p *pool) closeStale(listed func(target string) bool) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) && listed(target) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}

// closeIdle closes the idle connections to one target.
func (p *pool) closeIdle(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[target] {
		_ = c.Close()
	}
	delete(p.idle, target)
}
