package controller

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/detector"
	"github.com/dogwoodweir/dogwoodweir/distributor"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/lister"
	"github.com/dogwoodweir/dogwoodweir/router"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

// controlMessage is a message to the control loop.
type controlMessage interface{ isControlMessage() }

type controlTick struct{}

// detectorMessage is for the detector as it is.
type detectorMessage struct{ message detector.Message }

// heartbeatReceived is a peer's heartbeat; the answer goes to reply.
type heartbeatReceived struct {
	heartbeat encoder.Heartbeat
	reply     chan<- encoder.Heartbeat
}

// hostObserved is what a forwarded call says about a host.
type hostObserved struct {
	host string
	ok   bool
}

// controlQuery runs a function in the loop.
type controlQuery struct{ query func(*control) }

func (controlQuery) isControlMessage()      {}
func (controlTick) isControlMessage()       {}
func (detectorMessage) isControlMessage()   {}
func (heartbeatReceived) isControlMessage() {}
func (hostObserved) isControlMessage()      {}

// control is the state of the control loop: configuration and membership.
type control struct {
	d           *Daemon
	detector    *detector.State
	distributor *distributor.State
	document    encoder.Document
	// serving says that the document may be used for callers; see package
	// distributor.
	serving    bool
	deltaReply chan<- encoder.Delta
	view       detector.View
	seen       map[string]time.Time
	versions   map[string]int
	lister     *lister.State
	listReply  chan<- encoder.ListChanges
	reply      chan<- encoder.Heartbeat
	auditor    *auditor
	placement  *placement
	// listed is set once the host list has been read.
	listed  bool
	started time.Time
}

func newControl(d *Daemon) *control {
	timing := d.settings.Timing
	return &control{
		d: d, auditor: newAuditor(d), placement: newPlacement(d), started: d.platform.Clock.Now(), seen: map[string]time.Time{}, versions: map[string]int{},
		distributor: newDistributor(d), lister: newLister(d),
		detector: detector.New(detector.Self{
			Host: d.settings.Host, Address: d.settings.PeerAddress, FailureDomain: d.settings.FailureDomain,
			Region: d.settings.Region, Incarnation: d.incarnation, Generation: d.generation,
		}, detector.Settings{
			HeartbeatInterval: time.Duration(timing.HeartbeatIntervalMs) * time.Millisecond,
			SuspectAfter:      time.Duration(3*timing.HeartbeatIntervalMs) * time.Millisecond,
		}, d.seed, d.platform.Clock.Now()),
	}
}

func (c *control) handle(message controlMessage) {
	now := c.d.platform.Clock.Now()
	switch m := message.(type) {
	case controlTick:
		c.d.lastTick.Store(now.UnixNano())
		c.list(lister.Tick{})
		c.distribute(distributor.Tick{})
		c.detect(detector.Tick{})
		c.placement.tick(now, c.view)
		c.auditor.tick(now, c.view, c.targetKind, c.placement.issues)
	case distributorMessage:
		c.distribute(m.message)
	case deltaRequested:
		c.sendDelta(m)
	case listerMessage:
		c.list(m.message)
	case listRequested:
		c.sendList(m)
	case detectorMessage:
		c.detect(m.message)
	case heartbeatReceived:
		c.heartbeat(now, m)
	case heartbeatAnswered:
		c.noteHeartbeat(now, m.heartbeat)
		c.detect(detector.HeartbeatReceived{Heartbeat: m.heartbeat, Reply: true})
	case eventsRead:
		c.auditor.busy[m.target] = false
		c.auditor.events[m.target] = m.after
	case targetReported:
		c.placement.reported(now, m)
	case callServed:
		c.placement.served(now, m, len(c.view.Hosts))
	case loadFinished:
		c.placement.finished(now, m)
	case controlQuery:
		m.query(c)
	case hostObserved:
		c.detect(detector.HostCallFinished{Host: m.host, OK: m.ok})
	}
}

// publish makes a new snapshot and tells the scheduler what it concerns.
func (c *control) publish() {
	snapshot := newSnapshot(c.document, c.view, c.serving)
	c.d.snapshot.Store(snapshot)
	services := make([]scheduler.Service, 0, len(snapshot.services))
	byRole := map[string][]string{}
	for _, service := range snapshot.Services() {
		services = append(services, scheduler.ServiceFromConfig(service))
		byRole[service.Targets.Role] = append(byRole[service.Targets.Role], service.Name)
	}
	var targets []scheduler.Target
	for _, t := range c.view.Targets {
		if !t.InSubset && t.State != detector.Leaving {
			continue
		}
		for _, service := range byRole[t.Service] {
			targets = append(targets, scheduler.Target{
				Name: t.Name, Address: t.Address, Service: service, FailureDomain: t.FailureDomain, Region: t.Region,
				State: router.ParseState(t.State), Since: t.WarmingSince,
			})
		}
	}
	c.d.programs.Post(schedulerMessage{scheduler.ServicesChanged{Services: services}})
	c.d.programs.Post(schedulerMessage{scheduler.TargetsChanged{Targets: targets}})
}
