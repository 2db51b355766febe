package controller

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// controlMessage is a message to the control loop.
type controlMessage interface{ isControlMessage() }

type controlTick struct{}

type configRead struct {
	row provider.Row
	err error
}

type hostsRead struct {
	members []provider.Member
	err     error
}

func (controlTick) isControlMessage() {}
func (configRead) isControlMessage()  {}
func (hostsRead) isControlMessage()   {}

// Rows of the configuration.
const (
	configTable = "config"
	currentKey  = "current"
)

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
		c.configDue = now.Add(time.Duration(timing.ConfigPollMs) * time.Millisecond)
		c.d.effect(func(ctx context.Context) {
			row, err := c.d.platform.Tables.Read(ctx, configTable, currentKey)
			c.d.control.Post(configRead{row: row, err: err})
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
	if m.err != nil {
		c.d.logger.Warn("configuration is unavailable", zap.Error(m.err), zap.Int("version", c.document.Version))
		return
	}
	if m.row.Version == provider.VersionAbsent {
		return
	}
	var document encoder.Document
	if err := json.Unmarshal(m.row.Value, &document); err != nil {
		c.d.logger.Error("configuration row is malformed", zap.Error(err))
		return
	}
	if document.Version <= c.document.Version {
		return
	}
	c.document = document
	c.d.logger.Info("configuration is in force", zap.Int("version", document.Version))
	c.publish()
}

func (c *control) publish() {
	c.d.snapshot.Store(newSnapshot(c.document, c.members))
}
