package messenger

import (
	"errors"
	"fmt"
)

// Kind classifies an error by what it says about the request.
type Kind int

const (
	// KindNone is the kind of a nil error.
	KindNone Kind = iota
	// KindUnreachable means that no connection could be opened; nothing was sent.
	KindUnreachable
	// KindUnauthenticated means that one side refused the other; nothing was sent.
	KindUnauthenticated
	// KindTooLarge means that the message exceeds the limit; nothing was sent.
	KindTooLarge
	// KindBusy means that the peer served too many requests and did not run this one.
	KindBusy
	// KindRemoteError means that the peer's handler answered with an error.
	KindRemoteError
	// KindMissingEvents means that events of a streamed answer are missing.
	KindMissingEvents
	// KindSlowReceiver means that the receiver of a streamed answer did not keep up.
	KindSlowReceiver
	// KindClosed means that the connection ended before the answer.
	KindClosed
	// KindTimeout means that the context ended before the answer.
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

// NotSent reports whether an error of this kind proves that the peer's handler
// did not see the request.
func (k Kind) NotSent() bool {
	return k == KindUnreachable || k == KindUnauthenticated || k == KindTooLarge || k == KindBusy
}

// Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	peer      string
	cause     error
}

// Operation returns the method or step that failed.
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

// KindOf returns the kind of an error: KindNone for nil and KindClosed for an
// error that is not an *Error, so that doubt is never taken for "not sent".
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
