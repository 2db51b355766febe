package controller

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/detector"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/lister"
	"github.com/dogwoodweir/dogwoodweir/messenger"
)

// listerMessage is for the lister as it is.
type listerMessage struct{ message lister.Message }

// listRequested is a peer's request for changes of the host list.
type listRequested struct {
	digest string
	reply  chan<- encoder.ListChanges
}

func (listerMessage) isControlMessage() {}
func (listRequested) isControlMessage() {}

func newLister(d *Daemon) *lister.State {
	interval := time.Duration(d.settings.Timing.HostListIntervalMs) * time.Millisecond
	return lister.New(d.settings.Host, lister.Settings{Interval: interval}, d.platform.Clock.Now())
}

// list updates the lister and executes its commands.
func (c *control) list(message lister.Message) {
	for _, command := range c.lister.Update(c.d.platform.Clock.Now(), message) {
		switch m := command.(type) {
		case lister.ReadList:
			c.readList()
		case lister.PullChanges:
			c.pullList(m)
		case lister.SendChanges:
			c.listReply <- m.Changes
		case lister.DeliverList:
			c.listed = true
			c.detect(detector.MemberListReceived{Members: m.Members})
		}
	}
}

func (c *control) readList() {
	d := c.d
	d.effect(func(ctx context.Context) {
		members, err := d.platform.Hosts.List(ctx)
		if err != nil {
			d.logger.Warn("host list is unavailable", zap.Error(err))
		}
		d.control.Post(listerMessage{lister.ListRead{Members: members, Failed: err != nil}})
	})
}

func (c *control) pullList(m lister.PullChanges) {
	d := c.d
	peer, ok := d.snapshot.Load().peer(m.Host)
	if !ok {
		d.control.Post(listerMessage{lister.PullFailed{Host: m.Host}})
		return
	}
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		changes, err := messenger.Call[encoder.ListChanges](ctx, d.messenger, peer, messenger.MethodListChanges, encoder.ListRequest{Digest: m.Digest})
		if err != nil {
			d.control.Post(listerMessage{lister.PullFailed{Host: m.Host}})
			return
		}
		d.control.Post(listerMessage{lister.ChangesReceived{Host: m.Host, Changes: changes}})
	})
}

// tellLister names the daemons of the own failure domain that can read the list.
func (c *control) tellLister(view detector.View) {
	var hosts []string
	for _, host := range view.Hosts {
		if host.State == detector.Ready && host.FailureDomain == c.d.settings.FailureDomain {
			hosts = append(hosts, host.Name)
		}
	}
	c.list(lister.PeersChanged{Hosts: hosts})
}

// sendList answers a peer's request for changes of the host list.
func (c *control) sendList(m listRequested) {
	c.listReply = m.reply
	c.list(lister.ChangesRequested{Digest: m.digest})
	c.listReply = nil
}

func (d *Daemon) handleList(ctx context.Context, params json.RawMessage) (any, error) {
	return answerPeer(ctx, d, "daemon.listChanges", params, func(r encoder.ListRequest, reply chan<- encoder.ListChanges) controlMessage {
		return listRequested{digest: r.Digest, reply: reply}
	})
}
