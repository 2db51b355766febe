package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errNoMemory = errors.New("no memory for the event")

// Event is one event of a stream (text/event-stream).
type Event struct {
	// Raw is the whole event with its closing empty line. It is valid until the next
	// call of Next.
	Raw []byte
	// ID is the event's ID, empty when it has none.
	ID string
	// Data is the event's data, with its lines joined by line feeds. It is valid until the
	// next call of Next.
	Data []byte
	// HasData distinguishes an event with empty data from an event without data.
	HasData bool
}

// EventReader reads the events of a stream one at a time.
type EventReader struct {
	reader *bufio.Reader
	grow   func(size int) bool
	raw    []byte
	data   []byte
}

// NewEventReader returns a reader for the events in r. It calls grow before an event takes more
// memory, with the size that the reader's buffers will have at most, and fails if grow returns false.
func NewEventReader(r io.Reader, grow func(size int) bool) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, readBufferBytes), grow: grow}
}

// Next returns the next complete event. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF when the stream ends within an event.
func (r *EventReader) Next() (Event, error) {
	r.raw, r.data = r.raw[:0], r.data[:0]
	var e Event
	for {
		line, err := r.readLine()
		if err == io.EOF && len(bytes.Trim(r.raw, "\r\n")) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if len(r.raw) <= 2 {
				// An empty line between events belongs to the one that follows.
				continue
			}
			e.Raw, e.Data = r.raw, r.data
			return e, nil
		}
		r.parseField(&e, line)
	}
}

// readLine appends the next line to the raw event and returns it without its line ending.
func (r *EventReader) readLine() ([]byte, error) {
	start := len(r.raw)
	for {
		fragment, err := r.reader.ReadSlice('\n')
		if len(r.raw)+len(fragment) > maxEventBytes {
			return nil, NewError("read event", KindBroken, bufio.ErrTooLong)
		}
		// The data of an event is at most as large as the event. Appending may double a buffer.
		if len(r.raw)+len(fragment) > cap(r.raw) && !r.grow(4*(len(r.raw)+len(fragment))) {
			return nil, NewError("read event", KindBroken, errNoMemory)
		}
		r.raw = append(r.raw, fragment...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimSuffix(bytes.TrimSuffix(r.raw[start:], []byte("\n")), []byte("\r")), nil
	}
}

// parseField adds the field in the line to the event.
func (r *EventReader) parseField(e *Event, line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.ID = string(value)
	case "data":
		if e.HasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		e.HasData = true
	}
}
