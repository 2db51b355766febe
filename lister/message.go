package lister

import (
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Message is an input of State.Update.
type Message interface{ isMessage() }

// Command is an output of State.Update.
type Command interface{ isCommand() }

// PeersChanged gives the reachable daemons of the own failure domain. Whether this
// daemon is among them makes no difference.
type PeersChanged struct{ Hosts []string }

// ListRead reports the result of ReadList. Members is ignored when the read failed.
type ListRead struct {
	Members []provider.Member
	Failed  bool
}

// ChangesReceived is a peer's reply to PullChanges.
type ChangesReceived struct {
	Host    string
	Changes encoder.ListChanges
}

// PullFailed reports that PullChanges got no reply from the peer.
type PullFailed struct{ Host string }

// ChangesRequested is a peer's request for the changes since the version with the
// digest.
type ChangesRequested struct{ Digest string }

// Tick advances the time; send one at least every 100 ms.
type Tick struct{}

func (PeersChanged) isMessage()     {}
func (ListRead) isMessage()         {}
func (ChangesReceived) isMessage()  {}
func (PullFailed) isMessage()       {}
func (ChangesRequested) isMessage() {}
func (Tick) isMessage()             {}

// ReadList reads the platform's host list; send ListRead with the result.
type ReadList struct{}

// PullChanges requests from a peer the changes since the version with the digest. An
// empty digest requests the whole list.
type PullChanges struct{ Host, Digest string }

// SendChanges replies to the ChangesRequested of the same Update.
type SendChanges struct{ Changes encoder.ListChanges }

// DeliverList gives the list, ordered by host, each time that it was received, changed
// or not.
type DeliverList struct{ Members []provider.Member }

func (ReadList) isCommand()    {}
func (PullChanges) isCommand() {}
func (SendChanges) isCommand() {}
func (DeliverList) isCommand() {}
