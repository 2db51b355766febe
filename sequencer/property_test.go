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

// step lets one thing happen.
func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.intn(400)) * time.Millisecond)
	o := w.current
	switch w.intn(16) {
	case 0, 1, 2:
		w.arrive(o)
	case 3, 4, 5:
		w.commitNext(o)
	case 6, 7, 8:
		w.finishOne(o)
	case 9:
		w.update(o, Tick{})
	case 10:
		w.late()
	case 11:
		o.store = w.intn(3) > 0
		w.update(o, StoreReachabilityChanged{Reachable: o.store})
	case 12:
		o.lease = w.intn(3) > 0
		w.update(o, LeaseChanged{Valid: o.lease})
	case 13:
		if o.lease && o.store && w.intn(3) == 0 {
			w.takeSnapshot(o)
		}
	case 14:
		w.lose(o)
	case 15:
		w.now = w.now.Add(time.Duration(w.intn(12)) * time.Second)
		w.update(o, Tick{})
		if w.intn(8) == 0 {
			w.update(o, CancelRequested{Program: w.programs[w.intn(len(w.programs))]})
		}
	}
}

func (w *world) arrive(o *owner) {
	r := w.request()
	if r.Workspace != foreign {
		w.sent = append(w.sent, r)
		if len(w.zombies) > 0 && w.intn(5) == 0 {
			o = w.zombies[len(w.zombies)-1]
		}
	}
	o.open[r.ID] = r
	w.update(o, CallArrived{Request: r})
}

func (w *world) commitNext(o *owner) {
	if len(o.pending) == 0 || !o.store {
		return
	}
	ticket := o.pending[0]
	o.pending = o.pending[1:]
	w.durable(ticket.Records)
	w.update(o, RecordsCommitted{Ticket: ticket.Ticket})
}

func (w *world) finishOne(o *owner) {
	if len(o.running) == 0 {
		return
	}
	i := w.intn(len(o.running))
	d := o.running[i]
	o.running = slices.Delete(o.running, i, i+1)
	w.finish(o, d)
}

// late delivers what belongs to an earlier owner: results of its attempts, to
// itself or crossed to the current one, and the end of its lease.
func (w *world) late() {
	if len(w.orphans) > 0 && w.intn(2) == 0 {
		d := w.orphans[0]
		w.orphans = w.orphans[1:]
		w.finish(w.current, d)
		return
	}
	if len(w.zombies) == 0 {
		return
	}
	z := w.zombies[0]
	switch {
	case len(z.running) > 0 && w.intn(2) == 0:
		w.finishOne(z)
	case len(z.pending) > 0:
		ticket := z.pending[0]
		z.pending = z.pending[1:]
		w.update(z, RecordsDropped{Ticket: ticket.Ticket})
	default:
		w.update(z, ShardReleased{Shard: w.shard})
		if len(z.open) > 0 {
			w.fail(InvariantResponses, "%d requests are open after the shard was released", len(z.open))
		}
		w.orphans = append(w.orphans, z.running...)
		w.zombies = w.zombies[1:]
	}
}

// takeSnapshot makes what the owner's state contains durable.
func (w *world) takeSnapshot(o *owner) {
	w.snapshot = o.state.Snapshot(w.shard)
	for _, ticket := range o.pending {
		w.durable(ticket.Records)
	}
	w.log = nil
}

// lose ends the owner's time at any instant: some of its commits took effect
// without its knowing. Its host dies, or is paused past its lease and goes on.
func (w *world) lose(o *owner) {
	if w.intn(2) == 0 {
		return
	}
	for n := w.intn(len(o.pending) + 1); n > 0; n-- {
		ticket := o.pending[0]
		o.pending = o.pending[1:]
		w.durable(ticket.Records)
		if !o.lease && w.intn(2) == 0 {
			w.update(o, RecordsCommitted{Ticket: ticket.Ticket})
		}
	}
	if o.lease {
		w.orphans = append(w.orphans, o.running...)
	} else {
		o.fenced = true
		w.zombies = append(w.zombies, o)
	}
	w.newOwner()
	if w.intn(4) == 0 {
		w.lose(w.current) // a second takeover before the first has settled
	}
}

// settleAll heals everything, ends all programs and runs the audit. Afterwards
// every caller has its answer and no engine holds memory.
func (w *world) settleAll() {
	o := w.current
	o.store, o.lease, w.healed = true, true, true
	w.update(o, LeaseChanged{Valid: true})
	w.update(o, StoreReachabilityChanged{Reachable: true})
	for round := 0; round < 40; round++ {
		for len(w.zombies)+len(w.orphans) > 0 {
			w.late()
		}
		for len(o.running) > 0 {
			w.finishOne(o)
		}
		for len(o.pending) > 0 {
			w.commitNext(o)
		}
		if round == 3 {
			for _, program := range w.programs {
				w.update(o, CancelRequested{Program: program})
			}
		}
		for _, program := range w.programs {
			if w.held[program] {
				w.update(o, MemoryReported{Program: program, Target: "runner"})
			}
		}
		w.now = w.now.Add(11 * time.Second)
		w.update(o, Tick{})
	}
	if len(o.open) > 0 {
		w.fail(InvariantResponses, "%d requests are never answered", len(o.open))
	}
	for _, program := range w.programs {
		if w.held[program] {
			w.fail(InvariantMemory, "the engine still holds memory for %s", program)
		}
	}
	if n := o.state.Counts(); n.PendingRecords != 0 || n.PendingBytes != 0 || o.state.expectedRecords != 0 {
		w.fail(InvariantPending, "counts after all commits: %+v, expected %d", n, o.state.expectedRecords)
	}
	if view, ok := o.state.Program(w.programs[0]); ok && view.ReservedTokens != 0 {
		w.fail(InvariantBudget, "%d tokens stay reserved", view.ReservedTokens)
	}
}

// Guards against every way in which an interleaving of arrivals, duplicates,
// commits, late and crossed results, outages and takeovers breaks a promise.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }, hooks{})
		for steps := rapid.IntRange(1, 250).Draw(t, "steps"); steps > 0 && len(w.faults) == 0; steps-- {
			w.step()
		}
		w.settleAll()
		if len(w.faults) > 0 {
			t.Fatalf("violation: %s (and %d more)", w.faults[0], len(w.faults)-1)
		}
	})
}

var longRun = flag.Int("worlds", 300, "number of seeded worlds that TestSeededInvariants plays")

// Guards against the same faults in longer runs than rapid draws.
func TestSeededInvariants(t *testing.T) {
	for seed := range *longRun {
		if faults := play(uint64(seed), hooks{}, 600); len(faults) > 0 {
			t.Fatalf("seed %d: %s (and %d more)", seed, faults[0], len(faults)-1)
		}
	}
}

func play(seed uint64, h hooks, steps int) []Violation {
	random := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(random.IntN, h)
	for i := 0; i < steps && len(w.faults) == 0; i++ {
		w.step()
	}
	if len(w.faults) == 0 {
		w.settleAll()
	}
	return w.faults
}

// Guards against checks that cannot fail: with a mechanism off, its invariant is
// reported by the package itself and, where callers or targets can see it, by
// the world outside.
func TestChecksNotice(t *testing.T) {
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
		{InvariantNotRun, hooks{refuseRunning: true}, false},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s %+v", test.invariant, test.hooks), func(t *testing.T) {
			inside, outside := false, !test.outside
			for seed := uint64(0); seed < 400 && !(inside && outside); seed++ {
				w := newWorld(rand.New(rand.NewPCG(seed, 1)).IntN, test.hooks)
				for range 300 {
					w.step()
				}
				w.settleAll()
				for _, fault := range w.faults {
					if fault.Invariant == test.invariant {
						seen := len(fault.Detail) > 5 && fault.Detail[:5] == "seen "
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
