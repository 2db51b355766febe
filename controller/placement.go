package controller

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/detector"
	"github.com/dogwoodweir/dogwoodweir/loader"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/server"
)

const (
	// placeEvery is the period at which models are placed.
	placeEvery = time.Second
	// reportAge is the age up to which a report tells what a target holds; every
	// target of a full subset is polled within it.
	reportAge = time.Minute
	// targetSlots bounds the models and adapters on one target.
	targetSlots = 8
)

// targetReported is a target's load report.
type targetReported struct{ report provider.LoadReport }

// callServed is a finished model call, as demand for its model.
type callServed struct {
	target, model, adapter string
	took                   time.Duration
}

// loadFinished is the result of an order of the loader.
type loadFinished struct {
	role     string
	finished loader.OrderFinished
}

func (targetReported) isControlMessage() {}
func (callServed) isControlMessage()     {}
func (loadFinished) isControlMessage()   {}

// targetLoad is the last report of a target.
type targetLoad struct {
	report provider.LoadReport
	at     time.Time
}

func (l targetLoad) holds(model, adapter string) bool {
	return slices.Contains(l.report.Models, model) && (adapter == "" || slices.Contains(l.report.Adapters, adapter))
}

// placement runs a loader for the targets of each role whose orders this daemon
// issues: those whose shard it owns.
type placement struct {
	d       *Daemon
	due     time.Time
	loaders map[string]*loader.State
	issued  map[string]detector.TargetView
	roles   map[string]string
	loads   map[string]targetLoad
	models  map[string][]loader.Model
}

func newPlacement(d *Daemon) *placement {
	return &placement{
		d: d, loaders: map[string]*loader.State{}, issued: map[string]detector.TargetView{},
		roles: map[string]string{}, loads: map[string]targetLoad{}, models: map[string][]loader.Model{},
	}
}

// targetShard returns the shard whose owner issues the orders to a target.
func targetShard(t detector.TargetView, shardsPerDomain int) string {
	n := xxhash.Sum64String(t.Name) % uint64(max(shardsPerDomain, 1))
	return t.FailureDomain + "/" + strconv.FormatUint(n, 10)
}

// issues reports whether this daemon issues the orders to a target.
func (p *placement) issues(target string) bool {
	_, ok := p.issued[target]
	return ok
}

func (p *placement) reported(now time.Time, m targetReported) {
	p.loads[m.report.Target] = targetLoad{report: m.report, at: now}
	if state := p.loaders[p.roles[m.report.Target]]; state != nil {
		state.Update(now, loader.ReportReceived{Report: m.report})
	}
}

// reports returns the last reports of targets.
func (p *placement) reports() map[string]provider.LoadReport {
	reports := make(map[string]provider.LoadReport, len(p.loads))
	for target, load := range p.loads {
		reports[target] = load.report
	}
	return reports
}

// tick places models when that is due.
func (p *placement) tick(now time.Time, view detector.View) {
	if now.Before(p.due) {
		return
	}
	p.due = now.Add(placeEvery)
	usable := map[string][]detector.TargetView{}
	clear(p.roles)
	for _, t := range view.Targets {
		switch t.State {
		case detector.Leaving, detector.Unreachable, detector.Gone:
		default:
			usable[t.Service] = append(usable[t.Service], t)
			p.roles[t.Name] = t.Service
		}
	}
	maps.DeleteFunc(p.loads, func(target string, load targetLoad) bool {
		return p.roles[target] == "" || now.Sub(load.at) > reportAge
	})
	clear(p.issued)
	owned := map[string]int{}
	if p.d.owner.LeaseValid() {
		owned = p.d.owner.Owned()
	}
	wanted, checks := p.configured()
	p.models = wanted
	maps.DeleteFunc(p.loaders, func(role string, _ *loader.State) bool { return wanted[role] == nil })
	for _, role := range slices.Sorted(maps.Keys(wanted)) {
		p.place(now, role, usable[role], owned, checks[role])
	}
	p.limit(now, view)
}

// limit gives each loader its share of the weight store's rate.
func (p *placement) limit(now time.Time, view detector.View) {
	hosts := 0
	for _, host := range view.Hosts {
		if host.State != detector.Gone && host.State != detector.Unreachable {
			hosts++
		}
	}
	share := p.d.settings.Store.LoadsPerSec / float64(max(hosts*len(p.loaders), 1))
	for _, state := range p.loaders {
		state.Update(now, loader.RateChanged{LoadsPerSec: share})
	}
}

// configured returns the models and adapters of each role, with the replicas that
// are wanted everywhere together, and the roles whose targets check fencing
// numbers. A configured model is always kept on one target.
func (p *placement) configured() (map[string][]loader.Model, map[string]bool) {
	models, checks := map[string][]loader.Model{}, map[string]bool{}
	for _, service := range p.d.snapshot.Load().Services() {
		if service.Kind != server.KindModel {
			continue
		}
		role := service.Targets.Role
		if _, known := models[role]; !known {
			checks[role] = true
		}
		checks[role] = checks[role] && service.Targets.ChecksFencing
		for _, m := range service.Models {
			for _, adapter := range append([]string{""}, m.Adapters...) {
				model := loader.Model{Name: m.Name, Adapter: adapter, Version: m.Version, MinReplicas: max(m.MinReplicas, 1)}
				i := slices.IndexFunc(models[role], func(o loader.Model) bool { return o.Name == m.Name && o.Adapter == adapter })
				if i < 0 {
					models[role] = append(models[role], model)
				} else {
					models[role][i].MinReplicas = max(models[role][i].MinReplicas, model.MinReplicas)
				}
			}
		}
	}
	return models, checks
}

// place updates the loader of a role and sends its orders.
func (p *placement) place(now time.Time, role string, usable []detector.TargetView, owned map[string]int, checks bool) {
	state := p.loaders[role]
	if state == nil {
		state = loader.New(loader.DefaultOptions())
		p.loaders[role] = state
	}
	var targets []loader.Target
	for _, t := range usable {
		epoch, ok := owned[targetShard(t, p.d.settings.ShardsPerDomain)]
		if !ok {
			continue
		}
		p.issued[t.Name] = t
		targets = append(targets, loader.Target{Name: t.Name, Epoch: int64(epoch), ChecksFencing: checks, Slots: targetSlots})
	}
	models := slices.Clone(p.models[role])
	for i := range models {
		models[i].MinReplicas = p.share(models[i], usable)
	}
	state.Update(now, loader.TargetsChanged{Targets: targets})
	state.Update(now, loader.ModelsChanged{Models: models})
	for _, command := range state.Update(now, loader.Tick{}) {
		if c, ok := command.(loader.SendOrder); ok {
			p.order(now, role, c)
		}
	}
}

// share returns the replicas of a model that fall to this daemon's targets: all
// daemons rank the targets alike, and the first ones should hold the model unless
// enough others are known to.
func (p *placement) share(m loader.Model, usable []detector.TargetView) int {
	elsewhere := 0
	ranks := make([]uint64, len(usable))
	var digest xxhash.Digest
	for i, t := range usable {
		digest.Reset()
		_, _ = digest.WriteString(m.Name)
		_, _ = digest.WriteString(t.Name)
		ranks[i] = digest.Sum64()
		if !p.issues(t.Name) && p.loads[t.Name].holds(m.Name, m.Adapter) {
			elsewhere++
		}
	}
	mine := 0
	for i, t := range usable {
		if !p.issues(t.Name) {
			continue
		}
		before := 0
		for j, rank := range ranks {
			if rank < ranks[i] || rank == ranks[i] && j < i {
				before++
			}
		}
		if before < m.MinReplicas {
			mine++
		}
	}
	return max(0, min(mine, m.MinReplicas-elsewhere))
}

// served counts a call as demand for the targets of this daemon that hold the
// model. The calls of other daemons are taken to be like its own.
func (p *placement) served(now time.Time, m callServed, hosts int) {
	role := p.roles[m.target]
	state := p.loaders[role]
	if state == nil {
		return
	}
	mine, all := 0, 0
	for target, load := range p.loads {
		if p.roles[target] != role || !load.holds(m.model, m.adapter) {
			continue
		}
		all++
		if p.issues(target) {
			mine++
		}
	}
	if mine == 0 {
		return
	}
	concurrency := max(1, p.loads[m.target].report.MaxConcurrency)
	seconds := m.took.Seconds() / float64(concurrency) * float64(max(hosts, 1)) * float64(mine) / float64(all)
	state.Update(now, loader.DemandObserved{Model: m.model, Adapter: m.adapter, Seconds: seconds})
}

// order sends an order while the lease is valid. It is given up when it expires, so
// that it cannot arrive after the first order of the next issuer.
func (p *placement) order(now time.Time, role string, c loader.SendOrder) {
	d, address := p.d, p.issued[c.Target].Address
	deadline := now.Add(c.Order.ExpiresAfter)
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		engine := d.platform.Engine(address)
		err := error(provider.NewError("engine.order", provider.KindRefused, eris.New("the lease has expired")))
		if d.owner.LeaseValid() {
			err = engine.Order(ctx, c.Order)
		}
		d.metrics.count("loader_orders", 1)
		d.logger.Info("order to engine", zap.String("target", c.Target), zap.String("order", c.Order.Kind),
			zap.String("model", c.Order.Model), zap.String("adapter", c.Order.Adapter),
			zap.Int64("fencingNumber", c.Order.FencingNumber), zap.Error(err))
		d.control.Post(loadFinished{role: role, finished: loader.OrderFinished{
			Target: c.Target, Order: c.Order, ErrorKind: provider.KindOf(err),
		}})
		if report, reportErr := engine.Report(ctx); reportErr == nil {
			d.reported(c.Target, report)
		}
	})
}

func (p *placement) finished(now time.Time, m loadFinished) {
	if state := p.loaders[m.role]; state != nil {
		state.Update(now, m.finished)
	}
}
