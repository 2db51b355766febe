package receiver

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

// next says what follows after an attempt at a target.
type next int

const (
	// done means that the caller has its answer, whole or visibly broken.
	done next = iota
	// elsewhere means that the target refused the call, which may be sent to another one.
	elsewhere
	// unreachable means that the target could not be reached, so that it has ended.
	unreachable
	// again means that the call may have run and may be repeated.
	again
)

// attempts counts what was tried for a visit.
type attempts struct {
	excluded []string
	refusals int
	// runs counts the attempts that may have run the call.
	runs int
	// targets are those that may have run the call and are still there.
	targets []string
	last    error
}

// run sends the call to targets until one answers it.
func (v *visit) run() {
	var a attempts
	for {
		if v.left() <= 0 {
			v.giveUp(&a, http.StatusGatewayTimeout, "timeout")
			return
		}
		send, ok := v.place(&a)
		if !ok {
			return
		}
		switch result := v.attempt(&a, send); result {
		case done:
			return
		case elsewhere, unreachable:
			a.excluded = append(a.excluded, send.Target.ID)
			if result == unreachable {
				a.targets = slices.DeleteFunc(a.targets, func(id string) bool { return id == send.Target.ID })
			}
			if a.refusals++; a.refusals >= v.receiver.options.MaxRejections {
				v.giveUp(&a, http.StatusBadGateway, "targetsRefuse")
				return
			}
		case again:
			v.receiver.parts.Forwarder.CloseIdle(send.Target.ID)
			if !slices.Contains(a.targets, send.Target.ID) {
				a.targets = append(a.targets, send.Target.ID)
			}
			if a.runs++; a.runs > v.receiver.options.MaxRejections {
				v.giveUp(&a, http.StatusBadGateway, "targetsFail")
				return
			}
		}
	}
}

// giveUp ends a visit without an answer of a target. The status applies only if the
// call may have run.
func (v *visit) giveUp(a *attempts, status int, reason string) {
	if v.began {
		v.breakOff(reason, a.last)
	}
	if a.runs == 0 {
		_ = v.refuse(http.StatusServiceUnavailable, reason, v.receiver.options.TargetsRetryAfter, a.last)
		return
	}
	_ = v.refuse(status, reason, 0, a.last)
}

// breakOff closes the caller's connection, so that the answer does not look complete.
func (v *visit) breakOff(reason string, err error) {
	v.event.Reason, v.event.Err = reason, err
	panic(http.ErrAbortHandler)
}

// place asks the dispatcher for a target.
func (v *visit) place(a *attempts) (dispatcher.Send, bool) {
	request := dispatcher.Request{
		Service: v.service.Name, Engine: v.service.Engine, Prompt: v.call.Prompt,
		PromptTokens: v.call.PromptTokens, BodyBytes: len(v.body),
		Priority: v.route.Priority, ProgramStarted: v.underWay(), ObjectiveMissed: v.call.Program != "" && v.call.ProgramRemaining <= 0,
		Remaining: v.left(), Excluded: a.excluded,
	}
	if len(a.targets) >= v.route.MaxTargets {
		// A repetition at the same target does not add to those that ran the call.
		request.RequiredTarget = a.targets[len(a.targets)-1]
	}
	if v.route.Affinity {
		request.AffinityKey = v.call.AffinityKey
	}
	for _, c := range v.receiver.UpdateDispatcher(dispatcher.PlacementRequested{Request: request}) {
		switch c := c.(type) {
		case dispatcher.Send:
			v.event.Attempts++
			v.event.Target, v.event.CachedTokens = c.Target.ID, c.CachedTokens
			v.event.ExpectedFirstEvent, v.event.InFlight = c.ExpectedFirstEvent, c.InFlight
			return c, true
		case dispatcher.Reject:
			if v.began || a.runs > 0 {
				v.giveUp(a, http.StatusBadGateway, c.Reason)
				return dispatcher.Send{}, false
			}
			_ = v.refuse(http.StatusServiceUnavailable, c.Reason, c.RetryAfter, a.last)
		}
	}
	return dispatcher.Send{}, false
}

// underWay reports whether the program has had a turn: the turn names one, or tokens of its
// budget were handed out before.
func (v *visit) underWay() bool {
	return v.call.Previous != "" || v.reservation != nil && v.reservation.HadTokens
}

// attempt sends the call to one target.
func (v *visit) attempt(a *attempts, send dispatcher.Send) next {
	ending := dispatcher.Failed
	defer func() { v.receiver.UpdateDispatcher(dispatcher.AttemptEnded{Ticket: send.Ticket, Result: ending}) }()
	ctx, cancel := context.WithTimeout(v.request.Context(), v.left())
	defer cancel()
	silence := v.watchSilence(cancel, send)
	if silence != nil {
		defer silence.Stop()
	}
	exchange, err := v.receiver.parts.Forwarder.Send(ctx, v.message(send))
	if err != nil {
		a.last = err
		result, how := v.unanswered(err)
		ending = how
		return result
	}
	defer exchange.Close()
	result, how := v.answer(a, send, exchange, silence)
	ending = how
	return result
}

// watchSilence cuts an attempt whose first event is long overdue, if the call may be
// sent again. A lost answer or a connection that has gone silent shows in no other way.
func (v *visit) watchSilence(cancel context.CancelFunc, send dispatcher.Send) *time.Timer {
	if !v.route.MayRepeat() {
		return nil
	}
	o := &v.receiver.options
	wait := max(o.MinFirstEventTimeout, time.Duration(o.FirstEventTimeoutFactor*float64(send.ExpectedFirstEvent)))
	if wait > v.left()*2/3 {
		return nil
	}
	return time.AfterFunc(wait, cancel)
}

func (v *visit) message(send dispatcher.Send) forwarder.Request {
	return forwarder.Request{
		Method: v.request.Method, URL: v.request.URL, URI: v.request.RequestURI, Host: v.request.Host,
		Header: v.request.Header, Body: v.body, CallID: v.call.ID,
		// An idle connection may be closed by the target at any moment, and whether it read
		// the call would stay unknown.
		NewConnection:      !v.route.MayRepeat() && !v.route.Streaming,
		MaxIdleConnections: v.maxIdle(),
		Attempt: forwarder.Attempt{
			Target: send.Target.ID, Address: send.Target.Address, Remaining: v.left(), QueuePriority: send.QueuePriority, LastEventID: v.lastEvent,
		},
	}
}

// maxIdle is this daemon's share of the connections that a target accepts. Connections of
// daemons that have lost power count at the target for a while, so that all idle ones
// together stay under a third.
func (v *visit) maxIdle() int {
	const idleParts = 3
	return max(1, v.service.MaxConnections/(idleParts*max(1, v.receiver.parts.DaemonCount())))
}

// unanswered decides what follows when no head of an answer arrived.
func (v *visit) unanswered(err error) (next, dispatcher.Result) {
	kind := forwarder.KindOf(err)
	switch {
	case v.request.Context().Err() != nil:
		v.event.Reason, v.event.Err = "callerLeft", err
		return done, dispatcher.Cancelled
	case kind == forwarder.KindNotSent:
		return unreachable, dispatcher.Failed
	case v.route.MayRepeat() && v.left() > 0:
		return again, dispatcher.Failed
	case v.began:
		v.breakOff("targetLost", err)
	case v.left() <= 0:
		_ = v.refuse(http.StatusGatewayTimeout, "timeout", 0, err)
		return done, dispatcher.Cancelled
	}
	_ = v.refuse(http.StatusBadGateway, "targetLost", 0, err)
	return done, dispatcher.Failed
}
