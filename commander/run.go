package commander

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Headers of callers' requests and responses.
const (
	headerProgram = "Dogwoodweir-Program"
	headerOutcome = "Dogwoodweir-Outcome"
	headerStep    = "Dogwoodweir-Step"
	headerEnd     = "Dogwoodweir-End"
	headerKey     = "Idempotency-Key"
)

// callTimeout is longer than the default bound of a daemon on one call, so that
// the daemon's own answer arrives first.
const callTimeout = 130 * time.Second

// programFile is a program for the run command.
type programFile struct {
	Steps []programStep `json:"steps"`
}

// programStep is one call: a model turn with messages, or a request with a path.
type programStep struct {
	Service   string                 `json:"service"`
	Model     string                 `json:"model,omitempty"`
	Messages  []provider.ChatMessage `json:"messages,omitempty"`
	MaxTokens int                    `json:"maxTokens,omitempty"`
	Method    string                 `json:"method,omitempty"`
	Path      string                 `json:"path,omitempty"`
	Key       string                 `json:"key,omitempty"`
	Body      json.RawMessage        `json:"body,omitempty"`
}

func runCommand() command {
	var service, file string
	var maxTokens int
	return command{
		name: "run", arguments: "[PROMPT...]",
		synopsis: "sends a program, a turn for each prompt or a step for each entry of a file, and shows its progress",
		example:  "dogwoodweir run -service drafter \"Draft a quote for two prints.\" \"Make it shorter.\"",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&service, "service", "", "service that answers the prompts")
			f.StringVar(&file, "file", "", "JSON file with the steps of a program")
			f.IntVar(&maxTokens, "max-tokens", 256, "tokens that one turn may generate")
		},
		run: func(ctx context.Context, r *request) error {
			program, err := r.program(service, file, maxTokens)
			if err != nil {
				return err
			}
			r.client.http.Timeout = max(r.client.http.Timeout, callTimeout)
			return r.runProgram(ctx, program)
		},
	}
}

func (r *request) program(service, file string, maxTokens int) (programFile, error) {
	var program programFile
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return program, newError("run", KindUsage, err, "cannot read %s", file)
		}
		if err := json.Unmarshal(data, &program); err != nil {
			return program, newError("run", KindUsage, err, "%s is not a program", file)
		}
		return program, nil
	}
	if service == "" || len(r.arguments) == 0 {
		return program, newError("run", KindUsage, nil, "expected -file, or -service and a prompt")
	}
	for _, prompt := range r.arguments {
		program.Steps = append(program.Steps, programStep{
			Service: service, MaxTokens: maxTokens,
			Messages: []provider.ChatMessage{{Role: "user", Content: prompt}},
		})
	}
	return program, nil
}

// stepResult is what the command prints for one step.
type stepResult struct {
	Program   string `json:"program"`
	Step      string `json:"step"`
	Service   string `json:"service"`
	Outcome   string `json:"outcome"`
	Status    int    `json:"status"`
	LatencyMs int64  `json:"latencyMs"`
	Text      string `json:"text"`
}

func (r *request) runProgram(ctx context.Context, program programFile) error {
	id := ""
	var results []stepResult
	for i, step := range program.Steps {
		result, err := r.runStep(ctx, id, step, i == len(program.Steps)-1)
		if err != nil {
			return err
		}
		id = result.Program
		results = append(results, result)
		r.print("step %s  %s  %s  %d ms\n%s\n", result.Step, result.Service, result.Outcome, result.LatencyMs, result.Text)
	}
	if r.json {
		return r.showJSON(results)
	}
	r.print("program %s: %d steps done", id, len(results))
	return nil
}

func (r *request) runStep(ctx context.Context, id string, step programStep, last bool) (stepResult, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", any(nil)
	if step.Path == "" {
		name := step.Service
		if step.Model != "" {
			name += "/" + step.Model
		}
		body = map[string]any{
			"model": name, "messages": step.Messages, "max_tokens": step.MaxTokens, "stream": true, "append": true,
		}
	} else {
		if step.Method != "" {
			method = step.Method
		}
		path = "/v1/services/" + step.Service + step.Path
		if len(step.Body) > 0 {
			body = step.Body
		}
	}
	header := map[string]string{}
	if id != "" {
		header[headerProgram] = id
	}
	if step.Key != "" {
		header[headerKey] = step.Key
	}
	if last {
		header[headerEnd] = "true"
	}
	if len(r.client.daemons) == 0 {
		return stepResult{}, newError("run", KindUsage, nil, "no daemon given: set -daemon or %s", daemonVariable)
	}
	started := time.Now()
	response, err := r.client.open(ctx, r.client.daemons[0], method, path, body, header)
	if err != nil {
		return stepResult{}, err
	}
	defer response.Body.Close()
	return readStep(path, step.Service, response, started)
}

func readStep(path, service string, response *http.Response, started time.Time) (stepResult, error) {
	result := stepResult{
		Program: response.Header.Get(headerProgram), Step: response.Header.Get(headerStep),
		Outcome: response.Header.Get(headerOutcome), Service: service, Status: response.StatusCode,
	}
	if response.StatusCode >= http.StatusBadRequest || !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
		if err != nil {
			return result, newError(path, KindUnknown, err, "response broke off")
		}
		if response.StatusCode >= http.StatusBadRequest {
			return result, responseError(path, response.StatusCode, data)
		}
		result.Text = string(data)
	} else if err := readStream(path, response.Body, &result); err != nil {
		return result, err
	}
	result.LatencyMs = time.Since(started).Milliseconds()
	return result, nil
}

// streamEvent is one event of a streamed model turn.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Outcome string `json:"outcome"`
	errorBody
}

// readStream gathers the text of a stream. A stream without its final event is
// not whole, and its outcome is unknown.
func readStream(path string, body io.Reader, result *stepResult) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	var text strings.Builder
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.Text = text.String()
			return nil
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return newError(path, KindUnknown, err, "stream has an event that is not JSON")
		}
		if event.Error.Code != "" {
			return responseError(path, http.StatusOK, []byte(data))
		}
		if event.Outcome != "" {
			result.Outcome = event.Outcome
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return newError(path, KindUnknown, scanner.Err(), "%s", fmt.Sprintf("stream ended after %d bytes without its final event", text.Len()))
}
