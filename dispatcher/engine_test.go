package dispatcher_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

// emulatedEngine computes times to first events the way an engine does.
type emulatedEngine struct {
	tokensPerMs float64
	step        time.Duration
	// wayAndBatch is the time that every call spends on the network and in the batch.
	wayAndBatch time.Duration
	random      *rand.Rand
	// delayed is the share of the calls that wait for others, by up to maxDelay.
	delayed  float64
	maxDelay time.Duration
}

func (e *emulatedEngine) firstEvent(uncachedTokens int) time.Duration {
	took := e.wayAndBatch + e.step + time.Duration(float64(uncachedTokens)/e.tokensPerMs*float64(time.Millisecond))
	if e.random.Float64() < e.delayed {
		took += time.Duration(e.random.Int64N(int64(e.maxDelay)))
	}
	return took
}

// playTurns sends the turns of sessions to the engines that the state chooses. The sessions begin at
// the given targets by turns. Each reads a prompt of 2,600 shared tokens and 500 more tokens a turn.
func playTurns(state *dispatcher.State, engine *emulatedEngine, turns int, first ...follower.Target) {
	now := start.Add(time.Minute)
	for turn := range turns {
		now = now.Add(300 * time.Millisecond)
		session, step := turn%4, turn/4%6
		number := turn/24*4 + session
		r := sessionTurn(uint64(number), 500*(step+1))
		if step == 0 && len(first) > 0 {
			r.RequiredTarget = first[number%len(first)].ID
		}
		command, ok := requestPlacement(state, now, r).(dispatcher.Send)
		if !ok {
			continue
		}
		first := engine.firstEvent(r.PromptTokens - command.CachedTokens)
		state.Update(now.Add(first), dispatcher.ResponseStarted{Ticket: command.Ticket})
		state.Update(now.Add(first+10*engine.step), dispatcher.AttemptEnded{Ticket: command.Ticket, Result: dispatcher.Completed})
	}
}

// targets returns targets in one failure domain.
func targets(count int) []follower.Target {
	list := make([]follower.Target, count)
	for i := range list {
		list[i] = target(fmt.Sprintf("t%02d", i), "ams")
	}
	return list
}

func sessionTurn(session uint64, tokens int) dispatcher.Request {
	const shared = 2600
	return dispatcher.Request{
		Service: "s", Engine: engine, PromptTokens: shared + tokens, Remaining: 5 * time.Second,
		Prompt: []forwarder.PromptSegment{{ID: 1, Tokens: shared}, {ID: 100 + session, Tokens: tokens}},
	}
}

// TestPrefillRateIsLearned plays turns on engines of different speeds. A fixed rate made
// deployments with slow engines move programs away from their cached prompts. The estimate must
// be within 20% after 24 turns.
func TestPrefillRateIsLearned(t *testing.T) {
	for _, rate := range []float64{20, 41.4, 200, 250, 600} {
		for _, step := range []time.Duration{800 * time.Microsecond, 4 * time.Millisecond, 8 * time.Millisecond} {
			t.Run(fmt.Sprintf("%v tokens a ms, step %v", rate, step), func(t *testing.T) {
				state := newState(target("a", "ams"), target("b", "ams"), target("c", "ams"))
				engine := &emulatedEngine{
					tokensPerMs: rate, step: step, wayAndBatch: 8 * time.Millisecond, random: rand.New(rand.NewPCG(1, 1)),
				}
				playTurns(state, engine, 24)
				if got := state.PrefillRate("s"); math.Abs(got/rate-1) > 0.2 {
					t.Errorf("estimated %.1f tokens a ms, want %.1f within 20%%", got, rate)
				}
			})
		}
	}
}

// TestPrefillRateToleratesDelays plays turns of which a quarter waits until the engine has
// prefilled up to 10,000 tokens of other calls. The estimate must be within 20% after 96 turns in
// nine of ten plays: the few calls that have to prefill the shared prompt may all be delayed.
func TestPrefillRateToleratesDelays(t *testing.T) {
	const plays, wantGood = 10, 9
	for _, rate := range []float64{20, 41.4, 200, 250, 600} {
		t.Run(fmt.Sprintf("%v tokens a ms", rate), func(t *testing.T) {
			var estimates []float64
			good := 0
			for seed := range uint64(plays) {
				state := newState(targets(9)...)
				engine := &emulatedEngine{
					tokensPerMs: rate, step: 4 * time.Millisecond, wayAndBatch: 8 * time.Millisecond, random: rand.New(rand.NewPCG(seed, seed)),
					delayed: 0.25, maxDelay: time.Duration(10_000 / rate * float64(time.Millisecond)),
				}
				playTurns(state, engine, 96, targets(9)...)
				got := state.PrefillRate("s")
				estimates = append(estimates, got)
				if math.Abs(got/rate-1) <= 0.2 {
					good++
				}
			}
			if good < wantGood {
				t.Errorf("estimated %.1f tokens a ms in %d plays, want %.1f within 20%% in %d of them", estimates, plays, rate, wantGood)
			}
		})
	}
}

// TestHistoryIsReadAgainOnlyIfWaitingIsLonger sends a turn of a session whose history is cached
// at a target with a backlog of prompts. On a slow engine prefilling the history elsewhere takes
// longer than the backlog, on a fast one it does not.
func TestHistoryIsReadAgainOnlyIfWaitingIsLonger(t *testing.T) {
	tests := []struct {
		name   string
		rate   float64
		wantAt string
	}{
		{"slow engines", 20, "a"},
		{"fast engines", 600, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := newState(target("a", "ams"), target("b", "ehv"))
			engine := &emulatedEngine{
				tokensPerMs: test.rate, step: time.Millisecond, wayAndBatch: 4 * time.Millisecond, random: rand.New(rand.NewPCG(3, 3)),
			}
			playTurns(state, engine, 48)
			now := start.Add(5 * time.Minute)
			history := sessionTurn(999, 4000)
			history.RequiredTarget = "a"
			_, ticket := place(state, now, history)
			state.Update(now.Add(100*time.Millisecond), dispatcher.ResponseStarted{Ticket: ticket})
			state.Update(now.Add(200*time.Millisecond), dispatcher.AttemptEnded{Ticket: ticket, Result: dispatcher.Completed})
			now = now.Add(10 * time.Second)
			// Twelve calls use up the slots of the target and wait for them.
			for i := range 12 {
				other := sessionTurn(uint64(2000+i), 100)
				other.RequiredTarget = "a"
				place(state, now, other)
			}
			next := sessionTurn(999, 4200)
			if got, _ := place(state, now, next); got != test.wantAt {
				t.Errorf("turn went to %s, want %s", got, test.wantAt)
			}
		})
	}
}

// TestSessionsFindTheirCacheAfterRestart lets all daemons start anew while many sessions are under way.
// The new daemon must send most sessions to the targets that have read their history, although it knows
// of none: with a preferred target for each shared prompt, histories were read again elsewhere.
func TestSessionsFindTheirCacheAfterRestart(t *testing.T) {
	const sessions, wantSame = 45, 30
	place := func(tokens int) []string {
		state := newState(targets(9)...)
		now := start.Add(time.Minute)
		// The shared prompt is cached at all targets.
		for i, t := range targets(9) {
			warm := sessionTurn(uint64(5000+i), 10)
			warm.RequiredTarget = t.ID
			command, _ := requestPlacement(state, now, warm).(dispatcher.Send)
			state.Update(now, dispatcher.AttemptEnded{Ticket: command.Ticket, Result: dispatcher.Cancelled})
		}
		chosen := make([]string, sessions)
		for i := range chosen {
			now = now.Add(20 * time.Millisecond)
			command, ok := requestPlacement(state, now, sessionTurn(uint64(i), tokens)).(dispatcher.Send)
			if !ok {
				t.Fatalf("session %d was rejected", i)
			}
			chosen[i] = command.Target.ID
			first := now.Add(15 * time.Millisecond)
			state.Update(first, dispatcher.ResponseStarted{Ticket: command.Ticket})
			state.Update(first, dispatcher.AttemptEnded{Ticket: command.Ticket, Result: dispatcher.Completed})
		}
		return chosen
	}
	before, after := place(500), place(1000)
	same := 0
	used := map[string]bool{}
	for i := range before {
		used[before[i]] = true
		if before[i] == after[i] {
			same++
		}
	}
	if same < wantSame || len(used) < 3 {
		t.Errorf("%d of %d sessions went to the same of %d targets after the restart, want %d of at least 3", same, sessions, len(used), wantSame)
	}
}

// TestPrefillGoesWhereItDelaysFewCalls sends long prompts that no target has cached. They must go to a
// target without calls, although it is farther, as long as the prefill would delay the calls that run at
// the near one by more than the distance costs; a short prompt stays near.
func TestPrefillGoesWhereItDelaysFewCalls(t *testing.T) {
	tests := []struct {
		name   string
		tokens int
		want   string
	}{
		{"long prompt", 4000, "b"},
		{"short prompt", 10, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := newState(target("a", "ams"), target("b", "ehv"))
			now := start.Add(time.Minute)
			for i := range 5 {
				running := sessionTurn(uint64(i), 100)
				running.RequiredTarget = "a"
				_, ticket := place(state, now, running)
				state.Update(now.Add(20*time.Millisecond), dispatcher.ResponseStarted{Ticket: ticket})
			}
			request := dispatcher.Request{
				Service: "s", Engine: engine, PromptTokens: test.tokens, Remaining: 5 * time.Second,
				Prompt: []forwarder.PromptSegment{{ID: 77, Tokens: test.tokens}},
			}
			if got, _ := place(state, now.Add(10*time.Second), request); got != test.want {
				t.Errorf("the call went to %s, want %s", got, test.want)
			}
		})
	}
}

// TestPromptCachedByOtherDaemons sends turns to targets that have the shared prompt cached through
// other daemons' calls. Once that is seen, a turn must not be drawn to the one target to which this
// daemon has sent the prompt, except that a target which has just started is empty.
func TestPromptCachedByOtherDaemons(t *testing.T) {
	used := targets(40)
	state := newState(used...)
	engine := &emulatedEngine{tokensPerMs: 40, step: time.Millisecond, wayAndBatch: 8 * time.Millisecond, random: rand.New(rand.NewPCG(4, 4))}
	now := start.Add(time.Minute)
	turn := func(session uint64, required string) dispatcher.Send {
		r := sessionTurn(session, 500)
		r.RequiredTarget = required
		command, _ := requestPlacement(state, now, r).(dispatcher.Send)
		return command
	}
	for i := range 30 {
		c := turn(uint64(i), used[i].ID)
		first := engine.firstEvent(500)
		if i < 4 {
			first = engine.firstEvent(3100)
		}
		state.Update(now.Add(first), dispatcher.ResponseStarted{Ticket: c.Ticket})
		state.Update(now.Add(first+50*time.Millisecond), dispatcher.AttemptEnded{Ticket: c.Ticket, Result: dispatcher.Completed})
		now = now.Add(2 * time.Second)
	}
	unused := turn(500, "t35").ExpectedFirstEvent
	if limit := engine.firstEvent(500 + 1300); unused > limit {
		t.Errorf("expected %v to the first event at a target that others use, want at most %v", unused, limit)
	}
	setTargets(state, append(used, target("new", "ams"))...)
	now = start.Add(time.Second)
	if fresh, limit := turn(501, "new").ExpectedFirstEvent, engine.firstEvent(500+1300); fresh < limit {
		t.Errorf("expected %v to the first event at a target that has just started, want at least %v", fresh, limit)
	}
}
