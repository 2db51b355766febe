package server

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Bounds on the values of a request.
const (
	maxMessages            = 4_096
	maxNameBytes           = 128
	maxIdempotencyKeyBytes = 256
	maxStep                = 1_000_000
	maxDeadlineMs          = 24 * 3_600_000
	maxTokensPerCall       = 1 << 24
	maxBudgetTokens        = 1e12
	maxBudgetTurns         = 1e6
	maxBudgetCost          = 1e12
)

// chatBody holds the fields of a chat completions request that the daemon supports.
// Other fields are ignored, as clients of that API expect.
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

// invalidField returns an error for a field whose value is not as expected.
func invalidField(field, expected string) error {
	return &Error{operation: "request", kind: KindRange, field: field, cause: eris.New("expected " + expected)}
}

// decodeChat decodes the body of a chat completions request into call.
func decodeChat(data []byte, call *Call) error {
	var body chatBody
	if err := json.Unmarshal(data, &body); err != nil {
		return &Error{operation: "request", kind: KindDecode, cause: err}
	}
	if len(body.Messages) == 0 || len(body.Messages) > maxMessages {
		return invalidField("messages", "1 to 4096 messages")
	}
	for _, m := range body.Messages {
		switch m.Role {
		case "system", "user", "assistant", "tool", "developer":
		default:
			return invalidField("messages.role", "system, developer, user, assistant or tool")
		}
		message := provider.ChatMessage{Role: m.Role, Name: m.Name}
		if m.Content != nil {
			message.Content = *m.Content
		}
		call.Messages = append(call.Messages, message)
	}
	call.Service, call.Model, _ = strings.Cut(body.Model, "/")
	if call.Service == "" || len(body.Model) > maxNameBytes {
		return invalidField("model", "a service, or service/model")
	}
	if len(body.Adapter) > maxNameBytes {
		return invalidField("adapter", fmt.Sprintf("at most %d bytes", maxNameBytes))
	}
	call.MaxTokens = max(body.MaxTokens, body.MaxCompletionTokens)
	if body.MaxTokens < 0 || body.MaxCompletionTokens < 0 || call.MaxTokens > maxTokensPerCall {
		return invalidField("max_tokens", "0 to 16777216")
	}
	call.Kind, call.Stream, call.Append, call.Adapter = KindModel, body.Stream, body.Append, body.Adapter
	return nil
}

// decodeHeaders decodes the request headers into call. get returns the value of a
// header, or "" if it is missing.
func decodeHeaders(get func(string) string, call *Call) error {
	call.Program, call.ParentProgram, call.IdempotencyKey = get(HeaderProgram), get(HeaderParentProgram), get(HeaderIdempotencyKey)
	for _, id := range []struct{ header, value string }{{HeaderProgram, call.Program}, {HeaderParentProgram, call.ParentProgram}} {
		if !validID(id.value) {
			return invalidField(id.header, "a program ID from an earlier response")
		}
	}
	if len(call.IdempotencyKey) > maxIdempotencyKeyBytes {
		return invalidField(HeaderIdempotencyKey, "at most 256 bytes")
	}
	numbers := []struct {
		header   string
		maxValue int64
		set      func(int64)
	}{
		{HeaderStep, maxStep, func(n int64) { call.Step = int(n) }},
		{HeaderDeadline, maxDeadlineMs, func(n int64) { call.RemainingMs = n }},
		{HeaderBudgetTokens, maxBudgetTokens, func(n int64) { call.Budget.Tokens = int(n) }},
		{HeaderBudgetTurns, maxBudgetTurns, func(n int64) { call.Budget.Turns = int(n) }},
	}
	for _, number := range numbers {
		text := get(number.header)
		if text == "" {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 1 || n > number.maxValue {
			return invalidField(number.header, "1 to "+strconv.FormatInt(number.maxValue, 10))
		}
		number.set(n)
	}
	if text := get(HeaderBudgetCost); text != "" {
		cost, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(cost) || cost <= 0 || cost > maxBudgetCost {
			return invalidField(HeaderBudgetCost, "a number above 0")
		}
		call.Budget.Cost = cost
	}
	switch get(HeaderEndProgram) {
	case "", "false":
	case "true":
		call.EndProgram = true
	default:
		return invalidField(HeaderEndProgram, "true or false")
	}
	return nil
}

// validID reports whether an ID is empty, or consists of at most maxNameBytes
// lower-case letters, digits and hyphens.
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
