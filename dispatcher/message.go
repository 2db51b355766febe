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
	// Bytes is the size of the call's body.
	Bytes int
	// Affinity is the same for calls that concern one object, empty for none.
	Affinity string
	// Priority is the route's rank, 0 first.
	Priority int
	// UnderWay calls belong to a program that has had a turn.
	UnderWay bool
	// Late calls belong to a program that is past its objective.
	Late bool
	// Left is the time in which an answer is of use.
	Left time.Duration
	// Excluded targets have had the call.
	Excluded []string
	// Only, when set, is the one target that may have the call.
	Only string
}

// Message is an input of State.
type Message interface{ message() }

// TargetsChanged brings the targets in use.
type TargetsChanged struct {
	Targets map[string]follower.Target
	// Regions has the region of each failure domain.
	Regions map[string]string
}

// Asked asks for a target.
type Asked struct{ Request Request }

// Started says that the first event, or the head of a plain answer, has arrived.
type Started struct{ Ticket Ticket }

// Ending says how a call ended at its target.
type Ending int

const (
	// Completed calls were answered in full.
	Completed Ending = iota + 1
	// Failed calls were answered with an error of the target, or not at all.
	Failed
	// Full means that the target had no room and did not run the call.
	Full
	// Misdirected means that another target has the address.
	Misdirected
	// Abandoned calls were cut by their caller.
	Abandoned
)

// Ended says that a call has ended at its target.
type Ended struct {
	Ticket Ticket
	Ending Ending
}

func (TargetsChanged) message() {}
func (Asked) message()          {}
func (Started) message()        {}
func (Ended) message()          {}

// Command is an output of State.
type Command interface{ command() }

// Send sends the call to a target.
type Send struct {
	Ticket Ticket
	Target follower.Target
	// Rank orders the call in the target's queue, 0 first; negative for plain services.
	Rank int
	// Cached is the number of prompt tokens that the target is believed to hold.
	Cached int
	// Expected is the time to the first event that was reckoned with.
	Expected time.Duration
	// InFlight is the number of this daemon's other calls at the target.
	InFlight int
}

// Refuse refuses the call.
type Refuse struct {
	// Reason is "noTarget", "targetsFull" or "tooSlow".
	Reason     string
	RetryAfter time.Duration
}

func (Send) command()   {}
func (Refuse) command() {}
