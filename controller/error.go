package controller

// Kind classifies an error of this package.
type Kind int

const (
	// KindSettings means that the settings cannot be used.
	KindSettings Kind = iota + 1
	// KindListen means that an address could not be listened on.
	KindListen
	// KindStopped means that the daemon has been stopped.
	KindStopped
	// KindTimeout means that a graceful shutdown did not finish in time.
	KindTimeout
	// KindMethod means that a request of another daemon is not known or malformed.
	KindMethod
)

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
func (e *Error) Error() string {
	if e.cause == nil {
		return e.operation
	}
	return e.operation + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
