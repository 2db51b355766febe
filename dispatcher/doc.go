// Package dispatcher decides which target gets a call, with which queue priority, and
// when a call is rejected. It models the targets from what this daemon has sent and how
// fast they responded. A target's own queue orders the calls of all daemons by their
// queue priorities.
//
// # Usage
//
// State takes typed messages and the time, and returns commands. It does no I/O and
// reads no clock; equal inputs with an equal seed give equal decisions:
//
//	location := dispatcher.Location{Domain: "nl-ams", Region: "nl"}
//	state := dispatcher.New(dispatcher.DefaultOptions(), location, seed)
//	state.Update(now, dispatcher.TargetsChanged{Targets: targets})
//	for _, c := range state.Update(now, dispatcher.PlacementRequested{Request: request}) {
//		switch c := c.(type) {
//		case dispatcher.Send:   // send the call to c.Target, then report ResponseStarted and AttemptEnded
//		case dispatcher.Reject: // reject the call, to be retried after c.RetryAfter
//		}
//	}
package dispatcher
