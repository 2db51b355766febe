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

// client distributes a user's requests over the daemons round robin, as the load
// balancer of a platform does.
type client struct {
	apiKey  string
	daemons []daemon
	next    *atomic.Int64
	http    *http.Client
}

// request is one call of a program.
type request struct {
	method, path   string
	body           any
	program        string
	parent         string
	idempotencyKey string
	step           int
	endProgram     bool
	stream         bool
}

// response is the response to a request that succeeded.
type response struct {
	program string
	step    int
	text    string
	body    []byte
}

// callError is the error of a call: one that a daemon returned, or one of the client with
// the code "connection" or "mixed".
type callError struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Outcome      string `json:"outcome"`
	RetryAfterMs int    `json:"retryAfterMs"`
	Program      string `json:"program"`
	// partialText is the text that was streamed before the error.
	partialText string
}

// Error returns the code, the outcome and the message.
func (e *callError) Error() string { return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message) }

// retryTimeout bounds the retries of one call. It exceeds the time in which another
// daemon takes over the shards of a failed one.
const retryTimeout = 25 * time.Second

// permanentCodes are the error codes after which a retry cannot succeed.
var permanentCodes = map[string]bool{
	"budgetExceeded": true, "programEnded": true, "historyMismatch": true, "stepConflict": true,
	"stepOutOfOrder": true, server.CodeInvalidRequest: true, "programNotFound": true, server.CodeForbidden: true,
}

// call sends a request and retries it until it succeeds, fails permanently or the retry
// timeout has passed. A retry is safe because every request has its step: a step that is
// done already gets the recorded response.
func (c *client) call(ctx context.Context, r request) (response, *callError) {
	deadline := time.Now().Add(retryTimeout)
	var last *callError
	var streamed string
	unknownOutcomes := 0
	for {
		result, callErr := c.send(ctx, r)
		if callErr == nil {
			if !strings.HasPrefix(result.text, streamed) {
				return result, &callError{Code: "mixed", Outcome: server.OutcomeDone, Message: "the response to a retry does not start with the text streamed before"}
			}
			return result, nil
		}
		if len(callErr.partialText) > len(streamed) {
			streamed = callErr.partialText
		}
		last = callErr
		// A daemon that records the outcome of a non-repeatable call as unknown returns
		// this outcome to every retry.
		if callErr.Outcome == server.OutcomeUnknown && callErr.Code != "connection" {
			unknownOutcomes++
		}
		if permanentCodes[callErr.Code] || unknownOutcomes > 1 && r.path != chatPath || time.Now().After(deadline) || ctx.Err() != nil {
			return response{}, last
		}
		emulator.Sleep(ctx, time.Duration(min(max(callErr.RetryAfterMs, 100), 2000))*time.Millisecond)
	}
}

const chatPath = "/v1/chat/completions"

// send sends a request to the next daemon and reads the response.
func (c *client) send(ctx context.Context, r request) (response, *callError) {
	connectionError := func(err error, outcome string) (response, *callError) {
		return response{}, &callError{Code: "connection", Outcome: outcome, Message: err.Error()}
	}
	data, err := json.Marshal(r.body)
	if err != nil {
		return connectionError(err, server.OutcomeNotRun)
	}
	d := c.daemons[int(c.next.Add(1))%len(c.daemons)]
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+d.callerAddress+r.path, bytes.NewReader(data))
	if err != nil {
		return connectionError(err, server.OutcomeNotRun)
	}
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Authorization", "Bearer "+c.apiKey)
	httpRequest.Header.Set("Content-Type", "application/json")
	for name, value := range map[string]string{
		server.HeaderProgram: r.program, server.HeaderParentProgram: r.parent, server.HeaderIdempotencyKey: r.idempotencyKey,
	} {
		if value != "" {
			httpRequest.Header.Set(name, value)
		}
	}
	if r.step > 0 && (r.program != "" || r.step == 1) {
		httpRequest.Header.Set(server.HeaderStep, strconv.Itoa(r.step))
	}
	if r.endProgram {
		httpRequest.Header.Set(server.HeaderEndProgram, "true")
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return connectionError(err, server.OutcomeUnknown)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	result := response{program: httpResponse.Header.Get(server.HeaderProgram)}
	result.step, _ = strconv.Atoi(httpResponse.Header.Get(server.HeaderStep))
	if httpResponse.StatusCode == http.StatusOK && r.stream {
		return c.readStream(httpResponse.Body, result)
	}
	body, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return connectionError(err, server.OutcomeUnknown)
	}
	if httpResponse.StatusCode != http.StatusOK {
		var e struct{ Error callError }
		if err := json.Unmarshal(body, &e); err != nil {
			return connectionError(fmt.Errorf("status %d: %s", httpResponse.StatusCode, body), server.OutcomeUnknown)
		}
		return response{}, &e.Error
	}
	result.body = body
	if r.path == chatPath {
		var completion struct {
			Choices []struct{ Message provider.ChatMessage }
		}
		if err := json.Unmarshal(body, &completion); err != nil || len(completion.Choices) != 1 {
			return connectionError(fmt.Errorf("malformed completion: %s", body), server.OutcomeUnknown)
		}
		result.text = completion.Choices[0].Message.Content
	}
	return result, nil
}

// streamEvent is one server-sent event of a streamed response.
type streamEvent struct {
	Choices []struct {
		Delta struct{ Content string }
	}
	Outcome *struct {
		Outcome string
		Program string
		Step    int
	} `json:"dogwoodweir"`
	Error *callError
}

// readStream reads a streamed response up to the event with its outcome. If the stream
// ends before, it returns an error with the text read so far.
func (c *client) readStream(body io.Reader, result response) (response, *callError) {
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
			event.Error.partialText = text.String()
			return response{}, event.Error
		}
		if event.Outcome != nil {
			result.program, result.step, result.text = event.Outcome.Program, event.Outcome.Step, text.String()
			return result, nil
		}
	}
	return response{}, &callError{
		Code: "connection", Outcome: server.OutcomeUnknown, Message: "the stream ended before the outcome", Program: result.program,
		partialText: text.String(),
	}
}
