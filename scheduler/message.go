package scheduler

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/router"
)

// Ticket identifies a call in the messages and commands of one scheduler.
type Ticket uint64

// Kind is the kind of a call.
type Kind int

// Kinds of calls.
const (
	// KindModel is a call of a model.
	KindModel Kind = iota
	// KindPlain is a request to a plain service.
	KindPlain
)

// Outcome is how an attempt ended.
type Outcome int

const (
	// OutcomeDone means that the complete result arrived.
	OutcomeDone Outcome = iota
	// OutcomeNotRun means that the call certainly did not run.
	OutcomeNotRun
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown
)

// CallInfo describes a call.
type CallInfo struct {
	Program string
	// Root is the program at the root of a tree of sub-agents. Empty means Program.
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
	// Exclude lists targets at which earlier attempts failed.
	Exclude []string
	// Attempt is 0 for the first attempt and increases with each RetryCall.
	Attempt int
	// MayHaveRun is set if an earlier attempt may have run.
	MayHaveRun bool
}

// Target is a back end. See package router.
type Target = router.Target

// Service holds the limits and weights of a service.
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

// Message is an event passed to State.Update.
type Message interface{ message() }

// CallQueued adds a call to the queue of its service.
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
	// Busy is set if the target rejected the call because it is overloaded.
	Busy bool
	// Leaving is set if the target rejected the call because it is leaving.
	Leaving bool
	Usage   provider.Usage
	Latency time.Duration
	// Report is the load report that came with the response, if any.
	Report *provider.LoadReport
	// Blocks is the hash chain of prompt and completion. Empty means that of the
	// prompt.
	Blocks []uint64
}

// CallCancelled removes a call and cancels its attempts.
type CallCancelled struct{ Ticket Ticket }

// TargetsChanged replaces the list of targets.
type TargetsChanged struct{ Targets []Target }

// ReportReceived carries a load report that was polled from a target.
type ReportReceived struct{ Report provider.LoadReport }

// CacheChanged reports a cache event of a target.
type CacheChanged struct{ Event provider.CacheEvent }

// ProgramPaused reports that a program waits for a tool.
type ProgramPaused struct {
	Program string
	Tool    string
}

// ProgramEnded reports that a program makes no further calls.
type ProgramEnded struct{ Program string }

// ExportLost reports that a program's exported cache is not in the object store.
type ExportLost struct{ Program string }

// ServicesChanged replaces the services.
type ServicesChanged struct{ Services []Service }

// Tick reports that time has passed. It sends hedges, rejects expired calls and
// dispatches the queues.
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

// Command is an action that the daemon must execute.
type Command interface{ command() }

// SendCall sends an attempt to a target. ImportObject is the exported KV cache that
// the target should import first, or empty.
type SendCall struct {
	Ticket       Ticket
	Target       string
	Priority     int
	Hedge        bool
	ImportObject string
}

// RejectCall ends a call without a result. Outcome is OutcomeNotRun if no attempt ran
// and OutcomeUnknown if one may have run. A RetryAfter of 0 means that a retry is
// useless.
type RejectCall struct {
	Ticket     Ticket
	Outcome    Outcome
	Code       string
	RetryAfter time.Duration
}

// RetryCall queues a call again after a delay, with Exclude, Attempt and MayHaveRun
// in its CallInfo.
type RetryCall struct {
	Ticket     Ticket
	After      time.Duration
	Exclude    []string
	Attempt    int
	MayHaveRun bool
}

// CancelAttempt cancels an attempt whose result is no longer needed.
type CancelAttempt struct {
	Ticket Ticket
	Target string
}

// SendOrder sends an order to the engine of a target. The daemon sets the order's
// fencing number.
type SendOrder struct {
	Target string
	Order  provider.Order
}

func (SendCall) command()      {}
func (RejectCall) command()    {}
func (RetryCall) command()     {}
func (CancelAttempt) command() {}
func (SendOrder) command()     {}
