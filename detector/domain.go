package detector

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// maxSampleSize limits the hosts probed to find out whether a failure domain is
// lost. If a rack with a seventh of the domain's hosts fails, all eight probes fall
// into it by chance in one of five million cases.
const maxSampleSize = 8

// domainCheckInterval is the interval between checks for lost failure domains.
const domainCheckInterval = 250 * time.Millisecond

type domain struct {
	name, region string
	lost         bool
	// sequence orders the observations of the domain.
	sequence    int
	failedHosts map[string]bool
	lastSuccess time.Time
	sampledAt   time.Time
	// targetProbedAt and targetSuccesses belong to the probes of targets while the
	// domain is lost.
	targetProbedAt  time.Time
	targetSuccesses int
}

func (s *State) domainOf(member provider.Member) *domain {
	d, ok := s.domains[member.FailureDomain]
	if !ok {
		d = &domain{name: member.FailureDomain, region: member.Region, failedHosts: map[string]bool{}}
		s.domains[member.FailureDomain] = d
	}
	return d
}

// expectedHosts returns the hosts of a failure domain that should reply: those that
// are not gone and have not left.
func (s *State) expectedHosts(d *domain) []*host {
	var out []*host
	for _, name := range s.hostNames {
		h := s.hosts[name]
		if h.member.FailureDomain == d.name && h.state != Gone && (h.state != Leaving || h.usable()) {
			out = append(out, h)
		}
	}
	return out
}

func sampleSize(known int) int { return min(maxSampleSize, known) }

// sampleDomain probes a sample of the hosts of another failure domain. The few
// hosts that get heartbeats from this daemon don't suffice to tell a lost rack from
// a lost domain.
func (s *State) sampleDomain(now time.Time, d *domain) []Command {
	if d.name == s.self.FailureDomain || d.lost || now.Sub(d.sampledAt) < s.settings.SuspectAfter {
		return nil
	}
	d.sampledAt = now
	hosts := s.expectedHosts(d)
	slices.SortFunc(hosts, func(a, b *host) int {
		if a.usable() != b.usable() {
			if a.usable() {
				return -1
			}
			return 1
		}
		return s.compareRendezvous(a, b)
	})
	var commands []Command
	for _, h := range hosts[:min(len(hosts), sampleSize(len(hosts)))] {
		if !d.failedHosts[h.member.Host] {
			commands = append(commands, s.probeHost(now, h)...)
		}
	}
	return commands
}

// recordDomainSuccess records that a host of the failure domain replied. One host
// with Settings.ResultThreshold consecutive replies ends the loss of its domain.
func (s *State) recordDomainSuccess(now time.Time, h *host) {
	d := s.domainOf(h.member)
	clear(d.failedHosts)
	d.lastSuccess = now
	if d.lost && h.successes >= s.settings.ResultThreshold {
		s.setDomainLost(d, false)
		s.spreadDomainObservation(d)
	}
}

// checkDomains marks a failure domain as lost when the probes of a sample of its
// hosts fail and no host of it replies. The sample is taken when a host becomes
// suspected or when more than half of the domain is suspected or unreachable.
func (s *State) checkDomains(now time.Time) []Command {
	if now.Sub(s.lastDomainCheck) < domainCheckInterval {
		return nil
	}
	s.lastDomainCheck = now
	var commands []Command
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		d := s.domains[name]
		if d.lost || name == s.self.FailureDomain {
			continue
		}
		hosts := s.expectedHosts(d)
		silent, failed := 0, 0
		for _, h := range hosts {
			if d.failedHosts[h.member.Host] {
				failed++
			}
			if h.state == Suspect || h.state == Unreachable {
				silent++
			}
		}
		switch {
		case len(hosts) > 0 && failed >= sampleSize(len(hosts)):
			s.setDomainLost(d, true)
			s.spreadDomainObservation(d)
		case silent*2 > len(hosts):
			commands = append(commands, s.sampleDomain(now, d)...)
		}
	}
	return commands
}

// setDomainLost marks a failure domain with all its hosts and targets as lost, or
// ends the loss.
func (s *State) setDomainLost(d *domain, lost bool) {
	if d.lost == lost {
		return
	}
	d.lost, d.targetSuccesses = lost, 0
	s.viewChanged, s.viewUrgent, s.assignmentStale, s.digestStale = true, true, true, true
	event := "recovered"
	if lost {
		event = "lost"
	}
	for _, name := range s.hostNames {
		h := s.hosts[name]
		if h.member.FailureDomain != d.name || !lost && !h.lostWithDomain {
			continue
		}
		unreachableAlone := h.ownObservation.state == Unreachable || h.homeObservation.state == Unreachable
		if lost || !unreachableAlone {
			// A host that was found unreachable on its own must recover on its own.
			s.fireHostEvent(h, event)
		}
		h.lostWithDomain, h.successes = lost, 0
		if !lost {
			h.failures, h.failingSince = 0, time.Time{}
		}
	}
	for _, name := range s.targetNames {
		t := s.targets[name]
		if t.member.FailureDomain == d.name && (lost || t.lostWithDomain) {
			s.fireTargetEvent(t, event)
			t.lostWithDomain = lost
		}
	}
	if !lost {
		clear(d.failedHosts)
	}
}

// recordDomainTargetResult records the result of a call to, or probe of, a target
// of a lost failure domain. After Settings.ResultThreshold consecutive successes the
// domain's targets are used again, even if no host there replies.
func (s *State) recordDomainTargetResult(now time.Time, d *domain, ok bool) {
	if !ok {
		d.targetSuccesses = 0
		return
	}
	d.targetSuccesses++
	if d.targetSuccesses < s.settings.ResultThreshold {
		return
	}
	for _, name := range s.targetNames {
		if t := s.targets[name]; t.lostWithDomain && t.member.FailureDomain == d.name {
			s.fireTargetEvent(t, "recovered")
			t.lostWithDomain, t.failures, t.lastCallFailed, t.warmingSince = false, 0, false, now
		}
	}
}

// probeDomainTargets probes one target of each lost failure domain every
// Settings.FailedProbeInterval, the least recently probed first.
func (s *State) probeDomainTargets(now time.Time) []Command {
	var commands []Command
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		d := s.domains[name]
		if !d.lost || now.Sub(d.targetProbedAt) < s.settings.FailedProbeInterval {
			continue
		}
		var oldest *target
		for _, name := range s.targetNames {
			t := s.targets[name]
			if t.lostWithDomain && t.member.FailureDomain == d.name && t.state == Unreachable &&
				(oldest == nil || t.lastProbe.Before(oldest.lastProbe)) {
				oldest = t
			}
		}
		if oldest != nil {
			d.targetProbedAt = now
			commands = append(commands, s.probeTarget(now, oldest)...)
		}
	}
	return commands
}

// spreadDomainObservation spreads whether the failure domain is lost as an
// observation newer than those received.
func (s *State) spreadDomainObservation(d *domain) {
	d.sequence++
	s.rumours.add(d.observationRumour(s.self.FailureDomain), true)
	s.urgent = true
}

func (d *domain) observationRumour(observer string) encoder.Rumour {
	state := Ready
	if d.lost {
		state = Unreachable
	}
	return encoder.Rumour{Kind: kindDomain, Subject: d.name, State: state, Sequence: d.sequence, Observer: observer}
}

// receiveDomainObservation applies an observation of this daemon's failure domain
// about another failure domain, and spreads it if it is new.
func (s *State) receiveDomainObservation(now time.Time, rumour encoder.Rumour) {
	d := s.domains[rumour.Subject]
	if d == nil || d.name == s.self.FailureDomain || rumour.Sequence <= d.sequence {
		return
	}
	d.sequence = rumour.Sequence
	lost := rumour.State == Unreachable
	if lost && !d.lost && now.Sub(d.lastSuccess) < s.settings.SuspectAfter && len(d.failedHosts) == 0 {
		// This daemon reaches the domain, so it contradicts the rumour.
		s.spreadDomainObservation(d)
		return
	}
	s.rumours.add(rumour, true)
	s.urgent = true
	if lost || len(d.failedHosts) == 0 {
		s.setDomainLost(d, lost)
	}
}

// lostRegions returns the regions in which every failure domain is lost.
func (s *State) lostRegions() []string {
	reachable, all := map[string]bool{}, map[string]bool{}
	for _, d := range s.domains {
		all[d.region] = true
		if !d.lost {
			reachable[d.region] = true
		}
	}
	var out []string
	for _, region := range slices.Sorted(maps.Keys(all)) {
		if !reachable[region] {
			out = append(out, region)
		}
	}
	return out
}
