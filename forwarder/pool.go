package forwarder

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBufferBytes holds the head of an answer and most events.
const readBufferBytes = 4096

// connection is an open connection to a target.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// target is the ID of the target for which it was opened.
	target string
	// idleUntil is when the connection must not be used any more.
	idleUntil time.Time
	reused    bool
}

// pool keeps idle connections by target.
type pool struct {
	options Options
	dialer  net.Dialer
	mutex   sync.Mutex
	idle    map[string][]*connection
	opened  int64
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
					int(options.UnackedTimeout.Milliseconds()))
			})
			return errors.Join(err, failure)
		},
	}
	return p
}

// get returns an idle connection to the target, or a new one.
func (p *pool) get(ctx context.Context, target, address string, fresh bool) (*connection, error) {
	if !fresh {
		if c := p.take(target); c != nil {
			return c, nil
		}
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mutex.Lock()
	p.opened++
	p.mutex.Unlock()
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), target: target}, nil
}

// take returns the connection that was used last and is still silent.
func (p *pool) take(target string) *connection {
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
		if now.Before(c.idleUntil) && c.silent() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// silent reports whether the connection is open and has nothing to read. Bytes that
// arrive without a call belong to none.
func (c *connection) silent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var probe [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// put keeps a connection for later calls, in place of the oldest of at most limit.
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

// sweep closes connections that were idle for too long, and all of targets that are
// not listed any more.
func (p *pool) sweep(listed func(target string) bool) {
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

// drop closes the idle connections of one target.
func (p *pool) drop(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[target] {
		_ = c.Close()
	}
	delete(p.idle, target)
}
