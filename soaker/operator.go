package soaker

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

// configBound is the time within which a daemon must apply a published version.
const configBound = 3 * time.Second

// configChecker publishes configurations and checks the version that each daemon applies.
type configChecker struct {
	testbed *testbed
	client  *client
	serial  atomic.Int64 // makes each published document different

	mu           sync.Mutex
	acceptedAt   map[int]time.Time          // by version
	lastObserved map[string]observedVersion // by host
}

// observedVersion is the current version of a daemon in one run of its host.
type observedVersion struct {
	run, version int
}

func newConfigChecker(b *testbed) *configChecker {
	return &configChecker{testbed: b, client: newClient(operatorKey), acceptedAt: map[int]time.Time{}, lastObserved: map[string]observedVersion{}}
}

// publishRepeatedly changes the configuration until ctx is done. Several calls run concurrently,
// as operators who compete.
func (c *configChecker) publishRepeatedly(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0x6f70))
	for ctx.Err() == nil {
		emulator.Sleep(ctx, time.Duration(300+random.IntN(900))*time.Millisecond)
		h := c.testbed.hosts[random.IntN(len(c.testbed.hosts))]
		r := c.client.send(ctx, h, "GET", "/admin/v1/config", nil, nil)
		var document encoder.Document
		if r.status != 200 || json.Unmarshal(r.body, &document) != nil {
			continue
		}
		services := publisher.Services(document)
		i := slices.IndexFunc(services, func(s encoder.Service) bool { return s.Name == modelServiceName })
		if i < 0 {
			c.testbed.tally.Check(checkConfiguration, false, "version %d has lost a service", document.Version)
			continue
		}
		// An unchanged document would keep its version.
		services[i].Limits.MaxQueue = 1_000 + int(c.serial.Add(1))
		proposal := publisher.Proposal{
			From: document.Version, Operator: "desk", Action: publisher.ActionPublish,
			Document: publisher.ReplaceServices(document, services, nil),
		}
		data, _ := json.Marshal(proposal)
		h = c.testbed.hosts[random.IntN(len(c.testbed.hosts))]
		r = c.client.send(ctx, h, "POST", "/admin/v1/config", map[string]string{"Content-Type": "application/json"}, data)
		c.recordPublish(r)
	}
}

// recordPublish records the version that a publish created and checks that it is new.
func (c *configChecker) recordPublish(r response) {
	if r.status != 200 {
		c.testbed.tally.Count("publishes refused", 1)
		return
	}
	var accepted struct{ Version int }
	if json.Unmarshal(r.body, &accepted) != nil {
		return
	}
	c.testbed.tally.Count("publishes", 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, duplicate := c.acceptedAt[accepted.Version]
	c.testbed.tally.Check(checkConfiguration, !duplicate, "version %d was accepted twice", accepted.Version)
	c.acceptedAt[accepted.Version] = time.Now()
}

// watchVersions reads and checks the current version of every daemon until ctx is done.
func (c *configChecker) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range c.testbed.hosts {
			run, lastFault, running := h.status()
			if !running {
				continue
			}
			requestedAt := time.Now()
			r := c.client.send(ctx, h, "GET", "/admin/v1/status", nil, nil)
			var status struct {
				ConfigVersion int    `json:"configVersion"`
				State         string `json:"state"`
			}
			if r.status == 200 && json.Unmarshal(r.body, &status) == nil {
				c.checkVersion(h, run, lastFault, requestedAt, status.ConfigVersion)
			}
		}
		emulator.Sleep(ctx, 100*time.Millisecond)
	}
}

// checkVersion checks that a daemon's version does not fall during a run of the host, and that a
// daemon without a fault since a version was accepted applies it within configBound.
func (c *configChecker) checkVersion(h *host, run int, lastFault, requestedAt time.Time, version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.lastObserved[h.name]
	if previous.run == run {
		c.testbed.tally.Check(checkConfiguration, version >= previous.version, "%s went from version %d to %d", h.name, previous.version, version)
	}
	c.lastObserved[h.name] = observedVersion{run: run, version: version}
	for acceptedVersion, at := range c.acceptedAt {
		due := at.Add(configBound)
		if lastFault.Before(at) && requestedAt.After(due) {
			c.testbed.tally.Check(checkConfiguration, version >= acceptedVersion, "%s still has version %d %s after version %d was accepted",
				h.name, version, requestedAt.Sub(at).Round(time.Millisecond), acceptedVersion)
		}
		if requestedAt.Sub(at) > 2*configBound {
			delete(c.acceptedAt, acceptedVersion)
		}
	}
}
