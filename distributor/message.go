package distributor

import "github.com/dogwoodweir/dogwoodweir/encoder"

// Message is an input of State.Update.
type Message interface{ isMessage() }

// PollFinished is the result of PollStore: the store's version and the sections that
// changed after From, or all sections if Full is set. Failed is set if the store did
// not respond.
type PollFinished struct {
	From, Version int
	Sections      []encoder.Section
	Full          bool
	Failed        bool
}

// PublishAccepted has the changes that this daemon published and the store accepted.
type PublishAccepted struct{ Delta encoder.Delta }

// PeerVersionReceived is the current version of a peer, from a heartbeat or a probe.
type PeerVersionReceived struct {
	Host    string
	Version int
}

// DeltaReceived is a peer's reply to PullDelta.
type DeltaReceived struct {
	Host  string
	Delta encoder.Delta
}

// PullFailed reports that a peer did not reply to PullDelta.
type PullFailed struct{ Host string }

// DeltaRequested is a peer's request for the sections that changed after From.
type DeltaRequested struct {
	From    int
	ReplyTo string
}

// PeersChanged has the listed hosts that are not suspected, including this one.
type PeersChanged struct{ Hosts []string }

// Tick runs the periodic work that is due.
type Tick struct{}

func (PollFinished) isMessage()        {}
func (PublishAccepted) isMessage()     {}
func (PeerVersionReceived) isMessage() {}
func (DeltaReceived) isMessage()       {}
func (PullFailed) isMessage()          {}
func (DeltaRequested) isMessage()      {}
func (PeersChanged) isMessage()        {}
func (Tick) isMessage()                {}

// Command is an output of State.Update.
type Command interface{ isCommand() }

// PollStore reads the store's version and the sections that changed after From. From
// 0 reads the whole document.
type PollStore struct{ From int }

// PullDelta requests the sections that changed after From from a peer.
type PullDelta struct {
	Host string
	From int
}

// QueryVersion requests the current version of a peer.
type QueryVersion struct{ Host string }

// SendDelta is the reply to a peer's DeltaRequested.
type SendDelta struct {
	ReplyTo string
	Delta   encoder.Delta
}

// NotifyPeers notifies peers at once of the new current version of this daemon.
type NotifyPeers struct{ Version int }

// ApplyDocument makes a document the current configuration of this daemon.
type ApplyDocument struct{ Document encoder.Document }

// ReportStaleStore reports that the store returned a version below the current one,
// because it is stale or was restored.
type ReportStaleStore struct{ StoreVersion, CurrentVersion int }

func (PollStore) isCommand()        {}
func (PullDelta) isCommand()        {}
func (QueryVersion) isCommand()     {}
func (SendDelta) isCommand()        {}
func (NotifyPeers) isCommand()      {}
func (ApplyDocument) isCommand()    {}
func (ReportStaleStore) isCommand() {}
