package soaker

import (
	"context"
	"fmt"
	"time"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// inflict carries out one fault and ends it after its time.
func (b *bed) inflict(ctx context.Context, f fault) {
	h := b.machines[f.Subject%len(b.machines)]
	other := b.machines[f.Other%len(b.machines)]
	engine := b.engines[f.Subject%len(b.engines)]
	service := b.services[f.Subject%len(b.services)]
	switch f.Kind {
	case faultKill:
		if !h.kill() {
			return
		}
		defer h.start()
	case faultKillDuring:
		h.killDuring.Store(true)
		defer h.start()
		defer h.killDuring.Store(false)
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
		defer h.impair()
		defer func() {
			gate.resume()
			h.paused.Store(time.Now().UnixNano())
		}()
	case faultPartition:
		domain := domains[f.Other%len(domains)].Name
		defer b.partition(domain)()
	case faultSilentPeers:
		b.network.silence(h.name, other.name)
	case faultToolHang, faultToolSilent, faultToolDrops, faultToolRefuses:
		service.SetFaults(emulator.ServiceFaults{
			Hang: f.Kind == faultToolHang, Silent: f.Kind == faultToolSilent,
			DropResponse: f.Kind == faultToolDrops, Refuse: f.Kind == faultToolRefuses,
		})
		defer service.SetFaults(emulator.ServiceFaults{})
	case faultEngineDead, faultEngineHang, faultEngineBreak:
		faults := emulator.EngineFaults{Dead: f.Kind == faultEngineDead, Hang: f.Kind == faultEngineHang}
		if f.Kind == faultEngineBreak {
			faults.BreakAfter = 3
		}
		engine.SetFaults(faults)
		defer engine.SetFaults(emulator.EngineFaults{})
	case faultTargetLeaving:
		if b.leave(ctx, f) {
			b.tally.CountFault(f.Kind)
		}
		return
	case faultListStale:
		b.hosts.SetFaults(emulator.HostListFaults{LagMs: 1_000, Down: f.Other%2 == 0})
		defer b.hosts.SetFaults(emulator.HostListFaults{})
	default:
		defer b.storeFault(f, h)()
	}
	b.tally.CountFault(f.Kind)
	h.impair()
	emulator.Sleep(ctx, f.For)
	h.impair()
}

// storeFault starts a fault of the store and returns its end.
func (b *bed) storeFault(f fault, h *host) (end func()) {
	faults := b.tables.Faults()
	set := func(on bool) {
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
		case faultStoreLose:
			faults.SetStallOnLoss(on && f.Other%2 == 0)
			faults.SetResponseLoss(share)
		case faultStoreLate:
			faults.SetLateRequests(share, time.Second)
		case faultStoreCut:
			faults.SetIsolated(h.name, on)
			b.objects.Faults().SetIsolated(h.name, on)
		}
		for _, m := range b.machines {
			m.impair()
		}
	}
	set(true)
	return func() { set(false) }
}

// partition cuts a domain off from the others and from the store.
func (b *bed) partition(domain string) (end func()) {
	var cuts [][2]string
	for _, inside := range b.machines {
		for _, outside := range b.machines {
			if inside.domain == domain && outside.domain != domain {
				cuts = append(cuts, [2]string{inside.name, outside.name})
			}
		}
	}
	set := func(on bool) {
		for _, cut := range cuts {
			b.network.setCut(cut[0], cut[1], on)
		}
		for _, m := range b.machines {
			m.impair()
			if m.domain == domain {
				b.tables.Faults().SetIsolated(m.name, on)
				b.objects.Faults().SetIsolated(m.name, on)
			}
		}
	}
	set(true)
	return func() { set(false) }
}

// leave lets an engine leave: it is announced, later removed with its process, and
// a new process serves at the address under a new name. It reports false when the
// engine is leaving already.
func (b *bed) leave(ctx context.Context, f fault) bool {
	n := f.Subject % len(b.engines)
	engine, domain := b.engines[n], domains[n%len(domains)]
	if !b.inspector.setLeaving(engine.Name(), true) {
		return false
	}
	old := b.runner(n)
	b.hosts.Put(provider.Member{
		Host: old, Address: engine.Name(), FailureDomain: domain.Name, Region: domain.Region, Role: drafter, Leaving: true,
	})
	emulator.Sleep(ctx, f.For)
	b.hosts.Remove(old)
	engine.SetFaults(emulator.EngineFaults{Dead: true})
	emulator.Sleep(ctx, time.Second)
	engine.SetFaults(emulator.EngineFaults{})
	b.inspector.setLeaving(engine.Name(), false)
	b.mu.Lock()
	b.processes[n]++
	b.mu.Unlock()
	b.putTarget(b.runner(n), engine.Name(), drafter, n)
	return true
}

// runner is the name of an engine's current process.
func (b *bed) runner(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%s-run%d", b.engines[n].Name(), b.processes[n])
}
