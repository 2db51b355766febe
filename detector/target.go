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
	// roles are the services that the list names the target for, in order.
	roles []string
	hash  uint64
	state string
	since time.Time
	// lifeStart is the Unix milliseconds before which news of leaving is about an
	// earlier life; leavingAt is when leaving was learned.
	lifeStart, leavingAt int
	missing, listedRuns  int
	goneAt               time.Time

	fails, successes int
	hint             bool
	lastOK           time.Time
	lastProbe        time.Time
	own, home        observation
	byDomain         bool
	assigned         bool
}

// fireTarget moves a target along the chart.
func (s *State) fireTarget(t *target, event string) {
	next, ok := targetChart.Next(t.state, event)
	if !ok || next == t.state {
		return
	}
	if decisive(t.state) || decisive(next) {
		s.pressing, s.digestStale = true, true
	}
	t.state, s.changed, s.targetsChanged = next, true, true
}

func (s *State) addTarget(now time.Time, member provider.Member) *target {
	t := &target{member: member, hash: xxhash.Sum64String(member.Host), state: targetChart.Initial(), since: now}
	s.targets[member.Host] = t
	i, _ := slices.BinarySearch(s.targetNames, member.Host)
	s.targetNames = slices.Insert(s.targetNames, i, member.Host)
	s.targetList = nil
	s.changed, s.targetsChanged, s.assignStale = true, true, true
	return t
}

// lifeStart leaves room for clocks that differ between hosts.
func (s *State) newLife(now time.Time) int {
	return int(now.Add(-s.settings.ReturnAfter / 2).UnixMilli())
}

// updateList takes the platform's list. A list that lost over half of what is
// known is not believed about absence.
func (s *State) updateList(now time.Time, members []provider.Member) {
	s.lists++
	listed := make(map[string]bool, len(members))
	targets := map[string]*listEntry{}
	var names []string
	for _, member := range members {
		listed[member.Host] = true
		if member.Role == roleDaemon {
			s.listHost(now, member)
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
		s.listTarget(now, targets[name])
	}
	if len(members)*2 < len(s.hosts)+len(s.targets) {
		return
	}
	for _, name := range s.hostNames {
		if !listed[name] {
			s.unlistHost(now, s.hosts[name])
		}
	}
	for _, name := range s.targetNames {
		if t := s.targets[name]; !listed[name] {
			t.missing++
			t.listedRuns = 0
			if t.missing >= goneAfter && t.state != Gone {
				s.fireTarget(t, "removed")
				t.goneAt = now
			}
		}
	}
}

// listEntry is what a list says about one target, which it may name for several
// services.
type listEntry struct {
	member provider.Member
	roles  []string
}

func (s *State) listTarget(now time.Time, entry *listEntry) {
	member := entry.member
	slices.Sort(entry.roles)
	member.Role = entry.roles[0]
	t, known := s.targets[member.Host]
	if !known {
		t = s.addTarget(now, member)
		if s.lists == 1 {
			// The targets of the first list have been in service before.
			s.fireTarget(t, "known")
		} else {
			t.lifeStart = s.newLife(now)
		}
	}
	t.missing = 0
	t.listedRuns++
	leaving := member.Leaving
	member.Leaving = false
	if t.member != member || !slices.Equal(t.roles, entry.roles) {
		t.member, t.roles = member, entry.roles
		s.changed, s.targetsChanged, s.assignStale = true, true, true
	}
	switch {
	case leaving:
		t.listedRuns = 0
		s.targetLeaving(now, member.Host, int(now.UnixMilli()))
	case t.state == Gone && t.listedRuns >= goneAfter && now.Sub(t.goneAt) >= s.settings.ReturnAfter:
		s.fireTarget(t, "returned")
		t.lifeStart, t.leavingAt, t.since = s.newLife(now), 0, now
		t.fails, t.successes, t.hint, t.byDomain = 0, 0, false, false
	case t.state == Joining && t.listedRuns >= 2:
		s.fireTarget(t, "heard")
		t.since = now
	}
}

// targetLeaving takes news that a target leaves, learned at the given time. An
// unknown target is remembered, since the list may show it later.
func (s *State) targetLeaving(now time.Time, name string, at int) {
	t, known := s.targets[name]
	if !known {
		t = s.addTarget(now, provider.Member{Host: name})
	}
	if t.state == Leaving || t.state == Gone || at < t.lifeStart {
		return
	}
	s.fireTarget(t, "left")
	t.leavingAt = at
	s.rumours.add(encoder.Rumour{Kind: kindTarget, Subject: name, State: Leaving, At: at}, true)
	s.urgent = true
}

// updateTraffic takes the result of a call or probe. One failure degrades a target
// until fresh good news; repeated failures make it unreachable.
func (s *State) updateTraffic(now time.Time, name string, ok bool) []Command {
	t := s.targets[name]
	if t == nil {
		return nil
	}
	if t.byDomain {
		s.domainTarget(now, s.domainOf(t.member), ok)
		return nil
	}
	if ok {
		s.targetOK(now, t)
		return nil
	}
	t.successes = 0
	t.fails++
	if !t.hint {
		t.hint, s.changed, s.targetsChanged = true, true, true
	}
	s.fireTarget(t, "failed")
	if t.fails >= s.settings.ResultThreshold && t.state == Degraded {
		s.fireTarget(t, "lost")
		s.observeTarget(t, Unreachable)
	}
	if t.fails == 1 && s.probeCredit >= 1 && t.state == Degraded {
		return s.probeTarget(now, t)
	}
	return nil
}

func (s *State) targetOK(now time.Time, t *target) {
	t.lastOK, t.fails = now, 0
	t.successes++
	if t.hint {
		t.hint, s.changed, s.targetsChanged = false, true, true
	}
	if t.state == Joining {
		s.fireTarget(t, "heard")
		t.since = now
	}
	if t.successes >= s.settings.ResultThreshold && (t.state == Degraded || t.state == Unreachable) {
		unreachable := t.state == Unreachable
		s.fireTarget(t, "recovered")
		t.since, t.byDomain, t.home.state = now, false, Ready
		if unreachable {
			s.observeTarget(t, Ready)
		}
	}
}

func (s *State) observeTarget(t *target, state string) {
	t.own = observation{stamp: t.own.stamp + 1, state: state}
	s.rumours.add(t.observed(s.self.FailureDomain, t.own), false)
}

func (t *target) observed(observer string, o observation) encoder.Rumour {
	return encoder.Rumour{Kind: kindTarget, Subject: t.member.Host, State: o.state, Sequence: o.stamp,
		Observer: observer, FailureDomain: t.member.FailureDomain}
}

// hearTarget takes an observation of the own failure domain or of the target's
// own, as hearHost does.
func (s *State) hearTarget(now time.Time, rumour encoder.Rumour) {
	t := s.targets[rumour.Subject]
	if t == nil || rumour.Observer == "" {
		return
	}
	o, home := &t.own, rumour.Observer != s.self.FailureDomain
	if home {
		o = &t.home
	}
	healthy := now.Sub(t.lastOK) < s.settings.SuspectAfter && t.fails == 0
	if home && healthy && rumour.State == Unreachable {
		// Not stored: it comes again while the peers' digests differ.
		return
	}
	if home && rumour.Observer != t.member.FailureDomain || !o.take(rumour) {
		return
	}
	s.digestStale = true
	switch {
	case rumour.State == Unreachable && healthy && !home:
		s.observeTarget(t, Ready)
		return
	case rumour.State == Unreachable && !healthy,
		rumour.State == Ready && t.fails == 0 && !t.byDomain && (!home || t.own.state != Unreachable):
		s.applyObservation(now, t, rumour.State)
	}
	s.rumours.add(rumour, false)
}

func (s *State) applyObservation(now time.Time, t *target, state string) {
	if state == Unreachable {
		s.fireTarget(t, "failed")
		s.fireTarget(t, "lost")
		t.successes = 0
		return
	}
	s.fireTarget(t, "recovered")
	t.since = now
}

func (s *State) probeTarget(now time.Time, t *target) []Command {
	s.probeCredit--
	t.lastProbe = now
	return []Command{ProbeTarget{Target: t.member.Host, Address: t.member.Address}}
}

// probeTargets probes the targets assigned to this daemon, those that failed its
// calls and those that others found unreachable, at a bounded rate and the one that
// waits longest first.
func (s *State) probeTargets(now time.Time) []Command {
	rate := float64(s.settings.ProbesPerSec)
	s.probeCredit = min(rate, s.probeCredit+rate*now.Sub(s.lastProbes).Seconds())
	s.lastProbes = now
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
		if t.state == Leaving || t.state == Gone || t.member.Address == "" || t.byDomain {
			continue
		}
		failing := t.fails > 0 || t.hint || (t.state == Degraded || t.state == Unreachable) && t.successes > 0
		disputed := t.own.state == Unreachable || t.home.state == Unreachable
		wait := s.settings.AssignedProbeInterval
		if failing {
			wait = s.settings.FailedProbeInterval
		} else if !disputed && t.state != Unreachable && (!t.assigned || now.Sub(t.lastOK) < wait) {
			continue
		}
		if now.Sub(t.lastProbe) >= wait {
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
