package forwarder

import "errors"

// Kind classifies an error of this package.
type Kind int

const (
	// KindNone is the kind of a nil error.
	KindNone Kind = iota
	// KindNotSent means that no byte of the call was sent, so it has not run.
	KindNotSent
	// KindGone means that nothing listens at the target's address: the call was not sent, and the
	// target has ended.
	KindGone
	// KindUncertain means that the call was sent, wholly or in part, and may have run.
	KindUncertain
	// KindCancelled means that the caller's context ended after the call was sent.
	KindCancelled
	// KindBroken means that a stream was interrupted or cannot be parsed.
	KindBroken
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	return [...]string{"none", "notSent", "gone", "uncertain", "cancelled", "broken"}[k]
}

// Error is the error type of the package.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// NewError returns an error of the given kind in an operation.
func NewError(operation string, kind Kind, cause error) *Error {
	return &Error{operation: operation, kind: kind, cause: cause}
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	text := e.operation + ": " + e.kind.String()
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of an error, KindUncertain for errors of other packages.
func KindOf(err error) Kind {
	if err == nil {
		return KindNone
	}
	var own *Error
	if errors.As(err, &own) {
		return own.kind
	}
	return KindUncertain
}
