package server

import (
	"bufio"
	"context"
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"
)

// stream answers with server-sent events. The status is chosen when the first
// piece or the answer is there, so that a refusal has its HTTP status; after one
// heartbeat interval of waiting the stream begins with a comment line instead.
func (s *Server) stream(c *fiber.Ctx, call Call) error {
	ctx := context.WithoutCancel(c.Context())
	buffer := NewResponseBuffer()
	var group conc.WaitGroup
	group.Go(func() {
		buffer.Finish(s.core.RunCall(ctx, call, buffer.Add))
	})
	event, answer := buffer.Next(s.heartbeat)
	text := event.Text
	if event.Program != "" {
		call.Program = event.Program
	}
	call.Step = max(call.Step, event.Step)
	if text == "" && answer != nil && answer.Outcome != OutcomeDone {
		group.Wait()
		return s.refuse(c, *answer)
	}
	s.setHeaders(c, Response{Program: call.Program, Step: call.Step})
	if answer != nil {
		s.setHeaders(c, *answer)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer group.Wait()
		s.writeStream(w, call, buffer, text, answer)
	})
	return nil
}

// writeStream writes pieces until the answer. When the caller has gone it stops;
// the call itself continues, and its result can be read by a retry.
func (s *Server) writeStream(w *bufio.Writer, call Call, buffer *ResponseBuffer, text string, answer *Response) {
	for {
		if text != "" {
			writeData(w, deltaOf(call, text))
		}
		if answer != nil {
			writeFinal(w, call, *answer)
			return
		}
		if text == "" {
			_, _ = w.WriteString(": heartbeat\n\n")
		}
		if w.Flush() != nil {
			return
		}
		event, next := buffer.Next(s.heartbeat)
		text, answer = event.Text, next
	}
}

func writeData(w *bufio.Writer, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		return
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
}

type chunkBody struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []chunkChoice    `json:"choices"`
	Usage   *completionUsage `json:"usage,omitempty"`
	Outcome *finalOutcome    `json:"dogwoodweir,omitempty"`
	Error   *errorDetail     `json:"error,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type finalOutcome struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code,omitempty"`
	Program string `json:"program"`
	Step    int    `json:"step"`
}

func chunkOf(call Call) chunkBody {
	return chunkBody{
		ID: "chatcmpl-" + call.ID, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: modelName(call),
	}
}

func deltaOf(call Call, text string) chunkBody {
	body := chunkOf(call)
	body.Choices = []chunkChoice{{Delta: delta{Content: text}}}
	return body
}

func writeFinal(w *bufio.Writer, call Call, answer Response) {
	body := chunkOf(call)
	reason := "stop"
	if answer.Outcome != OutcomeDone {
		reason = "error"
		detail := detailOf(answer)
		body.Error = &detail
	}
	usage := usageOf(answer.Usage)
	body.Choices = []chunkChoice{{FinishReason: &reason}}
	body.Usage = &usage
	body.Outcome = &finalOutcome{Outcome: answer.Outcome, Code: answer.Code, Program: answer.Program, Step: answer.Step}
	writeData(w, body)
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}
