package limiter

// Kind classifies an error of this package.
type Kind int

const (
	// KindMalformed means that a row or a request cannot be decoded.
	KindMalformed Kind = iota + 1
	// KindUnlisted means that a host is not in the list of daemons.
	KindUnlisted
)

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

// Error returns the operation and the cause, if there is one.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.operation
	}
	return e.operation + ": " + e.cause.Error()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }
