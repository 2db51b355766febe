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
	// Data is the event's data; lines are joined by line feeds. It is valid until the
	// next call of Next.
	Data []byte
	// HasData tells an event with empty data from one without.
	HasData bool
}

// EventReader reads the events of a stream one by one.
type EventReader struct {
	lines *bufio.Reader
	raw   []byte
	data  []byte
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{lines: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next whole event. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF when the stream ends within an event.
func (r *EventReader) Next() (Event, error) {
	r.raw, r.data = r.raw[:0], r.data[:0]
	var e Event
	for {
		line, err := r.line()
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
		r.field(&e, line)
	}
}

// line appends the next line to the raw event and returns it without its line end.
func (r *EventReader) line() ([]byte, error) {
	start := len(r.raw)
	for {
		piece, err := r.lines.ReadSlice('\n')
		r.raw = append(r.raw, piece...)
		if len(r.raw) > maxEventBytes {
			return nil, NewError("event", KindBroken, bufio.ErrTooLong)
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

func (r *EventReader) field(e *Event, line []byte) {
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
