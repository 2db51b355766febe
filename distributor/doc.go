// Package distributor keeps a daemon's configuration up to date. The version only
// rises. New versions come from polls of the store and from peers, which send the
// sections that changed since the version of the requester.
//
// # Usage
//
//	state := distributor.New(host, distributor.Settings{}, seed, now)
//	for _, command := range state.Update(now, message) {
//		switch c := command.(type) {
//		case distributor.PollStore: // result: PollFinished with the same From
//		case distributor.PullDelta: // result: DeltaReceived or PullFailed
//		case distributor.QueryVersion: // a probe; result: PeerVersionReceived
//		case distributor.SendDelta: // reply to the DeltaRequested just received
//		case distributor.NotifyPeers: // pass detector.ConfigChanged to the detector
//		case distributor.ApplyDocument: // use the document from now on
//		case distributor.ReportStaleStore: // log and count
//		}
//	}
//
// Send Tick every 100 ms. Serve callers only while Serving returns true.
package distributor
