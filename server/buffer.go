package server

import (
	"sync"
	"time"
)

// ResponseBuffer joins the chunks of one response that arrive faster than they are
// read. Its size is bounded by the length of the response, which the token limit
// bounds.
type ResponseBuffer struct {
	mu sync.Mutex
	// chunk holds the program and the step that are known so far.
	chunk    Chunk
	text     []byte
	response *Response
	signal   chan struct{}
}

// NewResponseBuffer returns an empty buffer.
func NewResponseBuffer() *ResponseBuffer { return &ResponseBuffer{signal: make(chan struct{}, 1)} }

// Add appends a chunk; it never blocks.
func (b *ResponseBuffer) Add(c Chunk) {
	b.mu.Lock()
	b.text = append(b.text, c.Text...)
	if c.Program != "" {
		b.chunk.Program = c.Program
	}
	b.chunk.Step = max(b.chunk.Step, c.Step)
	b.mu.Unlock()
	b.wake()
}

// Finish sets the response that ends the call. Later responses are ignored.
func (b *ResponseBuffer) Finish(response Response) {
	b.mu.Lock()
	if b.response == nil {
		b.response = &response
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

// Next waits for text or the response, at most for the timeout. It returns the text
// since the last call of Next, the program and step as far as they are known, and
// the response, which is nil until the call has ended.
func (b *ResponseBuffer) Next(timeout time.Duration) (Chunk, *Response) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		b.mu.Lock()
		chunk, response := b.chunk, b.response
		chunk.Text = string(b.text)
		b.text = b.text[:0]
		b.mu.Unlock()
		if chunk.Text != "" || response != nil {
			return chunk, response
		}
		select {
		case <-b.signal:
		case <-timer.C:
			return chunk, nil
		}
	}
}
