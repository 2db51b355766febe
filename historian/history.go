package historian

import (
	"bytes"
	"io"
)

// History is the text of a chain followed by a new input.
type History struct {
	turns []*Turn
	input []byte
	size  int
}

// NewHistory returns the history of a chain, given newest first, and an input.
func NewHistory(turns []*Turn, input []byte) *History {
	h := &History{turns: turns, input: input, size: len(input)}
	for _, t := range turns {
		h.size += t.TextBytes()
	}
	return h
}

// Len returns the size of the text.
func (h *History) Len() int { return h.size }

// Reader returns a reader of the text, oldest turn first. Large turns are inflated while they are read.
func (h *History) Reader() io.Reader {
	readers := make([]io.Reader, 0, len(h.turns)+1)
	for i := len(h.turns) - 1; i >= 0; i-- {
		readers = append(readers, h.turns[i].reader())
	}
	return io.MultiReader(append(readers, bytes.NewReader(h.input))...)
}
