package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

// orderExpiry bounds the time that an order is under way.
const orderExpiry = 5 * time.Second

// importTimeout bounds the import of an exported cache; a call that waits longer
// computes its prompt again.
const importTimeout = 10 * time.Second

// orderMemory sends an order about a program's memory. The program's id is never
// used again, so such an order cannot be stale and its issuer needs no epoch of the
// target's shard. An engine that checks fencing numbers refuses one below the
// highest that it has seen, so the order carries that number.
func (d *Daemon) orderMemory(ctx context.Context, target, address string, order provider.Order) error {
	engine := d.platform.Engine(address)
	order.FencingNumber = d.fencingOf(target)
	err := engine.Order(ctx, order)
	if provider.KindOf(err) != provider.KindFenced {
		return err
	}
	report, reportErr := engine.Report(ctx)
	if reportErr != nil {
		return err
	}
	d.reported(target, report)
	order.FencingNumber = report.FencingNumber
	return engine.Order(ctx, order)
}

// fencingOf returns the highest fencing number that a target has reported.
func (d *Daemon) fencingOf(target string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fencing[target]
}

func (d *Daemon) noteFencing(target string, number int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fencing == nil {
		d.fencing = map[string]int64{}
	}
	d.fencing[target] = max(d.fencing[target], number)
}

// order carries out an order of the scheduler about a program's memory.
func (p *programs) order(c scheduler.SendOrder) {
	node := p.scheduler.Fleet().Node(c.Target)
	if node == nil {
		return
	}
	d, address, order := p.d, node.Target().Address, c.Order
	if order.Kind == "export" {
		if len(p.exports) >= maxExports {
			clear(p.exports)
		}
		p.exports[order.Program] = order.Object
	}
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, orderExpiry)
		defer cancel()
		err := d.orderMemory(ctx, c.Target, address, order)
		if err == nil {
			return
		}
		d.metrics.count("orders_failed", 1)
		d.logger.Debug("order failed", zap.String("target", c.Target), zap.String("order", order.Kind), zap.Error(err))
		if order.Kind == "export" {
			d.programs.Post(schedulerMessage{scheduler.ExportLost{Program: order.Program}})
		}
	})
}

// maxExports bounds the exports that are remembered.
const maxExports = 8_192

// deleteExport deletes the exported cache of an ended program, once an export that
// is still under way has ended.
func (p *programs) deleteExport(program string) {
	object, ok := p.exports[program]
	if !ok {
		return
	}
	delete(p.exports, program)
	d := p.d
	d.after(orderExpiry, func() {
		ctx, cancel := context.WithTimeout(d.effectsCtx, objectTimeout)
		defer cancel()
		if err := d.platform.Objects.Delete(ctx, object); err != nil {
			d.logger.Info("exported cache was not deleted", zap.String("program", program), zap.Error(err))
		}
	})
}

// importCache makes the target import an exported cache before it generates. When
// that fails the target computes the prompt.
func (s *send) importCache(ctx context.Context) {
	if s.object == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	err := s.d.orderMemory(ctx, s.target, s.address, provider.Order{
		Kind: "import", Program: s.request.Program, Object: s.object, ExpiresAfter: importTimeout,
	})
	if err == nil {
		s.d.metrics.count("imports", 1)
		return
	}
	s.d.metrics.count("imports_failed", 1)
	s.d.logger.Info("import of a cache failed", zap.String("program", s.request.Program), zap.String("call", s.id),
		zap.String("target", s.target), zap.String("object", s.object), zap.Error(err))
	if provider.KindOf(err) == provider.KindNotFound {
		s.d.programs.Post(schedulerMessage{scheduler.ExportLost{Program: s.request.Program}})
	}
}
