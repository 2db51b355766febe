package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
	"github.com/dogwoodweir/dogwoodweir/historian"
)

// A rejection's body is read to its end within these bounds, so that its connection can be used
// again. They are far above a short text that arrives with its head.
const (
	maxDrainedBytes = 16 << 10
	drainTimeout    = 100 * time.Millisecond
)

// streamMemoryStep is the step in which a stream takes memory, so that not each event takes some.
const streamMemoryStep = 1 << 10

// copyBufferBytes is the size of the buffer in which a plain response that is not kept passes through.
const copyBufferBytes = 8 << 10

// handleResponse processes a response whose head has arrived.
func (h *callHandler) handleResponse(
	a *attempts, send dispatcher.Send, e *forwarder.Exchange, firstEventTimer *time.Timer,
) (nextStep, dispatcher.Result) {
	head := e.Head()
	switch {
	case head.NotRun && head.Status == http.StatusMisdirectedRequest:
		e.Drain(maxDrainedBytes, drainTimeout)
		return tryOtherTarget, dispatcher.Misdirected
	case head.NotRun && head.Status >= http.StatusInternalServerError, head.NotRun && head.Status == http.StatusTooManyRequests:
		e.Drain(maxDrainedBytes, drainTimeout)
		return tryOtherTarget, dispatcher.TargetFull
	case h.headWritten && (head.Status < 200 || head.Status >= 300):
		// The caller is in the middle of a stream that another attempt began.
		return h.handleUnusableResponse(a, fmt.Errorf("response to a resumed stream has status %d", head.Status))
	case head.Status >= 200 && head.Status < 300 && !head.Sealed:
		// The response does not come from the target, so it does not show that the call has run.
		return h.handleUnusableResponse(a, errors.New("response with a success status has no seal"))
	case head.Status >= 200 && head.Status < 300 && h.route.Streaming:
		return h.forwardStream(a, send, e, firstEventTimer)
	}
	return h.forwardPlain(a, send, e)
}

// handleUnusableResponse decides how to proceed after a response that cannot be forwarded.
func (h *callHandler) handleUnusableResponse(a *attempts, err error) (nextStep, dispatcher.Result) {
	a.lastErr = err
	switch {
	case h.request.Context().Err() != nil:
		h.record.Reason, h.record.Err = reasonCallerLeft, err
		return stopAttempts, dispatcher.Cancelled
	case h.route.MayRepeat() && h.remaining() > 0:
		return repeatCall, dispatcher.Failed
	}
	return h.breakOff(err)
}

// breakOff ends a call whose response cannot be forwarded to its end.
func (h *callHandler) breakOff(err error) (nextStep, dispatcher.Result) {
	if h.headWritten {
		h.abortResponse("answerBroken", err)
	}
	_ = h.reject(http.StatusBadGateway, "answerBroken", 0, err)
	return stopAttempts, dispatcher.Failed
}

// forwardPlain forwards a response that is not a stream. Short responses are read completely
// first, so that a broken one can still be replaced by an error.
func (h *callHandler) forwardPlain(a *attempts, send dispatcher.Send, e *forwarder.Exchange) (nextStep, dispatcher.Result) {
	h.receiver.UpdateDispatcher(dispatcher.ResponseStarted{Ticket: send.Ticket})
	body, err := h.readStart(e)
	if err != nil {
		return h.handleUnusableResponse(a, err)
	}
	head := e.Head()
	failed := head.Status >= http.StatusInternalServerError
	if failed && h.route.MayRepeat() && a.possibleRuns+1 < h.route.MaxTargets && h.remaining() > h.route.LatencyObjective/2 {
		return repeatCall, dispatcher.Failed
	}
	status := head.Status
	header := h.writer.Header()
	if !head.Sealed && !head.NotRun && claimsNotRun(status) {
		// Only a response marked as not run guarantees that the call has not run.
		return h.handleUnusableResponse(a, errors.New("response status claims that the call has not run, but the target did not confirm it"))
	}
	h.receiver.deps.Dialect.CopyResponseHeader(header, e.Response().Header)
	if e.Complete() && h.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	h.record.Status = status
	h.writer.WriteHeader(status)
	h.paceWrites()
	if _, err := h.writer.Write(body); err != nil {
		h.record.Reason, h.record.Err = h.writeErrorReason(), err
		return stopAttempts, dispatcher.Cancelled
	}
	if !e.Complete() {
		rest := h.receiver.options.MaxResponseBytes - int64(len(body))
		body = nil
		h.responseMemory.release()
		if _, err := io.CopyBuffer(h.writer, io.LimitReader(e, rest), make([]byte, copyBufferBytes)); err != nil {
			if h.writeWait.evicted.Load() {
				h.abortResponse("readerTooSlow", err)
			}
			h.abortResponse("answerBroken", err)
		}
		if !e.Complete() {
			h.abortResponse("answerBroken", fmt.Errorf("response exceeds %d bytes", h.receiver.options.MaxResponseBytes))
		}
	}
	if failed {
		h.record.Reason = "targetError"
		return stopAttempts, dispatcher.Failed
	}
	return stopAttempts, dispatcher.Completed
}

// readStart reads a plain response up to MaxBufferedResponseBytes, or as much of it as there is memory
// for.
func (h *callHandler) readStart(e *forwarder.Exchange) ([]byte, error) {
	limit := int(h.receiver.options.MaxBufferedResponseBytes)
	if length := e.Response().ContentLength; length >= 0 {
		// Responses to HEAD state a length and have no body.
		limit = min(limit, max(minBufferBytes, int(length)))
	}
	var body []byte
	for size := min(minBufferBytes, limit); ; size = min(4*size, limit) {
		if !h.responseMemory.grow(2 * size) {
			return body, nil
		}
		var err error
		body, err = fill(e, body, size)
		if err == io.EOF || err == nil && size == limit {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// paceWrites records from now on how fast the caller reads the response.
func (h *callHandler) paceWrites() {
	if h.writeWait != nil {
		return
	}
	controller := http.NewResponseController(h.writer)
	h.writeWait = h.receiver.waits.add(false, &h.bodyMemory, &h.responseMemory, func() { _ = controller.SetWriteDeadline(pastDeadline) })
	h.writer = pacedWriter{h.writer, h.writeWait}
}

// writeErrorReason returns why a response could not be written.
func (h *callHandler) writeErrorReason() string {
	if h.writeWait != nil && h.writeWait.evicted.Load() {
		return "readerTooSlow"
	}
	return reasonCallerLeft
}

// claimsNotRun reports whether a status tells the caller that the call has not run.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// forwardStream forwards the events of a stream as they arrive. It ends the response only
// after the turn is recorded, because the end of a response confirms its turn.
func (h *callHandler) forwardStream(
	a *attempts, send dispatcher.Send, e *forwarder.Exchange, firstEventTimer *time.Timer,
) (nextStep, dispatcher.Result) {
	events := forwarder.NewEventReader(e, h.growStreamMemory)
	started := false
	for {
		event, err := events.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return h.handleUnusableResponse(a, err)
		}
		if firstEventTimer != nil && !firstEventTimer.Stop() && !started {
			// The timer has cancelled the attempt. The event is not forwarded, so that another target
			// may still serve the call from its start.
			return h.handleUnusableResponse(a, errors.New("first event arrived after its timeout"))
		}
		if !started && h.lastEventID != "" && !followsEvent(event.ID, h.lastEventID) {
			return h.handleUnusableResponse(a, fmt.Errorf("resumed stream begins with event %q after event %q", event.ID, h.lastEventID))
		}
		started = true
		h.receiver.UpdateDispatcher(dispatcher.ResponseStarted{Ticket: send.Ticket})
		if err := h.countEvent(&event); err != nil {
			// Another target would have to generate more than it may, too.
			return h.breakOff(err)
		}
		h.recordEvent(&event)
		if h.skippingKnownEvents {
			h.skippingKnownEvents = event.ID != h.call.LastEventID
			continue
		}
		if err := h.forwardEvent(e, &event); err != nil {
			h.record.Reason, h.record.Err = h.writeErrorReason(), err
			return stopAttempts, dispatcher.Cancelled
		}
	}
	if h.lastEventID == "" && h.call.LastEventID == "" && !h.headWritten && e.EndsWithConnection() {
		// Targets that end by themselves close their connections in the same way.
		return h.handleUnusableResponse(a, errors.New("stream has ended with its connection before the first event"))
	}
	if h.skippingKnownEvents {
		return h.breakOff(fmt.Errorf("stream ends without event %q, which the caller has received", h.call.LastEventID))
	}
	if !h.headWritten {
		h.writeHead(e)
	}
	// Release the connection while the turn is written to the store.
	e.Close()
	if err := h.commitTurn(); err != nil {
		h.abortResponse("turnNotRecorded", err)
	}
	return stopAttempts, dispatcher.Completed
}

// resumeEventID returns the ID of the event after which the next target resumes the stream. A turn is
// recorded with all of its events, and the daemon that sent the first ones to the caller may be gone:
// a turn that the caller resumes is generated again from its start. Targets repeat the same events,
// since otherwise a stream could not be resumed at another one.
func (h *callHandler) resumeEventID() string {
	if h.lastEventID == "" && !h.route.KeepsHistory {
		return h.call.LastEventID
	}
	return h.lastEventID
}

// followsEvent reports whether an event may come after the event with the last ID. IDs increase; those
// that are no numbers must differ.
func followsEvent(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id == "" || id != last
	}
	return number > lastNumber
}

// writeHead sends the head of the target's response to the caller.
func (h *callHandler) writeHead(e *forwarder.Exchange) {
	h.headWritten = true
	h.receiver.deps.Dialect.CopyResponseHeader(h.writer.Header(), e.Response().Header)
	h.record.Status = e.Head().Status
	h.record.TimeToFirstEvent = h.elapsed()
	h.paceWrites()
	h.writer.WriteHeader(e.Head().Status)
}

// recordEvent keeps the ID of an event, and its data for the history.
func (h *callHandler) recordEvent(event *forwarder.Event) {
	if event.ID != "" {
		h.lastEventID = event.ID
	}
	if h.route.KeepsHistory && event.HasData {
		h.output = append(h.output, event.Data...)
		h.output = append(h.output, '\n')
	}
}

// forwardEvent writes one event to the caller.
func (h *callHandler) forwardEvent(e *forwarder.Exchange, event *forwarder.Event) error {
	if !h.headWritten {
		h.writeHead(e)
	}
	if h.service.Engine != nil {
		h.generatedTokens += h.service.Engine.TokensPerEvent
	}
	if _, err := h.writer.Write(event.Raw); err != nil {
		return err
	}
	return http.NewResponseController(h.writer).Flush()
}

// countEvent adds an event to the size of the stream. It returns an error, without adding the event, if
// the stream would exceed the tokens that the call may generate or the bound on its bytes.
func (h *callHandler) countEvent(event *forwarder.Event) error {
	if h.streamBytes+len(event.Raw) > h.receiver.options.MaxStreamBytes {
		return fmt.Errorf("stream exceeds %d bytes", h.receiver.options.MaxStreamBytes)
	}
	if !h.growStreamMemory(2 * len(event.Raw)) {
		return errors.New("no memory for the events of the stream")
	}
	if h.service.Engine != nil {
		tokens := h.service.Engine.TokensPerEvent
		if h.call.MaxTokens > 0 && h.streamTokens+tokens > h.maxTurnTokens() {
			return fmt.Errorf("stream exceeds %d tokens", h.call.MaxTokens)
		}
		h.streamTokens += tokens
	}
	h.streamBytes += len(event.Raw)
	return nil
}

// growStreamMemory enlarges the call's share of the memory for an event's buffers of a size and for the
// data that is kept for the history. It waits for room and reports whether there was.
func (h *callHandler) growStreamMemory(eventBytes int) bool {
	if h.route.KeepsHistory {
		// Appending may double the buffer.
		eventBytes += 2 * h.streamBytes
	}
	eventBytes = (eventBytes + streamMemoryStep - 1) / streamMemoryStep * streamMemoryStep
	// Most events need no more than the last one.
	if _, missing := h.responseMemory.request(eventBytes); missing == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(h.request.Context(), h.receiver.options.MemoryWait)
	defer cancel()
	return h.responseMemory.await(ctx, eventBytes) == nil
}

// commitTurn stores the turn if the route keeps a history.
func (h *callHandler) commitTurn() error {
	if !h.route.KeepsHistory || h.call.ID == "" {
		return nil
	}
	draft := historian.Draft{
		ID: h.call.ID, Previous: h.call.Previous, Workspace: h.workspaceName(), Parts: [][]byte{h.callerBody, h.output},
	}
	timeout := h.receiver.options.commitTimeout(draft.TextBytes())
	ctx, cancel := context.WithTimeout(h.request.Context(), min(timeout, h.remaining()-h.receiver.options.CommitMargin))
	defer cancel()
	return h.receiver.deps.Recorder.Commit(ctx, draft, h.chain, h.route.Retention)
}
