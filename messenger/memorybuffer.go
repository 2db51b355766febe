package messenger

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// memoryBufferBytes is how much one direction of an in-memory connection holds that its receiver
// has not read yet: the default receive buffer of a TCP connection on Linux. Without a buffer,
// heartbeats exceed their write deadline while the receiver decodes a large message.
const memoryBufferBytes = 128 << 10

// memoryBuffer is one direction of an in-memory connection.
type memoryBuffer struct {
	mutex   sync.Mutex
	changed sync.Cond
	data    []byte
	// ended is set when the sender has closed the connection, abandoned when the receiver has.
	ended, abandoned bool
	read, write      memoryDeadline
}

func newMemoryBuffer() *memoryBuffer {
	b := new(memoryBuffer)
	b.changed.L = &b.mutex
	return b
}

// memoryDeadline wakes the goroutines that wait for a buffer when its time has come.
type memoryDeadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *memoryDeadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func (b *memoryBuffer) setDeadline(d *memoryDeadline, t time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	if d.at = t; !t.IsZero() {
		d.timer = time.AfterFunc(time.Until(t), b.wake)
	}
	b.changed.Broadcast()
}

func (b *memoryBuffer) wake() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.changed.Broadcast()
}

// take reads what has arrived; it waits for the first byte.
func (b *memoryBuffer) take(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for {
		switch {
		case b.abandoned:
			return 0, io.ErrClosedPipe
		case b.read.passed():
			return 0, os.ErrDeadlineExceeded
		case len(p) == 0:
			return 0, nil
		case len(b.data) > 0:
			n := copy(p, b.data)
			if b.data = b.data[n:]; len(b.data) == 0 {
				b.data = nil
			}
			b.changed.Broadcast()
			return n, nil
		case b.ended:
			return 0, io.EOF
		}
		b.changed.Wait()
	}
}

// put writes all of p; it waits for room.
func (b *memoryBuffer) put(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	written := 0
	for {
		switch {
		case b.ended || b.abandoned:
			return written, io.ErrClosedPipe
		case b.write.passed():
			return written, os.ErrDeadlineExceeded
		}
		n := min(len(p)-written, memoryBufferBytes-len(b.data))
		if n > 0 {
			b.data = append(b.data, p[written:written+n]...)
			written += n
			b.changed.Broadcast()
		}
		if written == len(p) {
			return written, nil
		}
		b.changed.Wait()
	}
}

// close ends the direction for its sender, or for its receiver, which discards what it has not read.
func (b *memoryBuffer) close(side *bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	*side = true
	if b.abandoned {
		b.data = nil
	}
	b.changed.Broadcast()
}

// memoryPipe is one end of an in-memory connection with a buffer in each direction.
type memoryPipe struct {
	incoming, outgoing *memoryBuffer
	local, remote      memoryAddr
}

// newMemoryPipe returns the two ends of a connection between two addresses.
func newMemoryPipe(a, b string) (first, second *memoryPipe) {
	toA, toB := newMemoryBuffer(), newMemoryBuffer()
	return &memoryPipe{toA, toB, memoryAddr(a), memoryAddr(b)}, &memoryPipe{toB, toA, memoryAddr(b), memoryAddr(a)}
}

var _ net.Conn = (*memoryPipe)(nil)

// Read implements net.Conn.
func (p *memoryPipe) Read(data []byte) (int, error) { return p.incoming.take(data) }

// Write implements net.Conn.
func (p *memoryPipe) Write(data []byte) (int, error) { return p.outgoing.put(data) }

// Close implements net.Conn. The other end still reads what it has not read.
func (p *memoryPipe) Close() error {
	p.SetDeadline(time.Time{})
	p.outgoing.close(&p.outgoing.ended)
	p.incoming.close(&p.incoming.abandoned)
	return nil
}

// LocalAddr implements net.Conn.
func (p *memoryPipe) LocalAddr() net.Addr { return p.local }

// RemoteAddr implements net.Conn.
func (p *memoryPipe) RemoteAddr() net.Addr { return p.remote }

// SetDeadline implements net.Conn.
func (p *memoryPipe) SetDeadline(t time.Time) error {
	p.SetReadDeadline(t)
	return p.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (p *memoryPipe) SetReadDeadline(t time.Time) error {
	p.incoming.setDeadline(&p.incoming.read, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (p *memoryPipe) SetWriteDeadline(t time.Time) error {
	p.outgoing.setDeadline(&p.outgoing.write, t)
	return nil
}
