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
	// KindTooLong means that a chain has too many turns.
	KindTooLong
	// KindTooLarge means that the store does not take a turn of that size.
	KindTooLarge
)

// String returns the kind's text.
func (k Kind) String() string {
	switch k {
	case KindNotFound:
		return "not found"
	case KindUnavailable:
		return "unavailable"
	case KindCorrupt:
		return "corrupt"
	case KindTooLong:
		return "chain too long"
	case KindTooLarge:
		return "too large"
	}
	return "unknown"
}

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

// Error returns the operation, the kind and the cause, if there is one.
func (e *Error) Error() string {
	text := e.operation + ": " + e.kind.String()
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }
