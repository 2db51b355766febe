package sequencer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// step makes one random event happen.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.intn(400)) * time.Millisecond)
	o := s.currentOwner
	switch s.intn(16) {
	case 0, 1, 2:
		s.sendRequest(o)
	case 3, 4, 5:
		s.commitNext(o)
	case 6, 7, 8:
		s.finishRandomAttempt(o)
	case 9:
		s.update(o, Tick{})
	case 10:
		s.deliverLateEvent()
	case 11:
		o.store = s.intn(3) > 0
		s.update(o, StoreReachabilityChanged{Reachable: o.store})
	case 12:
		o.lease = s.intn(3) > 0
		s.update(o, LeaseChanged{Valid: o.lease})
	case 13:
		if o.lease && o.store && s.intn(3) == 0 {
			s.takeSnapshot(o)
		}
	case 14:
		s.replaceOwner(o)
	case 15:
		s.now = s.now.Add(time.Duration(s.intn(12)) * time.Second)
		s.update(o, Tick{})
		if s.intn(8) == 0 {
			s.update(o, CancelRequested{Program: s.programs[s.intn(len(s.programs))]})
		}
	}
}

func (s *simulation) sendRequest(o *owner) {
	r := s.drawRequest()
	if r.Workspace != foreignHistory {
		s.sentRequests = append(s.sentRequests, r)
		if len(s.pausedOwners) > 0 && s.intn(5) == 0 {
			o = s.pausedOwners[len(s.pausedOwners)-1]
		}
	}
	o.open[r.ID] = r
	s.update(o, CallArrived{Request: r})
}

func (s *simulation) commitNext(o *owner) {
	if len(o.pending) == 0 || !o.store {
		return
	}
	ticket := o.pending[0]
	o.pending = o.pending[1:]
	s.makeDurable(ticket.Records)
	s.update(o, RecordsCommitted{Ticket: ticket.Ticket})
}

func (s *simulation) finishRandomAttempt(o *owner) {
	if len(o.running) == 0 {
		return
	}
	i := s.intn(len(o.running))
	d := o.running[i]
	o.running = slices.Delete(o.running, i, i+1)
	s.finishAttempt(o, d)
}

// deliverLateEvent delivers one event of an earlier owner: a result of its attempts,
// to itself or to the current owner, dropped records, or the release of its shard.
func (s *simulation) deliverLateEvent() {
	if len(s.orphanedAttempts) > 0 && s.intn(2) == 0 {
		d := s.orphanedAttempts[0]
		s.orphanedAttempts = s.orphanedAttempts[1:]
		s.finishAttempt(s.currentOwner, d)
		return
	}
	if len(s.pausedOwners) == 0 {
		return
	}
	o := s.pausedOwners[0]
	switch {
	case len(o.running) > 0 && s.intn(2) == 0:
		s.finishRandomAttempt(o)
	case len(o.pending) > 0:
		ticket := o.pending[0]
		o.pending = o.pending[1:]
		s.update(o, RecordsDropped{Ticket: ticket.Ticket})
	default:
		s.update(o, ShardReleased{Shard: s.shard})
		if len(o.open) > 0 {
			s.recordViolation(InvariantResponses, "%d requests are open after the shard was released", len(o.open))
		}
		s.orphanedAttempts = append(s.orphanedAttempts, o.running...)
		s.pausedOwners = s.pausedOwners[1:]
	}
}

// takeSnapshot makes the owner's state durable as a snapshot and clears the log.
func (s *simulation) takeSnapshot(o *owner) {
	s.snapshot = o.state.Snapshot(s.shard)
	for _, ticket := range o.pending {
		s.makeDurable(ticket.Records)
	}
	s.log = nil
}

// replaceOwner replaces the owner at a random point, after some of its commits took
// effect without a confirmation. Its host has failed, or was paused until its lease
// expired and continues to run.
func (s *simulation) replaceOwner(o *owner) {
	if s.intn(2) == 0 {
		return
	}
	for n := s.intn(len(o.pending) + 1); n > 0; n-- {
		ticket := o.pending[0]
		o.pending = o.pending[1:]
		s.makeDurable(ticket.Records)
		if !o.lease && s.intn(2) == 0 {
			s.update(o, RecordsCommitted{Ticket: ticket.Ticket})
		}
	}
	if o.lease {
		s.orphanedAttempts = append(s.orphanedAttempts, o.running...)
	} else {
		o.fenced = true
		s.pausedOwners = append(s.pausedOwners, o)
	}
	s.newOwner()
	if s.intn(4) == 0 {
		s.replaceOwner(s.currentOwner) // a second takeover before the first has settled
	}
}

// settleAndCheck removes all faults, ends all programs and runs the retention audit.
// Afterwards every request must have its response and no engine may hold memory.
func (s *simulation) settleAndCheck() {
	o := s.currentOwner
	o.store, o.lease, s.faultFree = true, true, true
	s.update(o, LeaseChanged{Valid: true})
	s.update(o, StoreReachabilityChanged{Reachable: true})
	for round := 0; round < 40; round++ {
		for len(s.pausedOwners)+len(s.orphanedAttempts) > 0 {
			s.deliverLateEvent()
		}
		for len(o.running) > 0 {
			s.finishRandomAttempt(o)
		}
		for len(o.pending) > 0 {
			s.commitNext(o)
		}
		if round == 3 {
			for _, program := range s.programs {
				s.update(o, CancelRequested{Program: program})
			}
		}
		for _, program := range s.programs {
			if s.heldMemory[program] {
				s.update(o, MemoryReported{Program: program, Target: "runner"})
			}
		}
		s.now = s.now.Add(11 * time.Second)
		s.update(o, Tick{})
	}
	if len(o.open) > 0 {
		s.recordViolation(InvariantResponses, "%d requests are never answered", len(o.open))
	}
	for _, program := range s.programs {
		if s.heldMemory[program] {
			s.recordViolation(InvariantMemory, "the engine still holds memory for %s", program)
		}
	}
	if n := o.state.Counts(); n.PendingRecords != 0 || n.PendingBytes != 0 || o.state.expectedRecords != 0 {
		s.recordViolation(InvariantPending, "counts after all commits: %+v, expected %d", n, o.state.expectedRecords)
	}
	if view, ok := o.state.Program(s.programs[0]); ok && view.ReservedTokens != 0 {
		s.recordViolation(InvariantBudget, "%d tokens stay reserved", view.ReservedTokens)
	}
}

// Guards against violations of the guarantees under any interleaving of requests,
// duplicates, commits, results that are late or reach another owner, outages and
// takeovers.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }, hooks{})
		for steps := rapid.IntRange(1, 250).Draw(t, "steps"); steps > 0 && len(s.violations) == 0; steps-- {
			s.step()
		}
		s.settleAndCheck()
		if len(s.violations) > 0 {
			t.Fatalf("violation: %s (and %d more)", s.violations[0], len(s.violations)-1)
		}
	})
}

var simulationCount = flag.Int("worlds", 300, "number of simulations that TestSeededInvariants runs")

// Guards against the same violations in runs that are longer than those of rapid.
func TestSeededInvariants(t *testing.T) {
	for seed := range *simulationCount {
		if violations := simulate(uint64(seed), hooks{}, 600); len(violations) > 0 {
			t.Fatalf("seed %d: %s (and %d more)", seed, violations[0], len(violations)-1)
		}
	}
}

func simulate(seed uint64, h hooks, steps int) []Violation {
	random := rand.New(rand.NewPCG(seed, 1))
	s := newSimulation(random.IntN, h)
	for i := 0; i < steps && len(s.violations) == 0; i++ {
		s.step()
	}
	if len(s.violations) == 0 {
		s.settleAndCheck()
	}
	return s.violations
}

// Guards against checks that cannot fail: if a mechanism is disabled, the package
// must report a violation of its invariant, and so must the simulation where callers
// or targets can observe it.
func TestChecksDetectFaults(t *testing.T) {
	tests := []struct {
		invariant Invariant
		hooks     hooks
		outside   bool
	}{
		{InvariantOrder, hooks{skipOrder: true}, true},
		{InvariantHistory, hooks{skipPrefix: true}, true},
		{InvariantBudget, hooks{skipReserve: true}, true},
		{InvariantMemory, hooks{skipRelease: true}, false},
		{InvariantResponses, hooks{skipCorrelation: true}, false},
		{InvariantDurability, hooks{skipDurability: true}, true},
		{InvariantAtMostOnce, hooks{skipIntent: true}, true},
		{InvariantAtMostOnce, hooks{skipResolve: true}, true},
		{InvariantNotRun, hooks{rejectRunning: true}, false},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s %+v", test.invariant, test.hooks), func(t *testing.T) {
			inside, outside := false, !test.outside
			for seed := uint64(0); seed < 400 && !(inside && outside); seed++ {
				s := newSimulation(rand.New(rand.NewPCG(seed, 1)).IntN, test.hooks)
				for range 300 {
					s.step()
				}
				s.settleAndCheck()
				for _, violation := range s.violations {
					if violation.Invariant == test.invariant {
						seen := len(violation.Detail) > 5 && violation.Detail[:5] == "seen "
						inside, outside = inside || !seen, outside || seen
					}
				}
			}
			if !inside || !outside {
				t.Errorf("violation of %s seen inside: %t, outside: %t", test.invariant, inside, outside)
			}
		})
	}
}
