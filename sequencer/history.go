package sequencer

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// history is an append-only list of messages with a hash chain. The newest messages
// are in memory, older ones in segments in the object store.
type history struct {
	MessageCount int    `json:"count"`
	Chain        uint64 `json:"chain"`
	// TailStart is the index of Tail[0].
	TailStart int                    `json:"from"`
	Tail      []provider.ChatMessage `json:"tail,omitempty"`
	TailBytes int                    `json:"bytes"`
	// TotalBytes is the size of all messages, including those in segments.
	TotalBytes int           `json:"total"`
	Segments   []segmentBody `json:"segments,omitempty"`
}

// pendingSegment is a part of the tail that is being written to the object store.
type pendingSegment struct {
	body   segmentBody
	stored bool
	sentMs int64
}

// extendChain returns the hash chain extended by messages. The hash covers the length
// of each field, so that moving text between fields or messages changes it.
func extendChain(chain uint64, messages []provider.ChatMessage) uint64 {
	var digest xxhash.Digest
	var number [8]byte
	for _, m := range messages {
		digest.Reset()
		binary.LittleEndian.PutUint64(number[:], chain)
		_, _ = digest.Write(number[:])
		for _, field := range [...]string{m.Role, m.Name, m.Content} {
			binary.LittleEndian.PutUint64(number[:], uint64(len(field)))
			_, _ = digest.Write(number[:])
			_, _ = digest.WriteString(field)
		}
		chain = digest.Sum64()
	}
	return chain
}

func messageBytes(messages []provider.ChatMessage) int {
	n := 0
	for _, m := range messages {
		n += len(m.Role) + len(m.Name) + len(m.Content)
	}
	return n
}

func (h *history) add(messages ...provider.ChatMessage) {
	h.Chain = extendChain(h.Chain, messages)
	h.MessageCount += len(messages)
	h.Tail = append(h.Tail, messages...)
	h.TailBytes += messageBytes(messages)
	h.TotalBytes += messageBytes(messages)
}

// estimateTokens estimates the prompt tokens of the recorded history.
func (h *history) estimateTokens() int {
	if h.MessageCount == 0 {
		return 0
	}
	return (h.TotalBytes+promptBytesPerToken*h.MessageCount)/promptBytesPerToken + 1
}

// promptBytesPerToken is the usual ratio for English text. Entry daemons assume the
// same for the messages of a request.
const promptBytesPerToken = 4

// removeStored removes the messages of a stored segment from the tail and adds the
// segment to the list. It returns an error if the segment does not start the tail.
func (h *history) removeStored(segment segmentBody) error {
	n := segment.Through - h.TailStart
	if segment.From != h.TailStart || n < 0 || n > len(h.Tail) {
		return fmt.Errorf("remove stored segment %d-%d: the tail starts at %d", segment.From, segment.Through, h.TailStart)
	}
	h.TailBytes -= messageBytes(h.Tail[:n])
	h.Tail = append([]provider.ChatMessage(nil), h.Tail[n:]...)
	h.TailStart = segment.Through
	h.Segments = append(h.Segments, segment)
	return nil
}

// locate returns the text of message i, or the segment that holds it and the offset
// in that segment.
func (h *history) locate(i int) (text, segment string, offset int) {
	if i >= h.TailStart && i < h.MessageCount {
		return h.Tail[i-h.TailStart].Content, "", 0
	}
	for _, s := range h.Segments {
		if i >= s.From && i < s.Through {
			return "", s.Name, i - s.From
		}
	}
	return "", "", 0
}

func (h *history) segmentNames() []string {
	var names []string
	for _, s := range h.Segments {
		names = append(names, s.Name)
	}
	return names
}

// isContiguous reports whether segments and tail cover the history without a gap.
func (h *history) isContiguous() bool {
	at := 0
	for _, s := range h.Segments {
		if s.From != at {
			return false
		}
		at = s.Through
	}
	return at == h.TailStart && h.TailStart+len(h.Tail) == h.MessageCount
}

// newMessages returns the messages of a request that follow the recorded history. It
// returns false if the request's history differs from the recorded one.
func (s *State) newMessages(p *program, r CallRequest) ([]provider.ChatMessage, bool) {
	if r.Kind != KindModel || r.Append {
		return r.Messages, true
	}
	h := &p.History
	if len(r.Messages) < h.MessageCount {
		return nil, s.testHooks.skipPrefix
	}
	prefix := r.Messages[:h.MessageCount]
	if extendChain(0, prefix) != h.Chain && !s.testHooks.skipPrefix {
		return nil, false
	}
	return r.Messages[h.MessageCount:], true
}

// offloadTail writes the older part of a tail to the object store when the tail
// exceeds MaxTailBytes. The messages stay in the tail until the segment is recorded.
func (s *State) offloadTail(p *program) {
	h := &p.History
	if p.pendingSegment != nil || h.TailBytes <= s.options.MaxTailBytes {
		return
	}
	n, left := 0, h.TailBytes
	for n < len(h.Tail)-1 && left > s.options.MaxTailBytes/2 {
		left -= messageBytes(h.Tail[n : n+1])
		n++
	}
	if n == 0 {
		return
	}
	body := segmentBody{From: h.TailStart, Through: h.TailStart + n}
	body.Name = fmt.Sprintf("history/%s/%06d-%06d-%016x", p.ID, body.From, body.Through, extendChain(0, h.Tail[:n]))
	p.pendingSegment = &pendingSegment{body: body}
	s.sendSegment(p)
}

func (s *State) sendSegment(p *program) {
	body := p.pendingSegment.body
	p.pendingSegment.sentMs = s.now.UnixMilli()
	messages := append([]provider.ChatMessage(nil), p.History.Tail[:body.Through-body.From]...)
	s.command(StoreSegment{Program: p.ID, Name: body.Name, Messages: messages})
}

func (s *State) segmentStored(m SegmentStored) {
	p := s.program(m.Program)
	if p == nil || p.pendingSegment == nil || p.pendingSegment.stored || p.pendingSegment.body.Name != m.Name {
		return
	}
	p.pendingSegment.stored = true
	s.record(p, recordSegment, 0, p.pendingSegment.body)
}
