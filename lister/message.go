package lister

import (
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Message is an input of State.Update.
type Message interface{ isMessage() }

// Command is an output of State.Update.
type Command interface{ isCommand() }

// PeersChanged replaces the reachable daemons of the own failure domain. Hosts may
// include this one.
type PeersChanged struct{ Hosts []string }

// ListRead is the result of ReadList.
type ListRead struct {
	Members []provider.Member
	Failed  bool
}

// ChangesReceived is a peer's reply to PullChanges.
type ChangesReceived struct {
	Host    string
	Changes encoder.ListChanges
}

// PullFailed reports that a peer did not reply to PullChanges.
type PullFailed struct{ Host string }

// ChangesRequested is a peer's request for the changes since the version with the digest.
type ChangesRequested struct{ Digest string }

// Tick reports that time has passed. Send one at least every 100 ms.
type Tick struct{}

func (PeersChanged) isMessage()     {}
func (ListRead) isMessage()         {}
func (ChangesReceived) isMessage()  {}
func (PullFailed) isMessage()       {}
func (ChangesRequested) isMessage() {}
func (Tick) isMessage()             {}

// ReadList reads the platform's list.
type ReadList struct{}

// PullChanges requests the changes since the version with the digest from a peer.
type PullChanges struct{ Host, Digest string }

// SendChanges is the reply to the ChangesRequested just received.
type SendChanges struct{ Changes encoder.ListChanges }

// DeliverList passes on the list, sorted by host, each time that it was received.
type DeliverList struct{ Members []provider.Member }

func (ReadList) isCommand()    {}
func (PullChanges) isCommand() {}
func (SendChanges) isCommand() {}
func (DeliverList) isCommand() {}
