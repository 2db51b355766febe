package interpreter

import "fmt"

// Kind classifies what is wrong with a chart.
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
	// KindUnusedEvent means that the code declares an event that no state accepts.
	KindUnusedEvent
	// KindNoExit means that a state without transitions is not terminal.
	KindNoExit
	// KindTerminalExit means that a terminal state has transitions.
	KindTerminalExit
	// KindMissingHandler means that a named guard or handler is not bound.
	KindMissingHandler
	// KindUnusedHandler means that a bound guard or handler is never named.
	KindUnusedHandler
)

var kindNames = [...]string{
	"", "syntax", "unknownState", "unreachable", "unknownEvent", "unusedEvent", "noExit", "terminalExit",
	"missingHandler", "unusedHandler",
}

// String returns the kind's name.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return ""
	}
	return kindNames[k]
}

// Error says why a chart was rejected.
type Error struct {
	operation string
	kind      Kind
	chart     string
	state     string
	name      string
	cause     error
}

// Operation returns the operation that failed, "load".
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// State returns the state at which the fault was found, "" for the whole chart.
func (e *Error) State() string { return e.state }

// Name returns the state, event or handler that is at fault.
func (e *Error) Name() string { return e.name }

// Error names the chart, the state and what is wrong with it.
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
