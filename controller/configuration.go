package controller

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/detector"
	"github.com/dogwoodweir/dogwoodweir/distributor"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

// distributorMessage is for the distributor as it is.
type distributorMessage struct{ message distributor.Message }

// deltaRequested is a peer's request for changes; the answer goes to reply.
type deltaRequested struct {
	from  int
	reply chan<- encoder.Delta
}

func (distributorMessage) isControlMessage() {}
func (deltaRequested) isControlMessage()     {}

func newDistributor(d *Daemon) *distributor.State {
	poll := time.Duration(d.settings.Timing.ConfigPollIntervalMs) * time.Millisecond
	return distributor.New(d.settings.Host, distributor.Settings{PollInterval: poll}, d.seed, d.platform.Clock.Now())
}

// distribute updates the distributor and executes its commands.
func (c *control) distribute(message distributor.Message) {
	changed := false
	for _, command := range c.distributor.Update(c.d.platform.Clock.Now(), message) {
		switch m := command.(type) {
		case distributor.PollStore:
			c.pollStore(m.From)
		case distributor.PullDelta:
			c.pullDelta(m)
		case distributor.QueryVersion:
			c.queryVersion(m.Host)
		case distributor.SendDelta:
			if c.deltaReply != nil {
				c.deltaReply <- m.Delta
				c.deltaReply = nil
			}
		case distributor.ApplyDocument:
			c.document, changed = m.Document, true
		case distributor.NotifyPeers:
			// ConfigChanged below makes the detector tell peers.
		case distributor.ReportStaleStore:
			c.d.metrics.count("config_stale", 1)
			c.d.logger.Warn("the store answered an old version of the configuration",
				zap.Int("version", m.StoreVersion), zap.Int("inForce", m.CurrentVersion))
		}
	}
	if serving := c.distributor.Serving(); changed || serving != c.serving {
		c.serving = serving
		c.applyDocument()
	}
}

// applyDocument puts the document into force. Peers are told of a version only
// when this daemon serves with it.
func (c *control) applyDocument() {
	c.d.logger.Info("configuration is in force", zap.Int("version", c.document.Version), zap.Bool("serving", c.serving))
	c.d.metrics.gauge("config_version", float64(c.document.Version))
	if c.serving {
		c.detect(detector.ConfigChanged{Version: c.document.Version})
	}
	c.detect(detector.DrainsChanged{Names: publisher.Drained(c.document)})
	c.publish()
}

func (c *control) pollStore(from int) {
	d := c.d
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, distributor.DefaultPollTimeout)
		defer cancel()
		version, sections, whole, err := d.config.Delta(ctx, from)
		d.storeReachable.Store(err == nil)
		if err != nil && ctx.Err() != context.Canceled {
			d.logger.Warn("configuration is unavailable", zap.Error(err), zap.Int("version", from))
		}
		d.control.Post(distributorMessage{distributor.PollFinished{
			From: from, Version: version, Sections: sections, Full: whole, Failed: err != nil,
		}})
	})
}

func (c *control) pullDelta(m distributor.PullDelta) {
	d := c.d
	peer, ok := d.snapshot.Load().peer(m.Host)
	if !ok {
		d.control.Post(distributorMessage{distributor.PullFailed{Host: m.Host}})
		return
	}
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, distributor.DefaultPullTimeout)
		defer cancel()
		request := encoder.DeltaRequest{From: m.From}
		delta, err := messenger.Call[encoder.Delta](ctx, d.messenger, peer, messenger.MethodConfigDelta, request)
		if err != nil {
			d.control.Post(distributorMessage{distributor.PullFailed{Host: m.Host}})
			return
		}
		d.control.Post(distributorMessage{distributor.DeltaReceived{Host: m.Host, Delta: delta}})
	})
}

func (c *control) queryVersion(host string) {
	d := c.d
	peer, ok := d.snapshot.Load().peer(host)
	if !ok {
		return
	}
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		if result, err := d.messenger.Probe(ctx, peer); err == nil {
			d.control.Post(distributorMessage{distributor.PeerVersionReceived{Host: host, Version: result.ConfigVersion}})
		}
	})
}

// sendDelta answers a peer's request for changes.
func (c *control) sendDelta(m deltaRequested) {
	c.deltaReply = m.reply
	c.distribute(distributor.DeltaRequested{From: m.from})
	c.deltaReply = nil
}

// tellDistributor gives the listed hosts that are not suspected. Without the host
// list the size of a majority is not known.
func (c *control) tellDistributor(view detector.View) {
	if !c.listed {
		return
	}
	var hosts []string
	for _, host := range view.Hosts {
		switch host.State {
		case detector.Joining, detector.Ready, detector.Leaving:
			hosts = append(hosts, host.Name)
		}
	}
	c.distribute(distributor.PeersChanged{Hosts: hosts})
}

func (d *Daemon) handleDelta(ctx context.Context, params json.RawMessage) (any, error) {
	return answerPeer(ctx, d, "daemon.configDelta", params, func(r encoder.DeltaRequest, reply chan<- encoder.Delta) controlMessage {
		return deltaRequested{from: r.From, reply: reply}
	})
}
