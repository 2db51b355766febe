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
	// KindUnavailable means that the store did not respond in time.
	KindUnavailable
	// KindInvalid means that a row cannot be encoded or decoded, or that a chain is too long.
	KindInvalid
	// KindTooLarge means that this daemon has too little memory for a chain.
	KindTooLarge
	// KindNoMemory means that no memory became free in time.
	KindNoMemory
)

// Error is the error type of the package.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// NewError returns an error of an operation. The cause may be nil.
func NewError(operation string, kind Kind, cause error) *Error {
	return &Error{operation: operation, kind: kind, cause: cause}
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the operation and the cause, if there is one.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.operation
	}
	return e.operation + ": " + e.cause.Error()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// IsNotFound reports whether an error means that the turn does not exist.
func IsNotFound(err error) bool { return KindOf(err) == KindNotFound }

// KindOf returns the kind of an error of this package, 0 for others.
func KindOf(err error) Kind {
	var own *Error
	if errors.As(err, &own) {
		return own.kind
	}
	return 0
}

// outcomeError returns the error for the outcome of an entry, nil for KindNone.
func outcomeError(operation string, kind provider.Kind) error {
	if kind == provider.KindNone {
		return nil
	}
	return NewError(operation, KindUnavailable, provider.NewError("store", kind, nil))
}
