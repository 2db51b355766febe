package soaker

import (
	"context"
	"fmt"
	"time"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// injectFault injects a fault and returns when the fault has ended. A fault that does not apply,
// such as killing a stopped daemon, is skipped and not counted.
func (b *testbed) injectFault(ctx context.Context, f fault) {
	h := b.hosts[f.Subject%len(b.hosts)]
	peer := b.hosts[f.Variant%len(b.hosts)]
	engine := b.engines[f.Subject%len(b.engines)]
	service := b.services[f.Subject%len(b.services)]
	switch f.Kind {
	case faultKill:
		if !h.kill() {
			return
		}
		defer h.start()
	case faultKillDuringCall:
		h.killDuringCall.Store(true)
		defer h.start()
		defer h.killDuringCall.Store(false)
	case faultRestart:
		if !h.stop(ctx) {
			return
		}
		defer h.start()
	case faultPause:
		h.mu.Lock()
		gate := h.gate
		h.mu.Unlock()
		gate.pause()
		defer h.recordFault()
		defer func() {
			gate.resume()
			h.pauseEnded.Store(time.Now().UnixNano())
		}()
	case faultPartition:
		domain := domains[f.Variant%len(domains)].Name
		defer b.startPartition(domain)()
	case faultSilentPeers:
		b.network.stallConns(h.name, peer.name)
	case faultToolHangs, faultToolSilent, faultToolDropsResponses, faultToolRefuses:
		service.SetFaults(emulator.ServiceFaults{
			Hang: f.Kind == faultToolHangs, Silent: f.Kind == faultToolSilent,
			DropResponse: f.Kind == faultToolDropsResponses, Refuse: f.Kind == faultToolRefuses,
		})
		defer service.SetFaults(emulator.ServiceFaults{})
	case faultEngineDead, faultEngineHangs, faultEngineBreaksStreams:
		faults := emulator.EngineFaults{Dead: f.Kind == faultEngineDead, Hang: f.Kind == faultEngineHangs}
		if f.Kind == faultEngineBreaksStreams {
			faults.BreakAfter = 3
		}
		engine.SetFaults(faults)
		defer engine.SetFaults(emulator.EngineFaults{})
	case faultTargetLeaves:
		if b.replaceEngine(ctx, f) {
			b.tally.CountFault(f.Kind)
		}
		return
	case faultHostListStale:
		b.hostList.SetFaults(emulator.HostListFaults{LagMs: 1_000, Down: f.Variant%2 == 0})
		defer b.hostList.SetFaults(emulator.HostListFaults{})
	default:
		defer b.startStoreFault(f, h)()
	}
	b.tally.CountFault(f.Kind)
	h.recordFault()
	emulator.Sleep(ctx, f.Duration)
	h.recordFault()
}

// startStoreFault starts a fault of the store and returns the function that ends it.
func (b *testbed) startStoreFault(f fault, h *host) (end func()) {
	faults := b.tables.Faults()
	apply := func(on bool) {
		share := 0.0
		if on {
			share = 0.3
		}
		switch f.Kind {
		case faultStoreOutage:
			faults.SetOutage(on)
			b.objects.Faults().SetOutage(on)
		case faultStoreSlow:
			wait := time.Duration(share * float64(time.Second))
			faults.SetDelay(wait, wait)
		case faultStoreLosesResponses:
			faults.SetStallOnLoss(on && f.Variant%2 == 0)
			faults.SetResponseLoss(share)
		case faultStoreLateRequests:
			faults.SetLateRequests(share, time.Second)
		case faultStoreCut:
			faults.SetIsolated(h.name, on)
			b.objects.Faults().SetIsolated(h.name, on)
		}
		for _, other := range b.hosts {
			other.recordFault()
		}
	}
	apply(true)
	return func() { apply(false) }
}

// startPartition cuts off a failure domain from the others and from the store. It returns the
// function that ends the partition.
func (b *testbed) startPartition(domain string) (end func()) {
	var cuts [][2]string
	for _, inside := range b.hosts {
		for _, outside := range b.hosts {
			if inside.domain == domain && outside.domain != domain {
				cuts = append(cuts, [2]string{inside.name, outside.name})
			}
		}
	}
	apply := func(on bool) {
		for _, cut := range cuts {
			b.network.setCut(cut[0], cut[1], on)
		}
		for _, h := range b.hosts {
			h.recordFault()
			if h.domain == domain {
				b.tables.Faults().SetIsolated(h.name, on)
				b.objects.Faults().SetIsolated(h.name, on)
			}
		}
	}
	apply(true)
	return func() { apply(false) }
}

// replaceEngine announces that an engine is leaving, later removes it and ends its process, and
// then starts a process with a new name at the same address. It reports false if the engine is
// already leaving.
func (b *testbed) replaceEngine(ctx context.Context, f fault) bool {
	n := f.Subject % len(b.engines)
	engine, domain := b.engines[n], domains[n%len(domains)]
	if !b.inspector.setLeaving(engine.Name(), true) {
		return false
	}
	old := b.runnerName(n)
	b.hostList.Put(provider.Member{
		Host: old, Address: engine.Name(), FailureDomain: domain.Name, Region: domain.Region, Role: modelServiceName, Leaving: true,
	})
	emulator.Sleep(ctx, f.Duration)
	b.hostList.Remove(old)
	engine.SetFaults(emulator.EngineFaults{Dead: true})
	emulator.Sleep(ctx, time.Second)
	engine.SetFaults(emulator.EngineFaults{})
	b.inspector.setLeaving(engine.Name(), false)
	b.mu.Lock()
	b.processNumbers[n]++
	b.mu.Unlock()
	b.registerTarget(b.runnerName(n), engine.Name(), modelServiceName, n)
	return true
}

// runnerName returns the name of the current process of the engine with index n.
func (b *testbed) runnerName(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%s-run%d", b.engines[n].Name(), b.processNumbers[n])
}
