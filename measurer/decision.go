package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/router"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

// DecisionSample is the cost of one scheduling decision.
type DecisionSample struct {
	Targets int `json:"targets"`
	// MicrosPerCall is the time to admit a call and choose its target, MicrosToFinish
	// the time to process its end.
	MicrosPerCall  float64 `json:"microsPerCall"`
	MicrosToFinish float64 `json:"microsToFinish"`
	Rejected       int     `json:"refused"`
}

// MaxDecisionMicros is the longest allowed time of one routing decision.
const MaxDecisionMicros = 20.0

// MeasureDecisions measures the scheduler over the given number of calls, for each
// number of targets.
func MeasureDecisions(targets []int, calls int) []DecisionSample {
	var out []DecisionSample
	for _, n := range targets {
		out = append(out, decisionSample(n, calls))
	}
	return out
}

func decisionSample(targets, calls int) DecisionSample {
	now := time.Unix(1_700_000_000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	state := scheduler.New(scheduler.Options{
		Location: router.Location{Domain: "domain-0", Region: "region-0"}, Profile: router.DefaultProfile(), Seed: 1,
	})
	var list []scheduler.Target
	for i := range targets {
		list = append(list, scheduler.Target{
			Name: fmt.Sprintf("runner-%04d", i), Service: "drafter", FailureDomain: fmt.Sprintf("domain-%d", i%5),
			Region: fmt.Sprintf("region-%d", i%5/2), State: router.StateReady, Since: now.Add(-time.Hour),
		})
	}
	state.Update(now, scheduler.ServicesChanged{Services: []scheduler.Service{{
		Name: "drafter", MaxConcurrency: 24, MaxQueue: 1_000, CallTimeout: 2 * time.Minute, RetryRatio: 0.1, Weights: router.DefaultWeights(),
	}}})
	state.Update(now, scheduler.TargetsChanged{Targets: list})
	sample := DecisionSample{Targets: targets}
	var choose, finish time.Duration
	for i := range calls {
		now = now.Add(time.Duration(random.IntN(int(20 * time.Millisecond))))
		program := random.IntN(600)
		blocks := make([]uint64, 40)
		for b := range blocks {
			blocks[b] = uint64(program)<<20 + uint64(b)
		}
		ticket := scheduler.Ticket(i + 1)
		started := time.Now()
		commands := state.Update(now, scheduler.CallQueued{Ticket: ticket, Call: scheduler.CallInfo{
			Program: fmt.Sprint("program-", program), Client: "client", Service: "drafter", Model: "quill", Blocks: blocks,
			PromptTokens: len(blocks) * provider.BlockTokens, MaxTokens: 300, Repeatable: true, Deadline: now.Add(time.Minute),
		}})
		choose += time.Since(started)
		target := ""
		for _, command := range commands {
			if c, ok := command.(scheduler.SendCall); ok {
				target = c.Target
			}
		}
		if target == "" {
			sample.Rejected++
			continue
		}
		state.Update(now, scheduler.CallStarted{Ticket: ticket, Target: target})
		now = now.Add(time.Millisecond)
		state.Update(now, scheduler.FirstToken{Ticket: ticket, Target: target})
		started = time.Now()
		state.Update(now, scheduler.CallFinished{Ticket: ticket, Target: target, Outcome: scheduler.OutcomeDone,
			Usage: provider.Usage{PromptTokens: 2_560, CachedTokens: 2_000, CompletionTokens: 150}, Latency: time.Second})
		finish += time.Since(started)
	}
	n := float64(calls)
	sample.MicrosPerCall = float64(choose.Nanoseconds()) / 1e3 / n
	sample.MicrosToFinish = float64(finish.Nanoseconds()) / 1e3 / n
	return sample
}
