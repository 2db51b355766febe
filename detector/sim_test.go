package detector

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// sim runs detectors in virtual time on a network that loses, delays, duplicates
// and reorders messages, with a member list that lags and switches between old
// versions.
type sim struct {
	now         time.Time
	random      *rand.Rand
	events      events
	count       int
	settings    Settings
	loss        float64
	repeat      float64
	delay       time.Duration
	listLag     time.Duration
	names       []string
	nodes       map[string]*node
	partitions  map[[2]string]bool
	members     []provider.Member
	listHistory []listVersion
	deadTargets map[string]bool
	violations  []string
}

type listVersion struct {
	at      time.Time
	members []provider.Member
}

type node struct {
	name, domain string
	state        *State
	alive        bool
	run          int
	view         View
	leavingSince map[string]time.Time
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSim(seed uint64, perDomain, targets int, settings Settings) *sim {
	s := &sim{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), settings: settings,
		nodes: map[string]*node{}, partitions: map[[2]string]bool{}, deadTargets: map[string]bool{}, delay: 5 * time.Millisecond,
	}
	for d, domain := range []string{"d1", "d2", "d3"} {
		region := "r1"
		if d == 2 {
			region = "r2"
		}
		for i := range perDomain {
			name := fmt.Sprintf("%s-h%d", domain, i)
			s.names = append(s.names, name)
			s.members = append(s.members, provider.Member{Host: name, Address: name, FailureDomain: domain, Region: region, Role: roleDaemon})
		}
		for i := range targets {
			s.members = append(s.members, provider.Member{Host: fmt.Sprintf("%s-t%d", domain, i), Address: "t", FailureDomain: domain, Region: region, Role: "drafter"})
		}
	}
	s.listHistory = []listVersion{{s.now.Add(-time.Hour), slices.Clone(s.members)}}
	for _, name := range s.names {
		s.start(name)
	}
	return s
}

func (s *sim) member(name string) *provider.Member {
	i := slices.IndexFunc(s.members, func(m provider.Member) bool { return m.Host == name })
	return &s.members[i]
}

// changeList changes a member of the platform's list and records the new version.
func (s *sim) changeList(change func(*provider.Member), name string) {
	change(s.member(name))
	s.listHistory = append(s.listHistory, listVersion{s.now, slices.Clone(s.members)})
}

func (s *sim) at(delay time.Duration, do func()) {
	s.count++
	heap.Push(&s.events, event{s.now.Add(delay), s.count, do})
}

func (s *sim) start(name string) {
	m := s.member(name)
	n := s.nodes[name]
	if n == nil {
		n = &node{name: name, domain: m.FailureDomain}
		s.nodes[name] = n
	}
	n.run++
	n.alive, n.leavingSince = true, map[string]time.Time{}
	self := Self{Host: name, Address: name, FailureDomain: m.FailureDomain, Region: m.Region,
		Incarnation: fmt.Sprintf("%s-%d", name, n.run), Generation: int(s.now.UnixMilli())}
	n.state = New(self, s.settings, s.random.Uint64(), s.now)
	run := n.run
	var tick, poll func()
	live := func() bool { return n.alive && n.run == run }
	tick = func() {
		if live() {
			s.update(n, Tick{})
			s.at(100*time.Millisecond, tick)
		}
	}
	poll = func() {
		if live() {
			s.update(n, MemberListReceived{Members: s.currentList()})
			s.at(time.Second, poll)
		}
	}
	s.at(time.Duration(s.random.Int64N(int64(100*time.Millisecond))), tick)
	s.at(time.Duration(s.random.Int64N(int64(time.Second))), poll)
}

// currentList returns the member list as it was at a random time within the lag.
func (s *sim) currentList() []provider.Member {
	at := s.now
	if s.listLag > 0 {
		at = at.Add(-time.Duration(s.random.Int64N(int64(s.listLag))))
	}
	for i := len(s.listHistory) - 1; ; i-- {
		if i == 0 || !s.listHistory[i].at.After(at) {
			return slices.DeleteFunc(slices.Clone(s.listHistory[i].members), func(m provider.Member) bool { return m.Role == "" })
		}
	}
}

func (s *sim) update(n *node, message Message) {
	if !n.alive {
		return
	}
	for _, command := range n.state.Update(s.now, message) {
		s.execute(n, command)
	}
}

func (s *sim) execute(n *node, command Command) {
	switch c := command.(type) {
	case SendHeartbeat:
		s.count++
		s.exchange(n, c.To, time.Second, func(peer *node, reply func(encoder.Heartbeat)) {
			for _, response := range peer.state.Update(s.now, HeartbeatReceived{Heartbeat: c.Heartbeat}) {
				if a, ok := response.(ReplyToHeartbeat); ok {
					reply(a.Heartbeat)
					continue
				}
				s.execute(peer, response)
			}
		}, func(h encoder.Heartbeat) { s.update(n, HeartbeatReceived{Heartbeat: h, Reply: true}) },
			func() { s.update(n, HeartbeatMissed{Host: c.To}) })
	case ProbeHost:
		s.exchange(n, c.Host, time.Second, func(_ *node, reply func(encoder.Heartbeat)) { reply(encoder.Heartbeat{}) },
			func(encoder.Heartbeat) { s.update(n, ProbeFinished{Host: c.Host, OK: true}) },
			func() { s.update(n, ProbeFinished{Host: c.Host}) })
	case ProbeTarget:
		ok := !s.deadTargets[c.Target] && !s.blocked(n.domain, s.member(c.Target).FailureDomain)
		s.at(10*time.Millisecond, func() { s.update(n, ProbeFinished{Target: c.Target, OK: ok}) })
	case PublishView:
		n.view = c.View
		s.checkView(n)
	}
}

func (s *sim) blocked(a, b string) bool {
	return s.partitions[[2]string{a, b}] || s.partitions[[2]string{b, a}]
}

func (s *sim) randomDelay() time.Duration { return time.Duration(s.random.Int64N(int64(s.delay) + 1)) }

// exchange carries a request and its reply, each of which can be lost or duplicated.
// It calls done once if a reply arrives within the limit, otherwise failed.
func (s *sim) exchange(n *node, to string, limit time.Duration, serve func(*node, func(encoder.Heartbeat)), done func(encoder.Heartbeat), failed func()) {
	peer := s.nodes[to]
	finished := false
	run := n.run
	deliver := func(from, to *node, do func()) {
		copies := 1
		if s.random.Float64() < s.repeat {
			copies = 2
		}
		for range copies {
			if s.random.Float64() >= s.loss {
				s.at(s.randomDelay(), func() {
					if to.alive && !s.partitions[[2]string{from.domain, to.domain}] {
						do()
					}
				})
			}
		}
	}
	if peer != nil {
		deliver(n, peer, func() {
			serve(peer, func(h encoder.Heartbeat) {
				deliver(peer, n, func() {
					if n.run == run && !finished {
						finished = true
						done(h)
					}
				})
			})
		})
	}
	s.at(limit, func() {
		if n.run == run && !finished {
			finished = true
			failed()
		}
	})
}

// checkView records a violation if a leaving host or target is used again in the
// same run.
func (s *sim) checkView(n *node) {
	for _, t := range n.view.Targets {
		_, wasLeaving := n.leavingSince[t.Name]
		if t.State == Leaving && !wasLeaving {
			n.leavingSince[t.Name] = s.now
		}
		if wasLeaving && t.State != Leaving && t.State != Gone {
			s.violations = append(s.violations, fmt.Sprintf("%s: target %s was leaving and is now %s", n.name, t.Name, t.State))
		}
	}
	for _, h := range n.view.Hosts {
		key := h.Name + "/" + h.Incarnation
		_, wasLeaving := n.leavingSince[key]
		if h.State == Leaving && !wasLeaving {
			n.leavingSince[key] = s.now
		}
		if wasLeaving && h.State != Leaving && h.State != Gone {
			s.violations = append(s.violations, fmt.Sprintf("%s: host %s was leaving and is now %s", n.name, h.Name, h.State))
		}
	}
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// stateOf returns the state of a host or target in the node's view.
func (n *node) stateOf(name string) string {
	for _, h := range n.view.Hosts {
		if h.Name == name {
			return h.State
		}
	}
	for _, t := range n.view.Targets {
		if t.Name == name {
			return t.State
		}
	}
	return "absent"
}

func (s *sim) kill(name string) { s.nodes[name].alive = false }

// setPartition stops or resumes messages from one failure domain to another.
func (s *sim) setPartition(from, to string, blocked bool) {
	s.partitions[[2]string{from, to}] = blocked
}

// runUntil runs until the condition holds or the limit is reached. It returns the
// time taken and whether the condition holds.
func (s *sim) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := s.now
	for s.now.Sub(start) < limit {
		if condition() {
			return s.now.Sub(start), true
		}
		s.run(50 * time.Millisecond)
	}
	return limit, condition()
}
