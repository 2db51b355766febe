package forwarder

import (
	"bufio"
	"bytes"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

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
	raw    []byte
	data   []byte
}

// NewEventReader returns a reader for the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, readBufferBytes)}
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
		r.raw = append(r.raw, fragment...)
		if len(r.raw) > maxEventBytes {
			return nil, NewError("read event", KindBroken, bufio.ErrTooLong)
		}
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
