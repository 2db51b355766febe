// Package dispatcher decides where a call goes, with which rank it waits there, and
// when it is refused. It knows what this daemon has sent and how fast it was answered;
// a target's own queue orders the calls of all daemons by their ranks.
//
// # Usage
//
// State takes typed messages and the time, and returns commands. It does no I/O and
// reads no clock; equal inputs with an equal seed give equal decisions:
//
//	state := dispatcher.New(dispatcher.DefaultOptions(), dispatcher.Place{Domain: "nl-ams", Region: "nl"}, seed)
//	state.Update(now, dispatcher.TargetsChanged{Targets: targets})
//	for _, c := range state.Update(now, dispatcher.Asked{Request: request}) {
//		switch c := c.(type) {
//		case dispatcher.Send:   // send the call to c.Target, then report Started and Ended
//		case dispatcher.Refuse: // refuse it with c.RetryAfter
//		}
//	}
package dispatcher
