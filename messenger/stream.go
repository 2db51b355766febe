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

// pieceBytes is the part of a message that is read or written at a time.
const pieceBytes = 64 << 10

// sendQueue is the number of messages that may wait on one connection.
const sendQueue = 256

var (
	errTooLarge    = errors.New("message exceeds the limit")
	errConnClosed  = errors.New("connection closed")
	errSendBlocked = errors.New("peer accepts no bytes")
)

// stream is a jsonrpc2.ObjectStream of length-prefixed JSON. A writer goroutine
// owns writing, so that two ends that answer each other never block each other,
// and messages that wait together share one write.
type stream struct {
	conn     net.Conn
	reader   *bufio.Reader
	queue    chan []byte
	done     chan struct{}
	once     sync.Once
	limit    int
	silence  time.Duration
	counters *counters
	link     *link
	// writing is set while a write is under way; its deadline then bounds silence.
	writing atomic.Bool
}

func newStream(conn net.Conn, settings Settings, counters *counters, l *link) *stream {
	return &stream{
		conn: conn, reader: bufio.NewReader(conn), queue: make(chan []byte, sendQueue),
		done: make(chan struct{}), limit: settings.MaxMessageBytes, silence: settings.StallTimeout,
		counters: counters, link: l,
	}
}

// WriteObject queues a message; it blocks while the queue is full.
func (s *stream) WriteObject(object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(data) > s.limit {
		return fmt.Errorf("%w: %d bytes", errTooLarge, len(data))
	}
	var prefix [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(prefix[:], uint64(len(data)))
	message := append(prefix[:n:n], data...)
	select {
	case <-s.done:
		return errConnClosed
	case s.queue <- message:
		return nil
	default:
	}
	timer := time.NewTimer(s.silence)
	defer timer.Stop()
	select {
	case <-s.done:
		return errConnClosed
	case s.queue <- message:
		return nil
	case <-timer.C:
		s.Close()
		return errSendBlocked
	}
}

// write sends queued messages until the stream is closed.
func (s *stream) write() {
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

func (s *stream) writeBatch(writer *bufio.Writer, message []byte) error {
	s.writing.Store(true)
	defer s.writing.Store(false)
	for {
		if err := s.writePieces(writer, message); err != nil {
			return err
		}
		s.counters.sentMessages.Add(1)
		s.link.touchSent()
		select {
		case message = <-s.queue:
		default:
			return writer.Flush()
		}
	}
}

// writePieces gives each piece its own deadline: a large message may take long on
// a slow link as long as it makes progress.
func (s *stream) writePieces(writer *bufio.Writer, message []byte) error {
	for len(message) > 0 {
		if err := s.conn.SetWriteDeadline(time.Now().Add(s.silence)); err != nil {
			return err
		}
		n := min(len(message), pieceBytes)
		if _, err := writer.Write(message[:n]); err != nil {
			return err
		}
		message = message[n:]
	}
	return nil
}

// ReadObject reads the next message into object.
func (s *stream) ReadObject(object any) error {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if size > uint64(s.limit) {
		return fmt.Errorf("%w: %d bytes", errTooLarge, size)
	}
	data, err := s.readBody(int(size))
	if err != nil {
		return err
	}
	s.counters.receivedMessages.Add(1)
	s.link.touchReceived()
	return json.Unmarshal(data, object)
}

// readBody reads in pieces: memory grows with the bytes received, not with the
// length that the peer claims, and each piece proves that the peer is alive.
func (s *stream) readBody(size int) ([]byte, error) {
	data := make([]byte, 0, min(size, pieceBytes))
	for len(data) < size {
		n := min(size-len(data), pieceBytes)
		start := len(data)
		data = append(data, make([]byte, n)...)
		if _, err := io.ReadFull(s.reader, data[start:]); err != nil {
			return nil, err
		}
		s.link.touchReceived()
	}
	return data, nil
}

// Close closes the connection; messages still queued are dropped.
func (s *stream) Close() error {
	s.once.Do(func() {
		close(s.done)
		s.conn.Close()
	})
	return nil
}

// countingConn counts the bytes of a connection, below TLS.
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
