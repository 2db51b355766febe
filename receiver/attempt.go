package receiver

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

// nextStep says how to proceed after an attempt at a target.
type nextStep int

const (
	// stopAttempts means that the caller's response has ended, completely or with an error.
	stopAttempts nextStep = iota
	// tryOtherTarget means that the call was not sent or the target rejected it, and that it may be
	// sent to another one.
	tryOtherTarget
	// targetGone means that the target no longer runs.
	targetGone
	// repeatCall means that the call may have run and may be repeated.
	repeatCall
)

// attempts records the attempts of a call.
type attempts struct {
	excluded   []string
	rejections int
	// possibleRuns counts the attempts that may have run the call.
	possibleRuns int
	// admittedRuns is the number of possible runs that the quota of the workspace has been charged for
	// again.
	admittedRuns int
	// possibleTargets are the targets that may have run the call and have not ended since.
	possibleTargets []string
	lastErr         error
}

// sendToTargets makes attempts at targets until the caller's response has ended.
func (h *callHandler) sendToTargets() {
	var a attempts
	for {
		if h.remaining() <= 0 {
			h.fail(&a, http.StatusGatewayTimeout, "timeout")
			return
		}
		if !h.admitAgain(&a) {
			return
		}
		send, ok := h.chooseTarget(&a)
		if !ok {
			return
		}
		switch next := h.attemptTarget(&a, send); next {
		case stopAttempts:
			return
		case tryOtherTarget, targetGone:
			a.excluded = append(a.excluded, send.Target.ID)
			if next == targetGone {
				a.possibleTargets = slices.DeleteFunc(a.possibleTargets, func(id string) bool { return id == send.Target.ID })
			}
			if a.rejections++; a.rejections >= h.receiver.options.MaxRejections {
				h.fail(&a, http.StatusBadGateway, "targetsRefuse")
				return
			}
		case repeatCall:
			h.receiver.deps.Forwarder.CloseIdle(send.Target.ID)
			if !slices.Contains(a.possibleTargets, send.Target.ID) {
				a.possibleTargets = append(a.possibleTargets, send.Target.ID)
			}
			if a.possibleRuns++; a.possibleRuns > h.receiver.options.MaxRejections {
				h.fail(&a, http.StatusBadGateway, "targetsFail")
				return
			}
		}
	}
}

// fail ends a call for which no target has completed a response. If the head of a response
// has been sent, it aborts that response. Otherwise it rejects the call, with the given
// status if the call may have run and with 503 if it has not.
func (h *callHandler) fail(a *attempts, status int, reason string) {
	if h.headWritten {
		h.abortResponse(reason, a.lastErr)
	}
	if a.possibleRuns == 0 {
		_ = h.reject(http.StatusServiceUnavailable, reason, h.receiver.options.TargetsRetryAfter, a.lastErr)
		return
	}
	_ = h.reject(status, reason, 0, a.lastErr)
}

// abortResponse closes the caller's connection, so that the response does not look complete.
// It does not return.
func (h *callHandler) abortResponse(reason string, err error) {
	h.record.Reason, h.record.Err = reason, err
	if !h.request.ProtoAtLeast(1, 1) {
		h.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// lingerer is a connection that can be reset.
type lingerer interface{ SetLinger(seconds int) error }

// resetConnection resets the caller's connection. Responses to HTTP/1.0 have no chunks: a connection
// that is closed in an orderly way marks their end.
func (h *callHandler) resetConnection() {
	conn, _, err := http.NewResponseController(h.writer).Hijack()
	if err != nil {
		h.record.Err = errors.Join(h.record.Err, err)
		return
	}
	if l, ok := conn.(lingerer); ok {
		h.record.Err = errors.Join(h.record.Err, l.SetLinger(0))
	}
	// The connection is closed even if Close returns an error.
	_ = conn.Close()
}

// chooseTarget asks the dispatcher for a target. If there is none it ends the call and
// returns false.
func (h *callHandler) chooseTarget(a *attempts) (dispatcher.Send, bool) {
	h.receiver.deps.AwaitCurrent(h.request.Context())
	request := dispatcher.Request{
		Service: h.service.Name, Engine: h.service.Engine, Prompt: h.call.Prompt,
		PromptTokens: h.call.PromptTokens, BodyBytes: h.targetBody.Len(),
		Priority: h.route.Priority, ProgramStarted: h.programStarted(), ObjectiveMissed: h.call.Program != "" && h.call.ProgramRemaining <= 0,
		Remaining: h.remaining(), Excluded: a.excluded,
	}
	if len(a.possibleTargets) >= h.route.MaxTargets {
		// A repetition at the same target does not add to the targets that may have run the call.
		request.RequiredTarget = a.possibleTargets[len(a.possibleTargets)-1]
	}
	if h.route.Affinity {
		request.AffinityKey = h.call.AffinityKey
	}
	for _, c := range h.receiver.UpdateDispatcher(dispatcher.PlacementRequested{Request: request}) {
		switch c := c.(type) {
		case dispatcher.Send:
			h.record.Attempts++
			h.record.Target, h.record.CachedTokens = c.Target.ID, c.CachedTokens
			h.record.ExpectedFirstEvent, h.record.InFlight = c.ExpectedFirstEvent, c.InFlight
			h.record.Session, h.record.PreviousTarget, h.record.Moved = c.Session, c.PreviousTarget, c.Moved()
			return c, true
		case dispatcher.Reject:
			if h.headWritten || a.possibleRuns > 0 {
				h.fail(a, http.StatusBadGateway, c.Reason)
				return dispatcher.Send{}, false
			}
			_ = h.reject(http.StatusServiceUnavailable, c.Reason, c.RetryAfter, a.lastErr)
		}
	}
	return dispatcher.Send{}, false
}

// programStarted reports whether the program has had a turn: the call continues a turn, or
// tokens of the program's budget were granted before.
func (h *callHandler) programStarted() bool {
	return h.call.Previous != "" || h.reservation != nil && h.reservation.HadTokens
}

// attemptTarget makes one attempt at a target and reports its result to the dispatcher.
func (h *callHandler) attemptTarget(a *attempts, send dispatcher.Send) nextStep {
	result := dispatcher.Failed
	defer func() { h.receiver.UpdateDispatcher(dispatcher.AttemptEnded{Ticket: send.Ticket, Result: result}) }()
	ctx, cancel := context.WithTimeout(h.request.Context(), h.remaining())
	defer cancel()
	defer h.receiver.cancelAtStop(cancel)()
	firstEventTimer := h.startFirstEventTimer(a, cancel, send)
	if firstEventTimer != nil {
		defer firstEventTimer.Stop()
	}
	exchange, err := h.receiver.deps.Forwarder.Send(ctx, h.targetRequest(send))
	if err != nil {
		a.lastErr = err
		next, attemptResult := h.handleSendError(err)
		result = attemptResult
		return next
	}
	defer exchange.Close()
	next, attemptResult := h.handleResponse(a, send, exchange, firstEventTimer)
	result = attemptResult
	return next
}

// startFirstEventTimer returns a timer that cancels an attempt whose first event is long
// overdue, or nil if no other target may get the call or too little time remains. A silent target
// is no reason to cancel a call that would only join the end of the same queue: a connection that
// no longer delivers is detected by its own timeouts.
func (h *callHandler) startFirstEventTimer(a *attempts, cancel context.CancelFunc, send dispatcher.Send) *time.Timer {
	if !h.route.MayRepeat() || len(a.possibleTargets)+1 >= h.route.MaxTargets {
		return nil
	}
	o := &h.receiver.options
	wait := max(o.MinFirstEventTimeout, time.Duration(o.FirstEventTimeoutFactor*float64(send.ExpectedFirstEvent)))
	if wait > h.remaining()*2/3 {
		return nil
	}
	return time.AfterFunc(wait, cancel)
}

// targetRequest returns the request to the target.
func (h *callHandler) targetRequest(send dispatcher.Send) forwarder.Request {
	return forwarder.Request{
		Method: h.request.Method, URL: h.request.URL, URI: h.request.RequestURI, Host: h.request.Host,
		Header: h.request.Header, Body: h.targetBody, CallID: h.call.ID,
		// The target may close an idle connection at any moment, and then it would be unknown
		// whether it has read the call.
		NewConnection:      !h.route.MayRepeat() && !h.route.Streaming,
		MaxIdleConnections: h.maxIdleConnections(),
		OnHead: func(head forwarder.ResponseHead) {
			if head.Leaving {
				h.receiver.recordLeaving(&send.Target)
			}
		},
		Attempt: forwarder.Attempt{
			Target: send.Target.ID, Address: send.Target.Address, Remaining: h.remaining(), QueuePriority: send.QueuePriority, Workspace: h.workspaceName(), LastEventID: h.resumeEventID(),
		},
	}
}

// maxIdleConnections returns this daemon's share of a third of the connections that a target
// accepts. The rest is left free because for a while a target still counts the connections of
// daemons that have lost power.
func (h *callHandler) maxIdleConnections() int {
	const idleDivisor = 3
	return max(1, h.service.MaxConnections/(idleDivisor*max(1, h.receiver.deps.DaemonCount())))
}

// handleSendError decides how to proceed when no response head has arrived.
func (h *callHandler) handleSendError(err error) (nextStep, dispatcher.Result) {
	kind := forwarder.KindOf(err)
	switch {
	case h.request.Context().Err() != nil:
		h.record.Reason, h.record.Err = reasonCallerLeft, err
		return stopAttempts, dispatcher.Cancelled
	case kind == forwarder.KindGone:
		return targetGone, dispatcher.Failed
	case kind == forwarder.KindNotSent:
		return tryOtherTarget, dispatcher.Failed
	case h.route.MayRepeat() && h.remaining() > 0:
		return repeatCall, dispatcher.Failed
	case h.headWritten:
		h.abortResponse("targetLost", err)
	case h.remaining() <= 0:
		_ = h.reject(http.StatusGatewayTimeout, "timeout", 0, err)
		return stopAttempts, dispatcher.Cancelled
	}
	_ = h.reject(http.StatusBadGateway, "targetLost", 0, err)
	return stopAttempts, dispatcher.Failed
}
