package commander

import (
	"errors"
	"fmt"

	"github.com/google/subcommands"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

// Exit codes of the tool.
const (
	// ExitOK means that the command succeeded.
	ExitOK subcommands.ExitStatus = 0
	// ExitFailed means that the daemon rejected the request or failed to run it.
	ExitFailed subcommands.ExitStatus = 1
	// ExitUsage means that the command line is wrong; nothing was sent.
	ExitUsage subcommands.ExitStatus = 2
	// ExitConflict means that another operator published first; nothing changed.
	ExitConflict subcommands.ExitStatus = 3
	// ExitUnreachable means that no daemon could be reached; nothing changed.
	ExitUnreachable subcommands.ExitStatus = 4
	// ExitInvalid means that a file or document breaks a rule; nothing changed.
	ExitInvalid subcommands.ExitStatus = 5
	// ExitUnknown means that the request may have taken effect.
	ExitUnknown subcommands.ExitStatus = 6
)

// Kind classifies an error of the tool.
type Kind int

const (
	// KindUsage means that the command line is wrong.
	KindUsage Kind = iota + 1
	// KindUnreachable means that no daemon could be reached.
	KindUnreachable
	// KindFailed means that the daemon rejected the request or failed to run it.
	KindFailed
	// KindUnknown means that the request may have taken effect.
	KindUnknown
	// KindInvalid means that a file breaks a rule.
	KindInvalid
)

// Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	message   string
	cause     error
}

func newError(operation string, kind Kind, cause error, format string, values ...any) *Error {
	return &Error{operation: operation, kind: kind, message: fmt.Sprintf(format, values...), cause: cause}
}

// Operation returns the command or request that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Error formats the operation, the message and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.operation + ": " + e.message
	}
	return e.operation + ": " + e.message + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// exitStatus returns the exit code of an error.
func exitStatus(err error) subcommands.ExitStatus {
	var toolErr *Error
	var parseErr *parser.Error
	var publishErr *publisher.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &parseErr):
		return ExitInvalid
	case errors.As(err, &publishErr):
		return publishExitStatus(publishErr.Kind())
	case errors.As(err, &toolErr):
		return toolExitStatus(toolErr.kind)
	}
	return ExitFailed
}

func publishExitStatus(kind publisher.Kind) subcommands.ExitStatus {
	switch kind {
	case publisher.KindConflict:
		return ExitConflict
	case publisher.KindInvalid:
		return ExitInvalid
	case publisher.KindUnavailable:
		return ExitUnreachable
	case publisher.KindUnknown:
		return ExitUnknown
	}
	return ExitFailed
}

func toolExitStatus(kind Kind) subcommands.ExitStatus {
	switch kind {
	case KindUsage:
		return ExitUsage
	case KindUnreachable:
		return ExitUnreachable
	case KindUnknown:
		return ExitUnknown
	case KindInvalid:
		return ExitInvalid
	}
	return ExitFailed
}

// errorBody is the body of the daemon's error responses.
type errorBody struct {
	Error struct {
		Code         string `json:"code"`
		Message      string `json:"message"`
		Outcome      string `json:"outcome"`
		RetryAfterMs int    `json:"retryAfterMs"`
		Program      string `json:"program"`
		Step         int    `json:"step"`
	} `json:"error"`
	Winner *encoder.AuditRecord `json:"winner"`
}
