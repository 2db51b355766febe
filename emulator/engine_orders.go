package emulator

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// maxReports is the number of load reports kept for ReportLagMs.
const maxReports = 512

// reportInterval is the shortest time between two recorded load reports.
const reportInterval = 50 * time.Millisecond

func (e *Engine) loadReport(now time.Time) provider.LoadReport {
	r := provider.LoadReport{
		Target: e.options.Name, At: now, Running: len(e.running), Waiting: len(e.waiting),
		FreeBlocks: e.cache.freeBlocks(), TotalBlocks: e.options.TotalBlocks,
		TokensPerSec: e.options.TokensPerSec, PrefillPerSec: e.options.PrefillPerSec,
		Models: slices.Sorted(maps.Keys(e.models)), Adapters: slices.Sorted(maps.Keys(e.adapters)),
		Role: e.role, Leaving: e.faults.Leaving, FencingNumber: e.fencing, MaxConcurrency: e.options.MaxConcurrency,
	}
	for _, j := range e.waiting {
		r.WaitingTokens += j.request.PromptTokens
	}
	return r
}

// recordLoad records the current load so that Report can return an older one.
func (e *Engine) recordLoad(now time.Time) {
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].At) < reportInterval {
		return
	}
	e.reports = append(e.reports, e.loadReport(now))
	if len(e.reports) > maxReports {
		e.reports = slices.Delete(e.reports, 0, len(e.reports)-maxReports)
	}
}

// Report returns the engine's load as it was ReportLagMs ago.
func (e *Engine) Report(ctx context.Context) (provider.LoadReport, error) {
	if err := e.awaitAvailable(ctx, "engine.report"); err != nil {
		return provider.LoadReport{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	report := e.loadReport(now)
	lag := time.Duration(e.faults.ReportLagMs) * time.Millisecond
	for _, old := range slices.Backward(e.reports) {
		if lag == 0 || now.Sub(old.At) > lag {
			break
		}
		report = old
	}
	return report, nil
}

// CacheEvents returns the cache events after a sequence number, with the delay of
// EventDelayMs and the gaps of EventGap.
func (e *Engine) CacheEvents(ctx context.Context, after int64) ([]provider.CacheEvent, error) {
	if err := e.awaitAvailable(ctx, "engine.events"); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := time.Now().Add(-time.Duration(e.faults.EventDelayMs) * time.Millisecond)
	var events []provider.CacheEvent
	for _, t := range e.cache.events {
		if t.event.Sequence <= after || t.at.After(cutoff) {
			continue
		}
		if e.faults.EventGap > 0 && t.event.Sequence%int64(e.faults.EventGap) == 0 {
			continue
		}
		event := t.event
		event.Target = e.options.Name
		events = append(events, event)
	}
	return events, nil
}

// HeldPrograms lists the programs for which the engine holds memory, sorted by name.
func (e *Engine) HeldPrograms(ctx context.Context) ([]string, error) {
	if err := e.awaitAvailable(ctx, "engine.held"); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.cache.held)), nil
}

// awaitAvailable waits while the engine hangs. It fails if the engine is dead or closed or
// if ctx ends.
func (e *Engine) awaitAvailable(ctx context.Context, operation string) error {
	for {
		faults := e.Faults()
		if faults.Dead {
			return provider.NewError(operation, provider.KindUnavailable, eris.New("engine is dead"))
		}
		if !faults.Hang {
			return nil
		}
		select {
		case <-ctx.Done():
			return provider.NewError(operation, provider.KindUnknown, ctx.Err())
		case <-e.done:
			return provider.NewError(operation, provider.KindUnavailable, eris.New("engine closed"))
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Orders returns the orders that the engine has accepted.
func (e *Engine) Orders() []provider.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Order carries out an order. With ChecksFencing it rejects an order whose fencing number
// is below the highest received one. A release concerns a single program and needs no
// fencing number.
func (e *Engine) Order(ctx context.Context, order provider.Order) error {
	if err := e.awaitAvailable(ctx, "engine.order"); err != nil {
		return err
	}
	if err := e.checkFencing(order); err != nil {
		return err
	}
	if order.Kind == "load" && e.options.Weights != nil {
		if err := e.options.Weights.Fetch(ctx, e.options.Name, order.Model, order.Version); err != nil {
			return err
		}
	}
	var imported []uint64
	if order.Kind == "export" || order.Kind == "import" {
		blocks, err := e.transferCache(ctx, order)
		if err != nil {
			return err
		}
		imported = blocks
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	return e.applyOrder(order, imported)
}

func (e *Engine) checkFencing(order provider.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.FencingNumber < e.fencing && order.Kind != "release" {
		if e.options.ChecksFencing {
			return provider.NewError("engine.order", provider.KindFenced, nil)
		}
		e.counts.StaleOrders++
	}
	e.fencing = max(e.fencing, order.FencingNumber)
	return nil
}

func (e *Engine) applyOrder(order provider.Order, imported []uint64) error {
	now := time.Now()
	switch order.Kind {
	case "load":
		if order.Adapter != "" {
			e.adapters[order.Adapter] = true
		}
		if order.Model != "" {
			e.models[order.Model] = true
		}
	case "unload":
		if order.Adapter != "" {
			delete(e.adapters, order.Adapter)
		} else {
			delete(e.models, order.Model)
		}
	case "role":
		e.role = order.Role
	case "hold":
		if _, ok := e.cache.held[order.Program]; !ok {
			e.cache.held[order.Program] = nil
		}
	case "release":
		e.cache.release(now, order.Program)
	case "export":
	case "import":
		e.cache.store(now, order.Program, imported)
	default:
		return provider.NewError("engine.order", provider.KindInvalid, eris.Errorf("unknown kind of order %q", order.Kind))
	}
	return nil
}

// transferCache exports a program's cache to the object store or reads an exported one
// from it. It returns the hashes of the cache's blocks.
func (e *Engine) transferCache(ctx context.Context, order provider.Order) ([]uint64, error) {
	if e.options.Objects == nil {
		return nil, provider.NewError("engine.order", provider.KindUnsupported, nil)
	}
	if order.Kind == "import" {
		data, err := e.options.Objects.Get(ctx, order.Object)
		if err != nil {
			return nil, err
		}
		var blocks []uint64
		if err := json.Unmarshal(data, &blocks); err != nil {
			return nil, provider.NewError("engine.order", provider.KindInvalid, err)
		}
		return blocks, nil
	}
	e.mu.Lock()
	blocks, ok := e.cache.held[order.Program]
	e.mu.Unlock()
	if !ok {
		return nil, provider.NewError("engine.order", provider.KindNotFound, nil)
	}
	data, err := json.Marshal(blocks)
	if err != nil {
		return nil, provider.NewError("engine.order", provider.KindInvalid, err)
	}
	return blocks, e.options.Objects.Put(ctx, order.Object, data)
}
