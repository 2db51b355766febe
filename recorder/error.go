package recorder

import (
	"errors"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Kind classifies an error of this package.
type Kind int

const (
	// KindNotFound means that the store has no such turn.
	KindNotFound Kind = iota + 1
	// KindUnavailable means that the store did not answer in time.
	KindUnavailable
	// KindInvalid means that a row cannot be encoded or decoded.
	KindInvalid
)

// Error is the error type of the package.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// NewError returns an error of an operation.
func NewError(operation string, kind Kind, cause error) *Error {
	return &Error{operation: operation, kind: kind, cause: cause}
}

// Operation returns what failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Error names the operation and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.operation
	}
	return e.operation + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// IsNotFound reports whether the store said that there is no such turn.
func IsNotFound(err error) bool {
	var own *Error
	return errors.As(err, &own) && own.kind == KindNotFound
}

// outcomeError turns the outcome of an entry into an error.
func outcomeError(operation string, kind provider.Kind) error {
	if kind == provider.KindNone {
		return nil
	}
	return NewError(operation, KindUnavailable, provider.NewError("store", kind, nil))
}
