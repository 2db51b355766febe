// Package scheduler decides, for the calls of one daemon, which target each call is
// sent to, in which order and with which priority, which calls wait and which are
// rejected. It combines the router, prioritizer, retainer and admitter packages. The
// daemon and the benchmark run the same code.
//
// # Usage
//
// Create a State and pass every event to Update. Execute the commands that it
// returns before the next call of Update, which reuses the slice:
//
//	state := scheduler.New(scheduler.Options{Location: location, Profile: router.DefaultProfile(), Seed: 1})
//	state.Update(now, scheduler.ServicesChanged{Services: services})
//	state.Update(now, scheduler.TargetsChanged{Targets: targets})
//	for _, command := range state.Update(now, scheduler.CallQueued{Ticket: 1, Call: call}) {
//		switch c := command.(type) {
//		case scheduler.SendCall: // send, then report CallStarted, FirstToken, CallFinished
//		case scheduler.RejectCall: // return c.Outcome; OutcomeNotRun means that nothing was executed
//		case scheduler.RetryCall: // queue it again after c.After with c.Exclude, c.Attempt and c.MayHaveRun
//		case scheduler.CancelAttempt: // cancel the attempt at c.Target
//		case scheduler.SendOrder: // add a fencing number and send the order
//		}
//	}
//
// A CallFinished with an outcome other than OutcomeDone yields RetryCall or
// RejectCall for its ticket, or neither while a hedge of the call still runs. Send
// a Tick about every 100 ms.
package scheduler
