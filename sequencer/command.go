package sequencer

import (
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Command is an output of State.Update.
type Command interface{ command() }

// AppendRecords commits records to the store. Tickets must be committed in order.
type AppendRecords struct {
	Ticket  uint64
	Records []encoder.Record
}

// DispatchAttempt runs a call. Before sending a call that is not repeatable, the
// executor must check again that the lease is valid, and otherwise finish the
// attempt as not run.
type DispatchAttempt struct {
	CallID  string
	Attempt int
	// Request.Messages holds the part of the prompt that follows the segments.
	Request CallRequest
	// Segments names the objects with the older part of the history, oldest first.
	Segments []string
}

// LookupAttempt looks up the result of a call that an earlier owner may have run at
// the target. The executor must not run the call.
type LookupAttempt struct {
	CallID         string
	Attempt        int
	Service        string
	IdempotencyKey string
}

// CancelAttempt stops a running attempt; AttemptFinished still follows.
type CancelAttempt struct {
	CallID  string
	Attempt int
}

// Response is the only response to a request.
type Response struct {
	RequestID string
	Program   string
	Step      int
	Outcome   Outcome
	Code      string
	Message   string
	Result    Result
	// Segment, if set, names the object that holds the response text as its
	// message number Offset.
	Segment string
	Offset  int
}

// ReleaseMemory tells targets to free the memory that they hold for an ended program.
// It is repeated for each target until ReleaseConfirmed.
type ReleaseMemory struct {
	Program string
	Targets []string
}

// NotifyProgramEnded tells the rest of the daemon that a program has ended.
type NotifyProgramEnded struct{ Program, Reason string }

// StoreSegment writes a part of a history to the object store. The name is derived
// from the content, so a repeated write is harmless.
type StoreSegment struct {
	Program  string
	Name     string
	Messages []provider.ChatMessage
}

func (AppendRecords) command()      {}
func (DispatchAttempt) command()    {}
func (LookupAttempt) command()      {}
func (CancelAttempt) command()      {}
func (Response) command()           {}
func (ReleaseMemory) command()      {}
func (NotifyProgramEnded) command() {}
func (StoreSegment) command()       {}
