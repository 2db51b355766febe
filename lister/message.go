package lister

import (
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Message is an input of State.Update.
type Message interface{ isMessage() }

// Command is an output of State.Update.
type Command interface{ isCommand() }

// PeersChanged gives the daemons of the own failure domain that can be reached,
// with or without this one.
type PeersChanged struct{ Hosts []string }

// ListRead is the result of ReadList.
type ListRead struct {
	Members []provider.Member
	Failed  bool
}

// ChangesReceived is a peer's answer to PullChanges.
type ChangesReceived struct {
	Host    string
	Changes encoder.ListChanges
}

// PullFailed says that a peer did not answer PullChanges.
type PullFailed struct{ Host string }

// ChangesRequested is a peer's request.
type ChangesRequested struct{ Digest string }

// Tick lets time pass; send one at least every 100 ms.
type Tick struct{}

func (PeersChanged) isMessage()     {}
func (ListRead) isMessage()         {}
func (ChangesReceived) isMessage()  {}
func (PullFailed) isMessage()       {}
func (ChangesRequested) isMessage() {}
func (Tick) isMessage()             {}

// ReadList reads the platform's list.
type ReadList struct{}

// PullChanges asks a peer for the changes since the version with the digest.
type PullChanges struct{ Host, Digest string }

// SendChanges answers the request of this update.
type SendChanges struct{ Changes encoder.ListChanges }

// DeliverList gives the list, in order of host, each time that it was heard.
type DeliverList struct{ Members []provider.Member }

func (ReadList) isCommand()    {}
func (PullChanges) isCommand() {}
func (SendChanges) isCommand() {}
func (DeliverList) isCommand() {}
