package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/router"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

var start = time.Unix(1_700_000_000, 0)

// fakeTargets runs a scheduler against fake targets. It executes the commands and checks
// invariants that hold for every sequence of events.
type fakeTargets struct {
	t           *rapid.T
	state       *scheduler.State
	now         time.Time
	targets     []scheduler.Target
	limit       int
	lastTicket  scheduler.Ticket
	calls       map[scheduler.Ticket]scheduler.CallInfo
	running     map[scheduler.Ticket][]string
	openTickets []scheduler.Ticket
	retries     []scheduler.RetryCall
	sends       map[scheduler.Ticket]int
	// mayHaveRun holds the calls of which an attempt may have run.
	mayHaveRun    map[scheduler.Ticket]bool
	unavailable   map[string]bool
	callCount     int
	extraAttempts int
	commands      []string
	rejections    int
	completed     int
}

func newFakeTargets(t *rapid.T, seed uint64, targets int, builder scheduler.PolicyBuilder) *fakeTargets {
	f := &fakeTargets{
		t: t, now: start, limit: 3, calls: map[scheduler.Ticket]scheduler.CallInfo{},
		running: map[scheduler.Ticket][]string{}, sends: map[scheduler.Ticket]int{},
		mayHaveRun: map[scheduler.Ticket]bool{}, unavailable: map[string]bool{},
	}
	f.state = scheduler.New(scheduler.Options{
		Location: router.Location{Domain: "a", Region: "r"}, Profile: router.DefaultProfile(), Seed: seed, Policy: builder,
	})
	f.update(scheduler.ServicesChanged{Services: []scheduler.Service{
		{Name: "m", MaxConcurrency: f.limit, MaxQueue: 16, RetryRatio: 0.1, CallTimeout: time.Minute},
		{Name: "p", Plain: true, MaxConcurrency: f.limit, MaxQueue: 16, RetryRatio: 0.1, CallTimeout: time.Minute},
	}})
	for i := range targets {
		service := []string{"m", "p"}[i%2]
		f.targets = append(f.targets, scheduler.Target{
			Name: fmt.Sprintf("t%d", i), Service: service, FailureDomain: "a", Region: "r",
			State: router.StateReady, Since: start.Add(-time.Hour),
		})
	}
	f.update(scheduler.TargetsChanged{Targets: f.targets})
	return f
}

func (f *fakeTargets) update(m scheduler.Message) {
	for _, c := range f.state.Update(f.now, m) {
		f.commands = append(f.commands, fmt.Sprintf("%T%+v", c, c))
		f.apply(c)
	}
	f.check()
}

func (f *fakeTargets) apply(c scheduler.Command) {
	switch c := c.(type) {
	case scheduler.SendCall:
		if f.unavailable[c.Target] {
			f.t.Fatalf("target %s got a call although it is leaving or unreachable", c.Target)
		}
		f.sends[c.Ticket]++
		if f.sends[c.Ticket] > 1 {
			f.extraAttempts++
			if !f.calls[c.Ticket].Repeatable {
				f.t.Fatalf("non-repeatable call %d was sent %d times", c.Ticket, f.sends[c.Ticket])
			}
		}
		f.running[c.Ticket] = append(f.running[c.Ticket], c.Target)
		f.openTickets = append(f.openTickets, c.Ticket)
	case scheduler.RejectCall:
		if c.Outcome == scheduler.OutcomeNotRun && f.mayHaveRun[c.Ticket] {
			f.t.Fatalf("call %d was rejected as not run after an attempt that may have run", c.Ticket)
		}
		if len(f.running[c.Ticket]) > 0 {
			f.t.Fatalf("call %d was rejected while it runs at %v", c.Ticket, f.running[c.Ticket])
		}
		f.rejections++
	case scheduler.RetryCall:
		f.retries = append(f.retries, c)
	case scheduler.CancelAttempt:
		f.removeAttempt(c.Ticket, c.Target)
		f.mayHaveRun[c.Ticket] = true
	}
}

func (f *fakeTargets) removeAttempt(ticket scheduler.Ticket, target string) {
	var kept []string
	for _, t := range f.running[ticket] {
		if t != target {
			kept = append(kept, t)
		}
	}
	f.running[ticket] = kept
}

func (f *fakeTargets) check() {
	load := map[string]int{}
	for _, targets := range f.running {
		for _, t := range targets {
			load[t]++
		}
	}
	for _, t := range f.targets {
		if load[t.Name] > f.limit {
			f.t.Fatalf("target %s has %d calls, limit %d", t.Name, load[t.Name], f.limit)
		}
	}
	// Allowed are 10 % retries and 2 % hedges, with bursts of 10 and 5 for each of the
	// two services.
	if allowed := 0.12*float64(f.callCount) + 30; float64(f.extraAttempts) > allowed {
		f.t.Fatalf("%d extra attempts for %d calls, allowed %.0f", f.extraAttempts, f.callCount, allowed)
	}
}

func (f *fakeTargets) queue(info scheduler.CallInfo) {
	f.lastTicket++
	f.callCount++
	f.calls[f.lastTicket] = info
	f.update(scheduler.CallQueued{Ticket: f.lastTicket, Call: info})
}

// runningAttempt returns a running attempt selected by n, and false if none runs.
func (f *fakeTargets) runningAttempt(n int) (scheduler.Ticket, string, bool) {
	var live []scheduler.Ticket
	for _, ticket := range f.openTickets {
		if len(f.running[ticket]) > 0 {
			live = append(live, ticket)
		}
	}
	f.openTickets = live
	if len(live) == 0 {
		return 0, "", false
	}
	ticket := live[n%len(live)]
	return ticket, f.running[ticket][0], true
}

func (f *fakeTargets) finish(n int, outcome scheduler.Outcome, busy bool) {
	ticket, target, ok := f.runningAttempt(n)
	if !ok {
		return
	}
	f.removeAttempt(ticket, target)
	if outcome != scheduler.OutcomeNotRun {
		f.mayHaveRun[ticket] = true
	}
	if outcome == scheduler.OutcomeDone {
		f.completed++
	}
	f.update(scheduler.CallFinished{
		Ticket: ticket, Target: target, Outcome: outcome, Busy: busy, Latency: 300 * time.Millisecond,
		Usage: provider.Usage{PromptTokens: f.calls[ticket].PromptTokens, CompletionTokens: 20},
	})
}

func (f *fakeTargets) requeue() {
	for _, r := range f.retries {
		info := f.calls[r.Ticket]
		info.Exclude, info.Attempt, info.MayHaveRun = r.Exclude, r.Attempt, r.MayHaveRun
		f.update(scheduler.CallQueued{Ticket: r.Ticket, Call: info})
	}
	f.retries = f.retries[:0]
}

func (f *fakeTargets) step(kind, n int) {
	f.now = f.now.Add(time.Duration(n%400) * time.Millisecond)
	switch kind {
	case 0, 1, 2, 3:
		program := fmt.Sprintf("p%d", n%7)
		info := scheduler.CallInfo{
			Program: program, Client: fmt.Sprintf("c%d", n%3), Service: "m", PromptTokens: 64 * (1 + n%40),
			MaxTokens: 200, Repeatable: true, Blocks: blockChain(program, 1+n%40), NewProgram: n%5 == 0,
		}
		if kind == 3 {
			info.Service, info.Kind, info.Repeatable = "p", scheduler.KindPlain, n%2 == 0
		}
		if n%11 == 0 {
			info.Deadline = f.now.Add(time.Duration(n) * time.Millisecond)
		}
		f.queue(info)
	case 4, 5:
		f.finish(n, scheduler.OutcomeDone, false)
	case 6:
		f.finish(n, scheduler.OutcomeNotRun, n%2 == 0)
	case 7:
		f.finish(n, scheduler.OutcomeUnknown, false)
	case 8:
		f.update(scheduler.Tick{})
		f.requeue()
	case 9:
		if ticket, target, ok := f.runningAttempt(n); ok {
			f.update(scheduler.FirstToken{Ticket: ticket, Target: target})
		}
	case 10:
		f.changeTarget(n)
	case 11:
		f.update(scheduler.ProgramPaused{Program: fmt.Sprintf("p%d", n%7), Tool: "tool"})
		f.update(scheduler.ProgramEnded{Program: fmt.Sprintf("p%d", (n+3)%7)})
	case 12:
		f.update(scheduler.CallCancelled{Ticket: scheduler.Ticket(n) % (f.lastTicket + 1)})
	}
}

func (f *fakeTargets) changeTarget(n int) {
	t := &f.targets[n%len(f.targets)]
	if t.State == router.StateReady {
		t.State = []router.State{router.StateLeaving, router.StateUnreachable}[n%2]
	} else {
		t.State = router.StateReady
	}
	t.Since = f.now
	f.unavailable[t.Name] = t.State != router.StateReady
	f.update(scheduler.TargetsChanged{Targets: f.targets})
}

func blockChain(program string, blocks int) []uint64 {
	chain := make([]uint64, blocks)
	hash := uint64(len(program)) * 1_000_003
	for i := range chain {
		hash = hash*31 + uint64(program[len(program)-1]) + 7
		chain[i] = hash
	}
	return chain
}

// Guards against more than one attempt of a non-repeatable call, rejections as not run
// of calls that may have run, calls above a target's limit, retries above the budget,
// calls to targets that are leaving or unreachable, and calls that never end.
func TestInvariantsUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakeTargets(t, rapid.Uint64().Draw(t, "seed"), 6, nil)
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			f.step(rapid.IntRange(0, 12).Draw(t, "kind"), rapid.IntRange(0, 10_000).Draw(t, "n"))
		}
		for i := range f.targets {
			f.targets[i].State, f.targets[i].Since = router.StateReady, f.now
			f.unavailable[f.targets[i].Name] = false
		}
		f.update(scheduler.TargetsChanged{Targets: f.targets})
		for range 600 {
			f.now = f.now.Add(time.Second)
			f.update(scheduler.Tick{})
			f.requeue()
			f.finish(0, scheduler.OutcomeDone, false)
		}
		if f.state.Calls() != 0 {
			t.Fatalf("%d calls have not ended after all targets recovered", f.state.Calls())
		}
	})
}

// Guards against decisions that depend on the iteration order of maps or on randomness
// other than the seed.
func TestEqualInputGivesEqualDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.SliceOfN(rapid.IntRange(0, 130_000), 50, 200).Draw(t, "steps")
		run := func() []string {
			f := newFakeTargets(t, seed, 40, nil)
			for _, n := range steps {
				f.step(n%13, n/13)
			}
			return f.commands
		}
		if diff := cmp.Diff(run(), run()); diff != "" {
			t.Fatalf("second run differs (-first +second):\n%s", diff)
		}
	})
}
