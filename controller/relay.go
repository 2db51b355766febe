package controller

import (
	"strings"

	"github.com/dogwoodweir/dogwoodweir/server"
)

// relay passes a streamed answer on to the caller without gap or repeat, also when
// the stream starts anew at another owner.
type relay struct {
	emit     func(server.Chunk)
	sent     strings.Builder
	position int
	diverged bool
}

// restart begins with the answer's first byte again.
func (r *relay) restart() { r.position = 0 }

// add takes the next piece. What the caller has got already is compared and
// skipped.
func (r *relay) add(event server.Chunk) {
	text := event.Text
	event.Text = ""
	if known := r.sent.String()[r.position:]; len(known) > 0 && !r.diverged {
		n := min(len(known), len(text))
		r.diverged = known[:n] != text[:n]
		r.position += n
		text = text[n:]
	}
	if r.diverged {
		return
	}
	if text != "" {
		event.Text = text
		r.sent.WriteString(text)
		r.position += len(text)
	}
	if event.Text != "" || event.Program != "" {
		r.emit(event)
	}
}

// finish emits what is missing of a complete answer. An answer that does not begin
// with what the caller has got is not reported as done.
func (r *relay) finish(answer server.Response) server.Response {
	if answer.Outcome != server.OutcomeDone || answer.Result != nil {
		return answer
	}
	rest, ok := strings.CutPrefix(answer.Text, r.sent.String())
	if r.diverged || !ok {
		answer.Outcome, answer.Code = server.OutcomeUnknown, codeStreamDiverged
		answer.Message = "the answer was generated again and differs; ask again for the step's recorded answer"
		return answer
	}
	if rest != "" {
		r.emit(server.Chunk{Text: rest})
	}
	return answer
}
