package viewer

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindStore means that a request to the store failed.
	KindStore Kind = "store"
	// KindUnreadable means that a row cannot be decoded.
	KindUnreadable Kind = "unreadable"
	// KindNotFound means that the row does not exist.
	KindNotFound Kind = "notFound"
)

// Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// Operation returns the name of what was being read.
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s: %s", e.operation, e.kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.operation, e.kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
