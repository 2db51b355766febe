package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/router"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

// newLoadedState returns a scheduler with the given number of targets, a load report
// for each and cache entries for 2,000 programs.
func newLoadedState(targets int) (*scheduler.State, time.Time) {
	state := scheduler.New(scheduler.Options{
		Location: router.Location{Domain: "d0", Region: "r0"}, Profile: router.DefaultProfile(), Seed: 1,
	})
	now := start
	state.Update(now, scheduler.ServicesChanged{Services: []scheduler.Service{{
		Name: "m", MaxConcurrency: 64, MaxQueue: 256, RetryRatio: 0.1, CallTimeout: time.Minute,
		Weights: router.DefaultWeights(),
	}}})
	list := make([]scheduler.Target, targets)
	for i := range list {
		list[i] = scheduler.Target{
			Name: fmt.Sprintf("t%d", i), Service: "m", FailureDomain: fmt.Sprintf("d%d", i%5),
			Region: fmt.Sprintf("r%d", i%2), State: router.StateReady, Since: now.Add(-time.Hour),
		}
	}
	state.Update(now, scheduler.TargetsChanged{Targets: list})
	for i := range list {
		state.Update(now, scheduler.ReportReceived{Report: provider.LoadReport{
			Target: list[i].Name, At: now, Running: i % 20, TotalBlocks: 5_120, PrefillPerSec: 8_000, MaxConcurrency: 24,
		}})
	}
	for i := range 2_000 {
		node := state.Fleet().Node(list[i%targets].Name)
		program := fmt.Sprintf("p%d", i)
		state.Fleet().CacheEstimate().RecordStored(now, node, program, blockChain(program, 200))
	}
	return state, now
}

// BenchmarkDecision measures queueing and cancelling one call with a prompt of 12,800
// tokens. The objective is 20 µs for a decision.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{12, 500, 5_600} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			state, now := newLoadedState(targets)
			programs := make([]string, 2_000)
			chains := make([][]uint64, len(programs))
			for i := range programs {
				programs[i] = fmt.Sprintf("p%d", i)
				chains[i] = blockChain(programs[i], 200)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k := i % len(programs)
				ticket := scheduler.Ticket(i + 1)
				commands := state.Update(now, scheduler.CallQueued{Ticket: ticket, Call: scheduler.CallInfo{
					Program: programs[k], Client: "c", Service: "m", Blocks: chains[k], PromptTokens: 12_800,
					MaxTokens: 512, Repeatable: true,
				}})
				send, ok := commands[0].(scheduler.SendCall)
				if !ok {
					b.Fatalf("got %T, want SendCall", commands[0])
				}
				state.Update(now, scheduler.CallCancelled{Ticket: send.Ticket})
			}
		})
	}
}

// Guards against a decision whose time grows with the number of targets: it may look
// at a bounded number of them only.
func TestDecisionTimeIsBounded(t *testing.T) {
	if testing.Short() {
		t.Skip("measures time")
	}
	state, now := newLoadedState(5_600)
	chain := blockChain("p7", 200)
	begin := time.Now()
	const calls = 2_000
	for i := range calls {
		ticket := scheduler.Ticket(i + 1)
		state.Update(now, scheduler.CallQueued{Ticket: ticket, Call: scheduler.CallInfo{
			Program: "p7", Client: "c", Service: "m", Blocks: chain, PromptTokens: 12_800, MaxTokens: 512, Repeatable: true,
		}})
		state.Update(now, scheduler.CallCancelled{Ticket: ticket})
	}
	// The limit is ten times the objective of 20 µs, because other processes share the
	// machine.
	if mean := time.Since(begin) / calls; mean > 200*time.Microsecond {
		t.Fatalf("a decision at 5,600 targets took %v, want at most 200µs", mean)
	}
}

// Guards against a program that loses its cache because its next turn goes to another
// target although its own has free slots.
func TestProgramStaysWithItsCache(t *testing.T) {
	for _, targets := range []int{12, 500} {
		state, now := newLoadedState(targets)
		chain := blockChain("mine", 400)
		previous := ""
		for turn := range 20 {
			now = now.Add(time.Second)
			ticket := scheduler.Ticket(turn + 1)
			length := 100 + 10*turn
			commands := state.Update(now, scheduler.CallQueued{Ticket: ticket, Call: scheduler.CallInfo{
				Program: "mine", Client: "c", Service: "m", Blocks: chain[:length], PromptTokens: 64 * length,
				MaxTokens: 256, Repeatable: true, NewProgram: turn == 0,
			}})
			target := commands[0].(scheduler.SendCall).Target
			if turn > 0 && target != previous {
				t.Fatalf("%d targets: turn %d went to %s, want %s", targets, turn, target, previous)
			}
			previous = target
			now = now.Add(time.Second)
			state.Update(now, scheduler.CallFinished{
				Ticket: ticket, Target: target, Outcome: scheduler.OutcomeDone, Latency: time.Second, Blocks: chain[:length+5],
				Usage: provider.Usage{PromptTokens: 64 * length, CachedTokens: 64 * (length - 5), CompletionTokens: 64},
			})
		}
	}
}

// Guards against calls that wait for a target whose breaker is open or that is in slow
// start while other targets are free: such a target looks idle and therefore cheapest.
// In the benchmark, one failing runner led to 28 rejected programs.
func TestIdleButFailingTargetDoesNotHoldCalls(t *testing.T) {
	state, now := newLoadedState(12)
	ticket := scheduler.Ticket(0)
	next := func() scheduler.SendCall {
		ticket++
		program := fmt.Sprintf("new%d", ticket)
		commands := state.Update(now, scheduler.CallQueued{Ticket: ticket, Call: scheduler.CallInfo{
			Program: program, Client: "c", Service: "m", Blocks: blockChain(program, 50), PromptTokens: 3_200,
			MaxTokens: 256, Repeatable: true, NewProgram: true,
		}})
		for _, c := range commands {
			if send, ok := c.(scheduler.SendCall); ok {
				return send
			}
		}
		t.Fatalf("call %d was not sent: %v", ticket, commands)
		return scheduler.SendCall{}
	}
	failures := 0
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		send := next()
		if send.Target != "t0" {
			state.Update(now, scheduler.CallFinished{Ticket: send.Ticket, Target: send.Target, Outcome: scheduler.OutcomeDone, Latency: time.Second})
			continue
		}
		failures++
		state.Update(now, scheduler.CallFinished{Ticket: send.Ticket, Target: send.Target, Outcome: scheduler.OutcomeUnknown})
	}
	if failures < 5 || failures > 20 {
		t.Errorf("the failing target got %d of 200 calls, want 5 to 20", failures)
	}
}

// Guards against calls to a stuck target that looks idle because a hedge replaced its
// call: the next calls must go to other targets. In the benchmark, such calls led to
// more programs with an unknown outcome.
func TestStuckTargetIsAvoidedAfterHedge(t *testing.T) {
	state := scheduler.New(scheduler.Options{Location: router.Location{Region: "r"}, Profile: router.DefaultProfile(), Seed: 1})
	now := start
	state.Update(now, scheduler.ServicesChanged{Services: []scheduler.Service{
		{Name: "p", Plain: true, MaxConcurrency: 8, MaxQueue: 16, RetryRatio: 0.1, CallTimeout: time.Minute},
	}})
	var targets []scheduler.Target
	for i := range 3 {
		targets = append(targets, scheduler.Target{
			Name: fmt.Sprintf("t%d", i), Service: "p", Region: "r", State: router.StateReady, Since: now.Add(-time.Hour),
		})
	}
	state.Update(now, scheduler.TargetsChanged{Targets: targets})
	call := scheduler.CallInfo{Program: "a", Client: "c", Service: "p", Kind: scheduler.KindPlain, Repeatable: true}
	stuck := state.Update(now, scheduler.CallQueued{Ticket: 1, Call: call})[0].(scheduler.SendCall).Target
	now = now.Add(5 * time.Second)
	commands := state.Update(now, scheduler.Tick{})
	if len(commands) != 1 {
		t.Fatalf("commands for a stuck call = %v, want one hedge", commands)
	}
	hedge := commands[0].(scheduler.SendCall)
	if !hedge.Hedge || hedge.Target == stuck {
		t.Fatalf("got %+v, want a hedge at another target than %s", hedge, stuck)
	}
	commands = state.Update(now, scheduler.CallFinished{Ticket: 1, Target: hedge.Target, Latency: time.Second})
	if len(commands) != 1 || commands[0] != (scheduler.CancelAttempt{Ticket: 1, Target: stuck}) {
		t.Fatalf("commands after the end of the hedge = %v, want the stuck attempt cancelled", commands)
	}
	for ticket := scheduler.Ticket(2); ticket < 12; ticket++ {
		if target := state.Update(now, scheduler.CallQueued{Ticket: ticket, Call: call})[0].(scheduler.SendCall).Target; target == stuck {
			t.Fatalf("call %d went to the stuck target", ticket)
		}
	}
}
