package receiver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
	"github.com/dogwoodweir/dogwoodweir/historian"
)

// answer handles an answer whose head has arrived.
func (v *visit) answer(
	a *attempts, send dispatcher.Send, e *forwarder.Exchange, silence *time.Timer,
) (next, dispatcher.Result) {
	head := e.Head()
	switch {
	case head.NotRun && head.Status == http.StatusMisdirectedRequest:
		v.drain(e)
		return elsewhere, dispatcher.Misdirected
	case head.NotRun && head.Status >= http.StatusInternalServerError, head.NotRun && head.Status == http.StatusTooManyRequests:
		v.drain(e)
		return elsewhere, dispatcher.TargetFull
	case head.Status >= 200 && head.Status < 300 && !head.Sealed:
		// Not an answer of the target's own: it proves nothing.
		return v.unproven(a, errors.New("success without a seal"))
	case head.Status >= 200 && head.Status < 300 && v.route.Streaming:
		return v.stream(a, send, e, silence)
	}
	return v.plain(a, send, e)
}

// drain reads a short answer to its end, so that its connection can be used again.
func (v *visit) drain(e *forwarder.Exchange) {
	// A failure only costs the connection, which Close then closes.
	_, _ = io.Copy(io.Discard, io.LimitReader(e, v.receiver.options.MaxBufferedResponseBytes))
}

// unproven decides what follows after an answer that cannot be passed on.
func (v *visit) unproven(a *attempts, err error) (next, dispatcher.Result) {
	a.last = err
	switch {
	case v.request.Context().Err() != nil:
		v.event.Reason, v.event.Err = "callerLeft", err
		return done, dispatcher.Cancelled
	case v.route.MayRepeat() && v.left() > 0:
		return again, dispatcher.Failed
	case v.began:
		v.breakOff("answerBroken", err)
	}
	_ = v.refuse(http.StatusBadGateway, "answerBroken", 0, err)
	return done, dispatcher.Failed
}

// plain passes on an answer that is not a stream. Short answers are read whole first,
// so that a broken one can still be replaced by an error.
func (v *visit) plain(a *attempts, send dispatcher.Send, e *forwarder.Exchange) (next, dispatcher.Result) {
	v.receiver.UpdateDispatcher(dispatcher.ResponseStarted{Ticket: send.Ticket})
	body, err := io.ReadAll(io.LimitReader(e, v.receiver.options.MaxBufferedResponseBytes))
	if err != nil {
		return v.unproven(a, err)
	}
	head := e.Head()
	failed := head.Status >= http.StatusInternalServerError
	if failed && v.route.MayRepeat() && a.runs+1 < v.route.MaxTargets && v.left() > v.route.LatencyObjective/2 {
		return again, dispatcher.Failed
	}
	status := head.Status
	header := v.writer.Header()
	if !head.Sealed && !head.NotRun && promisesNotRun(status) {
		// Only a target that says so has not run the call.
		return v.unproven(a, errors.New("refusal without a promise"))
	}
	v.receiver.parts.Dialect.CopyResponseHeader(header, e.Response().Header)
	if e.Complete() && v.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	v.event.Status = status
	v.writer.WriteHeader(status)
	if _, err := v.writer.Write(body); err != nil {
		v.event.Reason, v.event.Err = "callerLeft", err
		return done, dispatcher.Cancelled
	}
	if !e.Complete() {
		if _, err := io.Copy(v.writer, e); err != nil {
			v.breakOff("answerBroken", err)
		}
	}
	if failed {
		v.event.Reason = "targetError"
		return done, dispatcher.Failed
	}
	return done, dispatcher.Completed
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// stream passes on the events of a stream as they arrive. Its end is passed on once the
// turn is recorded, because a turn counts from the end of its answer.
func (v *visit) stream(
	a *attempts, send dispatcher.Send, e *forwarder.Exchange, silence *time.Timer,
) (next, dispatcher.Result) {
	events := forwarder.NewEventReader(e)
	for {
		event, err := events.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return v.unproven(a, err)
		}
		if silence != nil {
			silence.Stop()
		}
		v.receiver.UpdateDispatcher(dispatcher.ResponseStarted{Ticket: send.Ticket})
		if err := v.pass(e, &event); err != nil {
			v.event.Reason, v.event.Err = "callerLeft", err
			return done, dispatcher.Cancelled
		}
	}
	if !v.began {
		v.begin(e)
	}
	// The connection is free while the store is written.
	e.Close()
	if err := v.commit(); err != nil {
		v.breakOff("turnNotRecorded", err)
	}
	return done, dispatcher.Completed
}

func (v *visit) begin(e *forwarder.Exchange) {
	v.began = true
	v.receiver.parts.Dialect.CopyResponseHeader(v.writer.Header(), e.Response().Header)
	v.event.Status = e.Head().Status
	v.event.TimeToFirstEvent = v.elapsed()
	v.writer.WriteHeader(e.Head().Status)
}

// pass writes one event to the caller.
func (v *visit) pass(e *forwarder.Exchange, event *forwarder.Event) error {
	if !v.began {
		v.begin(e)
	}
	if _, err := v.writer.Write(event.Raw); err != nil {
		return err
	}
	if err := http.NewResponseController(v.writer).Flush(); err != nil {
		return err
	}
	if event.ID != "" {
		v.lastEvent = event.ID
	}
	if v.service.Engine != nil {
		v.generated += v.service.Engine.TokensPerEvent
	}
	if v.route.KeepsHistory && event.HasData {
		v.output = append(v.output, event.Data...)
		v.output = append(v.output, '\n')
	}
	return nil
}

// commit records the turn.
func (v *visit) commit() error {
	if !v.route.KeepsHistory || v.call.ID == "" {
		return nil
	}
	patience := min(v.receiver.options.CommitTimeout, v.left()-v.receiver.options.CommitMargin)
	ctx, cancel := context.WithTimeout(v.request.Context(), patience)
	defer cancel()
	text := make([]byte, 0, len(v.input)+len(v.output))
	text = append(append(text, v.input...), v.output...)
	turn := &historian.Turn{ID: v.call.ID, Previous: v.call.Previous, Text: text}
	return v.receiver.parts.Recorder.Commit(ctx, turn, v.chain, v.route.Retention)
}
