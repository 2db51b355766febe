package interpreter

import "fmt"

// Kind classifies the errors of Load.
type Kind int

const (
	// KindSyntax means that the data is not a JSON chart.
	KindSyntax Kind = iota + 1
	// KindUnknownState means that a transition or the initial state names a state
	// that the chart does not define.
	KindUnknownState
	// KindUnreachable means that no sequence of events leads to a state.
	KindUnreachable
	// KindUnknownEvent means that the chart uses an event that the code does not
	// declare.
	KindUnknownEvent
	// KindUnusedEvent means that no state accepts an event that the code declares.
	KindUnusedEvent
	// KindNoExit means that a state without a transition to another state is not
	// terminal.
	KindNoExit
	// KindTerminalExit means that a terminal state has transitions.
	KindTerminalExit
	// KindMissingHandler means that a named guard or handler is not bound.
	KindMissingHandler
	// KindUnusedHandler means that the chart does not name a bound guard or handler.
	KindUnusedHandler
)

var kindNames = [...]string{
	"", "syntax", "unknownState", "unreachable", "unknownEvent", "unusedEvent", "noExit", "terminalExit",
	"missingHandler", "unusedHandler",
}

// String returns the name of the kind, or an empty string for an undefined kind.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return ""
	}
	return kindNames[k]
}

// Error is the error of a chart that was rejected.
type Error struct {
	operation string
	kind      Kind
	chart     string
	state     string
	name      string
	cause     error
}

// Operation returns the operation that failed, which is always "load".
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// State returns the state in which the error was found, or an empty string if the error
// concerns the whole chart.
func (e *Error) State() string { return e.state }

// Name returns the name of the state, event, guard or handler that caused the error. It
// may be empty.
func (e *Error) Name() string { return e.name }

// Error returns a message with the chart, the kind of the error, the name and the state.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s chart %q: %s", e.operation, e.chart, e.kind)
	if e.name != "" {
		text += fmt.Sprintf(" %q", e.name)
	}
	if e.state != "" {
		text += fmt.Sprintf(" in state %q", e.state)
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
