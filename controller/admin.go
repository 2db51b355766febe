package controller

import (
	"context"
	"slices"
	"strings"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/publisher"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// Status describes the daemon.
func (d *Daemon) Status() server.Status {
	snapshot := d.snapshot.Load()
	status := server.Status{
		Host: d.settings.Host, FailureDomain: d.settings.FailureDomain, Region: d.settings.Region,
		State: "starting", ConfigVersion: snapshot.version, StoreReachable: d.storeReachable.Load(),
		InFlight: int(d.inFlight.Load()), Hosts: len(snapshot.hosts),
	}
	for _, targets := range snapshot.targets {
		status.Targets += len(targets)
	}
	switch {
	case d.leaving.Load():
		status.State = "leaving"
	case d.Ready():
		status.State = "ready"
	}
	return status
}

// Hosts lists the hosts that the daemon knows.
func (d *Daemon) Hosts() []server.HostInfo {
	var hosts []server.HostInfo
	for _, member := range d.snapshot.Load().hosts {
		state := "ready"
		if member.Leaving {
			state = "leaving"
		}
		hosts = append(hosts, server.HostInfo{
			Host: member.Host, FailureDomain: member.FailureDomain, Region: member.Region, Address: member.Address, State: state,
		})
	}
	return hosts
}

// Targets lists the targets of a service, of all services for "".
func (d *Daemon) Targets(service string) []server.TargetInfo {
	snapshot := d.snapshot.Load()
	var targets []server.TargetInfo
	for _, s := range snapshot.Services() {
		if service != "" && s.Name != service {
			continue
		}
		for _, member := range snapshot.Targets(s) {
			targets = append(targets, server.TargetInfo{
				Target: member.Host, Service: s.Name, FailureDomain: member.FailureDomain, Region: member.Region,
				Address: member.Address, State: "ready",
			})
		}
	}
	return targets
}

// Services lists the services in force.
func (d *Daemon) Services(context.Context) []server.ServiceInfo {
	snapshot := d.snapshot.Load()
	var services []server.ServiceInfo
	for _, s := range snapshot.Services() {
		services = append(services, server.ServiceInfo{
			Name: s.Name, Kind: s.Kind, Workspace: s.Workspace, ConfigVersion: snapshot.version,
			Targets: len(snapshot.Targets(s)),
		})
	}
	return services
}

// Document returns a version of the configuration; -1 is the one in force.
func (d *Daemon) Document(ctx context.Context, version int) (encoder.Document, error) {
	if version < 0 {
		return d.config.Document(ctx)
	}
	return d.config.At(ctx, version)
}

// Publish puts a document into force by compare-and-set.
func (d *Daemon) Publish(ctx context.Context, proposal publisher.Proposal) (int, error) {
	version, err := d.config.Publish(ctx, proposal)
	if err == nil {
		d.control.Post(configDue{})
	}
	return version, err
}

// Audit returns audit records, oldest first.
func (d *Daemon) Audit(ctx context.Context, after, limit int) ([]encoder.AuditRecord, error) {
	return d.config.Audit(ctx, after, limit)
}

// Services returns the services in order of name.
func (s *Snapshot) Services() []encoder.Service {
	services := make([]encoder.Service, 0, len(s.services))
	for _, service := range s.services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b encoder.Service) int { return strings.Compare(a.Name, b.Name) })
	return services
}

// Healthy reports whether the loops make progress.
func (d *Daemon) Healthy() bool {
	return d.platform.Clock.Now().UnixNano()-d.lastTick.Load() < int64(healthyWithin)
}

// Ready reports whether the daemon should get requests.
func (d *Daemon) Ready() bool {
	return d.snapshot.Load().ready && !d.leaving.Load()
}

// Programs lists programs of the shards that the daemon owns.
func (d *Daemon) Programs(context.Context, server.ProgramFilter) []server.ProgramInfo { return nil }

func notFound(id string) (server.ProgramInfo, server.Answer) {
	return server.ProgramInfo{}, server.Answer{Code: server.CodeNotFound, Message: "no such program", Program: id}
}

// Program describes a program.
func (d *Daemon) Program(_ context.Context, _, id string) (server.ProgramInfo, server.Answer) {
	return notFound(id)
}

// EndProgram cancels a program.
func (d *Daemon) EndProgram(_ context.Context, _, id string) (server.ProgramInfo, server.Answer) {
	return notFound(id)
}
