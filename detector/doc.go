// Package detector decides which hosts and targets can be used. It combines the
// platform's member list, which lags, with heartbeats between daemons and the
// results of the daemon's own calls. State changes spread as rumours, carried by
// heartbeats to a fixed number of peers.
//
// # Usage
//
//	state := detector.New(self, detector.Settings{}, seed, now)
//	for _, command := range state.Update(now, message) {
//		switch c := command.(type) {
//		case detector.SendHeartbeat: // result: HeartbeatReceived{Reply: true} or HeartbeatMissed
//		case detector.ReplyToHeartbeat: // reply to the heartbeat just received
//		case detector.ProbeHost: // on a new connection; result: ProbeFinished
//		case detector.ProbeTarget: // on a new connection; result: ProbeFinished
//		case detector.PublishView: // use the view; never modify it
//		}
//	}
//
// Send Tick every 100 ms. Pass each result to Update exactly once.
//
// What a host asserts about itself (a new run, leaving) is ordered by its
// generation and sequence and applies to every daemon. Whether a host or target is
// reachable is an observation of one failure domain. It is shared within that
// domain, and beyond it only when it is about one of its own members, since the
// domains can be partitioned from each other.
package detector
