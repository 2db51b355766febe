package controller

import (
	"slices"
	"strings"

	"github.com/dogwoodweir/dogwoodweir/detector"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/parser"
)

// Snapshot is what traffic needs to know of the configuration and the hosts. It
// is immutable; the control loop publishes a new one after each change.
type Snapshot struct {
	version    int
	services   map[string]encoder.Service
	workspaces map[string]encoder.Workspace
	view       detector.View
	peers      map[string]messenger.Peer
	ready      bool
}

// newSnapshot derives a snapshot from a document and the view of the detector;
// serving says that callers may be served with the document.
func newSnapshot(document encoder.Document, view detector.View, serving bool) *Snapshot {
	s := &Snapshot{
		version: document.Version, services: map[string]encoder.Service{}, workspaces: map[string]encoder.Workspace{},
		view: view, peers: map[string]messenger.Peer{}, ready: serving,
	}
	for _, section := range document.Sections {
		switch {
		case section.Deleted:
		case section.Service != nil:
			service := *section.Service
			parser.FillDefaults(&service)
			s.services[service.Name] = service
		case section.Workspace != nil:
			s.workspaces[section.Workspace.Name] = *section.Workspace
		}
	}
	for name, service := range s.services {
		if workspace, ok := s.workspaces[service.Workspace]; ok && workspace.Budget != nil {
			service.Budget = mergeBudget(*service.Budget, *workspace.Budget)
			s.services[name] = service
		}
	}
	for _, host := range view.Hosts {
		if host.Address != "" && host.State != detector.Gone {
			s.peers[host.Name] = messenger.Peer{Host: host.Name, Address: host.Address}
		}
	}
	return s
}

// mergeBudget fills the budget of a service with the defaults of its workspace.
func mergeBudget(budget, defaults encoder.Budget) *encoder.Budget {
	fill := func(value *int, fallback int) {
		if *value == 0 {
			*value = fallback
		}
	}
	fill(&budget.Tokens, defaults.Tokens)
	fill(&budget.Turns, defaults.Turns)
	fill(&budget.TimeMs, defaults.TimeMs)
	if budget.Cost == 0 {
		budget.Cost = defaults.Cost
	}
	return &budget
}

// roleDaemon is the role of the system's own hosts in the platform's list.
const roleDaemon = "daemon"

// Service returns a service's configuration with all defaults filled in.
func (s *Snapshot) Service(name string) (encoder.Service, bool) {
	service, ok := s.services[name]
	return service, ok
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

// servedVersion is the version that peers are told: 0 unless callers are served
// with it, since a version that was only pulled from a peer is no evidence that it
// is the highest one.
func (s *Snapshot) servedVersion() int {
	if !s.ready {
		return 0
	}
	return s.version
}

func (s *Snapshot) peer(host string) (messenger.Peer, bool) {
	peer, ok := s.peers[host]
	return peer, ok
}

// region returns the region of a host, "" if the host is not known.
func (s *Snapshot) region(host string) string {
	for _, h := range s.view.Hosts {
		if h.Name == host {
			return h.Region
		}
	}
	return ""
}

// reachable reports whether a host is expected to answer.
func (s *Snapshot) reachable(host string) bool {
	for _, h := range s.view.Hosts {
		if h.Name == host {
			return h.State != detector.Unreachable && h.State != detector.Gone
		}
	}
	return false
}

// fallback returns a host that may know the owner of a shard: one of the shard's
// failure domain before others, another one with each try.
func (s *Snapshot) fallback(shard, avoid, self string, try int) string {
	domain, _, _ := strings.Cut(shard, "/")
	var near, far []string
	for _, h := range s.view.Hosts {
		usable := h.State == detector.Ready || h.State == detector.Joining || h.State == detector.Suspect
		switch {
		case !usable || h.Name == avoid || h.Name == self:
		case h.FailureDomain == domain:
			near = append(near, h.Name)
		default:
			far = append(far, h.Name)
		}
	}
	hosts := append(near, far...)
	if len(hosts) == 0 {
		return ""
	}
	return hosts[try%len(hosts)]
}

// target returns a target as the detector sees it.
func (s *Snapshot) target(name string) (detector.TargetView, bool) {
	for _, t := range s.view.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return detector.TargetView{}, false
}
