package messenger

import (
	"errors"
	"fmt"
)

// Kind classifies an error; it shows whether the request may have run.
type Kind int

const (
	// KindNone is the kind of a nil error.
	KindNone Kind = iota
	// KindUnreachable means that there is no usable connection; nothing was sent.
	KindUnreachable
	// KindUnauthenticated means that one side rejected the other's identity; nothing was
	// sent.
	KindUnauthenticated
	// KindTooLarge means that the message exceeds the limit; nothing was sent.
	KindTooLarge
	// KindBusy means that the peer rejected the request because too many are pending.
	KindBusy
	// KindRemoteError means that the peer replied with an error.
	KindRemoteError
	// KindMissingEvents means that events of a forwarded call were lost.
	KindMissingEvents
	// KindSlowReceiver means that the entry daemon consumed the events of a forwarded
	// call too slowly, so that its buffer overflowed.
	KindSlowReceiver
	// KindClosed means that the connection ended before the reply.
	KindClosed
	// KindTimeout means that the context ended before the reply.
	KindTimeout
)

var kindNames = [...]string{
	"none", "unreachable", "unauthenticated", "tooLarge", "busy", "remote", "gap", "slow", "closed", "timeout",
}

// String returns the kind's name as used in logs.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// NotRun reports whether an error of this kind proves that the peer's handler has
// not run.
func (k Kind) NotRun() bool {
	return k == KindUnreachable || k == KindUnauthenticated || k == KindTooLarge || k == KindBusy
}

// Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	peer      string
	cause     error
}

// Operation returns the RPC method that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Error formats the operation, the peer, the kind and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s %s: %s", e.operation, e.peer, e.kind)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of an error: KindNone for nil, and KindClosed for an error
// that is not an *Error, because such a request may have run.
func KindOf(err error) Kind {
	if err == nil {
		return KindNone
	}
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindClosed
}
