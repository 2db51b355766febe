package controller

import (
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// output collects the answer of one call over all of its attempts: a resumed or
// hedged attempt adds only tokens that are not there yet.
type output struct {
	mu     sync.Mutex
	text   strings.Builder
	tokens int
	usage  provider.Usage
	buffer *server.ResponseBuffer
}

// count returns the number of tokens received, by which an attempt resumes.
func (o *output) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tokens
}

// add takes a chunk of an attempt.
func (o *output) add(chunk provider.Chunk) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case chunk.Sequence < o.tokens && !chunk.Final:
		return nil
	case chunk.Sequence != o.tokens:
		return eris.Errorf("token %d where %d was expected", chunk.Sequence, o.tokens)
	case chunk.Final:
		o.usage = chunk.Usage
		return nil
	}
	o.tokens++
	o.text.WriteString(chunk.Text)
	if o.buffer != nil {
		o.buffer.Add(server.Chunk{Text: chunk.Text})
	}
	return nil
}

// result returns the text and the usage.
func (o *output) result() (string, provider.Usage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String(), o.usage
}
