package detector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// minViewInterval is the minimum interval between two views, so that a burst of
// changes leads to one view. minUrgentViewInterval applies when the change adds or
// removes a host or target for new work.
const (
	minViewInterval       = 500 * time.Millisecond
	minUrgentViewInterval = 100 * time.Millisecond
)

// View is an immutable snapshot of the hosts and targets, each in order of name.
type View struct {
	Version     int
	Hosts       []HostView
	Targets     []TargetView
	LostDomains []string
	LostRegions []string
}

// HostView is one host.
type HostView struct {
	Name, Address, FailureDomain, Region, State, Incarnation string
	Drained                                                  bool
}

// TargetView is one target for one of its services.
type TargetView struct {
	Name, Address, Service, FailureDomain, Region, State string
	// WarmingSince is when the state warming began. It has a meaning only in that
	// state.
	WarmingSince time.Time
	// LastCallFailed is set when a call or probe failed and none has succeeded since.
	LastCallFailed bool
	Drained        bool
	// InSubset is set when this daemon uses the target, ProbeAssigned when it probes
	// the target for its failure domain.
	InSubset, ProbeAssigned bool
}

// publishView returns a command with a new view if the view has changed and the
// minimum interval has passed, otherwise nothing.
func (s *State) publishView(now time.Time) []Command {
	interval := minViewInterval
	if s.viewUrgent {
		interval = minUrgentViewInterval
	}
	if !s.viewChanged || now.Sub(s.lastView) < interval {
		return nil
	}
	s.viewChanged, s.viewUrgent, s.lastView = false, false, now
	s.viewVersion++
	view := View{Version: s.viewVersion, LostRegions: s.lostRegions()}
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		if s.domains[name].lost {
			view.LostDomains = append(view.LostDomains, name)
		}
	}
	for _, name := range s.hostNames {
		h := s.hosts[name]
		state := h.state
		if s.drained[name] && state != Gone {
			state = Leaving
		}
		view.Hosts = append(view.Hosts, HostView{
			Name: name, Address: h.member.Address, FailureDomain: h.member.FailureDomain, Region: h.member.Region,
			State: state, Incarnation: h.incarnation, Drained: s.drained[name],
		})
	}
	if s.targetsChanged || s.targetViews == nil {
		s.targetsChanged, s.targetViews = false, s.buildTargetViews()
	}
	view.Targets = s.targetViews
	return []Command{PublishView{View: view}}
}

func (s *State) buildTargetViews() []TargetView {
	views := make([]TargetView, 0, len(s.targets))
	for _, name := range s.targetNames {
		t := s.targets[name]
		state := t.state
		if s.drained[name] && state != Gone {
			state = Leaving
		}
		for _, role := range t.roles {
			views = append(views, TargetView{
				Name: name, Address: t.member.Address, Service: role, FailureDomain: t.member.FailureDomain,
				Region: t.member.Region, State: state, WarmingSince: t.warmingSince, LastCallFailed: t.lastCallFailed, Drained: s.drained[name],
				ProbeAssigned: t.probeAssigned,
			})
		}
	}
	s.markSubset(views)
	return views
}

// markSubset sets InSubset for the targets that this daemon uses: at most
// Settings.SubsetSize for each service, the own failure domain first, then the own
// region, and by rendezvous hashing within each.
func (s *State) markSubset(targets []TargetView) {
	type candidate struct {
		index, distance int
		score           uint64
	}
	own := xxhash.Sum64String(s.self.Host)
	services := map[string][]candidate{}
	for i, t := range targets {
		if t.State == Leaving || t.State == Gone || t.State == Unreachable {
			continue
		}
		distance := 2
		if t.FailureDomain == s.self.FailureDomain {
			distance = 0
		} else if t.Region == s.self.Region {
			distance = 1
		}
		services[t.Service] = append(services[t.Service], candidate{i, distance, score(own, s.targets[t.Name].hash)})
	}
	for _, candidates := range services {
		if len(candidates) > s.settings.SubsetSize {
			slices.SortFunc(candidates, func(a, b candidate) int {
				return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
			})
			candidates = candidates[:s.settings.SubsetSize]
		}
		for _, c := range candidates {
			targets[c.index].InSubset = true
		}
	}
}

// sweep runs once a second. It ends slow starts, removes hosts and targets that
// have been gone for longer than Settings.GoneRetention and renews the assignment
// of probes. It keeps the drains, which belong to the configuration.
func (s *State) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < time.Second {
		return
	}
	s.lastSweep = now
	s.hostNames = slices.DeleteFunc(s.hostNames, func(name string) bool {
		h := s.hosts[name]
		old := h.state == Gone && now.Sub(h.goneAt) > s.settings.GoneRetention
		if old {
			delete(s.hosts, name)
			s.viewChanged = true
		}
		return old
	})
	s.targetNames = slices.DeleteFunc(s.targetNames, func(name string) bool {
		t := s.targets[name]
		if t.state == Warming && now.Sub(t.warmingSince) >= s.settings.SlowStart {
			s.fireTargetEvent(t, "warmed")
		}
		old := t.state == Gone && now.Sub(t.goneAt) > s.settings.GoneRetention
		if old {
			delete(s.targets, name)
			s.targetList, s.viewChanged, s.targetsChanged = nil, true, true
		}
		return old
	})
	if s.assignmentStale {
		s.assignProbes()
	}
}

// assignProbes determines the targets that this daemon probes: those of its failure
// domain for which it has the highest rendezvous score among the domain's usable
// hosts. Targets of a domain without usable hosts are probed from their region, or
// else from anywhere.
func (s *State) assignProbes() {
	s.assignmentStale = false
	pools := map[string][]uint64{}
	own := xxhash.Sum64String(s.self.Host)
	for _, name := range s.hostNames {
		if h := s.hosts[name]; h.usable() && h.state != Leaving {
			hash := xxhash.Sum64String(name)
			for _, key := range []string{"d/" + h.member.FailureDomain, "r/" + h.member.Region, "*"} {
				pools[key] = append(pools[key], hash)
			}
		}
	}
	for _, name := range s.targetNames {
		t := s.targets[name]
		pool := pools["d/"+t.member.FailureDomain]
		inside := t.member.FailureDomain == s.self.FailureDomain
		if len(pool) == 0 {
			pool, inside = pools["r/"+t.member.Region], t.member.Region == s.self.Region
		}
		if len(pool) == 0 {
			pool, inside = pools["*"], true
		}
		if assigned := inside && hasHighestScore(own, t.hash, pool); assigned != t.probeAssigned {
			t.probeAssigned, s.viewChanged, s.targetsChanged = assigned, true, true
		}
	}
}

func hasHighestScore(own, target uint64, pool []uint64) bool {
	best := score(own, target)
	for _, other := range pool {
		if score(other, target) > best {
			return false
		}
	}
	return true
}
