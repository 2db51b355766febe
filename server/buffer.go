package server

import (
	"sync"
	"time"
)

// ResponseBuffer joins the pieces of one answer that arrive faster than they are read. Its
// size is bounded by the answer's length, which the token limit bounds.
type ResponseBuffer struct {
	mu     sync.Mutex
	event  Chunk
	text   []byte
	answer *Response
	signal chan struct{}
}

// NewResponseBuffer returns an empty buffer.
func NewResponseBuffer() *ResponseBuffer { return &ResponseBuffer{signal: make(chan struct{}, 1)} }

// Add appends a piece; it never blocks.
func (b *ResponseBuffer) Add(e Chunk) {
	b.mu.Lock()
	b.text = append(b.text, e.Text...)
	if e.Program != "" {
		b.event.Program = e.Program
	}
	b.event.Step = max(b.event.Step, e.Step)
	b.mu.Unlock()
	b.wake()
}

// Finish sets the answer; only the first one counts.
func (b *ResponseBuffer) Finish(answer Response) {
	b.mu.Lock()
	if b.answer == nil {
		b.answer = &answer
	}
	b.mu.Unlock()
	b.wake()
}

func (b *ResponseBuffer) wake() {
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// Next waits for text or the answer, at most for the timeout. It returns the text
// since the last call, what is known of the program and step, and the answer if it
// is there.
func (b *ResponseBuffer) Next(timeout time.Duration) (Chunk, *Response) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		b.mu.Lock()
		event, answer := b.event, b.answer
		event.Text = string(b.text)
		b.text = b.text[:0]
		b.mu.Unlock()
		if event.Text != "" || answer != nil {
			return event, answer
		}
		select {
		case <-b.signal:
		case <-timer.C:
			return event, nil
		}
	}
}
