package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// smallPool is the number of targets up to which all are candidates.
const smallPool = 16

// randomCandidates are drawn beside those with a known prefix: power of two
// choices inside the region, and two anywhere.
const randomCandidates = 2

// candidate is a target with the tokens of the prompt that it is believed to hold.
type candidate struct {
	node   *Node
	cached int
}

// LowestCost chooses the target with the lowest cost in seconds.
type LowestCost struct {
	fleet    *Fleet
	weights  map[string]Weights
	fallback Weights
	random   *rand.Rand
	buffer   []candidate
	// Options switch parts of the cost off, for comparison.
	options Options
}

// Options switch parts of the cost policy off so that their value can be measured.
type Options struct {
	NoCache        bool
	NoSlowness     bool
	NoLink         bool
	NoCorrection   bool
	NoImport       bool
	NoInterference bool
}

// NewLowestCost returns the policy. The seed decides the random candidates.
func NewLowestCost(fleet *Fleet, weights Weights, seed uint64, options Options) *LowestCost {
	return &LowestCost{
		fleet: fleet, fallback: weights, weights: map[string]Weights{}, options: options,
		random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), buffer: make([]candidate, 0, 64),
	}
}

// SetWeights sets the weights of one service.
func (c *LowestCost) SetWeights(service string, weights Weights) { c.weights[service] = weights }

// Decide returns the cheapest candidate. When it has no free slot and waiting for
// it is cheaper than the best free one, Choice.Full is set.
func (c *LowestCost) Decide(now time.Time, r *Request) Choice {
	best := Choice{Cost: math.Inf(1)}
	full := Choice{Cost: math.Inf(1)}
	for _, k := range c.candidates(now, r) {
		if !usable(k.node, r) {
			continue
		}
		choice := c.price(k.node, k.cached, r)
		if r.HasSlot != nil && !r.HasSlot(k.node) {
			// Only a program whose cache is there gains by waiting for a slot.
			if choice.Cost < full.Cost && (r.Plain || 2*choice.CachedTokens >= r.PromptTokens) {
				full = choice
			}
			continue
		}
		if choice.Cost < best.Cost {
			best = choice
		}
	}
	if full.Node != nil && full.Cost < best.Cost {
		full.Full = true
		return full
	}
	return best
}

func usable(n *Node, r *Request) bool {
	if !n.target.State.Accepts() || !n.Serves(r.Model, r.Adapter) || (r.Blocked != nil && r.Blocked(n)) {
		return false
	}
	return len(r.Exclude) == 0 || !slices.Contains(r.Exclude, n.target.Name)
}

// candidates returns a bounded set: the targets with a known prefix and a few
// random ones, or all targets of a small pool. The slice is reused.
func (c *LowestCost) candidates(now time.Time, r *Request) []candidate {
	list := c.buffer[:0]
	p := c.fleet.pools[r.Service]
	if p == nil {
		return nil
	}
	note := func(n *Node, length int) {
		for i := range list {
			if list[i].node == n {
				list[i].cached = max(list[i].cached, length)
				return
			}
		}
		if n.services[r.Service] {
			list = append(list, candidate{node: n, cached: length})
		}
	}
	if !c.options.NoCache {
		c.fleet.cache.Lookup(now, r.Program, r.Root, r.Blocks, note)
	}
	if len(p.accepting) <= smallPool {
		for _, n := range p.accepting {
			note(n, 0)
		}
	} else {
		c.draw(p.local, note)
		c.draw(p.accepting, note)
	}
	// A pool whose drawn targets all lack the model or a slot is searched whole
	// once, which is rare and bounded by the daemon's subset of 64 targets.
	if len(p.accepting) > smallPool && !anyFree(list, r) {
		for i, first := 0, c.random.IntN(len(p.accepting)); i < min(len(p.accepting), subset); i++ {
			note(p.accepting[(first+i)%len(p.accepting)], 0)
		}
	}
	c.buffer = list[:0]
	return list
}

// subset bounds a search for a target with a free slot.
const subset = 64

func anyFree(list []candidate, r *Request) bool {
	for i := range list {
		if usable(list[i].node, r) && (r.HasSlot == nil || r.HasSlot(list[i].node)) {
			return true
		}
	}
	return false
}

func (c *LowestCost) draw(nodes []*Node, note func(*Node, int)) {
	if len(nodes) == 0 {
		return
	}
	for range randomCandidates {
		note(nodes[c.random.IntN(len(nodes))], 0)
	}
}

// recomputeFactor is what a second of avoidable prefill costs at weight 1: besides
// its own time it delays the batch and pushes out blocks that are needed again.
// Factors from 1 to 64 were compared in the bench (docs/measurements.md).
const recomputeFactor = 16

// linkFactor is what a megabyte on the link between regions costs at weight 1, in
// seconds. Factors from 1 to 30 were compared in the bench.
const linkFactor = 10

// placementCalls is the number of calls that follow a program to a target that it
// is sent to without its cache: it will stay there and send its history each time.
const placementCalls = 8

// slowLimit is the ratio to the service's mean above which a target counts as
// slow; below it the difference is noise of the prediction.
const slowLimit = 1.7

// price estimates the seconds of the call at a target, adds the delay that it
// causes for others, and what wasted prefill and bytes on the link are worth.
func (c *LowestCost) price(n *Node, cachedBlocks int, r *Request) Choice {
	if r.Plain {
		return c.pricePlain(n, r)
	}
	f, profile, p := c.fleet, &c.fleet.profile, c.fleet.pools[r.Service]
	choice := Choice{Node: n, Service: r.Service}
	choice.CachedTokens = min(cachedBlocks*provider.BlockTokens, r.PromptTokens)
	choice.UncachedTokens = r.PromptTokens - choice.CachedTokens
	calls, waiting := n.Calls(), n.WaitingTokens()
	if c.options.NoCorrection {
		calls, waiting = float64(n.report.Running+n.report.Waiting), float64(n.report.WaitingTokens)
	}
	batch := float64(n.MaxBatch())
	running := math.Min(calls, batch-1)
	answer := math.Min(p.answer, float64(max(1, r.MaxTokens)))
	choice.SecondsPerToken = profile.DecodeBaseSeconds + profile.DecodeSecondsPerSequence*(running+1)
	// While a prompt is prefilled, each chunk shares its iteration with the batch.
	rate := n.prefillRate()
	compute := float64(choice.UncachedTokens) / rate
	shared := 1/rate + (choice.SecondsPerToken-profile.DecodeSecondsPerSequence)/profile.PrefillChunkTokens
	choice.WaitSeconds = waiting * shared
	if calls >= batch {
		choice.WaitSeconds += (calls - batch + 1) / batch * answer * choice.SecondsPerToken
	}
	choice.PrefillSeconds = float64(choice.UncachedTokens) * shared
	c.consider(n, r, &choice)
	decode := answer * choice.SecondsPerToken
	transfer, latency, megabytes := 0.0, profile.DomainLatency, 0.0
	if f.Remote(n) && !c.options.NoLink {
		bytes := f.LinkBytes(n, r)
		transfer, latency, megabytes = bytes/profile.LinkBytesPerSec, profile.RegionLatency, bytes/1e6
		if 2*choice.CachedTokens < r.PromptTokens {
			megabytes *= placementCalls
		}
	}
	network := transfer + 2*latency.Seconds()
	choice.TotalSeconds = choice.WaitSeconds + choice.PrefillSeconds + decode + network
	weights := c.weightsOf(r.Service)
	choice.Cost = (choice.WaitSeconds+choice.PrefillSeconds+decode)*c.slow(n, p) + network +
		weights.Cache*recomputeFactor*compute + weights.Link*linkFactor*megabytes
	if !c.options.NoInterference {
		// Every chunk and every token lengthens the iterations of all others.
		choice.Cost += running * (compute + answer*profile.DecodeSecondsPerSequence)
	}
	return choice
}

// slow returns the factor by which a target is slower than its service's mean.
func (c *LowestCost) slow(n *Node, p *pool) float64 {
	if ratio := n.slowness / p.slowness; ratio > slowLimit && !c.options.NoSlowness {
		return ratio
	}
	return 1
}

// consider compares recomputation of the missing prefix with the import of an
// exported KV cache and takes the import when it is faster.
func (c *LowestCost) consider(n *Node, r *Request, choice *Choice) {
	e, ok := c.fleet.exports[r.Program]
	if !ok || c.options.NoImport || e.tokens <= choice.CachedTokens {
		return
	}
	profile := &c.fleet.profile
	rate := profile.LocalBytesPerSec
	if e.region != n.target.Region {
		rate = profile.LinkBytesPerSec
	}
	missing := float64(r.PromptTokens - e.tokens)
	seconds := float64(e.tokens)*profile.KVBytesPerToken/rate + math.Max(0, missing)/n.prefillRate()
	if seconds < choice.PrefillSeconds {
		choice.PrefillSeconds, choice.ImportObject = seconds, e.object
		choice.CachedTokens = min(e.tokens, r.PromptTokens)
		choice.UncachedTokens = r.PromptTokens - choice.CachedTokens
	}
}

func (c *LowestCost) weightsOf(service string) Weights {
	if w, ok := c.weights[service]; ok {
		return w
	}
	return c.fallback
}

// pricePlain orders targets of plain services by least outstanding requests,
// then by observed time; a target of another region pays its latency.
func (c *LowestCost) pricePlain(n *Node, r *Request) Choice {
	latency := c.fleet.profile.DomainLatency
	if c.fleet.Remote(n) {
		latency = c.fleet.profile.RegionLatency
	}
	wait := float64(n.InFlight()) * n.service
	seconds := wait + n.service + 2*latency.Seconds()
	return Choice{Node: n, Service: r.Service, TotalSeconds: seconds, WaitSeconds: wait, Cost: seconds}
}
