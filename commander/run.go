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

// callTimeout is longer than the default call timeout of a service (120 s), so that the
// daemon's response arrives first.
const callTimeout = 130 * time.Second

// programFile is the content of a file for the run command.
type programFile struct {
	Steps []programStep `json:"steps"`
}

// programStep is one call: a model turn with messages, or a request to a plain service
// with a path.
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
		synopsis: "runs a program, with a turn for each prompt or a step for each entry of a file, and shows its progress",
		example:  "dogwoodweir run -service drafter \"Draft a quote for two prints.\" \"Make it shorter.\"",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&service, "service", "", "service that answers the prompts")
			f.StringVar(&file, "file", "", "JSON file with the steps of a program")
			f.IntVar(&maxTokens, "max-tokens", 256, "tokens that one turn may generate")
		},
		run: func(ctx context.Context, in *invocation) error {
			program, err := in.loadProgram(service, file, maxTokens)
			if err != nil {
				return err
			}
			in.client.http.Timeout = max(in.client.http.Timeout, callTimeout)
			return in.runProgram(ctx, program)
		},
	}
}

func (in *invocation) loadProgram(service, file string, maxTokens int) (programFile, error) {
	var program programFile
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return program, newError("run", KindUsage, err, "cannot read %s", file)
		}
		if err := json.Unmarshal(data, &program); err != nil {
			return program, newError("run", KindUsage, err, "%s is not a program in JSON", file)
		}
		return program, nil
	}
	if service == "" || len(in.arguments) == 0 {
		return program, newError("run", KindUsage, nil, "expected -file, or -service and a prompt")
	}
	for _, prompt := range in.arguments {
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

func (in *invocation) runProgram(ctx context.Context, program programFile) error {
	id := ""
	var results []stepResult
	for i, step := range program.Steps {
		result, err := in.runStep(ctx, id, step, i == len(program.Steps)-1)
		if err != nil {
			return err
		}
		id = result.Program
		results = append(results, result)
		in.printText("step %s  %s  %s  %d ms\n%s\n", result.Step, result.Service, result.Outcome, result.LatencyMs, result.Text)
	}
	if in.json {
		return in.printJSON(results)
	}
	in.printText("program %s: %d steps done", id, len(results))
	return nil
}

func (in *invocation) runStep(ctx context.Context, id string, step programStep, last bool) (stepResult, error) {
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
	if len(in.client.daemons) == 0 {
		return stepResult{}, newError("run", KindUsage, nil, "no daemon given: set -daemon or %s", daemonVariable)
	}
	started := time.Now()
	response, err := in.client.open(ctx, in.client.daemons[0], method, path, body, header)
	if err != nil {
		return stepResult{}, err
	}
	defer response.Body.Close()
	return readStepResult(path, step.Service, response, started)
}

func readStepResult(path, service string, response *http.Response, started time.Time) (stepResult, error) {
	result := stepResult{
		Program: response.Header.Get(headerProgram), Step: response.Header.Get(headerStep),
		Outcome: response.Header.Get(headerOutcome), Service: service, Status: response.StatusCode,
	}
	if response.StatusCode >= http.StatusBadRequest || !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		if err != nil {
			return result, newError(path, KindUnknown, err, "response is incomplete")
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

// streamEvent is one event of the stream of a model turn.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Outcome string `json:"outcome"`
	errorBody
}

// readStream collects the text of a streamed turn in result. A stream that ends before
// its final event is incomplete, and the outcome of the turn is unknown.
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
			return newError(path, KindUnknown, err, "cannot decode an event of the stream")
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
