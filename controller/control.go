package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

// controlMessage is a message to the control loop.
type controlMessage interface{ isControlMessage() }

type controlTick struct{}

// configDue asks for a poll of the configuration now.
type configDue struct{}

type configRead struct {
	version  int
	sections []encoder.Section
	whole    bool
	err      error
}

type hostsRead struct {
	members []provider.Member
	err     error
}

func (controlTick) isControlMessage() {}
func (configDue) isControlMessage()   {}
func (configRead) isControlMessage()  {}
func (hostsRead) isControlMessage()   {}

// control is the state of the control loop: configuration and members.
type control struct {
	d          *Daemon
	document   encoder.Document
	members    []provider.Member
	configDue  time.Time
	configBusy bool
	hostsDue   time.Time
	hostsBusy  bool
}

func (c *control) handle(message controlMessage) {
	now := c.d.platform.Clock.Now()
	switch m := message.(type) {
	case controlTick:
		c.d.lastTick.Store(now.UnixNano())
		c.poll(now)
	case configDue:
		c.configDue = now
		c.poll(now)
	case configRead:
		c.configBusy = false
		c.applyConfig(m)
	case hostsRead:
		c.hostsBusy = false
		if m.err != nil {
			c.d.logger.Warn("host list is unavailable", zap.Error(m.err))
			return
		}
		c.members = m.members
		c.publish()
	}
}

// poll starts the reads that are due; each has at most one in flight.
func (c *control) poll(now time.Time) {
	timing := c.d.settings.Timing
	if !c.configBusy && !now.Before(c.configDue) {
		c.configBusy = true
		from := c.document.Version
		c.configDue = now.Add(time.Duration(timing.ConfigPollMs) * time.Millisecond)
		c.d.effect(func(ctx context.Context) {
			version, sections, whole, err := c.d.config.Delta(ctx, from)
			c.d.control.Post(configRead{version: version, sections: sections, whole: whole, err: err})
		})
	}
	if !c.hostsBusy && !now.Before(c.hostsDue) {
		c.hostsBusy = true
		c.hostsDue = now.Add(time.Duration(timing.HostListMs) * time.Millisecond)
		c.d.effect(func(ctx context.Context) {
			members, err := c.d.platform.Hosts.List(ctx)
			c.d.control.Post(hostsRead{members: members, err: err})
		})
	}
}

// applyConfig moves to a higher version and never to a lower one.
func (c *control) applyConfig(m configRead) {
	c.d.storeReachable.Store(m.err == nil)
	if m.err != nil {
		c.d.logger.Warn("configuration is unavailable", zap.Error(m.err), zap.Int("version", c.document.Version))
		return
	}
	if m.version <= c.document.Version {
		return
	}
	if m.whole {
		c.document = encoder.Document{}
	}
	c.document = publisher.Apply(c.document, m.version, m.sections)
	c.d.logger.Info("configuration is in force", zap.Int("version", c.document.Version))
	c.publish()
}

func (c *control) publish() {
	c.d.snapshot.Store(newSnapshot(c.document, c.members))
}
