package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/dogwoodweir/dogwoodweir/detector"
	"github.com/dogwoodweir/dogwoodweir/distributor"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// detect updates the detector and executes its commands.
func (c *control) detect(message detector.Message) {
	for _, command := range c.detector.Update(c.d.platform.Clock.Now(), message) {
		switch m := command.(type) {
		case detector.SendHeartbeat:
			c.sendHeartbeat(m)
		case detector.ReplyToHeartbeat:
			if c.reply != nil {
				c.reply <- m.Heartbeat
				c.reply = nil
			}
		case detector.ProbeHost:
			c.probeHost(m)
		case detector.ProbeTarget:
			c.probeTarget(m)
		case detector.PublishView:
			c.changeView(m.View)
		}
	}
}

func (c *control) changeView(view detector.View) {
	c.view = view
	// A daemon that knows only itself would claim every shard without an owner.
	if c.listed || c.d.platform.Clock.Now().Sub(c.started) > listWait {
		c.tellOwner(view)
	}
	c.tellDistributor(view)
	c.tellLister(view)
	c.publish()
}

// listWait is how long a starting daemon waits for the host list before it goes by
// heartbeats alone.
const listWait = 5 * time.Second

func (c *control) tellOwner(view detector.View) {
	var hosts []OwnerHost
	for _, host := range view.Hosts {
		if host.State == detector.Gone || host.State == detector.Unreachable {
			continue
		}
		hosts = append(hosts, OwnerHost{
			Name: host.Name, Address: host.Address, FailureDomain: host.FailureDomain, Region: host.Region,
			Incarnation: host.Incarnation, Leaving: host.State == detector.Leaving,
		})
	}
	c.d.owner.HostsChanged(hosts)
}

// heartbeat passes a peer's heartbeat on and answers it.
func (c *control) heartbeat(now time.Time, m heartbeatReceived) {
	c.noteHeartbeat(now, m.heartbeat)
	c.reply = m.reply
	c.detect(detector.HeartbeatReceived{Heartbeat: m.heartbeat, Reply: false})
	c.reply = nil
}

// noteHeartbeat notes when a peer was heard and the configuration version that it
// serves with.
func (c *control) noteHeartbeat(now time.Time, h encoder.Heartbeat) {
	c.seen[h.Host], c.versions[h.Host] = now, h.ConfigVersion
	c.distribute(distributor.PeerVersionReceived{Host: h.Host, Version: h.ConfigVersion})
}

func (c *control) sendHeartbeat(m detector.SendHeartbeat) {
	d := c.d
	timeout := time.Duration(d.settings.Timing.HeartbeatIntervalMs) * time.Millisecond
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		peer := messenger.Peer{Host: m.To, Address: m.Address}
		reply, err := messenger.Call[encoder.Heartbeat](ctx, d.messenger, peer, messenger.MethodHeartbeat, m.Heartbeat)
		if err != nil {
			d.control.Post(detectorMessage{detector.HeartbeatMissed{Host: m.To}})
			return
		}
		d.control.Post(heartbeatAnswered{heartbeat: reply})
	})
}

// heartbeatAnswered is a peer's answer to a heartbeat.
type heartbeatAnswered struct{ heartbeat encoder.Heartbeat }

func (heartbeatAnswered) isControlMessage() {}

func (c *control) probeHost(m detector.ProbeHost) {
	d := c.d
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		_, err := d.messenger.Probe(ctx, messenger.Peer{Host: m.Host, Address: m.Address})
		d.control.Post(detectorMessage{detector.ProbeFinished{Host: m.Host, OK: err == nil}})
	})
}

// probeTimeout bounds a probe.
const probeTimeout = time.Second

// probeTarget asks a target for a sign of life. Any answer of a plain service is
// one, so a lookup of a key that nobody uses serves as a probe.
func (c *control) probeTarget(m detector.ProbeTarget) {
	d := c.d
	kind := c.targetKind(m.Target)
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		var err error
		if kind == server.KindPlain {
			_, err = d.platform.Service(m.Address).Lookup(ctx, "probe")
			if kind := provider.KindOf(err); kind == provider.KindNotFound || kind == provider.KindUnsupported {
				err = nil
			}
		} else {
			var report provider.LoadReport
			report, err = d.platform.Engine(m.Address).Report(ctx)
			if err == nil {
				d.reported(m.Target, report)
			}
		}
		d.control.Post(detectorMessage{detector.ProbeFinished{Target: m.Target, OK: err == nil}})
	})
}

// targetKind returns the kind of the service that a target serves.
func (c *control) targetKind(target string) string {
	for _, t := range c.view.Targets {
		if t.Name != target {
			continue
		}
		for _, service := range c.d.snapshot.Load().services {
			if service.Targets.Role == t.Service {
				return service.Kind
			}
		}
	}
	return server.KindModel
}

// Handle answers the requests of other daemons.
func (d *Daemon) Handle(ctx context.Context, from, method string, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodHeartbeat:
		return d.handleHeartbeat(ctx, params)
	case messenger.MethodProbe:
		return encoder.ProbeResult{
			Host: d.settings.Host, Incarnation: d.incarnation, State: d.Status().State,
			ConfigVersion: d.snapshot.Load().servedVersion(),
		}, nil
	case messenger.MethodConfigDelta:
		return d.handleDelta(ctx, params)
	case messenger.MethodListChanges:
		return d.handleList(ctx, params)
	case messenger.MethodHandover:
		return d.handleHandover(params)
	case methodProgram:
		return d.handleProgram(ctx, params)
	case methodMemory:
		return d.handleMemory(params)
	}
	return nil, &Error{operation: "daemon.handle " + method + " from " + from, kind: KindMethod}
}

func (d *Daemon) handleHeartbeat(ctx context.Context, params json.RawMessage) (any, error) {
	return answerPeer(ctx, d, "daemon.heartbeat", params, func(h encoder.Heartbeat, reply chan<- encoder.Heartbeat) controlMessage {
		return heartbeatReceived{heartbeat: h, reply: reply}
	})
}

// answerPeer decodes a peer's request, puts it to the control loop and waits for
// the reply.
func answerPeer[P, R any](
	ctx context.Context, d *Daemon, operation string, params json.RawMessage, message func(P, chan<- R) controlMessage,
) (any, error) {
	var request P
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, &Error{operation: operation, kind: KindMethod, cause: err}
	}
	reply := make(chan R, 1)
	posted := d.control.Post(message(request, reply))
	answer, err := await(ctx, d, operation, posted, reply)
	if err != nil {
		return nil, err
	}
	return answer, nil
}

func (d *Daemon) handleHandover(params json.RawMessage) (any, error) {
	var handover encoder.Handover
	if err := json.Unmarshal(params, &handover); err != nil {
		return nil, &Error{operation: "daemon.handover", kind: KindMethod, cause: err}
	}
	d.owner.ShardHandedOver(handover.Shard, handover.Epoch)
	return encoder.HandoverResult{Accepted: true}, nil
}

// Handover tells another daemon that it owns a shard now. A lost message is made up
// for by the new owner's reads of the store.
func (d *Daemon) Handover(host, shard string, epoch int) {
	peer, ok := d.snapshot.Load().peer(host)
	if !ok {
		return
	}
	handover := encoder.Handover{Shard: shard, Epoch: epoch, From: d.settings.Host, Incarnation: d.incarnation}
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		_, _ = messenger.Call[encoder.HandoverResult](ctx, d.messenger, peer, messenger.MethodHandover, handover)
	})
}
