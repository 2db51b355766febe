package publisher

import (
	"errors"
	"fmt"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// Kind classifies an error of this package.
type Kind int

const (
	// KindConflict means that another version was published first; nothing changed.
	KindConflict Kind = iota + 1
	// KindInvalid means that the document breaks a rule; nothing changed.
	KindInvalid
	// KindUnavailable means that the store did not carry out the operation; nothing
	// changed.
	KindUnavailable
	// KindUnknown means that the change may have taken effect.
	KindUnknown
	// KindNotFound means that there is no such version.
	KindNotFound
)

var kindNames = map[Kind]string{
	KindConflict: "conflict", KindInvalid: "invalid", KindUnavailable: "unavailable",
	KindUnknown: "unknown", KindNotFound: "notFound",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Error is the error type of this package.
type Error struct {
	operation   string
	kind        Kind
	cause       error
	conflicting *encoder.AuditRecord
}

// NewError returns an error. The command-line tool uses it to rebuild an error from a
// daemon's response.
func NewError(operation string, kind Kind, cause error, conflicting *encoder.AuditRecord) *Error {
	return &Error{operation: operation, kind: kind, cause: cause, conflicting: conflicting}
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// ConflictingRecord returns the audit record of the change that was published first,
// nil if it is not known.
func (e *Error) ConflictingRecord() *encoder.AuditRecord { return e.conflicting }

// Error formats the operation, the kind, the cause and the conflicting change.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.operation, e.kind)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	if r := e.conflicting; r != nil {
		text += fmt.Sprintf(": version %d was published first by %s at %s", r.Version, r.Operator, r.At)
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// IsConflict reports whether another version was published first.
func IsConflict(err error) bool { return KindOf(err) == KindConflict }

// KindOf returns the kind of an error, 0 for nil and for errors of other packages.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return 0
}
