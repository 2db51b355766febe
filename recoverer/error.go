package recoverer

import "fmt"

// Kind classifies an error of the package.
type Kind int

const (
	// KindUnavailable means that the store could not be reached; the load can be
	// repeated.
	KindUnavailable Kind = iota + 1
	// KindMissing means that a required log row or object does not exist.
	KindMissing
	// KindDamaged means that a log row or an object cannot be decoded.
	KindDamaged
)

var kindNames = map[Kind]string{KindUnavailable: "unavailable", KindMissing: "missing", KindDamaged: "damaged"}

func (k Kind) String() string { return kindNames[k] }

// Error reports a row or an object that could not be read or decoded.
type Error struct {
	operation string
	kind      Kind
	name      string
	cause     error
}

// Operation returns the name of the failed operation.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Name returns the key of the row or the name of the object.
func (e *Error) Name() string { return e.name }

// Error formats the operation, the kind, the name of the row or object and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("recoverer: %s: %s: %s", e.operation, e.kind, e.name)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

func (e *Error) Unwrap() error { return e.cause }
