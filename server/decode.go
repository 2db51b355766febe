package server

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Bounds on the values of a request.
const (
	maxMessages   = 4_096
	maxNameBytes  = 128
	maxKeyBytes   = 256
	maxStep       = 1_000_000
	maxDeadlineMs = 24 * 3_600_000
)

// chatBody is the part of a chat-completions request that has a meaning here;
// other fields are ignored, as clients of that form expect.
type chatBody struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	Append              bool          `json:"append"`
	Adapter             string        `json:"adapter"`
}

type chatMessage struct {
	Role    string  `json:"role"`
	Content *string `json:"content"`
	Name    string  `json:"name"`
}

func invalid(field, expected string) error {
	return &Error{operation: "request", kind: KindRange, field: field, cause: eris.New("expected " + expected)}
}

// decodeChat reads a chat-completions body into call.
func decodeChat(data []byte, call *Call) error {
	var body chatBody
	if err := json.Unmarshal(data, &body); err != nil {
		return &Error{operation: "request", kind: KindDecode, cause: err}
	}
	if len(body.Messages) == 0 || len(body.Messages) > maxMessages {
		return invalid("messages", "1 to 4096 messages")
	}
	for _, m := range body.Messages {
		switch m.Role {
		case "system", "user", "assistant", "tool", "developer":
		default:
			return invalid("messages.role", "system, developer, user, assistant or tool")
		}
		message := provider.ChatMessage{Role: m.Role, Name: m.Name}
		if m.Content != nil {
			message.Content = *m.Content
		}
		call.Messages = append(call.Messages, message)
	}
	call.Service, call.Model, _ = strings.Cut(body.Model, "/")
	if call.Service == "" || len(body.Model) > maxNameBytes || len(body.Adapter) > maxNameBytes {
		return invalid("model", "a service, or service/model")
	}
	call.MaxTokens = max(body.MaxTokens, body.MaxCompletionTokens)
	if body.MaxTokens < 0 || body.MaxCompletionTokens < 0 || call.MaxTokens > 1<<24 {
		return invalid("max_tokens", "0 to 16777216")
	}
	call.Kind, call.Stream, call.Append, call.Adapter = KindModel, body.Stream, body.Append, body.Adapter
	return nil
}

// decodeHeaders reads the headers of a call; get returns a header's value.
func decodeHeaders(get func(string) string, call *Call) error {
	call.Program, call.ParentProgram, call.IdempotencyKey = get(HeaderProgram), get(HeaderParentProgram), get(HeaderIdempotencyKey)
	if !validID(call.Program) || !validID(call.ParentProgram) {
		return invalid(HeaderProgram, "an id that this system has issued")
	}
	if len(call.IdempotencyKey) > maxKeyBytes {
		return invalid(HeaderIdempotencyKey, "at most 256 bytes")
	}
	numbers := []struct {
		header string
		high   int64
		set    func(int64)
	}{
		{HeaderStep, maxStep, func(n int64) { call.Step = int(n) }},
		{HeaderDeadline, maxDeadlineMs, func(n int64) { call.RemainingMs = n }},
		{HeaderBudgetTokens, 1e12, func(n int64) { call.Budget.Tokens = int(n) }},
		{HeaderBudgetTurns, 1e6, func(n int64) { call.Budget.Turns = int(n) }},
	}
	for _, number := range numbers {
		text := get(number.header)
		if text == "" {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 1 || n > number.high {
			return invalid(number.header, "1 to "+strconv.FormatInt(number.high, 10))
		}
		number.set(n)
	}
	if text := get(HeaderBudgetCost); text != "" {
		cost, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(cost) || cost <= 0 || cost > 1e12 {
			return invalid(HeaderBudgetCost, "a number above 0")
		}
		call.Budget.Cost = cost
	}
	switch get(HeaderEndProgram) {
	case "", "false":
	case "true":
		call.EndProgram = true
	default:
		return invalid(HeaderEndProgram, "true or false")
	}
	return nil
}

// validID accepts an empty id, or letters, digits and hyphens within the
// bound.
func validID(id string) bool {
	if len(id) > maxNameBytes {
		return false
	}
	for i := range len(id) {
		b := id[i]
		if b != '-' && (b < '0' || b > '9') && (b < 'a' || b > 'z') {
			return false
		}
	}
	return true
}
