package detector

import (
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// roleDaemon is the role of the daemons' hosts in the platform's member list.
const roleDaemon = "daemon"

// minMissingLists is the number of consecutive member lists without a host or target
// after which it can be gone.
const minMissingLists = 3

// probeTimeout is how long a probe may take before the host can be probed again.
const probeTimeout = 3 * time.Second

type host struct {
	member      provider.Member
	state       string
	incarnation string
	generation  int
	sequence    int
	// leaving is set when this run is leaving or has left.
	leaving bool
	// leavingByListOnly is set when only the member list has named the host as
	// leaving. retractedAt is when the list ceased to do so.
	leavingByListOnly bool
	retractedAt       time.Time
	// restartedAt is when a restart was noticed.
	restartedAt  time.Time
	missingLists int
	// consecutiveLists counts the consecutive lists that contain the host.
	consecutiveLists int
	goneAt           time.Time

	lastSuccess  time.Time
	failingSince time.Time
	failures     int
	successes    int
	probeSentAt  time.Time
	// ownObservation was made by the daemon's failure domain, homeObservation by the
	// host's.
	ownObservation, homeObservation observation
	lostWithDomain                  bool
	digestDiffers                   bool
}

// fact returns the rumour of what the host asserts about itself. If only the member
// list named it as leaving, the rumour has no incarnation.
func (h *host) fact() encoder.Rumour {
	fact := encoder.Rumour{
		Kind: kindHost, Subject: h.member.Host, State: h.factState(), Address: h.member.Address,
		FailureDomain: h.member.FailureDomain, Region: h.member.Region,
	}
	if !h.leavingByListOnly {
		fact.Incarnation, fact.Generation, fact.Sequence = h.incarnation, h.generation, h.sequence
	}
	return fact
}

func (h *host) factState() string {
	if h.leaving {
		return Leaving
	}
	return Ready
}

// usable reports whether the host should reply. A leaving host is usable until a
// heartbeat, probe or call fails.
func (h *host) usable() bool {
	exited := h.state == Leaving && !h.failingSince.IsZero()
	return h.state != Gone && h.state != Unreachable && !exited
}

func (s *State) addHost(member provider.Member) *host {
	h := &host{member: member, state: hostChart.Initial()}
	s.hosts[member.Host] = h
	i, _ := slices.BinarySearch(s.hostNames, member.Host)
	s.hostNames = slices.Insert(s.hostNames, i, member.Host)
	s.domainOf(member)
	s.viewChanged, s.assignmentStale = true, true
	return h
}

// fireHostEvent applies an event of the state chart to a host. An event that the
// current state does not accept is ignored.
func (s *State) fireHostEvent(h *host, event string) {
	next, ok := hostChart.Next(h.state, event)
	if !ok || next == h.state {
		return
	}
	urgent := excludedFromWork(h.state) || excludedFromWork(next)
	h.state, s.viewChanged = next, true
	if urgent {
		s.viewUrgent, s.assignmentStale, s.digestStale = true, true, true
	}
}

// excludedFromWork reports whether a host or target in this state gets no work.
// Changes to or from such a state are published with the shorter delay.
func excludedFromWork(state string) bool {
	return state == Leaving || state == Unreachable || state == Gone
}

// updateListedHost applies the member list's entry for a host.
func (s *State) updateListedHost(now time.Time, member provider.Member) {
	h, ok := s.hosts[member.Host]
	if !ok {
		h = s.addHost(member)
	}
	h.missingLists = 0
	h.consecutiveLists++
	if h.state == Joining && h.consecutiveLists >= 2 && h.failingSince.IsZero() {
		// Most hosts get no heartbeat from this daemon. They count as usable until a
		// member of their failure domain observes otherwise.
		s.fireHostEvent(h, "heard")
	}
	if h.member.Address != member.Address && member.Host != s.self.Host {
		h.member.Address = member.Address
		s.viewChanged = true
	}
	if !member.Leaving {
		s.retractLeaving(now, h)
		return
	}
	h.retractedAt = time.Time{}
	if h.leaving || s.restartedRecently(now, h) {
		return
	}
	if member.Host == s.self.Host {
		s.leave(now)
		return
	}
	s.markListedLeaving(h)
}

// restartedRecently reports whether the host restarted so recently that a report
// without an incarnation may be about its previous run.
func (s *State) restartedRecently(now time.Time, h *host) bool {
	return !h.restartedAt.IsZero() && now.Sub(h.restartedAt) < s.settings.ReturnAfter
}

// retractLeaving restores a host that only the member list named as leaving, once
// the list has not done so for longer than it lags.
func (s *State) retractLeaving(now time.Time, h *host) {
	if !h.leavingByListOnly {
		return
	}
	if h.retractedAt.IsZero() {
		h.retractedAt = now
	}
	if now.Sub(h.retractedAt) >= s.settings.ReturnAfter {
		h.leaving, h.leavingByListOnly, h.restartedAt = false, false, now
		s.fireHostEvent(h, "restarted")
	}
}

// markListedLeaving marks a host as leaving because the member list names it so,
// and spreads this.
func (s *State) markListedLeaving(h *host) {
	h.leaving, h.leavingByListOnly, h.retractedAt = true, true, time.Time{}
	s.fireHostEvent(h, "left")
	s.rumours.add(h.fact(), true)
	s.urgent = true
}

// updateMissingHost applies a member list without the host. The host is gone after
// minMissingLists of them unless it still replies.
func (s *State) updateMissingHost(now time.Time, h *host) {
	h.missingLists++
	h.consecutiveLists = 0
	silent := now.Sub(h.lastSuccess) >= s.settings.SuspectAfter
	if h.missingLists >= minMissingLists && silent && h.state != Gone && h.member.Host != s.self.Host {
		s.fireHostEvent(h, "removed")
		h.goneAt = now
	}
}

// updateHeartbeat applies a heartbeat or the reply to one. For a heartbeat it
// returns the reply.
func (s *State) updateHeartbeat(now time.Time, m HeartbeatReceived) []Command {
	heartbeat := m.Heartbeat
	fact := encoder.Rumour{
		Kind: kindHost, Subject: heartbeat.Host, State: heartbeat.State, Incarnation: heartbeat.Incarnation, Generation: heartbeat.Generation,
		Sequence: heartbeat.Sequence, Address: heartbeat.Address, FailureDomain: heartbeat.FailureDomain, Region: heartbeat.Region,
	}
	if fact.Incarnation != "" {
		s.receiveFact(now, fact)
	}
	s.applyRumours(now, heartbeat.Rumours)
	h := s.hosts[heartbeat.Host]
	if h != nil && heartbeat.Host != s.self.Host {
		h.digestDiffers = heartbeat.Digest != s.currentDigest(h.member.FailureDomain == s.self.FailureDomain)
		switch {
		case m.Reply:
			s.recordHostSuccess(now, h)
		case h.failingSince.IsZero():
			// A request shows that the peer is running but not that it can be reached, so
			// it counts only while our own requests do not fail.
			h.lastSuccess = now
			s.fireHostEvent(h, "heard")
		}
	}
	if m.Reply {
		return nil
	}
	return []Command{ReplyToHeartbeat{Heartbeat: s.newHeartbeat(now, h, h != nil && h.digestDiffers)}}
}

// receiveFact applies what a host asserts about itself, received directly or as a
// rumour, and spreads it if it is new.
func (s *State) receiveFact(now time.Time, fact encoder.Rumour) {
	if fact.Subject == s.self.Host {
		if fact.Incarnation != s.self.Incarnation && fact.Generation >= s.self.Generation {
			s.self.Generation = fact.Generation + 1
			s.hosts[s.self.Host].generation = s.self.Generation
			s.rumours.add(s.ownFact(now), true)
			s.urgent = true
		}
		return
	}
	h, known := s.hosts[fact.Subject]
	if !known {
		if fact.Address == "" || fact.FailureDomain == "" {
			return
		}
		h = s.addHost(provider.Member{
			Host: fact.Subject, Address: fact.Address, FailureDomain: fact.FailureDomain, Region: fact.Region, Role: roleDaemon,
		})
	}
	first := known && h.incarnation == ""
	if !s.applyFact(now, h, fact) {
		return
	}
	// What this daemon learns first about a listed host after its own start is
	// already known to others.
	if !first || fact.State == Leaving {
		s.rumours.add(h.fact(), fact.State == Leaving || !known)
	}
	if fact.State == Leaving {
		s.urgent, s.digestStale = true, true
	}
}

// applyFact applies the fact if it is newer than what is known, and reports whether
// it was.
func (s *State) applyFact(now time.Time, h *host, fact encoder.Rumour) bool {
	newer := fact.Generation > h.generation || fact.Generation == h.generation && fact.Incarnation > h.incarnation
	sameRun := fact.Incarnation == h.incarnation && fact.Generation == h.generation
	leaves := fact.State == Leaving && (!h.leaving || h.leavingByListOnly)
	switch {
	case fact.Incarnation == "":
		if fact.State != Leaving || h.leaving || s.restartedRecently(now, h) {
			return false
		}
		h.leavingByListOnly, h.retractedAt = true, time.Time{}
		h.leaving = true
		s.fireHostEvent(h, "left")
		return true
	case newer:
		s.digestStale = s.digestStale || h.homeObservation.state == Unreachable || h.ownObservation.state == Unreachable
		h.homeObservation.state, h.ownObservation.state = Ready, Ready
		if h.incarnation != "" || h.state == Gone {
			s.fireHostEvent(h, "restarted")
			h.leaving, h.leavingByListOnly, h.restartedAt = false, false, now
			h.failingSince, h.failures, h.lostWithDomain = time.Time{}, 0, false
		}
		h.incarnation, h.generation, h.sequence = fact.Incarnation, fact.Generation, fact.Sequence
		if fact.Address != "" {
			h.member.Address = fact.Address
		}
		s.viewChanged = true
	case !sameRun || !leaves && fact.Sequence <= h.sequence:
		return false
	default:
		h.sequence = max(h.sequence, fact.Sequence)
	}
	if fact.State == Leaving {
		h.leaving, h.leavingByListOnly = true, false
		s.fireHostEvent(h, "left")
	} else if h.failingSince.IsZero() {
		s.fireHostEvent(h, "heard")
	}
	return true
}

// recordHostSuccess records that a host replied. A suspected or unreachable host is
// ready again after Settings.ResultThreshold consecutive replies.
func (s *State) recordHostSuccess(now time.Time, h *host) {
	h.lastSuccess, h.failingSince, h.failures = now, time.Time{}, 0
	h.successes++
	s.recordDomainSuccess(now, h)
	if h.state == Gone && !h.leaving {
		s.fireHostEvent(h, "restarted")
	}
	s.fireHostEvent(h, "heard")
	if (h.state == Suspect || h.state == Unreachable) && h.successes >= s.settings.ResultThreshold {
		wasUnreachable := h.state == Unreachable
		s.fireHostEvent(h, "recovered")
		h.lostWithDomain, h.homeObservation.state = false, Ready
		if wasUnreachable {
			s.spreadHostObservation(h, Ready)
		}
	}
}

// spreadHostObservation records an observation of this daemon about a host and
// spreads it.
func (s *State) spreadHostObservation(h *host, state string) {
	h.ownObservation = observation{sequence: h.ownObservation.sequence + 1, state: state}
	s.rumours.add(h.observationRumour(s.self.FailureDomain, h.ownObservation), false)
}

func (h *host) observationRumour(observer string, o observation) encoder.Rumour {
	return encoder.Rumour{
		Kind: kindHost, Subject: h.member.Host, State: o.state, Generation: h.generation, Sequence: o.sequence,
		Observer: observer, FailureDomain: h.member.FailureDomain,
	}
}

// receiveHostObservation applies another daemon's observation of a host. It accepts
// those of its own failure domain and those of the host's failure domain, whose
// members see the host best unless this domain is partitioned from it. Recent
// replies to this daemon outweigh both; against its own domain's observation this
// daemon then spreads that the host is ready.
func (s *State) receiveHostObservation(now time.Time, rumour encoder.Rumour) {
	h := s.hosts[rumour.Subject]
	if h == nil || rumour.Subject == s.self.Host || rumour.Generation < h.generation {
		return
	}
	o, home := &h.ownObservation, rumour.Observer != s.self.FailureDomain
	if home {
		o = &h.homeObservation
	}
	healthy := h.failingSince.IsZero() && now.Sub(h.lastSuccess) < s.settings.SuspectAfter
	if home && healthy && rumour.State == Unreachable {
		// Not stored, since peers repeat it while their digests differ.
		return
	}
	if home && rumour.Observer != h.member.FailureDomain || !o.replaceIfNewer(rumour) {
		return
	}
	s.digestStale = true
	switch {
	case rumour.State == Unreachable && healthy && !home:
		s.spreadHostObservation(h, Ready)
		return
	case rumour.State == Unreachable && !healthy:
		s.fireHostEvent(h, "silent")
		s.fireHostEvent(h, "confirmed")
		h.successes = 0
	case rumour.State == Ready && h.failures == 0 && !h.lostWithDomain && (!home || h.ownObservation.state != Unreachable):
		s.fireHostEvent(h, "recovered")
	}
	s.rumours.add(rumour, false)
}

// recordHostFailure records that a heartbeat, probe or forwarded call to a host
// failed.
func (s *State) recordHostFailure(now time.Time, name string) {
	h := s.hosts[name]
	if h == nil || name == s.self.Host {
		return
	}
	h.successes = 0
	h.failures++
	if h.failingSince.IsZero() {
		// The missed heartbeat was sent one interval ago.
		h.failingSince = now.Add(-s.settings.HeartbeatInterval)
	}
}

// updateHostCall applies the result of a forwarded call. After a failure it returns
// a probe.
func (s *State) updateHostCall(now time.Time, m HostCallFinished) []Command {
	h := s.hosts[m.Host]
	if h == nil || m.Host == s.self.Host {
		return nil
	}
	if m.OK {
		s.recordHostSuccess(now, h)
		return nil
	}
	s.recordHostFailure(now, m.Host)
	return s.probeHost(now, h)
}

// probeHost returns a probe of the host, or nothing for the daemon's own host or
// while an earlier probe is running.
func (s *State) probeHost(now time.Time, h *host) []Command {
	if h.member.Host == s.self.Host || now.Sub(h.probeSentAt) < probeTimeout {
		return nil
	}
	h.probeSentAt = now
	return []Command{ProbeHost{Host: h.member.Host, Address: h.member.Address}}
}

// updateProbe applies the result of a probe. A failed probe of a suspected host
// makes it unreachable.
func (s *State) updateProbe(now time.Time, m ProbeFinished) []Command {
	if m.Target != "" {
		return s.updateTargetResult(now, m.Target, m.OK)
	}
	h := s.hosts[m.Host]
	if h == nil {
		return nil
	}
	h.probeSentAt = time.Time{}
	if m.OK {
		s.recordHostSuccess(now, h)
		return nil
	}
	s.recordHostFailure(now, m.Host)
	s.domainOf(h.member).failedHosts[m.Host] = true
	if h.state == Suspect {
		s.fireHostEvent(h, "confirmed")
		s.spreadHostObservation(h, Unreachable)
	}
	return nil
}

// suspectSilentHosts suspects hosts that have not replied for
// Settings.SuspectAfter, and probes suspected hosts.
func (s *State) suspectSilentHosts(now time.Time) []Command {
	var commands []Command
	for _, name := range s.hostNames {
		h := s.hosts[name]
		if h.failingSince.IsZero() || now.Sub(h.failingSince) < s.settings.SuspectAfter {
			continue
		}
		switch h.state {
		case Joining, Ready:
			s.fireHostEvent(h, "silent")
			commands = append(commands, s.probeHost(now, h)...)
			commands = append(commands, s.sampleDomain(now, s.domainOf(h.member))...)
		case Suspect:
			commands = append(commands, s.probeHost(now, h)...)
		}
	}
	return commands
}
