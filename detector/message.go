package detector

import (
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Message is an input of State.Update.
type Message interface{ isMessage() }

// MemberListReceived is one response of the platform's member list.
type MemberListReceived struct{ Members []provider.Member }

// HeartbeatReceived is a peer's heartbeat or, with Reply set, its reply to one of
// ours.
type HeartbeatReceived struct {
	Heartbeat encoder.Heartbeat
	Reply     bool
}

// HeartbeatMissed reports that a heartbeat got no reply in time.
type HeartbeatMissed struct{ Host string }

// ProbeFinished is the result of a probe on a new connection; one of Host and
// Target is set.
type ProbeFinished struct {
	Host   string
	Target string
	OK     bool
}

// TargetCallFinished is the result of a call to a target, used to judge its health.
type TargetCallFinished struct {
	Target string
	OK     bool
}

// HostCallFinished is the result of a call forwarded to a host, used to judge
// whether the host is reachable.
type HostCallFinished struct {
	Host string
	OK   bool
}

// TargetLeaving reports that a target announced its shutdown.
type TargetLeaving struct{ Target string }

// DrainsChanged has the names of the hosts and targets that the current
// configuration drains.
type DrainsChanged struct{ Names []string }

// ConfigChanged has the new current version of the configuration. Peers are
// notified at once.
type ConfigChanged struct{ Version int }

// LeaveRequested starts the shutdown of this host.
type LeaveRequested struct{}

// Tick runs the periodic work that is due.
type Tick struct{}

func (MemberListReceived) isMessage() {}
func (HeartbeatReceived) isMessage()  {}
func (HeartbeatMissed) isMessage()    {}
func (ProbeFinished) isMessage()      {}
func (TargetCallFinished) isMessage() {}
func (HostCallFinished) isMessage()   {}
func (TargetLeaving) isMessage()      {}
func (DrainsChanged) isMessage()      {}
func (ConfigChanged) isMessage()      {}
func (LeaveRequested) isMessage()     {}
func (Tick) isMessage()               {}

// Command is an output of State.Update.
type Command interface{ isCommand() }

// SendHeartbeat sends a heartbeat to a peer and waits at most
// Settings.HeartbeatInterval for the reply.
type SendHeartbeat struct {
	To, Address string
	Heartbeat   encoder.Heartbeat
}

// ReplyToHeartbeat is the reply to the heartbeat that was passed to Update.
type ReplyToHeartbeat struct{ Heartbeat encoder.Heartbeat }

// ProbeHost probes a host on a new connection.
type ProbeHost struct{ Host, Address string }

// ProbeTarget probes a target on a new connection.
type ProbeTarget struct{ Target, Address string }

// PublishView replaces the view that the daemon uses.
type PublishView struct{ View View }

func (SendHeartbeat) isCommand()    {}
func (ReplyToHeartbeat) isCommand() {}
func (ProbeHost) isCommand()        {}
func (ProbeTarget) isCommand()      {}
func (PublishView) isCommand()      {}

// States of hosts and targets.
const (
	Joining     = "joining"
	Warming     = "warming"
	Ready       = "ready"
	Suspect     = "suspect"
	Degraded    = "degraded"
	Unreachable = "unreachable"
	Leaving     = "leaving"
	Gone        = "gone"
)
