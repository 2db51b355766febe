// Package lister decides how a daemon gets the platform's host list. The list of a
// large fleet is too big for every daemon to read every second, so a few daemons of
// each failure domain, the readers, read it, and the others request the changes from
// one of them. A daemon that gets no reply from any reader reads the list itself, less
// often.
//
// # Usage
//
//	state := lister.New(self, lister.Settings{}, now)
//	for _, command := range state.Update(now, lister.Tick{}) {
//		switch c := command.(type) {
//		case lister.ReadList:    // result: ListRead
//		case lister.PullChanges: // result: ChangesReceived or PullFailed
//		case lister.SendChanges: // reply to the ChangesRequested just received
//		case lister.DeliverList: // use the list; it may be unchanged
//		}
//	}
//
// A version is identified by a digest of its content, so that the whole list need not
// be transferred when a daemon changes its reader or a reader restarts.
package lister
