package detector

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestMain lowers the number of rapid's cases unless it is set on the command line:
// the default of 100, each with a minute or more of virtual time, takes too long.
func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "rapid.checks" })
	if !set {
		_ = flag.Set("rapid.checks", "25")
	}
	os.Exit(m.Run())
}

// allReport returns a condition that holds when all live daemons, except the subject
// itself, report the subject in the given state.
func allReport(s *sim, subject, state string) func() bool {
	return func() bool {
		for _, name := range s.names {
			if n := s.nodes[name]; n.alive && name != subject && n.stateOf(subject) != state {
				return false
			}
		}
		return true
	}
}

// Guards against hosts or targets in a wrong state after a single fault, and against
// detection that takes longer than the limit.
func TestSingleFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *sim)
		done  func(s *sim) bool
		limit time.Duration
	}{
		{"host crashes", func(s *sim) { s.kill("d1-h0") }, func(s *sim) bool { return allReport(s, "d1-h0", Unreachable)() }, 15 * time.Second},
		{"host leaves", func(s *sim) { s.update(s.nodes["d1-h0"], LeaveRequested{}) },
			func(s *sim) bool { return allReport(s, "d1-h0", Leaving)() }, 3 * time.Second},
		{"target announces that it leaves", func(s *sim) { s.update(s.nodes["d1-h0"], TargetLeaving{Target: "d3-t0"}) },
			func(s *sim) bool { return allReport(s, "d3-t0", Leaving)() }, 3 * time.Second},
		{"list names target as leaving", func(s *sim) { s.changeList(func(m *provider.Member) { m.Leaving = true }, "d3-t0") },
			func(s *sim) bool { return allReport(s, "d3-t0", Leaving)() }, 3 * time.Second},
		{"target crashes", func(s *sim) { s.deadTargets["d2-t0"] = true },
			func(s *sim) bool {
				return s.nodes["d2-h0"].stateOf("d2-t0") == Unreachable && s.nodes["d2-h1"].stateOf("d2-t0") == Unreachable
			}, 15 * time.Second},
		{"domain lost", func(s *sim) {
			for i := range 3 {
				s.kill(fmt.Sprintf("d3-h%d", i))
			}
		}, func(s *sim) bool {
			for _, name := range s.names[:6] {
				v := s.nodes[name].view
				if !slices.Equal(v.LostDomains, []string{"d3"}) || !slices.Equal(v.LostRegions, []string{"r2"}) {
					return false
				}
			}
			return allReport(s, "d3-t1", Unreachable)()
		}, 15 * time.Second},
		{"partition in one direction", func(s *sim) { s.setPartition("d1", "d2", true) }, func(s *sim) bool {
			return slices.Contains(s.nodes["d1-h0"].view.LostDomains, "d2") && slices.Contains(s.nodes["d2-h0"].view.LostDomains, "d1") &&
				len(s.nodes["d3-h0"].view.LostDomains) == 0
		}, 15 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newSim(seed, 3, 2, Settings{})
				s.run(20 * time.Second)
				if err := s.converged(); err != nil {
					t.Fatalf("seed %d: before the fault: %v", seed, err)
				}
				test.fault(s)
				took, ok := s.runUntil(test.limit, func() bool { return test.done(s) })
				if !ok {
					t.Errorf("seed %d: views not updated everywhere after %v", seed, took)
				}
			}
		})
	}
}

// converged returns an error unless every live daemon's view shows the real states.
func (s *sim) converged() error {
	for _, name := range s.names {
		n := s.nodes[name]
		if !n.alive {
			continue
		}
		for _, subject := range s.names {
			want := Ready
			if peer := s.nodes[subject]; !peer.alive {
				want = Unreachable
			} else if peer.state.leaving {
				want = Leaving
			}
			got := n.stateOf(subject)
			gone := !s.nodes[subject].alive && (got == Leaving || got == Gone)
			if got != want && !gone {
				return fmt.Errorf("%s: state of %s is %s, want %s", name, subject, got, want)
			}
		}
		for _, m := range s.members {
			if m.Role == "drafter" && m.Leaving && n.stateOf(m.Host) != Leaving {
				return fmt.Errorf("%s: leaving target %s is %s", name, m.Host, n.stateOf(m.Host))
			}
			if m.Role == "drafter" && !m.Leaving && !s.deadTargets[m.Host] && n.stateOf(m.Host) != Ready {
				return fmt.Errorf("%s: target %s is %s", name, m.Host, n.stateOf(m.Host))
			}
		}
		lost := slices.DeleteFunc(slices.Clone(n.view.LostDomains), func(domain string) bool {
			return !slices.ContainsFunc(s.names, func(name string) bool { return s.nodes[name].alive && s.nodes[name].domain == domain })
		})
		if len(lost) > 0 {
			return fmt.Errorf("%s: reports lost domains %v", name, n.view.LostDomains)
		}
	}
	return nil
}

// runFaultHistory applies random faults and then ends them, except for a partition
// if heal is false. It returns an error if a rule was violated or the views have not
// converged.
func runFaultHistory(t *rapid.T, settings Settings, heal bool) error {
	s := newSim(rapid.Uint64().Draw(t, "seed"), 3, 2, settings)
	s.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
	s.repeat = rapid.Float64Range(0, 0.3).Draw(t, "repeat")
	s.delay = time.Duration(rapid.IntRange(1, 400).Draw(t, "delayMs")) * time.Millisecond
	s.listLag = time.Duration(rapid.IntRange(0, 10).Draw(t, "listLag")) * time.Second
	s.run(10 * time.Second)
	domains := []string{"d1", "d2", "d3"}
	for range rapid.IntRange(1, 8).Draw(t, "faults") {
		name := rapid.SampledFrom(s.names).Draw(t, "host")
		target := rapid.SampledFrom(domains).Draw(t, "domain") + "-t" + rapid.SampledFrom([]string{"0", "1"}).Draw(t, "target")
		switch rapid.IntRange(0, 7).Draw(t, "fault") {
		case 0:
			s.kill(name)
		case 1:
			if !s.nodes[name].alive {
				s.start(name)
			}
		case 2:
			s.update(s.nodes[name], LeaveRequested{})
		case 3:
			s.changeList(func(m *provider.Member) { m.Leaving = true }, target)
		case 4:
			s.update(s.nodes[name], TargetLeaving{Target: target})
			if s.nodes[name].alive {
				s.at(20*time.Second, func() { s.changeList(func(m *provider.Member) { m.Leaving = true }, target) })
			}
		case 5:
			s.setPartition(rapid.SampledFrom(domains).Draw(t, "from"), rapid.SampledFrom(domains).Draw(t, "to"), true)
		case 6:
			s.deadTargets[target] = !s.deadTargets[target]
		case 7:
			clear(s.partitions)
		}
		s.run(time.Duration(rapid.IntRange(0, 8_000).Draw(t, "pauseMs")) * time.Millisecond)
	}
	if heal {
		clear(s.partitions)
	} else {
		s.setPartition("d1", "d2", true)
	}
	s.loss, s.repeat, s.delay = 0, 0, 5*time.Millisecond
	clear(s.deadTargets)
	s.run(90 * time.Second)
	if len(s.violations) > 0 {
		return fmt.Errorf("%d violations, first: %s", len(s.violations), s.violations[0])
	}
	return s.converged()
}

// Guards against views that stay wrong after the faults have ended, and against a
// leaving host or target that is used again in the same run.
func TestFaultHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runFaultHistory(t, Settings{}, true); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against TestFaultHistories passing regardless of faults: with a partition
// that does not end, the check of convergence must fail.
func TestFaultHistoriesCanFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runFaultHistory(t, Settings{}, false); err == nil {
			t.Fatal("a partition that does not end was not detected")
		}
	})
}

// staleListHistory removes a leaving target from a member list that switches between
// old and new versions. It returns an error if the target is used again.
func staleListHistory(settings Settings) error {
	for seed := range uint64(10) {
		s := newSim(seed, 3, 2, settings)
		s.listLag = 12 * time.Second
		s.run(10 * time.Second)
		s.changeList(func(m *provider.Member) { m.Leaving = true }, "d1-t0")
		s.run(time.Second)
		s.changeList(func(m *provider.Member) { m.Role = "" }, "d1-t0")
		s.run(40 * time.Second)
		if len(s.violations) > 0 {
			return fmt.Errorf("seed %d: %s", seed, s.violations[0])
		}
	}
	return nil
}

// Guards against a stale member list that restores a target that has left. Without
// the wait for the lag of the list the target returns, which shows that the check
// can fail.
func TestStaleListDoesNotRestoreTarget(t *testing.T) {
	if err := staleListHistory(Settings{}); err != nil {
		t.Error(err)
	}
	if err := staleListHistory(Settings{ReturnAfter: time.Millisecond}); err == nil {
		t.Error("the check does not detect that the target returned")
	}
}

// Guards against drains that the periodic clean-up removes, and against drains that
// change the detected state underneath.
func TestDrainKeepsDetectedState(t *testing.T) {
	s := newSim(1, 3, 2, Settings{GoneRetention: 5 * time.Second})
	n := s.nodes["d1-h0"]
	s.run(5 * time.Second)
	s.update(n, DrainsChanged{Names: []string{"d1-t0", "d2-h1"}})
	s.run(30 * time.Second)
	for _, name := range []string{"d1-t0", "d2-h1"} {
		if got := n.stateOf(name); got != Leaving {
			t.Errorf("drained %s is %s", name, got)
		}
	}
	s.update(n, DrainsChanged{})
	s.run(time.Second)
	for _, name := range []string{"d1-t0", "d2-h1"} {
		if got := n.stateOf(name); got != Ready {
			t.Errorf("%s is %s after the end of the drain", name, got)
		}
	}
}

// Guards against a restarted host that peers still report as leaving, also when its
// clock went back between the runs.
func TestRestartEndsLeaving(t *testing.T) {
	s := newSim(3, 3, 2, Settings{})
	s.run(10 * time.Second)
	s.update(s.nodes["d1-h0"], LeaveRequested{})
	s.run(5 * time.Second)
	s.kill("d1-h0")
	s.run(time.Second)
	s.start("d1-h0")
	s.nodes["d1-h0"].state.self.Generation -= int(time.Hour.Milliseconds())
	if took, ok := s.runUntil(15*time.Second, allReport(s, "d1-h0", Ready)); !ok {
		t.Errorf("not ready everywhere after %v", took)
	}
}

// Guards against a failed call that is forgotten before a call succeeds, and against
// targets that become unreachable without having been degraded.
func TestTargetStatesAfterCalls(t *testing.T) {
	s := newSim(1, 3, 2, Settings{})
	n := s.nodes["d1-h0"]
	s.run(5 * time.Second)
	steps := []struct {
		ok             bool
		state          string
		lastCallFailed bool
	}{
		{false, Degraded, true}, {true, Degraded, false}, {true, Degraded, false}, {true, Ready, false},
		{false, Degraded, true}, {false, Degraded, true}, {false, Unreachable, true},
		{true, Unreachable, false}, {true, Unreachable, false}, {true, Warming, false},
	}
	target := n.state.targets["d1-t0"]
	for i, step := range steps {
		n.state.Update(s.now, TargetCallFinished{Target: "d1-t0", OK: step.ok})
		if target.state != step.state || target.lastCallFailed != step.lastCallFailed {
			t.Fatalf("step %d: state %s, last call failed %v; want %s, %v", i, target.state, target.lastCallFailed, step.state, step.lastCallFailed)
		}
	}
}

// Guards against heartbeats, rumours, probes or a subset of targets that grow with
// the size of the fleet.
func TestBoundedFanOut(t *testing.T) {
	s := newSim(1, 60, 400, Settings{})
	n := s.nodes["d1-h0"]
	s.run(1500 * time.Millisecond)
	for i := range 200 {
		n.state.Update(s.now, TargetLeaving{Target: fmt.Sprintf("d2-t%d", i)})
	}
	heartbeats, probes := 0, 0
	for range 10 {
		s.now = s.now.Add(100 * time.Millisecond)
		for _, command := range n.state.Update(s.now, Tick{}) {
			switch c := command.(type) {
			case SendHeartbeat:
				heartbeats++
				if len(c.Heartbeat.Rumours) > DefaultMaxRumours {
					t.Errorf("%d rumours in a heartbeat", len(c.Heartbeat.Rumours))
				}
			case ProbeTarget:
				probes++
			case PublishView:
				n.view = c.View
			}
		}
	}
	subset := 0
	for _, target := range n.view.Targets {
		if target.InSubset {
			subset++
		}
	}
	if heartbeats == 0 || heartbeats > 4+4+maxExtraPeers || probes > DefaultProbesPerSec+1 || subset != DefaultSubsetSize {
		t.Errorf("%d heartbeats and %d probes in a second, subset of %d", heartbeats, probes, subset)
	}
}

// Guards against a target that loses a service because the member list has an entry
// for each of two services, and against a new view for every such list.
func TestTargetOfTwoServices(t *testing.T) {
	s := newSim(1, 3, 2, Settings{})
	n := s.nodes["d1-h0"]
	for i := range 4 {
		s.changeList(func(*provider.Member) {}, "d1-t0")
		second := *s.member("d1-t0")
		second.Role = "ledger"
		list := append(s.currentList(), second)
		s.now = s.now.Add(time.Second)
		for _, command := range n.state.Update(s.now, MemberListReceived{Members: list}) {
			if c, ok := command.(PublishView); ok {
				n.view = c.View
				if i == 3 {
					t.Error("an unchanged list changed the view")
				}
			}
		}
	}
	var services []string
	for _, target := range n.view.Targets {
		if target.Name == "d1-t0" {
			services = append(services, target.Service+" "+target.State)
		}
	}
	if diff := cmp.Diff([]string{"drafter ready", "ledger ready"}, services); diff != "" {
		t.Errorf("services differ (-want +got):\n%s", diff)
	}
}
