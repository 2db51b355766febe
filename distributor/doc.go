// Package distributor brings the configuration to a daemon. Versions only rise.
// They come from polls of the store and from peers, which send the sections that
// changed since the version of the asker.
//
// # Usage
//
//	state := distributor.New(host, distributor.Settings{}, seed, now)
//	for _, command := range state.Update(now, message) {
//		switch c := command.(type) {
//		case distributor.PollStore: // answer: PollFinished with the same From
//		case distributor.PullDelta: // answer: DeltaReceived or PullFailed
//		case distributor.QueryVersion: // a probe; answer: PeerVersionReceived
//		case distributor.SendDelta: // answers the DeltaRequested just taken
//		case distributor.NotifyPeers: // detector.ConfigChanged
//		case distributor.ApplyDocument: // in force from now on
//		case distributor.ReportStaleStore: // log and count
//		}
//	}
//
// Send Tick every 100 ms. Serve callers only while Serving returns true.
package distributor
