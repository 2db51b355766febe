package forwarder

import (
	"crypto/sha256"
	"net/http"
	"time"
)

// PromptSegment is a part of a prompt that other requests may share.
type PromptSegment struct {
	ID     uint64
	Tokens int
}

// Call is the information in the headers of a caller's request.
type Call struct {
	// ID identifies the call.
	ID      string
	Program string
	// Session names the session within the program: its main conversation or a sub-agent.
	Session string
	// KeyHash is the SHA-256 hash of the key in the request, zero if there is none or more than one.
	KeyHash [sha256.Size]byte
	// Previous is the ID of the turn that this one continues.
	Previous string
	// Timeout is how long the caller waits, 0 when the request has no deadline.
	Timeout time.Duration
	// ProgramRemaining is the time left until the whole program should be finished.
	ProgramRemaining time.Duration
	// Budget is the number of tokens that all turns of the program may generate.
	Budget    int
	HasBudget bool
	// PromptTokens is the size of the prompt, MaxTokens the largest size of the output.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the output size, 0 when there is none.
	ExpectedTokens int
	Model          string
	Prompt         []PromptSegment
	// AffinityKey is the same for all calls that concern one object.
	AffinityKey string
	// LastEventID is the ID of the last event that the caller received of an interrupted stream.
	LastEventID string
}

// Attempt describes one try of a call at one target.
type Attempt struct {
	// Target is the ID that the target must have to run the call.
	Target  string
	Address string
	// Remaining is the time that the target may take.
	Remaining time.Duration
	// QueuePriority orders the call in the target's queue, 0 first; negative for none.
	QueuePriority int
	// Workspace is the name of the workspace that the call belongs to, empty for none.
	Workspace string
	// LastEventID resumes a stream after the event with this ID.
	LastEventID string
}

// ResponseHead is the information in the head of a target's response.
type ResponseHead struct {
	Status int
	// ID is the ID of the call that the response belongs to.
	ID string
	// Sealed responses come from a target that ran the call.
	Sealed bool
	// NotRun responses guarantee that the call has not run.
	NotRun bool
	// Leaving means that the target is about to leave.
	Leaving bool
	// KeepAlive is how long the target keeps an idle connection, 0 when unknown.
	KeepAlive time.Duration
}

// Dialect translates between HTTP headers and the types of this package.
type Dialect interface {
	// ParseCall decodes the headers of a caller's request.
	ParseCall(r *http.Request) Call
	// RequestHeader returns the header to send to the target.
	RequestHeader(caller http.Header, a *Attempt) http.Header
	// ParseResponse decodes the head of a target's response.
	ParseResponse(r *http.Response) ResponseHead
	// CopyResponseHeader copies the header of a target's response for the caller.
	CopyResponseHeader(to, from http.Header)
	// SetRejectionHeader sets the header of a rejection by the scheduler.
	SetRejectionHeader(to http.Header, id string, retryAfter time.Duration)
}
