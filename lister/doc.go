// Package lister decides how a daemon learns the platform's host list. The list of
// a large fleet is too big for every daemon to read every second, so a few daemons
// of each failure domain read it and the others ask one of them for the changes. A
// daemon that can reach no reader reads the list itself, less often.
//
// # Usage
//
//	state := lister.New(self, lister.Settings{}, now)
//	for _, command := range state.Update(now, lister.Tick{}) {
//		switch c := command.(type) {
//		case lister.ReadList:    // read, then send ListRead
//		case lister.PullChanges: // ask the host, then send ChangesReceived or PullFailed
//		case lister.SendChanges: // answer the peer that asked
//		case lister.DeliverList: // the list has been heard, changed or not
//		}
//	}
//
// Versions are named by a digest of the content, so that a daemon can change its
// reader, or a reader restart, without a transfer of the whole list.
package lister
