package detector

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

type target struct {
	member provider.Member
	// roles are the services for which the member list names the target, sorted.
	roles        []string
	hash         uint64
	state        string
	warmingSince time.Time
	// registeredAt is when the member list first showed the target or showed it
	// again, less half of Settings.ReturnAfter. An earlier report that the target is
	// leaving is about a previous registration. registeredAt is 0 for a target of the
	// first list. leavingAt is when leaving was first reported. Both are in Unix milliseconds.
	registeredAt, leavingAt        int
	missingLists, consecutiveLists int
	goneAt                         time.Time

	failures, successes int
	lastCallFailed      bool
	lastSuccess         time.Time
	lastProbe           time.Time
	// ownObservation was made by the daemon's failure domain, homeObservation by the
	// target's.
	ownObservation, homeObservation observation
	lostWithDomain                  bool
	probeAssigned                   bool
}

// fireTargetEvent applies an event of the state chart to a target. An event that
// the current state does not accept is ignored.
func (s *State) fireTargetEvent(t *target, event string) {
	next, ok := targetChart.Next(t.state, event)
	if !ok || next == t.state {
		return
	}
	if excludedFromWork(t.state) || excludedFromWork(next) {
		s.viewUrgent, s.digestStale = true, true
	}
	t.state, s.viewChanged, s.targetsChanged = next, true, true
}

func (s *State) addTarget(now time.Time, member provider.Member) *target {
	t := &target{member: member, hash: xxhash.Sum64String(member.Host), state: targetChart.Initial(), warmingSince: now}
	s.targets[member.Host] = t
	i, _ := slices.BinarySearch(s.targetNames, member.Host)
	s.targetNames = slices.Insert(s.targetNames, i, member.Host)
	s.targetList = nil
	s.viewChanged, s.targetsChanged, s.assignmentStale = true, true, true
	return t
}

// registrationTime returns the start of a target's registration in Unix
// milliseconds. It lies before now to allow for clocks that differ between hosts.
func (s *State) registrationTime(now time.Time) int {
	return int(now.Add(-s.settings.ReturnAfter / 2).UnixMilli())
}

// updateList applies the platform's member list. If the list has less than half as
// many entries as hosts and targets are known, those that it lacks are kept.
func (s *State) updateList(now time.Time, members []provider.Member) {
	s.listsReceived++
	listed := make(map[string]bool, len(members))
	targets := map[string]*listEntry{}
	var names []string
	for _, member := range members {
		listed[member.Host] = true
		if member.Role == roleDaemon {
			s.updateListedHost(now, member)
			continue
		}
		entry, ok := targets[member.Host]
		if !ok {
			entry = &listEntry{member: member}
			targets[member.Host] = entry
			names = append(names, member.Host)
		}
		entry.member.Leaving = entry.member.Leaving || member.Leaving
		entry.roles = append(entry.roles, member.Role)
	}
	for _, name := range names {
		s.updateListedTarget(now, targets[name])
	}
	if len(members)*2 < len(s.hosts)+len(s.targets) {
		return
	}
	for _, name := range s.hostNames {
		if !listed[name] {
			s.updateMissingHost(now, s.hosts[name])
		}
	}
	for _, name := range s.targetNames {
		if t := s.targets[name]; !listed[name] {
			t.missingLists++
			t.consecutiveLists = 0
			if t.missingLists >= minMissingLists && t.state != Gone {
				s.fireTargetEvent(t, "removed")
				t.goneAt = now
			}
		}
	}
}

// listEntry combines the entries of a member list for one target, which can be
// listed for several services.
type listEntry struct {
	member provider.Member
	roles  []string
}

func (s *State) updateListedTarget(now time.Time, entry *listEntry) {
	member := entry.member
	slices.Sort(entry.roles)
	member.Role = entry.roles[0]
	t, known := s.targets[member.Host]
	if !known {
		t = s.addTarget(now, member)
		if s.listsReceived == 1 {
			// Targets of the first list were in service before this daemon started.
			s.fireTargetEvent(t, "known")
		} else {
			t.registeredAt = s.registrationTime(now)
		}
	}
	t.missingLists = 0
	t.consecutiveLists++
	leaving := member.Leaving
	member.Leaving = false
	if t.member != member || !slices.Equal(t.roles, entry.roles) {
		t.member, t.roles = member, entry.roles
		s.viewChanged, s.targetsChanged, s.assignmentStale = true, true, true
	}
	switch {
	case leaving:
		t.consecutiveLists = 0
		s.targetLeaving(now, member.Host, int(now.UnixMilli()))
	case t.state == Gone && t.consecutiveLists >= minMissingLists && now.Sub(t.goneAt) >= s.settings.ReturnAfter:
		s.fireTargetEvent(t, "returned")
		t.registeredAt, t.leavingAt, t.warmingSince = s.registrationTime(now), 0, now
		t.failures, t.successes, t.lastCallFailed, t.lostWithDomain = 0, 0, false, false
	case t.state == Joining && t.consecutiveLists >= 2:
		s.fireTargetEvent(t, "heard")
		t.warmingSince = now
	}
}

// targetLeaving applies a report, first made at the given time in Unix
// milliseconds, that a target is leaving. An unknown target is added, since the
// member list may show it later.
func (s *State) targetLeaving(now time.Time, name string, at int) {
	t, known := s.targets[name]
	if !known {
		t = s.addTarget(now, provider.Member{Host: name})
	}
	if t.state == Leaving || t.state == Gone || at < t.registeredAt {
		return
	}
	s.fireTargetEvent(t, "left")
	t.leavingAt = at
	s.rumours.add(encoder.Rumour{Kind: kindTarget, Subject: name, State: Leaving, At: at}, true)
	s.urgent = true
}

// updateTargetResult applies the result of a call to, or probe of, a target. One
// failure makes it degraded; Settings.ResultThreshold consecutive failures make it
// unreachable, and as many successes end either state.
func (s *State) updateTargetResult(now time.Time, name string, ok bool) []Command {
	t := s.targets[name]
	if t == nil {
		return nil
	}
	if t.lostWithDomain {
		s.recordDomainTargetResult(now, s.domainOf(t.member), ok)
		return nil
	}
	if ok {
		s.recordTargetSuccess(now, t)
		return nil
	}
	t.successes = 0
	t.failures++
	if !t.lastCallFailed {
		t.lastCallFailed, s.viewChanged, s.targetsChanged = true, true, true
	}
	s.fireTargetEvent(t, "failed")
	if t.failures >= s.settings.ResultThreshold && t.state == Degraded {
		s.fireTargetEvent(t, "lost")
		s.spreadTargetObservation(t, Unreachable)
	}
	if t.failures == 1 && s.probeCredit >= 1 && t.state == Degraded {
		return s.probeTarget(now, t)
	}
	return nil
}

func (s *State) recordTargetSuccess(now time.Time, t *target) {
	t.lastSuccess, t.failures = now, 0
	t.successes++
	if t.lastCallFailed {
		t.lastCallFailed, s.viewChanged, s.targetsChanged = false, true, true
	}
	if t.state == Joining {
		s.fireTargetEvent(t, "heard")
		t.warmingSince = now
	}
	if t.successes >= s.settings.ResultThreshold && (t.state == Degraded || t.state == Unreachable) {
		unreachable := t.state == Unreachable
		s.fireTargetEvent(t, "recovered")
		t.warmingSince, t.lostWithDomain, t.homeObservation.state = now, false, Ready
		if unreachable {
			s.spreadTargetObservation(t, Ready)
		}
	}
}

// spreadTargetObservation records an observation of this daemon about a target and
// spreads it.
func (s *State) spreadTargetObservation(t *target, state string) {
	t.ownObservation = observation{sequence: t.ownObservation.sequence + 1, state: state}
	s.rumours.add(t.observationRumour(s.self.FailureDomain, t.ownObservation), false)
}

func (t *target) observationRumour(observer string, o observation) encoder.Rumour {
	return encoder.Rumour{Kind: kindTarget, Subject: t.member.Host, State: o.state, Sequence: o.sequence,
		Observer: observer, FailureDomain: t.member.FailureDomain}
}

// receiveTargetObservation applies another daemon's observation of a target by the
// same rules as receiveHostObservation.
func (s *State) receiveTargetObservation(now time.Time, rumour encoder.Rumour) {
	t := s.targets[rumour.Subject]
	if t == nil || rumour.Observer == "" {
		return
	}
	o, home := &t.ownObservation, rumour.Observer != s.self.FailureDomain
	if home {
		o = &t.homeObservation
	}
	healthy := now.Sub(t.lastSuccess) < s.settings.SuspectAfter && t.failures == 0
	if home && healthy && rumour.State == Unreachable {
		// Not stored, since peers repeat it while their digests differ.
		return
	}
	if home && rumour.Observer != t.member.FailureDomain || !o.replaceIfNewer(rumour) {
		return
	}
	s.digestStale = true
	switch {
	case rumour.State == Unreachable && healthy && !home:
		s.spreadTargetObservation(t, Ready)
		return
	case rumour.State == Unreachable && !healthy,
		rumour.State == Ready && t.failures == 0 && !t.lostWithDomain && (!home || t.ownObservation.state != Unreachable):
		s.applyObservation(now, t, rumour.State)
	}
	s.rumours.add(rumour, false)
}

func (s *State) applyObservation(now time.Time, t *target, state string) {
	if state == Unreachable {
		s.fireTargetEvent(t, "failed")
		s.fireTargetEvent(t, "lost")
		t.successes = 0
		return
	}
	s.fireTargetEvent(t, "recovered")
	t.warmingSince = now
}

func (s *State) probeTarget(now time.Time, t *target) []Command {
	s.probeCredit--
	t.lastProbe = now
	return []Command{ProbeTarget{Target: t.member.Host, Address: t.member.Address}}
}

// probeTargets probes the targets assigned to this daemon, those whose calls from
// this daemon failed and those that others observed as unreachable, at most
// Settings.ProbesPerSec and the least recently probed first.
func (s *State) probeTargets(now time.Time) []Command {
	rate := float64(s.settings.ProbesPerSec)
	s.probeCredit = min(rate, s.probeCredit+rate*now.Sub(s.lastProbeTick).Seconds())
	s.lastProbeTick = now
	if s.probeCredit < 1 {
		return nil
	}
	var due []*target
	if s.targetList == nil {
		for _, name := range s.targetNames {
			s.targetList = append(s.targetList, s.targets[name])
		}
	}
	for _, t := range s.targetList {
		if t.state == Leaving || t.state == Gone || t.member.Address == "" || t.lostWithDomain {
			continue
		}
		failing := t.failures > 0 || t.lastCallFailed || (t.state == Degraded || t.state == Unreachable) && t.successes > 0
		disputed := t.ownObservation.state == Unreachable || t.homeObservation.state == Unreachable
		interval := s.settings.AssignedProbeInterval
		if failing {
			interval = s.settings.FailedProbeInterval
		} else if !disputed && t.state != Unreachable && (!t.probeAssigned || now.Sub(t.lastSuccess) < interval) {
			continue
		}
		if now.Sub(t.lastProbe) >= interval {
			due = append(due, t)
		}
	}
	slices.SortStableFunc(due, func(a, b *target) int { return a.lastProbe.Compare(b.lastProbe) })
	commands := s.probeDomainTargets(now)
	for _, t := range due {
		if s.probeCredit < 1 {
			break
		}
		commands = append(commands, s.probeTarget(now, t)...)
	}
	return commands
}
