package dispatcher

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

// Ticket identifies an attempt of a call at a target.
type Ticket uint64

// Request describes a call that needs a target.
type Request struct {
	Service string
	// Engine is nil for calls of plain services.
	Engine *follower.Engine
	// Prompt lists the segments of the prompt, PromptTokens counts the tokens of all of it.
	Prompt       []forwarder.PromptSegment
	PromptTokens int
	// BodyBytes is the size of the request body.
	BodyBytes int
	// AffinityKey is equal for calls that concern the same object, empty for none.
	AffinityKey string
	// Priority is the priority of the route, 0 first.
	Priority int
	// ProgramStarted is set if the call's program has had a turn.
	ProgramStarted bool
	// ObjectiveMissed is set if the call's program is past its latency objective.
	ObjectiveMissed bool
	// Remaining is the time within which a response is still useful.
	Remaining time.Duration
	// Excluded lists the IDs of targets that have been tried already.
	Excluded []string
	// RequiredTarget is the ID of the only target that may get the call, empty for any.
	RequiredTarget string
}

// Message is an input of State.
type Message interface{ message() }

// TargetsChanged replaces the list of targets.
type TargetsChanged struct {
	Targets map[string]follower.Target
	// Regions maps each failure domain to its region.
	Regions map[string]string
}

// TargetLeaving reports that a target has announced in a response that it leaves. Its process is
// identified by the time of its start.
type TargetLeaving struct {
	ID        string
	StartedAt int64
}

// PlacementRequested asks for the placement of a call. Update returns a Send or a Reject.
type PlacementRequested struct{ Request Request }

// LoadReported gives the calls of the other daemons of the failure domain at its engines, by target ID, as
// of a time. Engines that it does not name have none.
type LoadReported struct {
	InFlight map[string]int
	At       time.Time
}

// ResponseStarted reports the first event of a stream or the response head of a plain service.
type ResponseStarted struct{ Ticket Ticket }

// Result is how an attempt ended.
type Result int

const (
	// Completed means that the whole response was received.
	Completed Result = iota + 1
	// Failed means that the target returned an error or did not respond.
	Failed
	// TargetFull means that the target rejected the call for lack of room and did not run it.
	TargetFull
	// Misdirected means that the address belongs to another target.
	Misdirected
	// Cancelled means that the caller ended the call.
	Cancelled
)

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Ticket Ticket
	Result Result
}

func (TargetsChanged) message()     {}
func (TargetLeaving) message()      {}
func (PlacementRequested) message() {}
func (LoadReported) message()       {}
func (ResponseStarted) message()    {}
func (AttemptEnded) message()       {}

// Command is an output of State.
type Command interface{ command() }

// Send orders an attempt of the call at a target.
type Send struct {
	Ticket Ticket
	Target follower.Target
	// QueuePriority is the order of the call in the target's queue, 0 first. It is negative
	// for plain services.
	QueuePriority int
	// CachedTokens is the estimated number of prompt tokens in the target's cache.
	CachedTokens int
	// ExpectedFirstEvent is the estimated time to the first event.
	ExpectedFirstEvent time.Duration
	// InFlight is the number of other calls of this daemon at the target.
	InFlight int
	// Session is the session of the call.
	Session SessionID
	// PreviousTarget is the ID of the target that responded to the session's last turn at this daemon,
	// empty if it is not known.
	PreviousTarget string
}

// Moved reports whether the session's last turn at this daemon was at another target.
func (s *Send) Moved() bool { return s.PreviousTarget != "" && s.PreviousTarget != s.Target.ID }

// Reject means that no target can take the call now, or none can respond in time.
type Reject struct {
	// Reason is "noTarget", "targetsFull" or "tooSlow".
	Reason     string
	RetryAfter time.Duration
}

func (Send) command()   {}
func (Reject) command() {}
