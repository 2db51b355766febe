package detector

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// maxSample bounds the hosts probed to find out whether a failure domain is lost.
// A rack of a seventh of the domain's hosts makes all eight probes fail by chance
// in one of five million cases.
const maxSample = 8

// domainPause is the interval of checks of whole failure domains.
const domainPause = 250 * time.Millisecond

type domain struct {
	name, region string
	lost         bool
	stamp        int
	failed       map[string]bool
	lastOK       time.Time
	sampledAt    time.Time
	// targetProbed and targetSuccesses are about the targets of a lost domain.
	targetProbed    time.Time
	targetSuccesses int
}

func (s *State) domainOf(member provider.Member) *domain {
	d, ok := s.domains[member.FailureDomain]
	if !ok {
		d = &domain{name: member.FailureDomain, region: member.Region, failed: map[string]bool{}}
		s.domains[member.FailureDomain] = d
	}
	return d
}

// members returns the hosts of a failure domain that should answer.
func (s *State) members(d *domain) []*host {
	var out []*host
	for _, name := range s.hostNames {
		h := s.hosts[name]
		if h.member.FailureDomain == d.name && h.state != Gone && (h.state != Leaving || h.usable()) {
			out = append(out, h)
		}
	}
	return out
}

func sampleSize(known int) int { return min(maxSample, known) }

// sampleDomain probes further hosts of another failure domain, since the few that
// this daemon talks to do not tell a lost rack from a lost domain.
func (s *State) sampleDomain(now time.Time, d *domain) []Command {
	if d.name == s.self.FailureDomain || d.lost || now.Sub(d.sampledAt) < s.settings.SuspectAfter {
		return nil
	}
	d.sampledAt = now
	hosts := s.members(d)
	slices.SortFunc(hosts, func(a, b *host) int {
		if a.usable() != b.usable() {
			if a.usable() {
				return -1
			}
			return 1
		}
		return s.byRendezvous(a, b)
	})
	var commands []Command
	for _, h := range hosts[:min(len(hosts), sampleSize(len(hosts)))] {
		if !d.failed[h.member.Host] {
			commands = append(commands, s.probeHost(now, h)...)
		}
	}
	return commands
}

// domainOK takes an answer of a host; one host that answers steadily brings its
// failure domain back.
func (s *State) domainOK(now time.Time, h *host) {
	d := s.domainOf(h.member)
	clear(d.failed)
	d.lastOK = now
	if d.lost && h.successes >= s.settings.ResultThreshold {
		s.setDomain(d, false)
		s.spreadDomain(d)
	}
}

// checkDomains marks a failure domain as lost when a sample of its hosts fails
// and none of it answers. The sample is taken when one host is suspected or when
// more than half of the domain is silent.
func (s *State) checkDomains(now time.Time) []Command {
	if now.Sub(s.lastDomains) < domainPause {
		return nil
	}
	s.lastDomains = now
	var commands []Command
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		d := s.domains[name]
		if d.lost || name == s.self.FailureDomain {
			continue
		}
		hosts := s.members(d)
		silent, failed := 0, 0
		for _, h := range hosts {
			if d.failed[h.member.Host] {
				failed++
			}
			if h.state == Suspect || h.state == Unreachable {
				silent++
			}
		}
		switch {
		case len(hosts) > 0 && failed >= sampleSize(len(hosts)):
			s.setDomain(d, true)
			s.spreadDomain(d)
		case silent*2 > len(hosts):
			commands = append(commands, s.sampleDomain(now, d)...)
		}
	}
	return commands
}

// setDomain marks all hosts and targets of a failure domain in one step.
func (s *State) setDomain(d *domain, lost bool) {
	if d.lost == lost {
		return
	}
	d.lost, d.targetSuccesses = lost, 0
	s.changed, s.pressing, s.assignStale, s.digestStale = true, true, true, true
	event := "recovered"
	if lost {
		event = "lost"
	}
	for _, name := range s.hostNames {
		h := s.hosts[name]
		if h.member.FailureDomain != d.name || !lost && !h.byDomain {
			continue
		}
		single := h.own.state == Unreachable || h.home.state == Unreachable
		if lost || !single {
			// A host that was found dead by itself returns by itself.
			s.fireHost(h, event)
		}
		h.byDomain, h.successes = lost, 0
		if !lost {
			h.fails, h.firstMiss = 0, time.Time{}
		}
	}
	for _, name := range s.targetNames {
		t := s.targets[name]
		if t.member.FailureDomain == d.name && (lost || t.byDomain) {
			s.fireTarget(t, event)
			t.byDomain = lost
		}
	}
	if !lost {
		clear(d.failed)
	}
}

// domainTarget takes the result of a call or probe to a target of a lost domain:
// its targets are used again when they answer, even if no host there does.
func (s *State) domainTarget(now time.Time, d *domain, ok bool) {
	if !ok {
		d.targetSuccesses = 0
		return
	}
	d.targetSuccesses++
	if d.targetSuccesses < s.settings.ResultThreshold {
		return
	}
	for _, name := range s.targetNames {
		if t := s.targets[name]; t.byDomain && t.member.FailureDomain == d.name {
			s.fireTarget(t, "recovered")
			t.byDomain, t.fails, t.hint, t.since = false, 0, false, now
		}
	}
}

// probeDomainTargets probes one target of each lost domain a second.
func (s *State) probeDomainTargets(now time.Time) []Command {
	var commands []Command
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		d := s.domains[name]
		if !d.lost || now.Sub(d.targetProbed) < s.settings.FailedProbeInterval {
			continue
		}
		var oldest *target
		for _, name := range s.targetNames {
			t := s.targets[name]
			if t.byDomain && t.member.FailureDomain == d.name && t.state == Unreachable &&
				(oldest == nil || t.lastProbe.Before(oldest.lastProbe)) {
				oldest = t
			}
		}
		if oldest != nil {
			d.targetProbed = now
			commands = append(commands, s.probeTarget(now, oldest)...)
		}
	}
	return commands
}

func (s *State) spreadDomain(d *domain) {
	d.stamp++
	s.rumours.add(d.observed(s.self.FailureDomain), true)
	s.urgent = true
}

func (d *domain) observed(observer string) encoder.Rumour {
	state := Ready
	if d.lost {
		state = Unreachable
	}
	return encoder.Rumour{Kind: kindDomain, Subject: d.name, State: state, Sequence: d.stamp, Observer: observer}
}

func (s *State) hearDomain(now time.Time, rumour encoder.Rumour) {
	d := s.domains[rumour.Subject]
	if d == nil || d.name == s.self.FailureDomain || rumour.Sequence <= d.stamp {
		return
	}
	d.stamp = rumour.Sequence
	lost := rumour.State == Unreachable
	if lost && !d.lost && now.Sub(d.lastOK) < s.settings.SuspectAfter && len(d.failed) == 0 {
		// This daemon reaches the domain and says so.
		s.spreadDomain(d)
		return
	}
	s.rumours.add(rumour, true)
	s.urgent = true
	if lost || len(d.failed) == 0 {
		s.setDomain(d, lost)
	}
}

// lostRegions returns the regions of which every failure domain is lost.
func (s *State) lostRegions() []string {
	alive, all := map[string]bool{}, map[string]bool{}
	for _, d := range s.domains {
		all[d.region] = true
		if !d.lost {
			alive[d.region] = true
		}
	}
	var out []string
	for _, region := range slices.Sorted(maps.Keys(all)) {
		if !alive[region] {
			out = append(out, region)
		}
	}
	return out
}
