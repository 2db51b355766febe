package sequencer

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Kinds of calls.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// CallRequest is one request of a caller, as the entry daemon forwards it.
type CallRequest struct {
	// ID identifies this request and its response; it is unique for each arrival.
	ID        string
	Client    string
	Workspace string
	Service   string
	// Program is always set; the entry daemon assigns the id of a new program.
	Program string
	// NewProgram allows the program to be created if it does not exist.
	NewProgram    bool
	ParentProgram string
	// ParentStep is the parent's step that started a new sub-agent; 0 means the
	// parent's latest.
	ParentStep int
	// Step is the call's number; 0 means the next.
	Step int
	// IdempotencyKey may be empty; then program and step identify the call.
	IdempotencyKey string
	Kind           string
	Repeatable     bool
	// SupportsLookup is set if the target can look up a result by idempotency key.
	SupportsLookup bool
	// Append is set if Messages holds only the new messages. Otherwise Messages holds
	// the complete history and the new messages.
	Append   bool
	Messages []provider.ChatMessage
	Model    string
	Adapter  string
	// MaxTokens and PromptTokens are upper bounds of the tokens in the response and in
	// Messages. With Append, the owner adds the recorded history to PromptTokens.
	MaxTokens    int
	PromptTokens int
	// MaxCost is an upper bound of the call's cost.
	MaxCost   float64
	Invoke    provider.InvokeRequest
	Deadline  time.Time
	Budget    encoder.Budget
	Limits    encoder.Limits
	Retention encoder.Retention
	// EndProgram ends the program after this call.
	EndProgram bool
}

// Result is the result of an attempt.
type Result struct {
	// AttemptID is the attempt id in the target's response, as the function AttemptID
	// returns it.
	AttemptID string                 `json:"call,omitempty"`
	Text      string                 `json:"text,omitempty"`
	Usage     provider.Usage         `json:"usage,omitzero"`
	Cost      float64                `json:"cost,omitempty"`
	Invoke    *provider.InvokeResult `json:"invoke,omitempty"`
	// Targets are the engines that may hold memory for the program.
	Targets []string `json:"targets,omitempty"`
}

// Outcome tells whether a call has run.
type Outcome string

// Outcomes of a call.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Codes of responses whose outcome is not OutcomeDone.
const (
	CodeNotOwner         = "notOwner"
	CodeOwnerChanged     = "ownerChanged"
	CodeOwnerChanging    = "ownerChanging"
	CodeProgramNotFound  = "programNotFound"
	CodeProgramEnded     = "programEnded"
	CodeStepOutOfOrder   = "stepOutOfOrder"
	CodeStepConflict     = "stepConflict"
	CodeCallInProgress   = "callInProgress"
	CodeHistoryMismatch  = "historyMismatch"
	CodeStoreUnavailable = "storeUnavailable"
	CodeNotDurable       = "notDurable"
	CodeBudgetExceeded   = "budgetExceeded"
	CodeBudgetReserved   = "budgetReserved"
	CodeDeadlineExceeded = "deadlineExceeded"
	CodeTimeout          = "timeout"
	CodeResultExpired    = "resultExpired"
	CodeInvalid          = "invalid"
)

// Reasons for which a program ends.
const (
	ReasonCompleted        = "completed"
	ReasonCancelled        = "cancelled"
	ReasonBudgetExceeded   = "budgetExceeded"
	ReasonDeadlineExceeded = "deadlineExceeded"
	ReasonAbandoned        = "abandoned"
)

// Message is an input of State.Update.
type Message interface{ message() }

// ShardAcquired adds a shard that this daemon now owns.
type ShardAcquired struct {
	Shard    string
	Epoch    int
	Snapshot []byte
	// Records are replayed in order; those that the snapshot covers are skipped.
	Records []encoder.Record
}

// ShardClosing makes the state reject new calls of a shard before its handover.
type ShardClosing struct{ Shard string }

// ShardReopened allows new calls of a closing shard again, after its handover was
// cancelled.
type ShardReopened struct{ Shard string }

// ShardReleased removes a shard; all its open requests get a response.
type ShardReleased struct{ Shard string }

// CallArrived delivers a request of a caller.
type CallArrived struct{ Request CallRequest }

// CallerLeft withdraws a request whose caller no longer waits for the response.
type CallerLeft struct{ RequestID string }

// RecordsCommitted reports that a ticket's records are durable.
type RecordsCommitted struct{ Ticket uint64 }

// RecordsDropped reports that a ticket's records will never be durable.
type RecordsDropped struct{ Ticket uint64 }

// AttemptFinished reports the outcome of a DispatchAttempt or LookupAttempt.
type AttemptFinished struct {
	CallID  string
	Attempt int
	Outcome Outcome
	Code    string
	Result  Result
}

// CancelRequested ends a program. Client is empty for operators. If RequestID is
// set, it gets a response once the end is durable.
type CancelRequested struct {
	Program   string
	Client    string
	RequestID string
}

// LeaseChanged reports whether this daemon's lease is valid, so that it may act as
// owner.
type LeaseChanged struct{ Valid bool }

// StoreReachabilityChanged reports whether commits to the store succeed.
type StoreReachabilityChanged struct{ Reachable bool }

// ReleaseConfirmed reports that a target no longer holds memory for a program.
type ReleaseConfirmed struct{ Program, Target string }

// MemoryReported reports memory that the retention audit found at a target for a
// program.
type MemoryReported struct{ Program, Target string }

// SegmentStored reports that the object of a StoreSegment is durable.
type SegmentStored struct{ Program, Name string }

// Tick triggers time-outs and periodic work; send one at least every second.
type Tick struct{}

func (ShardAcquired) message()            {}
func (ShardClosing) message()             {}
func (ShardReopened) message()            {}
func (ShardReleased) message()            {}
func (CallArrived) message()              {}
func (CallerLeft) message()               {}
func (RecordsCommitted) message()         {}
func (RecordsDropped) message()           {}
func (AttemptFinished) message()          {}
func (CancelRequested) message()          {}
func (LeaseChanged) message()             {}
func (StoreReachabilityChanged) message() {}
func (ReleaseConfirmed) message()         {}
func (MemoryReported) message()           {}
func (SegmentStored) message()            {}
func (Tick) message()                     {}
