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

// Kinds of calls.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Budget limits a program; zero means the service's default.
type Budget struct {
	Tokens int     `json:"tokens,omitempty"`
	Cost   float64 `json:"cost,omitempty"`
	Turns  int     `json:"turns,omitempty"`
}

// Call is one request of a caller after its syntax has been checked.
type Call struct {
	// ID identifies this arrival in logs and on every hop.
	ID      string `json:"id"`
	Client  string `json:"client"`
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Program is empty for the first call of a new program.
	Program       string `json:"program,omitempty"`
	ParentProgram string `json:"parent,omitempty"`
	// NewProgram is set by the entry daemon when it has assigned the program's id.
	NewProgram bool `json:"new,omitempty"`
	// Step is 0 when the owner assigns it.
	Step           int                     `json:"step,omitempty"`
	IdempotencyKey string                  `json:"key,omitempty"`
	Append         bool                    `json:"append,omitempty"`
	Messages       []provider.ChatMessage  `json:"messages,omitempty"`
	Model          string                  `json:"model,omitempty"`
	Adapter        string                  `json:"adapter,omitempty"`
	MaxTokens      int                     `json:"maxTokens,omitempty"`
	Invoke         *provider.InvokeRequest `json:"invoke,omitempty"`
	// RemainingMs is the time that remains, since clocks of hosts differ.
	RemainingMs int64  `json:"deadlineMs,omitempty"`
	Budget      Budget `json:"budget,omitzero"`
	EndProgram  bool   `json:"end,omitempty"`
	Stream      bool   `json:"stream,omitempty"`
	// BodyBytes is the size of the request's body, for the service's limit.
	BodyBytes int `json:"bodyBytes,omitempty"`
}

// Chunk is one piece of a streamed answer. The program and the step are set when
// they are known.
type Chunk struct {
	Text    string `json:"text,omitempty"`
	Program string `json:"program,omitempty"`
	Step    int    `json:"step,omitempty"`
}

// Response is the end of a call.
type Response struct {
	Outcome      string                 `json:"outcome"`
	Code         string                 `json:"code,omitempty"`
	Message      string                 `json:"message,omitempty"`
	RetryAfterMs int                    `json:"retryAfterMs,omitempty"`
	Program      string                 `json:"program,omitempty"`
	Step         int                    `json:"step,omitempty"`
	Text         string                 `json:"text,omitempty"`
	Usage        provider.Usage         `json:"usage,omitzero"`
	Result       *provider.InvokeResult `json:"result,omitempty"`
}

// Daemon runs calls and describes the daemon.
type Daemon interface {
	// RunCall runs a call to its end. It passes pieces of the answer to emit, whose
	// concatenation is the Text of an Answer that is done.
	RunCall(ctx context.Context, call Call, emit func(Chunk)) Response
	// Program describes a program of the client, of any client for "". An Answer
	// with a code is a refusal.
	Program(ctx context.Context, client, id string) (ProgramInfo, Response)
	// EndProgram cancels a program of the client, of any client for "".
	EndProgram(ctx context.Context, client, id string) (ProgramInfo, Response)
	Admin
}
