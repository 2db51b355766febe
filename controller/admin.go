package controller

import (
	"context"
	"time"

	"github.com/dogwoodweir/dogwoodweir/distributor"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/publisher"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// Status describes the daemon.
func (d *Daemon) Status() server.Status {
	snapshot, figures := d.snapshot.Load(), d.owner.Figures()
	status := server.Status{
		Host: d.settings.Host, FailureDomain: d.settings.FailureDomain, Region: d.settings.Region,
		Incarnation: d.incarnation, State: "starting", ConfigVersion: snapshot.version,
		StoreReachable: d.storeReachable.Load() && figures.StoreReachable, LeaseValid: d.owner.LeaseValid(),
		InFlight: int(d.inFlight.Load()), Hosts: len(snapshot.view.Hosts), Targets: len(snapshot.view.Targets),
	}
	if counts := d.counts.Load(); counts != nil {
		status.Shards, status.Programs, status.PendingRecords = counts.Shards, counts.LivePrograms, counts.PendingRecords
	}
	switch {
	case d.leaving.Load():
		status.State = "leaving"
	case d.Ready():
		status.State = "ready"
	}
	return status
}

// queryTimeout bounds a question of an operator to a loop.
const queryTimeout = 5 * time.Second

// askControl runs a query in the control loop and waits for its result.
func askControl[T any](ctx context.Context, d *Daemon, query func(*control) T) (T, bool) {
	result := make(chan T, 1)
	posted := d.control.Post(controlQuery{func(c *control) { result <- query(c) }})
	value, err := await(ctx, d, "daemon.query", posted, result)
	return value, err == nil
}

// Hosts lists the hosts as the daemon sees them.
func (d *Daemon) Hosts() []server.HostInfo {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	hosts, _ := askControl(ctx, d, (*control).hostInfos)
	return hosts
}

func (c *control) hostInfos() []server.HostInfo {
	now := c.d.platform.Clock.Now()
	var hosts []server.HostInfo
	for _, h := range c.view.Hosts {
		info := server.HostInfo{
			Host: h.Name, FailureDomain: h.FailureDomain, Region: h.Region, Address: h.Address, State: h.State,
			ConfigVersion: c.versions[h.Name],
		}
		if seen, ok := c.seen[h.Name]; ok {
			info.LastSeenMs = now.Sub(seen).Milliseconds()
		}
		if h.Name == c.d.settings.Host {
			info.ConfigVersion = c.document.Version
		}
		hosts = append(hosts, info)
	}
	return hosts
}

// Targets lists the targets of a service, of all services for "". Load and models are
// those of the last report, if there is one.
func (d *Daemon) Targets(service string) []server.TargetInfo {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	snapshot := d.snapshot.Load()
	type load struct{ inFlight, running int }
	loads, _ := ask(ctx, d, func(p *programs) map[string]load {
		loads := map[string]load{}
		for _, t := range snapshot.view.Targets {
			if node := p.scheduler.Fleet().Node(t.Name); node != nil {
				loads[t.Name] = load{inFlight: node.InFlight(), running: int(node.Calls())}
			}
		}
		return loads
	})
	reports, _ := askControl(ctx, d, func(c *control) map[string]provider.LoadReport { return c.placement.reports() })
	var targets []server.TargetInfo
	for _, s := range snapshot.Services() {
		if service != "" && s.Name != service {
			continue
		}
		for _, t := range snapshot.view.Targets {
			if t.Service != s.Targets.Role {
				continue
			}
			info := server.TargetInfo{
				Target: t.Name, Service: s.Name, FailureDomain: t.FailureDomain, Region: t.Region,
				Address: t.Address, State: t.State, InFlight: loads[t.Name].inFlight, Running: loads[t.Name].running,
			}
			if report, ok := reports[t.Name]; ok {
				info.Running, info.Waiting, info.Models = report.Running, report.Waiting, report.Models
			}
			targets = append(targets, info)
		}
	}
	return targets
}

// Services lists the services in force.
func (d *Daemon) Services(ctx context.Context) []server.ServiceInfo {
	snapshot := d.snapshot.Load()
	services, _ := ask(ctx, d, func(p *programs) []server.ServiceInfo {
		var services []server.ServiceInfo
		for _, s := range snapshot.Services() {
			info := server.ServiceInfo{
				Name: s.Name, Kind: s.Kind, Workspace: s.Workspace, ConfigVersion: snapshot.version,
				Targets:  len(p.scheduler.Fleet().Accepting(s.Name)),
				Programs: p.scheduler.ActivePrograms(s.Name), Queued: p.scheduler.QueueLength(s.Name),
			}
			for _, node := range p.scheduler.Fleet().Nodes(s.Name) {
				info.InFlight += node.InFlight()
			}
			services = append(services, info)
		}
		return services
	})
	return services
}

// ConfigDocument returns a version of the configuration; -1 is the one in force.
func (d *Daemon) ConfigDocument(ctx context.Context, version int) (encoder.Document, error) {
	if version < 0 {
		return d.config.Document(ctx)
	}
	return d.config.DocumentAt(ctx, version)
}

// Publish puts a document into force by compare-and-set. The daemon applies the
// accepted changes at once, so that its peers get them without the store.
func (d *Daemon) Publish(ctx context.Context, proposal publisher.Proposal) (int, error) {
	delta, err := d.config.PublishDelta(ctx, proposal)
	if err == nil {
		d.control.Post(distributorMessage{distributor.PublishAccepted{Delta: delta}})
	}
	return delta.To, err
}

// AuditRecords returns audit records, oldest first.
func (d *Daemon) AuditRecords(ctx context.Context, after, limit int) ([]encoder.AuditRecord, error) {
	return d.config.AuditRecords(ctx, after, limit)
}

// Healthy reports whether the loops make progress.
func (d *Daemon) Healthy() bool {
	oldest := min(d.lastTick.Load(), d.lastProgramTick.Load())
	return d.platform.Clock.Now().UnixNano()-oldest < int64(healthyWithin)
}

// Ready reports whether the daemon should get requests.
func (d *Daemon) Ready() bool {
	return d.snapshot.Load().ready && !d.leaving.Load()
}
