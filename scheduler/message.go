package scheduler

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/router"
)

// Ticket identifies a call between the daemon and its scheduler.
type Ticket uint64

// Kind tells model calls from plain ones.
type Kind int

// Kinds of calls.
const (
	KindModel Kind = iota
	KindPlain
)

// Outcome is how an attempt ended.
type Outcome int

const (
	// OutcomeDone means that the complete result arrived.
	OutcomeDone Outcome = iota
	// OutcomeNotRun means that the call provably did not run.
	OutcomeNotRun
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown
)

// CallInfo describes a call.
type CallInfo struct {
	Program string
	// Root is the program at the top of a tree of sub-agents; empty means Program.
	Root    string
	Client  string
	Service string
	Kind    Kind
	Model   string
	Adapter string
	// Blocks is the hash chain of the prompt.
	Blocks       []uint64
	PromptTokens int
	MaxTokens    int
	Repeatable   bool
	Deadline     time.Time
	// NewProgram is set for the first call of a program.
	NewProgram bool
	// Exclude names targets that an earlier attempt failed at.
	Exclude []string
	// Attempt is 0 for the first attempt and rises with each RetryCall.
	Attempt int
	// MayHaveRun is set when an earlier attempt may have run.
	MayHaveRun bool
}

// Target is a back end; see package router.
type Target = router.Target

// Service is what the scheduler needs to know about a service.
type Service struct {
	Name           string
	Plain          bool
	MaxConcurrency int
	MaxQueue       int
	RequestsPerSec float64
	RetryRatio     float64
	CallTimeout    time.Duration
	Weights        router.Weights
}

// Message is an event that Update takes.
type Message interface{ message() }

// CallQueued asks for a decision about a call.
type CallQueued struct {
	Ticket Ticket
	Call   CallInfo
}

// CallStarted reports that an attempt was sent.
type CallStarted struct {
	Ticket Ticket
	Target string
}

// FirstToken reports the first token of an attempt.
type FirstToken struct {
	Ticket Ticket
	Target string
}

// CallFinished reports the end of an attempt.
type CallFinished struct {
	Ticket  Ticket
	Target  string
	Outcome Outcome
	// Busy is set when the target declined the call because it is overloaded.
	Busy bool
	// Leaving is set when the target declined the call because it leaves.
	Leaving bool
	Usage   provider.Usage
	Latency time.Duration
	// Report is the load report that came with the answer, if any.
	Report *provider.LoadReport
	// Blocks is the hash chain of prompt and answer; empty means the prompt's.
	Blocks []uint64
}

// CallCancelled withdraws a call.
type CallCancelled struct{ Ticket Ticket }

// TargetsChanged replaces the list of targets.
type TargetsChanged struct{ Targets []Target }

// ReportReceived has a load report that was polled.
type ReportReceived struct{ Report provider.LoadReport }

// CacheChanged has a cache event of a target.
type CacheChanged struct{ Event provider.CacheEvent }

// ProgramPaused says that a program waits for a tool.
type ProgramPaused struct {
	Program string
	Tool    string
}

// ProgramEnded says that a program makes no further calls.
type ProgramEnded struct{ Program string }

// ExportLost says that a program's exported cache is not in the object store.
type ExportLost struct{ Program string }

// ServicesChanged replaces the services.
type ServicesChanged struct{ Services []Service }

// Tick lets time pass.
type Tick struct{}

func (CallQueued) message()      {}
func (CallStarted) message()     {}
func (FirstToken) message()      {}
func (CallFinished) message()    {}
func (CallCancelled) message()   {}
func (TargetsChanged) message()  {}
func (ReportReceived) message()  {}
func (CacheChanged) message()    {}
func (ProgramPaused) message()   {}
func (ProgramEnded) message()    {}
func (ExportLost) message()      {}
func (ServicesChanged) message() {}
func (Tick) message()            {}

// Command is something that the daemon must do.
type Command interface{ command() }

// SendCall sends an attempt. Import names an exported KV cache that the target
// should import first.
type SendCall struct {
	Ticket       Ticket
	Target       string
	Priority     int
	Hedge        bool
	ImportObject string
}

// RejectCall ends a call without a result. Outcome is NotRun when no attempt ran
// and Unknown when one may have run. RetryAfter 0 means that asking again is
// useless.
type RejectCall struct {
	Ticket     Ticket
	Outcome    Outcome
	Code       string
	RetryAfter time.Duration
}

// RetryCall queues the call again after a delay, with these fields in its
// CallInfo.
type RetryCall struct {
	Ticket     Ticket
	After      time.Duration
	Exclude    []string
	Attempt    int
	MayHaveRun bool
}

// CancelAttempt cancels an attempt whose result is not needed any more.
type CancelAttempt struct {
	Ticket Ticket
	Target string
}

// SendOrder sends an order to an engine; the daemon sets its fencing number.
type SendOrder struct {
	Target string
	Order  provider.Order
}

func (SendCall) command()      {}
func (RejectCall) command()    {}
func (RetryCall) command()     {}
func (CancelAttempt) command() {}
func (SendOrder) command()     {}
