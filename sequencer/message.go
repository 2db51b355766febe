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

// CallRequest is one request of a caller, as the entry daemon passes it on.
type CallRequest struct {
	// ID correlates the answer with this arrival; every arrival has its own.
	ID        string
	Client    string
	Workspace string
	Service   string
	// Program is always set: the entry daemon assigns the id of a new program.
	Program string
	// NewProgram allows that the program does not exist yet and is created.
	NewProgram    bool
	ParentProgram string
	// ParentStep is the parent's step that started a new sub-agent; 0 means its
	// latest.
	ParentStep int
	// Step is the call's number; 0 means the next.
	Step int
	// IdempotencyKey is the idempotency key; empty means the program and step.
	IdempotencyKey string
	Kind           string
	Repeatable     bool
	// SupportsLookup says that the target can be asked for the result under the key.
	SupportsLookup bool
	// Append says that Messages holds only the new messages; otherwise it holds
	// the complete history and the new messages.
	Append   bool
	Messages []provider.ChatMessage
	Model    string
	Adapter  string
	// MaxTokens and PromptTokens bound the use of tokens by the answer and by
	// Messages from above; the owner adds the recorded history of an Append.
	MaxTokens    int
	PromptTokens int
	// MaxCost bounds the call's cost from above.
	MaxCost   float64
	Invoke    provider.InvokeRequest
	Deadline  time.Time
	Budget    encoder.Budget
	Limits    encoder.Limits
	Retention encoder.Retention
	// EndProgram ends the program after this call.
	EndProgram bool
}

// Result is what an attempt produced.
type Result struct {
	// AttemptID is the id under which the target answered, AttemptID of the attempt.
	AttemptID string                 `json:"call,omitempty"`
	Text      string                 `json:"text,omitempty"`
	Usage     provider.Usage         `json:"usage,omitzero"`
	Cost      float64                `json:"cost,omitempty"`
	Invoke    *provider.InvokeResult `json:"invoke,omitempty"`
	// Targets are the engines that may hold memory for the program.
	Targets []string `json:"targets,omitempty"`
}

// Outcome says what is known about a call.
type Outcome string

// The three outcomes.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Codes of answers that are not done.
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

// ShardAcquired gives the state a shard that this daemon now owns.
type ShardAcquired struct {
	Shard    string
	Epoch    int
	Snapshot []byte
	// Records are replayed in order; those that the snapshot covers are skipped.
	Records []encoder.Record
}

// ShardClosing stops new calls of a shard that is about to be handed over.
type ShardClosing struct{ Shard string }

// ShardReopened allows new calls of a shard again whose handover was given up.
type ShardReopened struct{ Shard string }

// ShardReleased takes a shard away; its callers are answered.
type ShardReleased struct{ Shard string }

// CallArrived is a request of a caller.
type CallArrived struct{ Request CallRequest }

// CallerLeft says that nobody waits for the answer any more.
type CallerLeft struct{ RequestID string }

// RecordsCommitted says that a ticket's records are durable.
type RecordsCommitted struct{ Ticket uint64 }

// RecordsDropped says that a ticket's records will never be durable.
type RecordsDropped struct{ Ticket uint64 }

// AttemptFinished is the outcome of a DispatchAttempt or LookupAttempt.
type AttemptFinished struct {
	CallID  string
	Attempt int
	Outcome Outcome
	Code    string
	Result  Result
}

// CancelRequested ends a program. Client is empty for operators; Request, if
// set, is answered once the end is durable.
type CancelRequested struct {
	Program   string
	Client    string
	RequestID string
}

// LeaseChanged says whether this daemon may act as owner.
type LeaseChanged struct{ Valid bool }

// StoreReachabilityChanged says whether commits succeed.
type StoreReachabilityChanged struct{ Reachable bool }

// ReleaseConfirmed says that a target holds no memory for a program any more.
type ReleaseConfirmed struct{ Program, Target string }

// MemoryReported says that a target holds memory for a program, as found by the
// retention audit.
type MemoryReported struct{ Program, Target string }

// SegmentStored says that an object of StoreSegment is durable.
type SegmentStored struct{ Program, Name string }

// Tick lets time-outs act; send one at least every second.
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
