package allocator

import "fmt"

// Kind classifies an Error.
type Kind string

// KindTimeout means that the time for an operation has ended.
const KindTimeout Kind = "timeout"

// Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.operation, e.kind, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
