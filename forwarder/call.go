package forwarder

import (
	"net/http"
	"time"
)

// PromptSegment is a part of a prompt that other requests may share.
type PromptSegment struct {
	ID     uint64
	Tokens int
}

// Call is what a caller's request says of itself.
type Call struct {
	// ID names this attempt of the caller.
	ID      string
	Program string
	// Session names the line of turns within the program: its main line or a sub-agent.
	Session string
	// Previous is the ID of the turn that this one continues.
	Previous string
	// Timeout is how long the caller waits, 0 when it does not say.
	Timeout time.Duration
	// ProgramRemaining is the time left until the whole program should be finished.
	ProgramRemaining time.Duration
	// Budget is the number of tokens that all turns of the program may generate.
	Budget    int
	HasBudget bool
	// PromptTokens and MaxTokens are the size of the prompt and the largest answer.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the answer, 0 when there is none.
	ExpectedTokens int
	Model          string
	Prompt         []PromptSegment
	// AffinityKey is the same for all calls that concern one object.
	AffinityKey string
	// LastEventID is the last event that the caller has of a stream that broke off.
	LastEventID string
}

// Attempt is a call that is being sent to a target.
type Attempt struct {
	// Target is the ID that the target must have to run the call.
	Target  string
	Address string
	// Remaining is the time that the target may take.
	Remaining time.Duration
	// QueuePriority ranks the call in the target's queue, 0 first; negative for none.
	QueuePriority int
	// LastEventID resumes a stream after the event with this ID.
	LastEventID string
}

// ResponseHead is what the head of a target's answer says.
type ResponseHead struct {
	Status int
	// ID is the call that the answer belongs to.
	ID string
	// Sealed answers come from a target that ran the call.
	Sealed bool
	// NotRun answers promise that the call has not run.
	NotRun bool
	// ConnectionClose targets close the connection after the answer.
	ConnectionClose bool
	// KeepAlive is how long the target keeps an idle connection, 0 when unknown.
	KeepAlive time.Duration
}

// Dialect translates between the HTTP headers in use and the types of this package.
type Dialect interface {
	ParseCall(r *http.Request) Call
	RequestHeader(caller http.Header, d *Attempt) http.Header
	ParseResponse(r *http.Response) ResponseHead
	CopyResponseHeader(to, from http.Header)
	SetRejectionHeader(to http.Header, id string, retryAfter time.Duration)
}
