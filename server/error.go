package server

import (
	"fmt"
	"net/http"
)

// Kind classifies an error of this package.
type Kind int

const (
	// KindListen means that listening on an address failed.
	KindListen Kind = iota + 1
	// KindDecode means that a request could not be decoded.
	KindDecode
	// KindRange means that a value of a request is outside its limits.
	KindRange
)

// Error is the error type of the package.
type Error struct {
	operation string
	kind      Kind
	field     string
	cause     error
}

// Operation returns the name of the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the operation, the field and the cause as one text.
func (e *Error) Error() string {
	text := e.operation
	if e.field != "" {
		text += fmt.Sprintf(": field %q", e.field)
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error codes of responses. Codes of the packages sequencer and scheduler are
// passed on unchanged.
const (
	CodeInvalidRequest   = "invalidRequest"
	CodeUnauthorized     = "unauthorized"
	CodeForbidden        = "forbidden"
	CodeNotFound         = "notFound"
	CodeTooLarge         = "tooLarge"
	CodeOverloaded       = "overloaded"
	CodeNoTarget         = "noTarget"
	CodeShuttingDown     = "shuttingDown"
	CodeOwnerUnreachable = "ownerUnreachable"
	CodeStoreUnavailable = "storeUnavailable"
	CodeNotReady         = "notReady"
	CodeInternal         = "internal"
)

// statusByCode maps error codes to HTTP statuses. For other codes the status
// depends on the outcome.
var statusByCode = map[string]int{
	CodeInvalidRequest:   http.StatusBadRequest,
	CodeUnauthorized:     http.StatusUnauthorized,
	CodeForbidden:        http.StatusForbidden,
	CodeNotFound:         http.StatusNotFound,
	"programNotFound":    http.StatusNotFound,
	"unknownService":     http.StatusNotFound,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeOverloaded:       http.StatusTooManyRequests,
	"rateLimited":        http.StatusTooManyRequests,
	"queueFull":          http.StatusTooManyRequests,
	CodeNoTarget:         http.StatusServiceUnavailable,
	CodeShuttingDown:     http.StatusServiceUnavailable,
	CodeOwnerUnreachable: http.StatusServiceUnavailable,
	CodeStoreUnavailable: http.StatusServiceUnavailable,
	CodeNotReady:         http.StatusServiceUnavailable,
	CodeInternal:         http.StatusInternalServerError,
	"historyMismatch":    http.StatusConflict,
	"programEnded":       http.StatusConflict,
	"keyConflict":        http.StatusConflict,
	"stepConflict":       http.StatusConflict,
	"stepOutOfOrder":     http.StatusConflict,
	"callInProgress":     http.StatusConflict,
	"budgetExceeded":     http.StatusPaymentRequired,
	"deadlineExceeded":   http.StatusGatewayTimeout,
	"timeout":            http.StatusGatewayTimeout,
}

// httpStatusOf returns the HTTP status for a response with an error.
func httpStatusOf(response Response) int {
	if status, ok := statusByCode[response.Code]; ok {
		return status
	}
	if response.Outcome == OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// defaultRetryAfterMs holds the retry times of temporary errors, for responses that
// set none. After errors with other codes a retry is useless.
var defaultRetryAfterMs = map[string]int{
	CodeNotReady: 1_000, CodeShuttingDown: 100, CodeNoTarget: 1_000, CodeOwnerUnreachable: 2_000,
	CodeStoreUnavailable: 2_000, CodeOverloaded: 1_000, "queueFull": 1_000, "callInProgress": 200,
	"budgetReserved": 500, "ownerChanging": 200, "ownerChanged": 200, "targetFailed": 500,
}

// withRetryAfter returns the response with the default retry time of its code if it
// has none.
func withRetryAfter(response Response) Response {
	if response.RetryAfterMs == 0 {
		response.RetryAfterMs = defaultRetryAfterMs[response.Code]
	}
	return response
}
