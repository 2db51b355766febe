package surveyor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

const (
	replays      = 2
	replayLength = 14 * time.Second
)

// playReplays returns the mean result of several replays. x is nil if there are no reports.
func playReplays(x *exchange, callersMoved bool) *replayResult {
	total := &replayResult{}
	for seed := range uint64(replays) {
		r := newReplay(seed + 1)
		r.callersMoved = callersMoved
		if x != nil {
			r.startReports(*x)
		}
		total.add(r.run(replayLength), replays)
	}
	return total
}

// TestReportsEvenOutLoad replays the worst seconds of a day. It guards against engines that queue calls while
// another one of the failure domain has free slots, and against reports that make this worse because they are
// late, lost, or spread over several collectors.
func TestReportsEvenOutLoad(t *testing.T) {
	t.Parallel()
	without := playReplays(nil, false)
	t.Log("no reports:", without)
	tests := []struct {
		name     string
		exchange exchange
		// wantShare is the highest share of the time without reports.
		wantShare float64
	}{
		{"in time", exchange{}, 0.5},
		{"100 ms late", exchange{delay: 100 * time.Millisecond}, 1},
		{"250 ms late", exchange{delay: 250 * time.Millisecond}, 1},
		{"500 ms late", exchange{delay: 500 * time.Millisecond}, 1},
		{"a third lost", exchange{lost: 1.0 / 3}, 1},
		{"collector that ends", exchange{collectorEnds: 2 * time.Second}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			got := playReplays(&test.exchange, false)
			t.Log(got)
			if share := got.uneven / without.uneven; share >= test.wantShare {
				t.Errorf("an engine waits beside free ones for %.2f of the time without reports, want less than %.2f", share, test.wantShare)
			}
		})
	}
}

// TestMovedCallersUseOtherDomains sends the callers of two failure domains to one. It guards against daemons
// that know the load of their own domain only and therefore keep all calls there, or send too many elsewhere.
func TestMovedCallersUseOtherDomains(t *testing.T) {
	t.Parallel()
	without, with := playReplays(nil, true), playReplays(&exchange{}, true)
	t.Log("no reports:", without)
	t.Log("reports:", with)
	for _, share := range []float64{0.5, 0.9, 0.99} {
		if before, after := quantileOf(without.programTimes, share), quantileOf(with.programTimes, share); after > before {
			t.Errorf("%.2f of the programs end within %v, without reports %v", share, after, before)
		}
	}
}

// TestNoHerdAfterReport gives the daemons of a failure domain the same report at the same time. The turns that
// arrive until the next one must not make the idlest engine the busiest: if all daemons chose it, the load
// would swing from one engine to the other.
func TestNoHerdAfterReport(t *testing.T) {
	const (
		daemons, engines = 12, 7
		idle, busy       = 6, 12
		// turns arrive between two reports.
		turns = 16
		seeds = 50
	)
	for seed := range uint64(seeds) {
		listed, reported := map[string]follower.Target{}, map[string]int{}
		for i := range engines {
			id := fmt.Sprintf("engine-%02d", i)
			listed[id] = follower.Target{ID: id, Service: "s", Domain: "d", Slots: replaySlots}
			reported[id] = busy
		}
		idlest := fmt.Sprintf("engine-%02d", seed%engines)
		reported[idlest] = idle
		calls := map[string]int{}
		for i := range daemons {
			state := dispatcher.New(dispatcher.DefaultOptions(), dispatcher.Location{Domain: "d", Region: "r"}, seed<<8+uint64(i))
			state.Update(replayStart, dispatcher.TargetsChanged{Targets: listed, Regions: map[string]string{"d": "r"}})
			now := replayStart.Add(time.Minute)
			state.Update(now, dispatcher.LoadReported{InFlight: reported, At: now})
			for turn := i; turn < turns; turn += daemons {
				request := dispatcher.Request{
					Service: "s", Engine: &follower.Engine{Slots: replaySlots}, PromptTokens: sharedTokens + tokensOfTurn, Remaining: time.Minute,
					Prompt: []forwarder.PromptSegment{{ID: 1, Tokens: sharedTokens}, {ID: seed<<8 + uint64(100+turn), Tokens: tokensOfTurn}},
				}
				send, ok := state.Update(now, dispatcher.PlacementRequested{Request: request})[0].(dispatcher.Send)
				if !ok {
					t.Fatal("turn rejected")
				}
				calls[send.Target.ID]++
			}
		}
		busiest := 0
		for id := range listed {
			if id != idlest {
				busiest = max(busiest, reported[id]+calls[id])
			}
		}
		if got := idle + calls[idlest]; got > busiest {
			t.Errorf("seed %d: the idlest engine has %d calls after the report, the others at most %d", seed, got, busiest)
		}
	}
}
