// Package detector decides which hosts and targets can be used. It combines the
// platform's lagging list, heartbeats between daemons and the daemon's own
// traffic, and spreads news by rumours on heartbeats to a fixed number of peers.
//
// # Usage
//
//	state := detector.New(self, detector.Settings{}, seed, now)
//	for _, command := range state.Update(now, message) {
//		switch c := command.(type) {
//		case detector.SendHeartbeat: // answer: HeartbeatReceived{Reply: true} or HeartbeatMissed
//		case detector.ReplyToHeartbeat: // the answer to a received heartbeat
//		case detector.ProbeHost: // on a new connection; answer: ProbeFinished
//		case detector.ProbeTarget: // on a new connection; answer: ProbeFinished
//		case detector.PublishView: // immutable
//		}
//	}
//
// Send Tick every 100 ms. Feed each reported result exactly once.
//
// What a host asserts about itself (a new run, leaving) is ordered by its
// generation and sequence and concerns every daemon. Whether a subject can be
// reached is an observation of one failure domain and is shared only inside it,
// since the domains can be partitioned from each other.
package detector
