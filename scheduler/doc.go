// Package scheduler decides, for the calls of one daemon, which are sent where,
// in which order and with which priority, which wait and which are refused. It
// combines router, prioritizer, retainer and admitter. The same value runs in the
// daemon and in the bench.
//
// # Usage
//
// Create a State and pass every event to Update; execute the commands that it
// returns before the next call of Update, which reuses the slice:
//
//	state := scheduler.New(scheduler.Options{Location: location, Profile: router.DefaultProfile(), Seed: 1})
//	state.Update(now, scheduler.ServicesChanged{Services: services})
//	state.Update(now, scheduler.TargetsChanged{Targets: targets})
//	for _, command := range state.Update(now, scheduler.CallQueued{Ticket: 1, Call: call}) {
//		switch c := command.(type) {
//		case scheduler.SendCall: // send, then report CallStarted, FirstToken, CallFinished
//		case scheduler.RejectCall: // answer c.Outcome; with OutcomeNotRun nothing was executed
//		case scheduler.RetryCall: // queue it again after c.After with c.Exclude, c.Attempt and c.Uncertain
//		case scheduler.CancelAttempt: // cancel the attempt at c.Target
//		case scheduler.SendOrder: // add a fencing number and send the order
//		}
//	}
//
// A CallFinished that is not OutcomeDone yields RetryCall or RejectCall for its ticket,
// or nothing while a hedged attempt still runs. Send Tick about every 100 ms.
package scheduler
