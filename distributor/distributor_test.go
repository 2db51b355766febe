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

// The rapid default of 100 cases of two minutes of virtual time each takes too
// long for an ordinary run.
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
	now       time.Time
	random    *rand.Rand
	events    events
	count     int
	nodes     []*node
	history   []encoder.Document
	storeDown bool
	storeLag  int
	loss      float64
	repeat    float64
	delay     time.Duration
	split     bool
	faults    []string
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
		history: []encoder.Document{{}}}
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
	last := s.history[len(s.history)-1]
	next := encoder.Document{Version: last.Version + 1}
	next.Sections = slices.DeleteFunc(slices.Clone(last.Sections), func(section encoder.Section) bool { return section.Name == name })
	if !remove {
		next.Sections = append(next.Sections, encoder.Section{Name: name, Version: next.Version})
	}
	slices.SortFunc(next.Sections, func(a, b encoder.Section) int { return cmp2(a.Name, b.Name) })
	s.history = append(s.history, next)
}

func cmp2(a, b string) int {
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
			// A heartbeat to some peer.
			s.tell(n, s.nodes[s.random.IntN(len(s.nodes))])
		}
		s.at(100*time.Millisecond, tick)
	}
	s.at(time.Duration(s.random.Int64N(int64(100*time.Millisecond))), tick)
}

func (s *sim) tell(from, to *node) {
	version := from.state.Version()
	s.send(from, to, func() { s.update(to, PeerVersionReceived{Host: name(from.index), Version: version}) })
}

// send loses, delays, repeats and reorders.
func (s *sim) send(from, to *node, do func()) {
	times := 1
	if s.random.Float64() < s.repeat {
		times = 2
	}
	for range times {
		if s.random.Float64() < s.loss {
			continue
		}
		run := to.run
		s.at(time.Duration(s.random.Int64N(int64(s.delay)+1)), func() {
			if to.alive && to.run == run && (!s.split || from.index%2 == to.index%2) {
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
			for _, answer := range peer.state.Update(s.now, DeltaRequested{From: c.From, ReplyTo: name(n.index)}) {
				if a, ok := answer.(SendDelta); ok {
					s.send(peer, n, func() { s.update(n, DeltaReceived{Host: c.Host, Delta: a.Delta}) })
					continue
				}
				s.execute(peer, answer)
			}
		})
	case QueryVersion:
		peer := s.peer(c.Host)
		s.send(n, peer, func() { s.tell(peer, n) })
	case NotifyPeers:
		for range 3 {
			s.tell(n, s.nodes[s.random.IntN(len(s.nodes))])
		}
	case ApplyDocument:
		if c.Document.Version <= n.document.Version {
			s.faults = append(s.faults, fmt.Sprintf("%s went from version %d to %d", name(n.index), n.document.Version, c.Document.Version))
		}
		n.document = c.Document
		if diff := cmp.Diff(s.history[c.Document.Version], c.Document); diff != "" {
			s.faults = append(s.faults, fmt.Sprintf("%s: version %d differs: %s", name(n.index), c.Document.Version, diff))
		}
	}
}

func (s *sim) peer(host string) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return name(n.index) == host })
	return s.nodes[i]
}

// poll answers as the store does: a delta, or the whole document from 0.
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
	document := s.history[max(1, len(s.history)-1-s.storeLag)]
	m := PollFinished{From: from, Version: document.Version, Full: from == 0}
	if document.Version > from {
		d := newDocument()
		for _, h := range s.history[1 : document.Version+1] {
			var changed []encoder.Section
			for _, old := range d.snapshot().Sections {
				if !slices.ContainsFunc(h.Sections, func(x encoder.Section) bool { return x.Name == old.Name }) {
					changed = append(changed, encoder.Section{Name: old.Name, Version: h.Version, Deleted: true})
				}
			}
			d.apply(h.Version, h.Version-1+btoi(h.Version == 1), append(changed, h.Sections...), 1000)
		}
		d.floor = 0
		m.Sections = d.delta(from).Sections
	}
	finish(m)
}

func btoi(b bool) int {
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

// until runs until everyone has the newest version and returns the time taken.
func (s *sim) until(limit time.Duration) (time.Duration, error) {
	start := s.now
	for s.now.Sub(start) < limit {
		if s.converged(len(s.history)-1) == nil {
			return s.now.Sub(start), nil
		}
		s.run(20 * time.Millisecond)
	}
	return limit, s.converged(len(s.history) - 1)
}

// history runs random faults, ends them if heal is set, and reports what is
// wrong.
func history(t *rapid.T, heal bool) error {
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
			s.split = !s.split
		case 5:
			s.nodes[host].alive = false
		case 6:
			s.start(host)
		case 7:
			s.storeLag = rapid.IntRange(0, 3).Draw(t, "storeLag")
		}
		s.run(time.Duration(rapid.IntRange(0, 4_000).Draw(t, "pauseMs")) * time.Millisecond)
	}
	s.storeLag, s.loss, s.repeat, s.delay, s.split = 0, 0, 0, 5*time.Millisecond, false
	s.storeDown = !heal
	if !heal {
		s.publish("service/z", false)
		s.nodes[0].alive = false
		s.start(0)
	}
	s.run(20 * time.Second)
	if len(s.faults) > 0 {
		return fmt.Errorf("%d faults, first: %s", len(s.faults), s.faults[0])
	}
	return s.converged(len(s.history) - 1)
}

// Guards against versions that go back, contents that differ from what was
// published, and daemons that stay behind after faults have ended.
func TestFaultHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := history(t, true); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against TestFaultHistories passing whatever happens: a version that was
// published into a store that nobody reaches must be noticed as missing.
func TestFaultHistoriesCanFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := history(t, false); err == nil {
			t.Fatal("a version that no daemon has was not noticed")
		}
	})
}

// Guards against the check of rising versions passing whatever happens: a state
// that forgets its version applies an older one.
func TestMonotonicCheckCanFail(t *testing.T) {
	s := newSim(1, 3)
	s.run(5 * time.Second)
	s.publish("service/b", false)
	s.run(5 * time.Second)
	s.nodes[0].state.document = newDocument()
	s.storeLag = 1
	s.update(s.nodes[0], PollFinished{From: 0, Version: 1, Full: true, Sections: s.history[1].Sections})
	if len(s.faults) == 0 {
		t.Error("a step back was not noticed")
	}
}

// Guards against publishing that takes over 3 s to be in force everywhere: with
// the store up, and with the store down after one daemon has the version.
func TestTimeToInForce(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *sim)
	}{
		{"healthy", func(*sim) {}},
		{"store down after acceptance", func(s *sim) {
			s.run(900 * time.Millisecond) // one poll of some daemon
			s.storeDown = true
		}},
		{"peers partitioned", func(s *sim) { s.split = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSim(seed, 9)
				s.run(10 * time.Second)
				s.publish("service/b", false)
				test.fault(s)
				if took, err := s.until(3 * time.Second); err != nil {
					t.Errorf("seed %d: after %v: %v", seed, took, err)
				}
			}
		})
	}
}

// Guards against a daemon that starts during an outage and serves an old version
// or none, and against one that serves without a majority.
func TestStartWithStoreDown(t *testing.T) {
	tests := []struct {
		name  string
		split bool
		want  bool
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
			s.storeDown, s.split = true, test.split
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

// Guards against a daemon that follows a stale or restored store back, and
// against one that mixes its sections with those of the restored store.
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

// Guards against a quorum that is made of hosts which are not listed or are
// suspected, and against one of a host list that is not known yet.
func TestOnlyListedHostsCount(t *testing.T) {
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
			t.Errorf("listed %v: serves after answers of a, x and y", listed)
		}
	}
}

// Guards against an accepted change that waits for a poll, and against one that is
// applied although the versions before it are not known.
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
