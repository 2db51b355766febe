package server

import (
	"bufio"
	"context"
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"
)

// streamChat runs a call and sends its response as server-sent events. It waits for
// the first text or the end of the call before it sends the status, so that a
// rejected call has its own HTTP status. After one heartbeat interval without either
// it starts the stream with a comment line.
func (s *Server) streamChat(c *fiber.Ctx, call Call) error {
	ctx := context.WithoutCancel(c.Context())
	buffer := NewResponseBuffer()
	var group conc.WaitGroup
	group.Go(func() {
		buffer.Finish(s.daemon.RunCall(ctx, call, buffer.Add))
	})
	chunk, response := buffer.Next(s.heartbeat)
	text := chunk.Text
	if chunk.Program != "" {
		call.Program = chunk.Program
	}
	call.Step = max(call.Step, chunk.Step)
	if text == "" && response != nil && response.Outcome != OutcomeDone {
		group.Wait()
		return s.reject(c, *response)
	}
	s.setResponseHeaders(c, Response{Program: call.Program, Step: call.Step})
	if response != nil {
		s.setResponseHeaders(c, *response)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer group.Wait()
		s.writeStream(w, call, buffer, text, response)
	})
	return nil
}

// writeStream writes chunks until the call ends. It returns early when the caller has
// disconnected; the call itself continues, and a retry can get its response.
func (s *Server) writeStream(w *bufio.Writer, call Call, buffer *ResponseBuffer, text string, response *Response) {
	for {
		if text != "" {
			writeEvent(w, textChunkBody(call, text))
		}
		if response != nil {
			writeFinalChunk(w, call, *response)
			return
		}
		if text == "" {
			_, _ = w.WriteString(": heartbeat\n\n")
		}
		if w.Flush() != nil {
			return
		}
		chunk, next := buffer.Next(s.heartbeat)
		text, response = chunk.Text, next
	}
}

// writeEvent writes value as the JSON data of a server-sent event.
func writeEvent(w *bufio.Writer, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		return
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
}

// chunkBody is the data of one server-sent event of a streamed chat completion.
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

// finalOutcome extends the last chunk beyond the chat completions API.
type finalOutcome struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code,omitempty"`
	Program string `json:"program"`
	Step    int    `json:"step"`
}

func newChunkBody(call Call) chunkBody {
	return chunkBody{
		ID: "chatcmpl-" + call.ID, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: modelName(call),
	}
}

func textChunkBody(call Call, text string) chunkBody {
	body := newChunkBody(call)
	body.Choices = []chunkChoice{{Delta: delta{Content: text}}}
	return body
}

// writeFinalChunk writes the last chunk, with the outcome and the usage of the call,
// and the end marker of the stream.
func writeFinalChunk(w *bufio.Writer, call Call, response Response) {
	body := newChunkBody(call)
	reason := "stop"
	if response.Outcome != OutcomeDone {
		reason = "error"
		detail := errorDetailOf(response)
		body.Error = &detail
	}
	usage := usageOf(response.Usage)
	body.Choices = []chunkChoice{{FinishReason: &reason}}
	body.Usage = &usage
	body.Outcome = &finalOutcome{Outcome: response.Outcome, Code: response.Code, Program: response.Program, Step: response.Step}
	writeEvent(w, body)
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}
