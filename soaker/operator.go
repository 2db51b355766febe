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

// configBound is the time in which a daemon has a version in force.
const configBound = 3 * time.Second

// versions follows the configuration on every daemon.
type versions struct {
	bed    *bed
	client *client
	serial atomic.Int64

	mu       sync.Mutex
	accepted map[int]time.Time
	seen     map[string]seenVersion
}

type seenVersion struct {
	run, version int
}

func newVersions(b *bed) *versions {
	return &versions{bed: b, client: newClient(operatorKey), accepted: map[int]time.Time{}, seen: map[string]seenVersion{}}
}

// publish changes the configuration again and again; several operators race.
func (v *versions) publish(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0x6f70))
	for ctx.Err() == nil {
		emulator.Sleep(ctx, time.Duration(300+random.IntN(900))*time.Millisecond)
		h := v.bed.machines[random.IntN(len(v.bed.machines))]
		r := v.client.send(ctx, h, "GET", "/admin/v1/config", nil, nil)
		var document encoder.Document
		if r.status != 200 || json.Unmarshal(r.body, &document) != nil {
			continue
		}
		services := publisher.Services(document)
		i := slices.IndexFunc(services, func(s encoder.Service) bool { return s.Name == drafter })
		if i < 0 {
			v.bed.tally.Check(checkConfig, false, "version %d has lost a service", document.Version)
			continue
		}
		// A document that changes nothing would keep its version.
		services[i].Limits.MaxQueue = 1_000 + int(v.serial.Add(1))
		proposal := publisher.Proposal{
			From: document.Version, Operator: "desk", Action: publisher.ActionPublish,
			Document: publisher.ReplaceServices(document, services, nil),
		}
		data, _ := json.Marshal(proposal)
		h = v.bed.machines[random.IntN(len(v.bed.machines))]
		r = v.client.send(ctx, h, "POST", "/admin/v1/config", map[string]string{"Content-Type": "application/json"}, data)
		v.published(r)
	}
}

func (v *versions) published(r reply) {
	if r.status != 200 {
		v.bed.tally.Count("publishes refused", 1)
		return
	}
	var accepted struct{ Version int }
	if json.Unmarshal(r.body, &accepted) != nil {
		return
	}
	v.bed.tally.Count("publishes", 1)
	v.mu.Lock()
	defer v.mu.Unlock()
	_, twice := v.accepted[accepted.Version]
	v.bed.tally.Check(checkConfig, !twice, "version %d was accepted from two operators", accepted.Version)
	v.accepted[accepted.Version] = time.Now()
}

// watch reads the version in force on every daemon: it never falls, and on a
// daemon that no fault has touched it is in force within the bound.
func (v *versions) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range v.bed.machines {
			run, since, running := h.calm()
			if !running {
				continue
			}
			asked := time.Now()
			r := v.client.send(ctx, h, "GET", "/admin/v1/status", nil, nil)
			var status struct {
				ConfigVersion int    `json:"configVersion"`
				State         string `json:"state"`
			}
			if r.status == 200 && json.Unmarshal(r.body, &status) == nil {
				v.observed(h, run, since, asked, status.ConfigVersion)
			}
		}
		emulator.Sleep(ctx, 100*time.Millisecond)
	}
}

func (v *versions) observed(h *host, run int, calm, asked time.Time, version int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.seen[h.name]
	if before.run == run {
		v.bed.tally.Check(checkConfig, version >= before.version, "%s went from version %d to %d", h.name, before.version, version)
	}
	v.seen[h.name] = seenVersion{run: run, version: version}
	for accepted, at := range v.accepted {
		due := at.Add(configBound)
		if calm.Before(at) && asked.After(due) {
			v.bed.tally.Check(checkConfig, version >= accepted, "%s has version %d in force %s after %d was accepted",
				h.name, version, asked.Sub(at).Round(time.Millisecond), accepted)
		}
		if asked.Sub(at) > 2*configBound {
			delete(v.accepted, accepted)
		}
	}
}
