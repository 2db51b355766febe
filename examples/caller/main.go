// Command caller runs one program: a model turn, a call that must not run twice, and a
// last turn that uses the result of that call.
//
// # Usage
//
//	caller -daemon http://127.0.0.1:7000 -key KEY -model drafter -service ledger -path /invoice-numbers
//
// It shows what a caller has to do: number every step, so that any host recognizes a
// repeated request, and decide by the outcome in an error whether to repeat it.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
)

// program is one program: its ID, which the daemon assigns, and its last step.
type program struct {
	daemon string
	key    string
	id     string
	step   int
}

// apiError is the error object in the body of an error response.
type apiError struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Outcome      string `json:"outcome"`
	RetryAfterMs int    `json:"retryAfterMs"`
}

// Error formats the code, the outcome and the message.
func (e *apiError) Error() string { return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message) }

func main() {
	daemon := flag.String("daemon", "http://127.0.0.1:7000", "URL of any daemon")
	key := flag.String("key", "", "bearer key of the client")
	model := flag.String("model", "drafter", "service of kind model")
	service := flag.String("service", "ledger", "service of kind plain")
	path := flag.String("path", "/invoice-numbers", "path of a call that must not run twice")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	p := &program{daemon: *daemon, key: *key}
	if err := p.run(ctx, *model, *service, *path); err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		os.Exit(1)
	}
}

func (p *program) run(ctx context.Context, model, service, path string) error {
	text, err := p.turn(ctx, model, "user", "Draft an invoice for the harbour shoot.", false)
	if err != nil {
		return err
	}
	fmt.Printf("program %s, step %d: %s\n", p.id, p.step, text)
	number, err := p.call(ctx, "/v1/services/"+service+path, map[string]string{"for": p.id}, map[string]string{
		// The action runs at most once for each idempotency key.
		"Idempotency-Key": "invoice-1",
	})
	if err != nil {
		return err
	}
	fmt.Printf("step %d: %s\n", p.step, number)
	text, err = p.turn(ctx, model, "tool", string(number), true)
	if err != nil {
		return err
	}
	fmt.Printf("step %d: %s\n", p.step, text)
	return nil
}

// turn makes one model call, which appends a message to the program's history, and
// returns the text of the completion.
func (p *program) turn(ctx context.Context, model, role, content string, last bool) (string, error) {
	headers := map[string]string{}
	if p.id == "" {
		// With an idempotency key a repeated first call continues the same program.
		headers["Idempotency-Key"] = "start-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	if last {
		headers["Dogwoodweir-End"] = "true"
	}
	data, err := p.call(ctx, "/v1/chat/completions", map[string]any{
		"model": model, "append": true, "max_tokens": 64,
		"messages": []map[string]string{{"role": role, "content": content}},
	}, headers)
	if err != nil {
		return "", err
	}
	var completion struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal(data, &completion); err != nil || len(completion.Choices) == 0 {
		return "", fmt.Errorf("malformed completion: %s", data)
	}
	return completion.Choices[0].Message.Content, nil
}

// call makes the program's next step, repeats it while the outcome allows that, and
// returns the body of the response.
func (p *program) call(ctx context.Context, path string, body any, headers map[string]string) ([]byte, error) {
	p.step++
	unknownOutcomes := 0
	for {
		data, err := p.send(ctx, path, body, headers)
		if err == nil {
			return data, nil
		}
		backoff := 500 * time.Millisecond
		var apiErr *apiError
		if errors.As(err, &apiErr) {
			if apiErr.Outcome == "notRun" && apiErr.RetryAfterMs == 0 {
				return nil, err // A repeated call would be rejected as well.
			}
			if apiErr.Outcome == "unknown" {
				// A repeated step never runs an action twice: it returns the recorded
				// result. A second "unknown" is final.
				if unknownOutcomes++; unknownOutcomes > 1 {
					return nil, err
				}
			}
			backoff = max(backoff, time.Duration(apiErr.RetryAfterMs)*time.Millisecond)
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(backoff):
		}
	}
}

// send makes one request and returns the body of the response. An error response gives
// an *apiError.
func (p *program) send(ctx context.Context, path string, body any, headers map[string]string) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.daemon+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	// Without GetBody the HTTP client cannot repeat the request on its own.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+p.key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Dogwoodweir-Step", strconv.Itoa(p.step))
	if p.id != "" {
		request.Header.Set("Dogwoodweir-Program", p.id)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		var failure struct{ Error apiError }
		if err := json.Unmarshal(responseBody, &failure); err != nil {
			return nil, fmt.Errorf("status %d: %s", response.StatusCode, responseBody)
		}
		return nil, &failure.Error
	}
	p.id = response.Header.Get("Dogwoodweir-Program")
	return responseBody, nil
}
