package distributor

import "github.com/dogwoodweir/dogwoodweir/encoder"

// Message is an input of State.Update.
type Message interface{ isMessage() }

// PollFinished is the store's answer to PollStore: its version and the sections
// that changed after From, or all of them when Full is set.
type PollFinished struct {
	From, Version int
	Sections      []encoder.Section
	Full          bool
	Failed        bool
}

// PublishAccepted has the changes that the store has accepted from this daemon.
type PublishAccepted struct{ Delta encoder.Delta }

// PeerVersionReceived is the version in force on a peer, from a heartbeat or a probe.
type PeerVersionReceived struct {
	Host    string
	Version int
}

// DeltaReceived is a peer's answer to PullDelta.
type DeltaReceived struct {
	Host  string
	Delta encoder.Delta
}

// PullFailed says that a peer did not answer PullDelta.
type PullFailed struct{ Host string }

// DeltaRequested is a peer's request for the sections changed after From.
type DeltaRequested struct {
	From    int
	ReplyTo string
}

// PeersChanged has the hosts of the list that are not suspected, with this one.
type PeersChanged struct{ Hosts []string }

// Tick lets time pass.
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

// PollStore reads the version in force and what changed after From; From 0 reads
// the whole document.
type PollStore struct{ From int }

// PullDelta asks a peer for what changed after From.
type PullDelta struct {
	Host string
	From int
}

// QueryVersion asks a peer for its version.
type QueryVersion struct{ Host string }

// SendDelta answers a peer's request.
type SendDelta struct {
	ReplyTo string
	Delta   encoder.Delta
}

// NotifyPeers tells peers at once that a version is in force here.
type NotifyPeers struct{ Version int }

// ApplyDocument puts a document into force.
type ApplyDocument struct{ Document encoder.Document }

// ReportStaleStore says that the store answered an older version than is in force: it
// is stale or was restored.
type ReportStaleStore struct{ StoreVersion, CurrentVersion int }

func (PollStore) isCommand()        {}
func (PullDelta) isCommand()        {}
func (QueryVersion) isCommand()     {}
func (SendDelta) isCommand()        {}
func (NotifyPeers) isCommand()      {}
func (ApplyDocument) isCommand()    {}
func (ReportStaleStore) isCommand() {}
