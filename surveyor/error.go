package surveyor

// Kind classifies an error of this package.
type Kind int

// KindMalformed means that a peer has sent a message that cannot be decoded.
const KindMalformed Kind = 1

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

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
