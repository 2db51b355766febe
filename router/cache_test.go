package router_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/router"
)

var start = time.Unix(1_700_000_000, 0)

func newFleet(targets int) *router.Fleet {
	fleet := router.NewFleet(router.Location{Domain: "a", Region: "r"}, router.DefaultProfile())
	var list []router.Target
	for i := range targets {
		list = append(list, router.Target{
			Name: fmt.Sprintf("t%d", i), Service: "m", FailureDomain: "a", Region: "r", State: router.StateReady,
			Since: start.Add(-time.Hour),
		})
	}
	fleet.SetTargets(start, list)
	return fleet
}

func blockHashes(salt uint64, length int) []uint64 {
	blocks := make([]uint64, length)
	for i := range blocks {
		salt = salt*6364136223846793005 + 1442695040888963407
		blocks[i] = salt
	}
	return blocks
}

func longestPrefixes(fleet *router.Fleet, now time.Time, program string, blocks []uint64) map[string]int {
	found := map[string]int{}
	fleet.CacheEstimate().Lookup(now, program, "", blocks, func(n *router.Node, length int) {
		found[n.Name()] = max(found[n.Name()], length)
	})
	return found
}

// Guards against an estimate that exceeds the blocks that a target stored, less those that
// its events removed, for any sequence of stores, removals and gaps.
func TestCacheEstimateNeverExceedsStoredBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(3)
		blocks := blockHashes(1, 64)
		held := map[string]int{}
		now := start
		sequence := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			name := fmt.Sprintf("t%d", rapid.IntRange(0, 2).Draw(t, "target"))
			node := fleet.Node(name)
			if rapid.Bool().Draw(t, "store") {
				length := rapid.IntRange(1, 64).Draw(t, "length")
				fleet.CacheEstimate().RecordStored(now, node, "p", blocks[:length])
				held[name] = max(held[name], length)
				continue
			}
			sequence += int64(rapid.IntRange(1, 3).Draw(t, "gap"))
			kept := rapid.IntRange(0, held[name]).Draw(t, "kept")
			fleet.CacheEstimate().ApplyEvent(now, node, provider.CacheEvent{
				Target: name, Sequence: sequence, Removed: blocks[kept:held[name]],
			})
			held[name] = kept
		}
		for name, length := range longestPrefixes(fleet, now, "p", blocks) {
			if length > held[name] {
				t.Fatalf("estimate for %s is %d blocks, it holds %d", name, length, held[name])
			}
		}
	})
}

// Guards against entries that stay valid although no response confirms them.
func TestEntriesExpire(t *testing.T) {
	fleet := newFleet(1)
	blocks := blockHashes(1, 32)
	node := fleet.Node("t0")
	fleet.CacheEstimate().RecordStored(start, node, "p", blocks)
	if got := longestPrefixes(fleet, start.Add(time.Second), "p", blocks)["t0"]; got != 32 {
		t.Fatalf("after a second the estimate is %d blocks, want 32", got)
	}
	if got := longestPrefixes(fleet, start.Add(time.Hour), "p", blocks); len(got) != 0 {
		t.Fatalf("after an hour the estimate is %v, want none", got)
	}
	before := fleet.CacheEstimate().TTL(node)
	fleet.CacheEstimate().RecordUsage(start.Add(10*time.Second), node, "p", 32*64, provider.Usage{CachedTokens: 0})
	if after := fleet.CacheEstimate().TTL(node); after >= before {
		t.Fatalf("TTL after a miss is %v, before it %v", after, before)
	}
}

// Guards against cold starts of programs that share a prefix with others, and against a match
// beyond the shared prefix.
func TestSharedPrefixIsFound(t *testing.T) {
	fleet := newFleet(2)
	first := append(blockHashes(1, 48), blockHashes(2, 50)...)
	second := append(blockHashes(1, 48), blockHashes(3, 50)...)
	fleet.CacheEstimate().RecordStored(start, fleet.Node("t1"), "p", first)
	if got := longestPrefixes(fleet, start, "q", second)["t1"]; got != 48 {
		t.Fatalf("estimate for another program is %d shared blocks, want 48", got)
	}
}

// Guards against counting a daemon's calls twice, or not at all, after a load report.
func TestLaggingReportIsCorrected(t *testing.T) {
	fleet := newFleet(1)
	node := fleet.Node("t0")
	fleet.RecordSent(start, node, 1, router.Choice{UncachedTokens: 100})
	fleet.RecordSent(start.Add(2*time.Second), node, 2, router.Choice{UncachedTokens: 200})
	// The report was taken after the first call was sent and before the second.
	fleet.ApplyReport(provider.LoadReport{Target: "t0", At: start.Add(time.Second), Running: 5, WaitingTokens: 100})
	if calls, tokens := node.Calls(), node.WaitingTokens(); calls != 6 || tokens != 300 {
		t.Fatalf("%v calls and %v tokens, want 6 and 300", calls, tokens)
	}
	fleet.RecordFinished(start.Add(3*time.Second), node, 1, time.Second, 10)
	if calls, tokens := node.Calls(), node.WaitingTokens(); calls != 5 || tokens != 200 {
		t.Fatalf("after the first call ended: %v calls and %v tokens, want 5 and 200", calls, tokens)
	}
	fleet.ApplyReport(provider.LoadReport{Target: "t0", At: start.Add(2500 * time.Millisecond), Running: 6, WaitingTokens: 300})
	if calls := node.Calls(); calls != 5 {
		t.Fatalf("%v calls after a report from before the first call's end, want 5", calls)
	}
}

// Guards against a slow target that keeps its share of new programs.
func TestSlowTargetIsAvoided(t *testing.T) {
	fleet := newFleet(3)
	now := start
	for i := range uint64(60) {
		name := fmt.Sprintf("t%d", i%3)
		now = now.Add(100 * time.Millisecond)
		fleet.RecordSent(now, fleet.Node(name), i, router.Choice{Service: "m", WaitSeconds: 0.1, SecondsPerToken: 0.02})
		took := 2 * time.Second
		if name == "t0" {
			took = 10 * time.Second
		}
		fleet.RecordFinished(now, fleet.Node(name), i, took, 100)
	}
	policy := router.NewLowestCost(fleet, router.DefaultWeights(), 1, router.Options{})
	for i := range 20 {
		program := fmt.Sprint(i)
		choice := policy.Decide(now, &router.Request{
			Service: "m", Program: program, Blocks: blockHashes(uint64(i), 20), PromptTokens: 1_280, MaxTokens: 100,
		})
		if choice.Node.Name() == "t0" {
			t.Fatalf("program %s went to the slow target", program)
		}
	}
}

// Guards against targets that only the first of several services can use.
func TestTargetServesSeveralServices(t *testing.T) {
	fleet := router.NewFleet(router.Location{Domain: "a", Region: "r"}, router.DefaultProfile())
	target := router.Target{Name: "t", Service: "m", Region: "r", State: router.StateReady}
	other := target
	other.Service = "n"
	fleet.SetTargets(start, []router.Target{target, other})
	fleet.SetTargets(start, []router.Target{target, other})
	policy := router.NewLowestCost(fleet, router.DefaultWeights(), 1, router.Options{})
	for _, service := range []string{"m", "n"} {
		if choice := policy.Decide(start, &router.Request{Service: service, Program: "p"}); choice.Node == nil {
			t.Errorf("no target found for service %s", service)
		}
	}
	fleet.MarkLeaving(fleet.Node("t"))
	for _, service := range []string{"m", "n"} {
		if choice := policy.Decide(start, &router.Request{Service: service, Program: "p"}); choice.Node != nil {
			t.Errorf("a leaving target was chosen for service %s", service)
		}
	}
}

// Guards against choosing a target that is no longer listed because the estimate still has
// its cache: nothing carries out such a send, and the call never ends.
func TestUnlistedTargetIsNotChosen(t *testing.T) {
	fleet := newFleet(2)
	blocks := blockHashes(1, 40)
	gone, stays := fleet.Node("t0"), fleet.Node("t1").Target()
	fleet.CacheEstimate().RecordStored(start, gone, "p", blocks)
	policy := router.NewLowestCost(fleet, router.DefaultWeights(), 1, router.Options{})
	request := &router.Request{Service: "m", Program: "p", Blocks: blocks, PromptTokens: 40 * provider.BlockTokens, MaxTokens: 100}
	if got := policy.Decide(start, request).Node.Name(); got != "t0" {
		t.Fatalf("the call goes to %s, want t0, which has its cache", got)
	}
	fleet.SetTargets(start, []router.Target{stays})
	if got := policy.Decide(start, request).Node.Name(); got != "t1" {
		t.Errorf("the call goes to %s, which is not listed", got)
	}
	// A call in flight can end at the target after the target was removed from the list.
	fleet.CacheEstimate().RecordStored(start, gone, "p", blocks)
	if got := policy.Decide(start, request).Node.Name(); got != "t1" {
		t.Errorf("the call goes to %s, which is not listed", got)
	}
}
