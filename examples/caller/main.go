// Command caller runs one program: a model turn, a call that may run only once, and
// a last turn that uses its result.
//
// # Usage
//
//	caller -daemon http://127.0.0.1:7000 -key KEY -model drafter -service ledger -path /invoice-numbers
//
// It shows what a caller has to do: name every step, so that a request can be
// repeated at any host, and repeat it as the outcome in the error says.
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

// program is one program of this caller.
type program struct {
	daemon string
	key    string
	id     string
	step   int
}

// apiError is the body of every error.
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
	path := flag.String("path", "/invoice-numbers", "path of a call that may run only once")
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
		// The key names the action: under one key it runs at most once.
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

// turn makes one model call that appends a message to the program's history.
func (p *program) turn(ctx context.Context, model, role, content string, last bool) (string, error) {
	headers := map[string]string{}
	if p.id == "" {
		// A key on the first call lets its repetition find the same program.
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

// call makes the program's next step and repeats it until its outcome is known.
func (p *program) call(ctx context.Context, path string, body any, headers map[string]string) ([]byte, error) {
	p.step++
	unknown := 0
	for {
		data, err := p.send(ctx, path, body, headers)
		if err == nil {
			return data, nil
		}
		pause := 500 * time.Millisecond
		var refused *apiError
		if errors.As(err, &refused) {
			if refused.Outcome == "notRun" && refused.RetryAfterMs == 0 {
				return nil, err // Another try would be refused as well.
			}
			if refused.Outcome == "unknown" {
				// The same step never runs an action twice; asking again returns what
				// is recorded. A second "unknown" is final.
				if unknown++; unknown > 1 {
					return nil, err
				}
			}
			pause = max(pause, time.Duration(refused.RetryAfterMs)*time.Millisecond)
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

func (p *program) send(ctx context.Context, path string, body any, headers map[string]string) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.daemon+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	// Without GetBody the HTTP client does not repeat the request by itself.
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
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		var failure struct{ Error apiError }
		if err := json.Unmarshal(answer, &failure); err != nil {
			return nil, fmt.Errorf("status %d: %s", response.StatusCode, answer)
		}
		return nil, &failure.Error
	}
	p.id = response.Header.Get("Dogwoodweir-Program")
	return answer, nil
}
