package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// client sends a user's requests to the daemons in turn, as the load balancer of a
// platform does.
type client struct {
	key     string
	daemons []daemon
	next    *atomic.Int64
	http    *http.Client
}

// request is one call of a program.
type request struct {
	method, path string
	body         any
	program      string
	parent       string
	key          string
	step         int
	end          bool
	stream       bool
}

// response is the answer to a request that was done.
type response struct {
	program string
	step    int
	text    string
	body    []byte
}

// failure is the error of an answer.
type failure struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Outcome      string `json:"outcome"`
	RetryAfterMs int    `json:"retryAfterMs"`
	Program      string `json:"program"`
	partial      string
}

// Error formats the failure.
func (f *failure) Error() string { return fmt.Sprintf("%s (%s): %s", f.Code, f.Outcome, f.Message) }

// patience bounds the retries of one call: longer than a takeover.
const patience = 25 * time.Second

// permanent are the codes for which another try is useless.
var permanent = map[string]bool{
	"budgetExceeded": true, "programEnded": true, "historyMismatch": true, "stepConflict": true,
	"stepOutOfOrder": true, server.CodeInvalidRequest: true, "programNotFound": true, server.CodeForbidden: true,
}

// call sends a request until it is done, for as long as its repetition is safe:
// every request names its step, so a repetition gets the recorded answer.
func (c *client) call(ctx context.Context, r request) (response, *failure) {
	deadline := time.Now().Add(patience)
	var last *failure
	var partial string
	unknown := 0
	for {
		answer, f := c.send(ctx, r)
		if f == nil {
			if !strings.HasPrefix(answer.text, partial) {
				return answer, &failure{Code: "mixed", Outcome: server.OutcomeDone, Message: "the repeated answer differs from what was streamed before"}
			}
			return answer, nil
		}
		if len(f.partial) > len(partial) {
			partial = f.partial
		}
		last = f
		// The outcome of a call that may not be repeated stays unknown once it is
		// recorded as such.
		if f.Outcome == server.OutcomeUnknown && f.Code != "connection" {
			unknown++
		}
		if permanent[f.Code] || unknown > 1 && r.path != chatPath || time.Now().After(deadline) || ctx.Err() != nil {
			return response{}, last
		}
		emulator.Sleep(ctx, time.Duration(min(max(f.RetryAfterMs, 100), 2000))*time.Millisecond)
	}
}

const chatPath = "/v1/chat/completions"

func (c *client) send(ctx context.Context, r request) (response, *failure) {
	lost := func(err error, outcome string) (response, *failure) {
		return response{}, &failure{Code: "connection", Outcome: outcome, Message: err.Error()}
	}
	data, err := json.Marshal(r.body)
	if err != nil {
		return lost(err, server.OutcomeNotRun)
	}
	d := c.daemons[int(c.next.Add(1))%len(c.daemons)]
	message, err := http.NewRequestWithContext(ctx, r.method, "http://"+d.caller+r.path, bytes.NewReader(data))
	if err != nil {
		return lost(err, server.OutcomeNotRun)
	}
	message.GetBody = nil
	message.Header.Set("Authorization", "Bearer "+c.key)
	message.Header.Set("Content-Type", "application/json")
	for name, value := range map[string]string{
		server.HeaderProgram: r.program, server.HeaderParentProgram: r.parent, server.HeaderIdempotencyKey: r.key,
	} {
		if value != "" {
			message.Header.Set(name, value)
		}
	}
	if r.step > 0 && (r.program != "" || r.step == 1) {
		message.Header.Set(server.HeaderStep, strconv.Itoa(r.step))
	}
	if r.end {
		message.Header.Set(server.HeaderEndProgram, "true")
	}
	answer, err := c.http.Do(message)
	if err != nil {
		return lost(err, server.OutcomeUnknown)
	}
	defer func() { _ = answer.Body.Close() }()
	result := response{program: answer.Header.Get(server.HeaderProgram)}
	result.step, _ = strconv.Atoi(answer.Header.Get(server.HeaderStep))
	if answer.StatusCode == http.StatusOK && r.stream {
		return c.readStream(answer.Body, result)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return lost(err, server.OutcomeUnknown)
	}
	if answer.StatusCode != http.StatusOK {
		var e struct{ Error failure }
		if err := json.Unmarshal(body, &e); err != nil {
			return lost(fmt.Errorf("status %d: %s", answer.StatusCode, body), server.OutcomeUnknown)
		}
		return response{}, &e.Error
	}
	result.body = body
	if r.path == chatPath {
		var completion struct {
			Choices []struct{ Message provider.ChatMessage }
		}
		if err := json.Unmarshal(body, &completion); err != nil || len(completion.Choices) != 1 {
			return lost(fmt.Errorf("malformed completion: %s", body), server.OutcomeUnknown)
		}
		result.text = completion.Choices[0].Message.Content
	}
	return result, nil
}

// streamEvent is one server-sent event.
type streamEvent struct {
	Choices []struct {
		Delta struct{ Content string }
	}
	Outcome *struct {
		Outcome string
		Program string
		Step    int
	} `json:"dogwoodweir"`
	Error *failure
}

func (c *client) readStream(body io.Reader, result response) (response, *failure) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			break
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Delta.Content)
		}
		if event.Error != nil {
			event.Error.partial = text.String()
			return response{}, event.Error
		}
		if event.Outcome != nil {
			result.program, result.step, result.text = event.Outcome.Program, event.Outcome.Step, text.String()
			return result, nil
		}
	}
	return response{}, &failure{
		Code: "connection", Outcome: server.OutcomeUnknown, Message: "the stream broke", Program: result.program,
		partial: text.String(),
	}
}
