package historian

// Kind classifies an error of this package.
type Kind int

const (
	// KindNotFound means that the store has no such turn.
	KindNotFound Kind = iota + 1
	// KindUnavailable means that the store could not be read.
	KindUnavailable
	// KindCorrupt means that a row cannot be decoded.
	KindCorrupt
	// KindTooLong means that a chain exceeds the longest that is served.
	KindTooLong
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
	text := e.operation
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
