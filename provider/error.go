package provider

import (
	"errors"
	"fmt"
)

// Kind classifies a platform error by whether the operation may have taken effect.
type Kind int

const (
	// KindNone is the kind of a nil error.
	KindNone Kind = iota
	// KindConflict means that a condition failed and nothing took effect.
	KindConflict
	// KindUnavailable means that the platform rejected the operation or could not be
	// reached, and nothing took effect.
	KindUnavailable
	// KindRefused means that the target rejected the request without running it.
	KindRefused
	// KindFenced means that an order carried an outdated fencing number.
	KindFenced
	// KindNotFound means that there is no such row, object or key.
	KindNotFound
	// KindUnsupported means that the target does not offer the operation.
	KindUnsupported
	// KindInvalid means that the request was malformed and nothing took effect.
	KindInvalid
	// KindUnknown means that the request may have taken effect.
	KindUnknown
)

var kindNames = [...]string{
	"none", "conflict", "unavailable", "refused", "fenced", "notFound", "unsupported", "invalid", "unknown",
}

// String returns the kind's name as used in logs and on the wire.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// ParseKind returns the kind with the given name, KindUnknown for any other text.
func ParseKind(name string) Kind {
	for i, n := range kindNames {
		if n == name {
			return Kind(i)
		}
	}
	return KindUnknown
}

// NoEffect reports whether an error of this kind proves that the operation had no effect.
func (k Kind) NoEffect() bool {
	return k != KindNone && k != KindUnknown
}

// Error is the error type of the interfaces of this package.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// NewError returns an error for an operation such as "tables.commit".
func NewError(operation string, kind Kind, cause error) *Error {
	return &Error{operation: operation, kind: kind, cause: cause}
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s: %s", e.operation, e.kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.operation, e.kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of an error: KindNone for nil and KindUnknown for an
// error that is not an *Error, since such an operation may have taken effect.
func KindOf(err error) Kind {
	if err == nil {
		return KindNone
	}
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindUnknown
}
