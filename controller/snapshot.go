package controller

import (
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Snapshot is what traffic needs to know of the configuration and the hosts. It
// is immutable; the control loop publishes a new one after each change.
type Snapshot struct {
	version  int
	services map[string]encoder.Service
	targets  map[string][]provider.Member
	hosts    []provider.Member
	ready    bool
}

// newSnapshot derives a snapshot from a document and the list of members.
func newSnapshot(document encoder.Document, members []provider.Member) *Snapshot {
	s := &Snapshot{
		version: document.Version, services: map[string]encoder.Service{},
		targets: map[string][]provider.Member{}, ready: document.Version > 0,
	}
	drained := map[string]bool{}
	for _, section := range document.Sections {
		switch {
		case section.Deleted:
		case section.Service != nil:
			service := *section.Service
			parser.FillDefaults(&service)
			s.services[service.Name] = service
		case section.Drain != nil:
			drained[section.Drain.Host] = true
		}
	}
	for _, member := range members {
		member.Leaving = member.Leaving || drained[member.Host]
		if member.Role == roleDaemon {
			s.hosts = append(s.hosts, member)
			continue
		}
		if !member.Leaving {
			s.targets[member.Role] = append(s.targets[member.Role], member)
		}
	}
	return s
}

// roleDaemon is the role of the system's own hosts in the platform's list.
const roleDaemon = "daemon"

// Service returns a service's configuration with all defaults filled in.
func (s *Snapshot) Service(name string) (encoder.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Targets returns the targets of a service that may get new work. The caller must
// not change the slice.
func (s *Snapshot) Targets(service encoder.Service) []provider.Member {
	return s.targets[service.Targets.Role]
}
