package distributor

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestMain lowers the number of rapid's cases unless it is set on the command line:
// the default of 100, each with up to two minutes of virtual time, takes too long.
func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "rapid.checks" })
	if !set {
		_ = flag.Set("rapid.checks", "50")
	}
	os.Exit(m.Run())
}

// sim runs distributors in virtual time with a store and a network with faults.
type sim struct {
	now         time.Time
	random      *rand.Rand
	events      events
	count       int
	nodes       []*node
	published   []encoder.Document
	storeDown   bool
	storeLag    int
	loss        float64
	repeat      float64
	delay       time.Duration
	partitioned bool
	violations  []string
}

type node struct {
	index, run int
	alive      bool
	state      *State
	document   encoder.Document
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

func newSim(seed uint64, nodes int) *sim {
	s := &sim{now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), delay: 5 * time.Millisecond,
		published: []encoder.Document{{}}}
	s.nodes = make([]*node, nodes)
	for i := range s.nodes {
		s.nodes[i] = &node{index: i}
	}
	s.publish("service/a", false)
	for i := range s.nodes {
		s.start(i)
	}
	return s
}

func (s *sim) publish(name string, remove bool) {
	last := s.published[len(s.published)-1]
	next := encoder.Document{Version: last.Version + 1}
	next.Sections = slices.DeleteFunc(slices.Clone(last.Sections), func(section encoder.Section) bool { return section.Name == name })
	if !remove {
		next.Sections = append(next.Sections, encoder.Section{Name: name, Version: next.Version})
	}
	slices.SortFunc(next.Sections, func(a, b encoder.Section) int { return compareNames(a.Name, b.Name) })
	s.published = append(s.published, next)
}

func compareNames(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func name(i int) string { return fmt.Sprintf("h%d", i) }

func (s *sim) at(delay time.Duration, do func()) {
	s.count++
	heap.Push(&s.events, event{s.now.Add(delay), s.count, do})
}

func (s *sim) start(i int) {
	n := s.nodes[i]
	n.run++
	n.alive, n.document = true, encoder.Document{}
	n.state = New(name(i), Settings{}, s.random.Uint64(), s.now)
	var hosts []string
	for i := range s.nodes {
		hosts = append(hosts, name(i))
	}
	s.update(n, PeersChanged{Hosts: hosts})
	run := n.run
	var tick func()
	tick = func() {
		if !n.alive || n.run != run {
			return
		}
		s.update(n, Tick{})
		if s.count%5 == 0 {
			// A heartbeat to a random peer.
			s.sendVersion(n, s.nodes[s.random.IntN(len(s.nodes))])
		}
		s.at(100*time.Millisecond, tick)
	}
	s.at(time.Duration(s.random.Int64N(int64(100*time.Millisecond))), tick)
}

func (s *sim) sendVersion(from, to *node) {
	version := from.state.Version()
	s.send(from, to, func() { s.update(to, PeerVersionReceived{Host: name(from.index), Version: version}) })
}

// send delivers a message; it can lose, delay, duplicate and reorder messages.
func (s *sim) send(from, to *node, do func()) {
	copies := 1
	if s.random.Float64() < s.repeat {
		copies = 2
	}
	for range copies {
		if s.random.Float64() < s.loss {
			continue
		}
		run := to.run
		s.at(time.Duration(s.random.Int64N(int64(s.delay)+1)), func() {
			if to.alive && to.run == run && (!s.partitioned || from.index%2 == to.index%2) {
				do()
			}
		})
	}
}

func (s *sim) update(n *node, message Message) {
	for _, command := range n.state.Update(s.now, message) {
		s.execute(n, command)
	}
}

func (s *sim) execute(n *node, command Command) {
	switch c := command.(type) {
	case PollStore:
		s.poll(n, c.From)
	case PullDelta:
		peer := s.peer(c.Host)
		s.send(n, peer, func() {
			for _, response := range peer.state.Update(s.now, DeltaRequested{From: c.From, ReplyTo: name(n.index)}) {
				if a, ok := response.(SendDelta); ok {
					s.send(peer, n, func() { s.update(n, DeltaReceived{Host: c.Host, Delta: a.Delta}) })
					continue
				}
				s.execute(peer, response)
			}
		})
	case QueryVersion:
		peer := s.peer(c.Host)
		s.send(n, peer, func() { s.sendVersion(peer, n) })
	case NotifyPeers:
		for range 3 {
			s.sendVersion(n, s.nodes[s.random.IntN(len(s.nodes))])
		}
	case ApplyDocument:
		if c.Document.Version <= n.document.Version {
			s.violations = append(s.violations, fmt.Sprintf("%s went from version %d to %d", name(n.index), n.document.Version, c.Document.Version))
		}
		n.document = c.Document
		if diff := cmp.Diff(s.published[c.Document.Version], c.Document); diff != "" {
			s.violations = append(s.violations, fmt.Sprintf("%s: version %d differs: %s", name(n.index), c.Document.Version, diff))
		}
	}
}

func (s *sim) peer(host string) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return name(n.index) == host })
	return s.nodes[i]
}

// poll responds as the store does: with a delta or, from version 0, with the whole
// document.
func (s *sim) poll(n *node, from int) {
	run := n.run
	finish := func(m PollFinished) {
		s.at(time.Duration(s.random.Int64N(int64(s.delay)+1)), func() {
			if n.alive && n.run == run {
				s.update(n, m)
			}
		})
	}
	if s.storeDown {
		finish(PollFinished{From: from, Failed: true})
		return
	}
	document := s.published[max(1, len(s.published)-1-s.storeLag)]
	m := PollFinished{From: from, Version: document.Version, Full: from == 0}
	if document.Version > from {
		d := newDocument()
		for _, h := range s.published[1 : document.Version+1] {
			var changed []encoder.Section
			for _, old := range d.snapshot().Sections {
				if !slices.ContainsFunc(h.Sections, func(x encoder.Section) bool { return x.Name == old.Name }) {
					changed = append(changed, encoder.Section{Name: old.Name, Version: h.Version, Deleted: true})
				}
			}
			d.apply(h.Version, h.Version-1+boolToInt(h.Version == 1), append(changed, h.Sections...), 1000)
		}
		d.minDeltaFrom = 0
		m.Sections = d.delta(from).Sections
	}
	finish(m)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
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

func (s *sim) converged(version int) error {
	for _, n := range s.nodes {
		if n.alive && (n.state.Version() != version || !n.state.Serving()) {
			return fmt.Errorf("%s has version %d of %d, serving %v", name(n.index), n.state.Version(), version, n.state.Serving())
		}
	}
	return nil
}

// runUntil runs until all live daemons serve the newest version or the limit is
// reached. It returns the time taken and, if they do not, an error.
func (s *sim) runUntil(limit time.Duration) (time.Duration, error) {
	start := s.now
	for s.now.Sub(start) < limit {
		if s.converged(len(s.published)-1) == nil {
			return s.now.Sub(start), nil
		}
		s.run(20 * time.Millisecond)
	}
	return limit, s.converged(len(s.published) - 1)
}

// runFaultHistory applies random faults and ends them if heal is set. It returns an
// error if a rule was violated or the daemons have not converged.
func runFaultHistory(t *rapid.T, heal bool) error {
	s := newSim(rapid.Uint64().Draw(t, "seed"), 9)
	s.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
	s.repeat = rapid.Float64Range(0, 0.5).Draw(t, "repeat")
	s.delay = time.Duration(rapid.IntRange(1, 1500).Draw(t, "delayMs")) * time.Millisecond
	s.run(5 * time.Second)
	for range rapid.IntRange(1, 12).Draw(t, "steps") {
		host := rapid.IntRange(0, 8).Draw(t, "host")
		section := "service/" + rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "section")
		switch rapid.IntRange(0, 7).Draw(t, "step") {
		case 0, 1:
			s.publish(section, false)
		case 2:
			s.publish(section, true)
		case 3:
			s.storeDown = !s.storeDown
		case 4:
			s.partitioned = !s.partitioned
		case 5:
			s.nodes[host].alive = false
		case 6:
			s.start(host)
		case 7:
			s.storeLag = rapid.IntRange(0, 3).Draw(t, "storeLag")
		}
		s.run(time.Duration(rapid.IntRange(0, 4_000).Draw(t, "pauseMs")) * time.Millisecond)
	}
	s.storeLag, s.loss, s.repeat, s.delay, s.partitioned = 0, 0, 0, 5*time.Millisecond, false
	s.storeDown = !heal
	if !heal {
		s.publish("service/z", false)
		s.nodes[0].alive = false
		s.start(0)
	}
	s.run(20 * time.Second)
	if len(s.violations) > 0 {
		return fmt.Errorf("%d violations, first: %s", len(s.violations), s.violations[0])
	}
	return s.converged(len(s.published) - 1)
}

// Guards against versions that decrease, contents that differ from what was
// published, and daemons that stay behind after the faults have ended.
func TestFaultHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runFaultHistory(t, true); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against TestFaultHistories passing regardless of faults: a version published
// to a store that no daemon can reach must be detected as missing.
func TestFaultHistoriesCanFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runFaultHistory(t, false); err == nil {
			t.Fatal("a version that no daemon has was not detected as missing")
		}
	})
}

// Guards against the check of rising versions passing regardless of faults: a state
// that lost its version applies an older one.
func TestMonotonicCheckCanFail(t *testing.T) {
	s := newSim(1, 3)
	s.run(5 * time.Second)
	s.publish("service/b", false)
	s.run(5 * time.Second)
	s.nodes[0].state.document = newDocument()
	s.storeLag = 1
	s.update(s.nodes[0], PollFinished{From: 0, Version: 1, Full: true, Sections: s.published[1].Sections})
	if len(s.violations) == 0 {
		t.Error("a decreased version was not detected")
	}
}

// Guards against a published version that takes more than 3 s to be current on all
// daemons: with the store available, with the store down once one daemon has the
// version, and with the peers partitioned.
func TestTimeToApplyEverywhere(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *sim)
	}{
		{"healthy", func(*sim) {}},
		{"store down after acceptance", func(s *sim) {
			s.run(900 * time.Millisecond) // one of the daemons polls in this time
			s.storeDown = true
		}},
		{"peers partitioned", func(s *sim) { s.partitioned = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSim(seed, 9)
				s.run(10 * time.Second)
				s.publish("service/b", false)
				test.fault(s)
				if took, err := s.runUntil(3 * time.Second); err != nil {
					t.Errorf("seed %d: after %v: %v", seed, took, err)
				}
			}
		})
	}
}

// Guards against a daemon that starts during an outage of the store and serves an old
// version or none, and against one that serves without a majority.
func TestStartWithStoreDown(t *testing.T) {
	tests := []struct {
		name        string
		partitioned bool
		want        bool
	}{
		{"majority reachable", false, true},
		{"minority reachable", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(3, 9)
			s.run(5 * time.Second)
			s.publish("service/b", true)
			s.publish("service/b", false)
			s.run(5 * time.Second)
			s.storeDown, s.partitioned = true, test.partitioned
			s.start(1)
			s.run(10 * time.Second)
			n := s.nodes[1]
			if n.state.Serving() != test.want {
				t.Errorf("serving = %v at version %d", n.state.Serving(), n.state.Version())
			}
			if test.want && n.state.Version() != 3 {
				t.Errorf("version = %d, want 3", n.state.Version())
			}
		})
	}
}

// Guards against a daemon that goes back to the version of a stale or restored store,
// and against one that mixes its sections with those of the restored store.
func TestStaleStore(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := New("a", Settings{}, 1, now)
	s.Update(now, Tick{})
	s.Update(now, PollFinished{Version: 9, Full: true, Sections: []encoder.Section{{Name: "service/a", Version: 9}}})
	commands := s.Update(now, PollFinished{From: 9, Version: 7})
	if diff := cmp.Diff([]Command{ReportStaleStore{StoreVersion: 7, CurrentVersion: 9}}, commands); diff != "" || s.StalePolls() != 1 || s.Version() != 9 {
		t.Fatalf("stale = %d, version = %d, commands differ (-want +got):\n%s", s.StalePolls(), s.Version(), diff)
	}
	commands = s.Update(now, PollFinished{From: 9, Version: 10, Sections: []encoder.Section{{Name: "service/c", Version: 10}}})
	if diff := cmp.Diff([]Command{PollStore{From: 0}}, commands); diff != "" {
		t.Fatalf("commands differ (-want +got):\n%s", diff)
	}
}

// Guards against a quorum that counts hosts which are not listed or are suspected,
// and against a quorum before the host list is known.
func TestQuorumCountsOnlyListedHosts(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, listed := range [][]string{nil, {"self", "a", "b"}} {
		s := New("self", Settings{}, 1, now)
		s.Update(now, PeersChanged{Hosts: listed})
		s.Update(now, PollFinished{Failed: true})
		for _, host := range []string{"a", "x", "y"} {
			s.Update(now, PeerVersionReceived{Host: host, Version: 4})
		}
		s.Update(now, DeltaReceived{Host: "a", Delta: encoder.Delta{To: 4}})
		if s.Version() != 4 {
			t.Errorf("listed %v: version %d, want 4", listed, s.Version())
		}
		if s.Serving() {
			t.Errorf("listed %v: serves after versions from a, x and y", listed)
		}
	}
}

// Guards against an accepted change that is applied only after a poll, and against
// one that is applied although the versions before it are not known.
func TestPublishedIsAppliedAtOnce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := New("self", Settings{}, 1, now)
	s.Update(now, PollFinished{Version: 3, Full: true})
	s.Update(now, PublishAccepted{Delta: encoder.Delta{From: 5, To: 6}})
	if s.Version() != 3 {
		t.Fatalf("version %d after changes that do not follow 3", s.Version())
	}
	s.Update(now, PublishAccepted{Delta: encoder.Delta{From: 3, To: 4}})
	if s.Version() != 4 {
		t.Fatalf("version %d, want 4", s.Version())
	}
}
