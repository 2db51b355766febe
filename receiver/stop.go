package receiver

import (
	"context"
	"time"
)

// stopPlan is the time frame of a planned stop.
type stopPlan struct {
	// lateFrom is when calls count as late: their callers have had the time to go to another daemon.
	lateFrom time.Time
	// end is when the last response must have ended.
	end time.Time
}

// BeginStop makes all responses end before the given time. From lateFrom on, calls that may take
// longer than that are rejected: they would be cut after they have been sent to a target.
func (r *Receiver) BeginStop(lateFrom, end time.Time) {
	r.stopPlan.Store(&stopPlan{lateFrom: lateFrom, end: end})
	time.AfterFunc(end.Sub(r.deps.Clock.Now()), r.endCalls)
}

// untilStop returns the time until the last response must have ended. It returns false if no stop is
// planned.
func (r *Receiver) untilStop() (time.Duration, bool) {
	plan := r.stopPlan.Load()
	if plan == nil {
		return 0, false
	}
	if r.callsEnded.Err() != nil {
		return 0, true
	}
	return plan.end.Sub(r.deps.Clock.Now()), true
}

// isTooLate reports whether a call that arrives now and may take the given time is rejected because of
// a planned stop.
func (r *Receiver) isTooLate(timeout time.Duration) bool {
	left, stopping := r.untilStop()
	return stopping && timeout > left && !r.deps.Clock.Now().Before(r.stopPlan.Load().lateFrom)
}

// cancelAtStop calls cancel when the last response must have ended. The returned function ends this.
func (r *Receiver) cancelAtStop(cancel context.CancelFunc) (release func() bool) {
	return context.AfterFunc(r.callsEnded, cancel)
}
