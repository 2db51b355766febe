package detector

import (
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// roleDaemon is the role of hosts of the system in the platform's list.
const roleDaemon = "daemon"

// goneAfter is the number of successive lists without a subject after which it
// may be gone.
const goneAfter = 3

// probeTimeout is the time after which a probe without a result is repeated.
const probeTimeout = 3 * time.Second

type host struct {
	member      provider.Member
	state       string
	incarnation string
	generation  int
	sequence    int
	// left says that this run is leaving or has left.
	left bool
	// listLeft says that only the list named the host as leaving; retracted is
	// since when it no longer does.
	listLeft  bool
	retracted time.Time
	// runSince is when a restart was noticed.
	runSince time.Time
	missing  int
	// listedRuns counts the successive lists with the host.
	listedRuns int
	goneAt     time.Time

	lastOK        time.Time
	firstMiss     time.Time
	fails         int
	successes     int
	probing       time.Time
	own, home     observation
	byDomain      bool
	digestDiffers bool
}

func (h *host) fact() encoder.Rumour {
	fact := encoder.Rumour{
		Kind: kindHost, Subject: h.member.Host, State: h.factState(), Address: h.member.Address,
		FailureDomain: h.member.FailureDomain, Region: h.member.Region,
	}
	if !h.listLeft {
		fact.Incarnation, fact.Generation, fact.Sequence = h.incarnation, h.generation, h.sequence
	}
	return fact
}

func (h *host) factState() string {
	if h.left {
		return Leaving
	}
	return Ready
}

func (h *host) usable() bool {
	exited := h.state == Leaving && !h.firstMiss.IsZero()
	return h.state != Gone && h.state != Unreachable && !exited
}

func (s *State) addHost(member provider.Member) *host {
	h := &host{member: member, state: hostChart.Initial()}
	s.hosts[member.Host] = h
	i, _ := slices.BinarySearch(s.hostNames, member.Host)
	s.hostNames = slices.Insert(s.hostNames, i, member.Host)
	s.domainOf(member)
	s.changed, s.assignStale = true, true
	return h
}

// fireHost moves a host along the chart.
func (s *State) fireHost(h *host, event string) {
	next, ok := hostChart.Next(h.state, event)
	if !ok || next == h.state {
		return
	}
	pressing := decisive(h.state) || decisive(next)
	h.state, s.changed = next, true
	if pressing {
		s.pressing, s.assignStale, s.digestStale = true, true, true
	}
}

// decisive reports whether a subject in this state gets no work, so that news of
// it is published without delay.
func decisive(state string) bool {
	return state == Leaving || state == Unreachable || state == Gone
}

// listHost takes the list's entry of a host.
func (s *State) listHost(now time.Time, member provider.Member) {
	h, ok := s.hosts[member.Host]
	if !ok {
		h = s.addHost(member)
	}
	h.missing = 0
	h.listedRuns++
	if h.state == Joining && h.listedRuns >= 2 && h.firstMiss.IsZero() {
		// Most hosts get no heartbeat from this daemon; they are usable until a
		// member of the failure domain finds otherwise.
		s.fireHost(h, "heard")
	}
	if h.member.Address != member.Address && member.Host != s.self.Host {
		h.member.Address = member.Address
		s.changed = true
	}
	if !member.Leaving {
		s.retract(now, h)
		return
	}
	h.retracted = time.Time{}
	if h.left || s.restartedLately(now, h) {
		return
	}
	if member.Host == s.self.Host {
		s.leave(now)
		return
	}
	s.hostLeft(h)
}

// restartedLately reports whether news without an incarnation may be about the
// run before.
func (s *State) restartedLately(now time.Time, h *host) bool {
	return !h.runSince.IsZero() && now.Sub(h.runSince) < s.settings.ReturnAfter
}

// retract takes a host back that only the list named as leaving, once the list
// has not done so for longer than it lags.
func (s *State) retract(now time.Time, h *host) {
	if !h.listLeft {
		return
	}
	if h.retracted.IsZero() {
		h.retracted = now
	}
	if now.Sub(h.retracted) >= s.settings.ReturnAfter {
		h.left, h.listLeft, h.runSince = false, false, now
		s.fireHost(h, "restarted")
	}
}

func (s *State) hostLeft(h *host) {
	h.left, h.listLeft, h.retracted = true, true, time.Time{}
	s.fireHost(h, "left")
	s.rumours.add(h.fact(), true)
	s.urgent = true
}

func (s *State) unlistHost(now time.Time, h *host) {
	h.missing++
	h.listedRuns = 0
	silent := now.Sub(h.lastOK) >= s.settings.SuspectAfter
	if h.missing >= goneAfter && silent && h.state != Gone && h.member.Host != s.self.Host {
		s.fireHost(h, "removed")
		h.goneAt = now
	}
}

// updateHeartbeat takes a heartbeat or an answer to one.
func (s *State) updateHeartbeat(now time.Time, m HeartbeatReceived) []Command {
	beat := m.Heartbeat
	fact := encoder.Rumour{
		Kind: kindHost, Subject: beat.Host, State: beat.State, Incarnation: beat.Incarnation, Generation: beat.Generation,
		Sequence: beat.Sequence, Address: beat.Address, FailureDomain: beat.FailureDomain, Region: beat.Region,
	}
	if fact.Incarnation != "" {
		s.hearFact(now, fact)
	}
	s.hear(now, beat.Rumours)
	h := s.hosts[beat.Host]
	if h != nil && beat.Host != s.self.Host {
		h.digestDiffers = beat.Digest != s.currentDigest(h.member.FailureDomain == s.self.FailureDomain)
		switch {
		case m.Reply:
			s.hostOK(now, h)
		case h.firstMiss.IsZero():
			// A request says that the peer lives but not that it can be reached; it
			// counts unless our own requests fail.
			h.lastOK = now
			s.fireHost(h, "heard")
		}
	}
	if m.Reply {
		return nil
	}
	return []Command{ReplyToHeartbeat{Heartbeat: s.heartbeat(now, h, h != nil && h.digestDiffers)}}
}

// hearFact takes what a host asserts about itself, directly or by rumour.
func (s *State) hearFact(now time.Time, fact encoder.Rumour) {
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
	// The first heartbeats after the own start are no news to others.
	if !first || fact.State == Leaving {
		s.rumours.add(h.fact(), fact.State == Leaving || !known)
	}
	if fact.State == Leaving {
		s.urgent, s.digestStale = true, true
	}
}

// applyFact reports whether the fact is newer than what is known.
func (s *State) applyFact(now time.Time, h *host, fact encoder.Rumour) bool {
	newer := fact.Generation > h.generation || fact.Generation == h.generation && fact.Incarnation > h.incarnation
	same := fact.Incarnation == h.incarnation && fact.Generation == h.generation
	leaves := fact.State == Leaving && (!h.left || h.listLeft)
	switch {
	case fact.Incarnation == "":
		if fact.State != Leaving || h.left || s.restartedLately(now, h) {
			return false
		}
		h.listLeft, h.retracted = true, time.Time{}
		h.left = true
		s.fireHost(h, "left")
		return true
	case newer:
		s.digestStale = s.digestStale || h.home.state == Unreachable || h.own.state == Unreachable
		h.home.state, h.own.state = Ready, Ready
		if h.incarnation != "" || h.state == Gone {
			s.fireHost(h, "restarted")
			h.left, h.listLeft, h.runSince = false, false, now
			h.firstMiss, h.fails, h.byDomain = time.Time{}, 0, false
		}
		h.incarnation, h.generation, h.sequence = fact.Incarnation, fact.Generation, fact.Sequence
		if fact.Address != "" {
			h.member.Address = fact.Address
		}
		s.changed = true
	case !same || !leaves && fact.Sequence <= h.sequence:
		return false
	default:
		h.sequence = max(h.sequence, fact.Sequence)
	}
	if fact.State == Leaving {
		h.left, h.listLeft = true, false
		s.fireHost(h, "left")
	} else if h.firstMiss.IsZero() {
		s.fireHost(h, "heard")
	}
	return true
}

// hostOK takes an answer of a host.
func (s *State) hostOK(now time.Time, h *host) {
	h.lastOK, h.firstMiss, h.fails = now, time.Time{}, 0
	h.successes++
	s.domainOK(now, h)
	if h.state == Gone && !h.left {
		s.fireHost(h, "restarted")
	}
	s.fireHost(h, "heard")
	if (h.state == Suspect || h.state == Unreachable) && h.successes >= s.settings.ResultThreshold {
		observed := h.state == Unreachable
		s.fireHost(h, "recovered")
		h.byDomain, h.home.state = false, Ready
		if observed {
			s.observe(h, Ready)
		}
	}
}

// observe spreads an observation about a host.
func (s *State) observe(h *host, state string) {
	h.own = observation{stamp: h.own.stamp + 1, state: state}
	s.rumours.add(h.observed(s.self.FailureDomain, h.own), false)
}

func (h *host) observed(observer string, o observation) encoder.Rumour {
	return encoder.Rumour{
		Kind: kindHost, Subject: h.member.Host, State: o.state, Generation: h.generation, Sequence: o.stamp,
		Observer: observer, FailureDomain: h.member.FailureDomain,
	}
}

// hearHost takes another daemon's observation: one of the own failure domain, or
// one of the host's own, whose members see it best unless this domain is cut off
// from it. Own answers of the last moments outweigh both and are spread in turn.
func (s *State) hearHost(now time.Time, rumour encoder.Rumour) {
	h := s.hosts[rumour.Subject]
	if h == nil || rumour.Subject == s.self.Host || rumour.Generation < h.generation {
		return
	}
	o, home := &h.own, rumour.Observer != s.self.FailureDomain
	if home {
		o = &h.home
	}
	healthy := h.firstMiss.IsZero() && now.Sub(h.lastOK) < s.settings.SuspectAfter
	if home && healthy && rumour.State == Unreachable {
		// Not stored: it comes again while the peers' digests differ.
		return
	}
	if home && rumour.Observer != h.member.FailureDomain || !o.take(rumour) {
		return
	}
	s.digestStale = true
	switch {
	case rumour.State == Unreachable && healthy && !home:
		s.observe(h, Ready)
		return
	case rumour.State == Unreachable && !healthy:
		s.fireHost(h, "silent")
		s.fireHost(h, "confirmed")
		h.successes = 0
	case rumour.State == Ready && h.fails == 0 && !h.byDomain && (!home || h.own.state != Unreachable):
		s.fireHost(h, "recovered")
	}
	s.rumours.add(rumour, false)
}

// hostFailed takes a heartbeat or probe without an answer.
func (s *State) hostFailed(now time.Time, name string) {
	h := s.hosts[name]
	if h == nil || name == s.self.Host {
		return
	}
	h.successes = 0
	h.fails++
	if h.firstMiss.IsZero() {
		// The heartbeat had been sent one interval before.
		h.firstMiss = now.Add(-s.settings.HeartbeatInterval)
	}
}

// updateHostObserved takes the result of a forwarded call. A failure leads to a
// probe at once.
func (s *State) updateHostObserved(now time.Time, m HostCallFinished) []Command {
	h := s.hosts[m.Host]
	if h == nil || m.Host == s.self.Host {
		return nil
	}
	if m.OK {
		s.hostOK(now, h)
		return nil
	}
	s.hostFailed(now, m.Host)
	return s.probeHost(now, h)
}

func (s *State) probeHost(now time.Time, h *host) []Command {
	if h.member.Host == s.self.Host || now.Sub(h.probing) < probeTimeout {
		return nil
	}
	h.probing = now
	return []Command{ProbeHost{Host: h.member.Host, Address: h.member.Address}}
}

// updateProbe takes the result of a probe. A failed one confirms a suspicion.
func (s *State) updateProbe(now time.Time, m ProbeFinished) []Command {
	if m.Target != "" {
		return s.updateTraffic(now, m.Target, m.OK)
	}
	h := s.hosts[m.Host]
	if h == nil {
		return nil
	}
	h.probing = time.Time{}
	if m.OK {
		s.hostOK(now, h)
		return nil
	}
	s.hostFailed(now, m.Host)
	s.domainOf(h.member).failed[m.Host] = true
	if h.state == Suspect {
		s.fireHost(h, "confirmed")
		s.observe(h, Unreachable)
	}
	return nil
}

// checkSilence suspects silent hosts and probes suspected ones.
func (s *State) checkSilence(now time.Time) []Command {
	var commands []Command
	for _, name := range s.hostNames {
		h := s.hosts[name]
		if h.firstMiss.IsZero() || now.Sub(h.firstMiss) < s.settings.SuspectAfter {
			continue
		}
		switch h.state {
		case Joining, Ready:
			s.fireHost(h, "silent")
			commands = append(commands, s.probeHost(now, h)...)
			commands = append(commands, s.sampleDomain(now, s.domainOf(h.member))...)
		case Suspect:
			commands = append(commands, s.probeHost(now, h)...)
		}
	}
	return commands
}
