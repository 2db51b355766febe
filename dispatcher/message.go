package dispatcher

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

// Ticket names a call that was sent to a target.
type Ticket uint64

// Request describes a call that needs a target.
type Request struct {
	Service string
	// Engine is nil for plain services.
	Engine *follower.Engine
	// Prompt is the parts of the prompt; PromptTokens counts all of it.
	Prompt       []forwarder.PromptSegment
	PromptTokens int
	// BodyBytes is the size of the call's body.
	BodyBytes int
	// AffinityKey is the same for calls that concern one object, empty for none.
	AffinityKey string
	// Priority is the route's rank, 0 first.
	Priority int
	// ProgramStarted calls belong to a program that has had a turn.
	ProgramStarted bool
	// ObjectiveMissed calls belong to a program that is past its objective.
	ObjectiveMissed bool
	// Remaining is the time in which an answer is of use.
	Remaining time.Duration
	// Excluded targets have had the call.
	Excluded []string
	// RequiredTarget, when set, is the one target that may have the call.
	RequiredTarget string
}

// Message is an input of State.
type Message interface{ message() }

// TargetsChanged brings the targets in use.
type TargetsChanged struct {
	Targets map[string]follower.Target
	// Regions has the region of each failure domain.
	Regions map[string]string
}

// PlacementRequested asks for a target.
type PlacementRequested struct{ Request Request }

// ResponseStarted says that the first event, or the head of a plain answer, has arrived.
type ResponseStarted struct{ Ticket Ticket }

// Result says how a call ended at its target.
type Result int

const (
	// Completed calls were answered in full.
	Completed Result = iota + 1
	// Failed calls were answered with an error of the target, or not at all.
	Failed
	// TargetFull means that the target had no room and did not run the call.
	TargetFull
	// Misdirected means that another target has the address.
	Misdirected
	// Cancelled calls were cut by their caller.
	Cancelled
)

// AttemptEnded says that a call has ended at its target.
type AttemptEnded struct {
	Ticket Ticket
	Result Result
}

func (TargetsChanged) message()     {}
func (PlacementRequested) message() {}
func (ResponseStarted) message()    {}
func (AttemptEnded) message()       {}

// Command is an output of State.
type Command interface{ command() }

// Send sends the call to a target.
type Send struct {
	Ticket Ticket
	Target follower.Target
	// QueuePriority orders the call in the target's queue, 0 first; negative for plain services.
	QueuePriority int
	// CachedTokens is the number of prompt tokens that the target is believed to hold.
	CachedTokens int
	// ExpectedFirstEvent is the time to the first event that was reckoned with.
	ExpectedFirstEvent time.Duration
	// InFlight is the number of this daemon's other calls at the target.
	InFlight int
}

// Reject refuses the call.
type Reject struct {
	// Reason is "noTarget", "targetsFull" or "tooSlow".
	Reason     string
	RetryAfter time.Duration
}

func (Send) command()   {}
func (Reject) command() {}
