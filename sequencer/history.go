package sequencer

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// history is an append-only list of messages under a hash chain. The newest
// messages are in memory, older ones in segments in the object store.
type history struct {
	Count int    `json:"count"`
	Chain uint64 `json:"chain"`
	// From is the index of Tail[0].
	From  int                    `json:"from"`
	Tail  []provider.ChatMessage `json:"tail,omitempty"`
	Bytes int                    `json:"bytes"`
	// Total counts the bytes of all messages, those in segments too.
	Total    int           `json:"total"`
	Segments []segmentBody `json:"segments,omitempty"`
}

// pendingSegment is a part of the tail that is on its way to the object store.
type pendingSegment struct {
	body   segmentBody
	stored bool
	sentMs int64
}

// extend continues a chain over messages. Lengths are part of the input, so that
// text cannot move from one message or field to the next unnoticed.
func extend(chain uint64, messages []provider.ChatMessage) uint64 {
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
	h.Chain = extend(h.Chain, messages)
	h.Count += len(messages)
	h.Tail = append(h.Tail, messages...)
	h.Bytes += messageBytes(messages)
	h.Total += messageBytes(messages)
}

// tokens estimates the prompt tokens of the recorded history.
func (h *history) tokens() int {
	if h.Count == 0 {
		return 0
	}
	return (h.Total+promptBytesPerToken*h.Count)/promptBytesPerToken + 1
}

// promptBytesPerToken is the usual ratio of English text, the same that entry
// daemons assume for the messages of a request.
const promptBytesPerToken = 4

// drop removes the messages of a stored segment from the tail.
func (h *history) drop(segment segmentBody) error {
	n := segment.Through - h.From
	if segment.From != h.From || n < 0 || n > len(h.Tail) {
		return fmt.Errorf("segment %d-%d does not continue history at %d", segment.From, segment.Through, h.From)
	}
	h.Bytes -= messageBytes(h.Tail[:n])
	h.Tail = append([]provider.ChatMessage(nil), h.Tail[n:]...)
	h.From = segment.Through
	h.Segments = append(h.Segments, segment)
	return nil
}

// locate returns the text of message i, or the segment that holds it.
func (h *history) locate(i int) (text, segment string, offset int) {
	if i >= h.From && i < h.Count {
		return h.Tail[i-h.From].Content, "", 0
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

// whole reports whether segments and tail cover the history without a gap.
func (h *history) whole() bool {
	at := 0
	for _, s := range h.Segments {
		if s.From != at {
			return false
		}
		at = s.Through
	}
	return at == h.From && h.From+len(h.Tail) == h.Count
}

// newMessages returns the part of a request that is new to the program. It
// reports false when the request's history is not the recorded one.
func (s *State) newMessages(p *program, r CallRequest) ([]provider.ChatMessage, bool) {
	if r.Kind != KindModel || r.Append {
		return r.Messages, true
	}
	h := &p.History
	if len(r.Messages) < h.Count {
		return nil, s.hooks.skipPrefix
	}
	prefix := r.Messages[:h.Count]
	if extend(0, prefix) != h.Chain && !s.hooks.skipPrefix {
		return nil, false
	}
	return r.Messages[h.Count:], true
}

// cutTail sends the older part of a tail that has outgrown its limit to the
// object store. The tail is kept until the segment is recorded.
func (s *State) cutTail(p *program) {
	h := &p.History
	if p.segment != nil || h.Bytes <= s.options.MaxTailBytes {
		return
	}
	n, left := 0, h.Bytes
	for n < len(h.Tail)-1 && left > s.options.MaxTailBytes/2 {
		left -= messageBytes(h.Tail[n : n+1])
		n++
	}
	if n == 0 {
		return
	}
	body := segmentBody{From: h.From, Through: h.From + n}
	body.Name = fmt.Sprintf("history/%s/%06d-%06d-%016x", p.ID, body.From, body.Through, extend(0, h.Tail[:n]))
	p.segment = &pendingSegment{body: body}
	s.sendSegment(p)
}

func (s *State) sendSegment(p *program) {
	body := p.segment.body
	p.segment.sentMs = s.now.UnixMilli()
	messages := append([]provider.ChatMessage(nil), p.History.Tail[:body.Through-body.From]...)
	s.command(StoreSegment{Program: p.ID, Name: body.Name, Messages: messages})
}

func (s *State) segmentStored(m SegmentStored) {
	p := s.program(m.Program)
	if p == nil || p.segment == nil || p.segment.stored || p.segment.body.Name != m.Name {
		return
	}
	p.segment.stored = true
	s.record(p, recordSegment, 0, p.segment.body)
}
