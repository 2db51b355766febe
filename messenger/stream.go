package messenger

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunkBytes is the most that is read or written of a message at a time.
const chunkBytes = 64 << 10

// maxQueuedMessages bounds the send queue of one connection.
const maxQueuedMessages = 256

var (
	errTooLarge   = errors.New("message exceeds the size limit")
	errConnClosed = errors.New("connection closed")
	errQueueFull  = errors.New("send queue still full after the stall timeout")
)

// objectStream is a jsonrpc2.ObjectStream of length-prefixed JSON. A separate goroutine
// writes, so that two peers that reply to each other cannot deadlock; it batches queued
// messages into one write.
type objectStream struct {
	conn            net.Conn
	reader          *bufio.Reader
	queue           chan queuedMessage
	done            chan struct{}
	once            sync.Once
	maxMessageBytes int
	stallTimeout    time.Duration
	counters        *counters
	peerConn        *peerConn
	// writing is set during a write, which has a deadline of its own; a stall is not
	// checked then.
	writing atomic.Bool
	// lastLargeWrite is the time, in Unix nanoseconds, of the last write of a chunk of a message
	// that has several. The peer has nothing to reply to before the message has arrived.
	lastLargeWrite atomic.Int64
}

func newObjectStream(conn net.Conn, settings Settings, counters *counters, c *peerConn) *objectStream {
	return &objectStream{
		conn: conn, reader: bufio.NewReader(conn), queue: make(chan queuedMessage, maxQueuedMessages),
		done: make(chan struct{}), maxMessageBytes: settings.MaxMessageBytes, stallTimeout: settings.StallTimeout,
		counters: counters, peerConn: c,
	}
}

// queuedMessage is an encoded message, or a function to be called once all messages before it have been written
// or dropped.
type queuedMessage struct {
	data    []byte
	written func()
}

// whenWritten calls a function once the messages that are queued have been written or dropped.
func (s *objectStream) whenWritten(call func()) {
	select {
	case <-s.done:
		call()
		return
	case s.queue <- queuedMessage{written: call}:
	}
	select {
	case <-s.done:
		// The writer may have ended before.
		s.dropQueued()
	default:
	}
}

// dropQueued drops the queued messages of a closed stream.
func (s *objectStream) dropQueued() {
	for {
		select {
		case m := <-s.queue:
			if m.written != nil {
				m.written()
			}
		default:
			return
		}
	}
}

// WriteObject queues a message. It blocks while the queue is full, and closes the
// stream after the stall timeout.
func (s *objectStream) WriteObject(object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(data) > s.maxMessageBytes {
		return fmt.Errorf("%w: %d bytes", errTooLarge, len(data))
	}
	var prefix [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(prefix[:], uint64(len(data)))
	message := queuedMessage{data: append(prefix[:n:n], data...)}
	select {
	case <-s.done:
		return errConnClosed
	case s.queue <- message:
		return nil
	default:
	}
	timer := time.NewTimer(s.stallTimeout)
	defer timer.Stop()
	select {
	case <-s.done:
		return errConnClosed
	case s.queue <- message:
		return nil
	case <-timer.C:
		s.Close()
		return errQueueFull
	}
}

// write writes queued messages until the stream is closed.
func (s *objectStream) write() {
	defer s.dropQueued()
	defer s.Close()
	writer := bufio.NewWriter(s.conn)
	for {
		select {
		case <-s.done:
			return
		case message := <-s.queue:
			if err := s.writeBatch(writer, message); err != nil {
				return
			}
		}
	}
}

// writeBatch writes a message and those queued meanwhile, and flushes.
func (s *objectStream) writeBatch(writer *bufio.Writer, message queuedMessage) error {
	s.writing.Store(true)
	defer s.writing.Store(false)
	for {
		if message.written != nil {
			message.written()
		} else {
			if err := s.writeChunks(writer, message.data); err != nil {
				return err
			}
			s.counters.sentMessages.Add(1)
			s.peerConn.markSent()
		}
		select {
		case message = <-s.queue:
		default:
			return writer.Flush()
		}
	}
}

// writeChunks sets a new write deadline for each chunk, so that a large message may take
// long on a slow connection as long as it makes progress.
func (s *objectStream) writeChunks(writer *bufio.Writer, message []byte) error {
	large := len(message) > chunkBytes
	for len(message) > 0 {
		if err := s.conn.SetWriteDeadline(time.Now().Add(s.stallTimeout)); err != nil {
			return err
		}
		n := min(len(message), chunkBytes)
		if _, err := writer.Write(message[:n]); err != nil {
			return err
		}
		message = message[n:]
		if large {
			s.lastLargeWrite.Store(time.Now().UnixNano())
		}
	}
	return nil
}

// ReadObject reads the next message into object.
func (s *objectStream) ReadObject(object any) error {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if size > uint64(s.maxMessageBytes) {
		return fmt.Errorf("%w: %d bytes", errTooLarge, size)
	}
	data, err := s.readBody(int(size))
	if err != nil {
		return err
	}
	s.counters.receivedMessages.Add(1)
	s.peerConn.markReceived()
	return json.Unmarshal(data, object)
}

// readBody reads in chunks: the buffer grows with the bytes received, not with the
// length that the peer claims, and each chunk restarts the stall timeout.
func (s *objectStream) readBody(size int) ([]byte, error) {
	data := make([]byte, 0, min(size, chunkBytes))
	for len(data) < size {
		n := min(size-len(data), chunkBytes)
		start := len(data)
		data = append(data, make([]byte, n)...)
		if _, err := io.ReadFull(s.reader, data[start:]); err != nil {
			return nil, err
		}
		s.peerConn.markReceived()
	}
	return data, nil
}

// Close closes the connection and drops queued messages.
func (s *objectStream) Close() error {
	s.once.Do(func() {
		close(s.done)
		s.conn.Close()
	})
	return nil
}

// countingConn counts the bytes of a connection. It is used below TLS, so it counts
// encrypted bytes.
type countingConn struct {
	net.Conn
	counters *counters
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.receivedBytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.sentBytes.Add(int64(n))
	return n, err
}
