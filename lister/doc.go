// Package lister keeps a daemon's copy of the platform's host list up to date. The
// list of a large fleet is too big for every daemon to read every second, so a few
// daemons of each failure domain, the readers, read it and the others request the
// changes from one of them. A daemon that can reach no reader reads the list itself,
// less often.
//
// # Usage
//
//	state := lister.New(self, lister.Settings{}, now)
//	for _, command := range state.Update(now, lister.Tick{}) {
//		switch c := command.(type) {
//		case lister.ReadList:    // read, then send ListRead
//		case lister.PullChanges: // request them, then send ChangesReceived or PullFailed
//		case lister.SendChanges: // reply to the peer's request
//		case lister.DeliverList: // use the list, which may be unchanged
//		}
//	}
//
// A version of the list is identified by a digest of its content, so that the whole
// list need not be transferred when a daemon changes its reader or a reader restarts.
package lister
