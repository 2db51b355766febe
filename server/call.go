package server

import (
	"context"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Outcomes of a call.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "notRun"
	OutcomeUnknown = "unknown"
)

// Kinds of calls and of the services that they are made to.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Budget limits what a program may use; zero means the service's default.
type Budget struct {
	Tokens int     `json:"tokens,omitempty"`
	Cost   float64 `json:"cost,omitempty"`
	Turns  int     `json:"turns,omitempty"`
}

// Call is one request of a caller after its syntax has been checked.
type Call struct {
	// ID identifies one arrival of the call in logs. A call that is repeated or
	// forwarded to another daemon arrives there with an ID of its own.
	ID      string `json:"id"`
	Client  string `json:"client"`
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Program is empty in the first call of a new program, until the entry daemon
	// assigns the program's ID.
	Program       string `json:"program,omitempty"`
	ParentProgram string `json:"parent,omitempty"`
	// NewProgram is set by the entry daemon if the owner may create the program.
	NewProgram bool `json:"new,omitempty"`
	// Step is 0 when the program's owner assigns it.
	Step           int    `json:"step,omitempty"`
	IdempotencyKey string `json:"key,omitempty"`
	// Append means that Messages continue the recorded history; otherwise they
	// include it.
	Append    bool                    `json:"append,omitempty"`
	Messages  []provider.ChatMessage  `json:"messages,omitempty"`
	Model     string                  `json:"model,omitempty"`
	Adapter   string                  `json:"adapter,omitempty"`
	MaxTokens int                     `json:"maxTokens,omitempty"`
	Invoke    *provider.InvokeRequest `json:"invoke,omitempty"`
	// RemainingMs is the time until the deadline. It is a duration because the clocks
	// of hosts differ.
	RemainingMs int64  `json:"deadlineMs,omitempty"`
	Budget      Budget `json:"budget,omitzero"`
	EndProgram  bool   `json:"end,omitempty"`
	Stream      bool   `json:"stream,omitempty"`
	// BodyBytes is the size of the request body, which the service may limit.
	BodyBytes int `json:"bodyBytes,omitempty"`
}

// Chunk is one piece of a streamed response. Program and Step are set once they are
// known.
type Chunk struct {
	Text    string `json:"text,omitempty"`
	Program string `json:"program,omitempty"`
	Step    int    `json:"step,omitempty"`
}

// Response is what a call returns when it ends.
type Response struct {
	Outcome      string         `json:"outcome"`
	Code         string         `json:"code,omitempty"`
	Message      string         `json:"message,omitempty"`
	RetryAfterMs int            `json:"retryAfterMs,omitempty"`
	Program      string         `json:"program,omitempty"`
	Step         int            `json:"step,omitempty"`
	Text         string         `json:"text,omitempty"`
	Usage        provider.Usage `json:"usage,omitzero"`
	// Result is the response of a plain service.
	Result *provider.InvokeResult `json:"result,omitempty"`
}

// Daemon runs calls and reports on itself, its peers and its targets.
type Daemon interface {
	// RunCall runs a call to its end and passes chunks of the response to emit. For
	// OutcomeDone their concatenated text is the Text of the response.
	RunCall(ctx context.Context, call Call, emit func(Chunk)) Response
	// Program describes a program of the client, or of any client for "". A response
	// with a code means that the request was rejected.
	Program(ctx context.Context, client, id string) (ProgramInfo, Response)
	// EndProgram cancels a program of the client, or of any client for "".
	EndProgram(ctx context.Context, client, id string) (ProgramInfo, Response)
	Admin
}
