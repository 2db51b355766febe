package committer

import "fmt"

// Kind classifies an error of the package.
type Kind int

const (
	// KindFull means that a request would exceed the bounds on pending requests.
	KindFull Kind = iota + 1
	// KindStopped means that the runner has stopped.
	KindStopped
)

// String returns the kind's name.
func (k Kind) String() string {
	if k == KindFull {
		return "full"
	}
	return "stopped"
}

// Error is the error type of the package.
type Error struct {
	operation string
	kind      Kind
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Error formats the operation and the kind.
func (e *Error) Error() string { return fmt.Sprintf("committer: %s: %s", e.operation, e.kind) }
