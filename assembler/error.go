package assembler

// Kind classifies an error of this package.
type Kind int

// KindListen means that an address could not be listened on.
const KindListen Kind = 1

// Error is the error type of the package.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// Operation returns what failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Error names the operation and the cause.
func (e *Error) Error() string { return e.operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
