package controller

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/detector"
	"github.com/dogwoodweir/dogwoodweir/distributor"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

// distributorMessage is for the distributor as it is.
type distributorMessage struct{ message distributor.Message }

// deltaRequested is a peer's request for changed sections; the answer goes to
// reply.
type deltaRequested struct {
	request encoder.DeltaRequest
	reply   chan<- encoder.Delta
}

func (distributorMessage) isControlMessage() {}
func (deltaRequested) isControlMessage()     {}

// distribute updates the distributor and executes its commands.
func (c *control) distribute(message distributor.Message) {
	for _, command := range c.distributor.Update(c.d.platform.Clock.Now(), message) {
		switch m := command.(type) {
		case distributor.PollStore:
			c.pollStore(m)
		case distributor.PullDelta:
			c.pullDelta(m)
		case distributor.QueryVersion:
			c.queryVersion(m)
		case distributor.SendDelta:
			if reply := c.deltas[m.ReplyTo]; reply != nil {
				reply <- m.Delta
				delete(c.deltas, m.ReplyTo)
			}
		case distributor.NotifyPeers:
			c.detect(detector.ConfigChanged{Version: m.Version})
		case distributor.ApplyDocument:
			c.applyDocument(m.Document)
		case distributor.ReportStale:
			c.d.metrics.count("stale_configurations", 1)
			c.d.logger.Error("the store has an older configuration than is in force",
				zap.Int("version", m.Version), zap.Int("inForce", m.InForce))
		}
	}
	if serving := c.distributor.Serving(); serving != c.serving {
		c.serving = serving
		c.publish()
	}
}

func (c *control) applyDocument(document encoder.Document) {
	c.document = document
	c.serving = c.distributor.Serving()
	c.d.logger.Info("configuration is in force", zap.Int("version", document.Version))
	c.d.metrics.gauge("config_version", float64(document.Version))
	c.detect(detector.DrainsChanged{Hosts: publisher.Drained(document)})
	c.publish()
}

func (c *control) pollStore(m distributor.PollStore) {
	d := c.d
	d.effect(func(ctx context.Context) {
		version, sections, whole, err := d.config.Delta(ctx, m.From)
		if d.storeReachable.Swap(err == nil) != (err == nil) {
			d.logger.Warn("reachability of the store changed", zap.Bool("reachable", err == nil), zap.Error(err))
		}
		d.control.Post(distributorMessage{distributor.PollFinished{
			From: m.From, Version: version, Sections: sections, Whole: whole, Failed: err != nil,
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
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		request := encoder.DeltaRequest{From: m.From, Host: d.settings.Host}
		delta, err := messenger.Call[encoder.Delta](ctx, d.messenger, peer, messenger.MethodConfigDelta, request)
		if err != nil {
			d.control.Post(distributorMessage{distributor.PullFailed{Host: m.Host}})
			return
		}
		d.control.Post(distributorMessage{distributor.DeltaReceived{Host: m.Host, Delta: delta}})
	})
}

func (c *control) queryVersion(m distributor.QueryVersion) {
	d := c.d
	peer, ok := d.snapshot.Load().peer(m.Host)
	if !ok {
		return
	}
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		if result, err := d.messenger.Probe(ctx, peer); err == nil {
			d.control.Post(distributorMessage{distributor.PeerVersion{Host: m.Host, Version: result.ConfigVersion}})
		}
	})
}

// tellDistributor names the hosts that count for a quorum.
func (c *control) tellDistributor(view detector.View) {
	hosts := []string{}
	for _, h := range view.Hosts {
		if h.State == detector.Ready || h.State == detector.Joining || h.State == detector.Leaving || h.Name == c.d.settings.Host {
			hosts = append(hosts, h.Name)
		}
	}
	c.distribute(distributor.PeersChanged{Hosts: hosts})
}

// handleDelta answers a peer's request for changed sections.
func (d *Daemon) handleDelta(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var request encoder.DeltaRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, &Error{operation: "daemon.configDelta", kind: KindMethod, cause: err}
	}
	request.Host = from + "/" + d.newID()
	reply := make(chan encoder.Delta, 1)
	if !d.control.Post(deltaRequested{request: request, reply: reply}) {
		return nil, &Error{operation: "daemon.configDelta", kind: KindStopped}
	}
	select {
	case delta := <-reply:
		return delta, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.loopsEnded:
		return nil, &Error{operation: "daemon.configDelta", kind: KindStopped}
	}
}

// sendDelta lets the distributor answer a peer.
func (c *control) sendDelta(m deltaRequested) {
	c.deltas[m.request.Host] = m.reply
	c.distribute(distributor.DeltaRequested{From: m.request.From, ReplyTo: m.request.Host})
	delete(c.deltas, m.request.Host)
}
