package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// exhaustivePoolSize is the size of the largest pool in which every target is a candidate.
const exhaustivePoolSize = 16

// randomCandidates is the number of targets that are drawn at random in the daemon's region,
// and again in all regions, in addition to those with a known prefix (power of two choices).
const randomCandidates = 2

// candidate is a target with the number of blocks of the prompt that it is expected to hold.
type candidate struct {
	node         *Node
	cachedBlocks int
}

// LowestCost chooses the target with the lowest cost in seconds.
type LowestCost struct {
	fleet    *Fleet
	weights  map[string]Weights
	fallback Weights
	random   *rand.Rand
	buffer   []candidate
	options  Options
}

// Options switch parts of the cost off, to compare the policy with and without them.
type Options struct {
	// NoCache ignores the cache estimate.
	NoCache bool
	// NoSlowness ignores the slowness of targets.
	NoSlowness bool
	// NoLink ignores the bytes and the latency of the link between regions.
	NoLink bool
	// NoCorrection uses load reports without correcting them by this daemon's own attempts.
	NoCorrection bool
	// NoImport ignores exported KV caches.
	NoImport bool
	// NoInterference ignores the delay that a call adds to the others in a target's batch.
	NoInterference bool
}

// NewLowestCost returns the policy. The seed determines the random candidates.
func NewLowestCost(fleet *Fleet, weights Weights, seed uint64, options Options) *LowestCost {
	return &LowestCost{
		fleet: fleet, fallback: weights, weights: map[string]Weights{}, options: options,
		random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), buffer: make([]candidate, 0, 64),
	}
}

// SetWeights sets the weights of one service.
func (c *LowestCost) SetWeights(service string, weights Weights) { c.weights[service] = weights }

// Decide returns the candidate with the lowest cost. If that one has no free slot, and
// waiting for it costs less than the best candidate with a free slot, Choice.Full is set.
func (c *LowestCost) Decide(now time.Time, r *Request) Choice {
	best := Choice{Cost: math.Inf(1)}
	full := Choice{Cost: math.Inf(1)}
	for _, k := range c.candidates(now, r) {
		if !usable(k.node, r) {
			continue
		}
		choice := c.estimate(k.node, k.cachedBlocks, r)
		if r.HasSlot != nil && !r.HasSlot(k.node) {
			// Waiting for a slot pays off only if the target holds much of the prompt.
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

// candidates returns a bounded set: the targets with a known prefix and a few random
// ones, or all targets of a small pool. The slice is valid until the next call.
func (c *LowestCost) candidates(now time.Time, r *Request) []candidate {
	list := c.buffer[:0]
	p := c.fleet.pools[r.Service]
	if p == nil {
		return nil
	}
	add := func(n *Node, length int) {
		for i := range list {
			if list[i].node == n {
				list[i].cachedBlocks = max(list[i].cachedBlocks, length)
				return
			}
		}
		if n.services[r.Service] {
			list = append(list, candidate{node: n, cachedBlocks: length})
		}
	}
	if !c.options.NoCache {
		c.fleet.cache.Lookup(now, r.Program, r.Root, r.Blocks, add)
	}
	if len(p.accepting) <= exhaustivePoolSize {
		for _, n := range p.accepting {
			add(n, 0)
		}
	} else {
		c.addRandom(p.local, add)
		c.addRandom(p.accepting, add)
	}
	// If no candidate can take the call, other targets are searched once. This is rare and
	// bounded by maxSlotSearch.
	if len(p.accepting) > exhaustivePoolSize && !anyHasSlot(list, r) {
		for i, offset := 0, c.random.IntN(len(p.accepting)); i < min(len(p.accepting), maxSlotSearch); i++ {
			add(p.accepting[(offset+i)%len(p.accepting)], 0)
		}
	}
	c.buffer = list[:0]
	return list
}

// maxSlotSearch bounds the search for a target with a free slot. By default, a daemon's subset
// of the targets has this size.
const maxSlotSearch = 64

func anyHasSlot(list []candidate, r *Request) bool {
	for i := range list {
		if usable(list[i].node, r) && (r.HasSlot == nil || r.HasSlot(list[i].node)) {
			return true
		}
	}
	return false
}

func (c *LowestCost) addRandom(nodes []*Node, add func(*Node, int)) {
	if len(nodes) == 0 {
		return
	}
	for range randomCandidates {
		add(nodes[c.random.IntN(len(nodes))], 0)
	}
}

// recomputeFactor is the cost of a second of avoidable prefill at weight 1. It is above 1
// because the prefill also delays the batch and evicts blocks that are needed again.
const recomputeFactor = 16

// linkSecondsPerMB is the cost in seconds of a megabyte on the link between regions, at
// weight 1.
const linkSecondsPerMB = 10

// callsPerPlacement is the number of calls that a program is expected to make at a target
// once it is placed there without its cache. Each of them sends the history over the link.
const callsPerPlacement = 8

// slowThreshold is the ratio to the service's mean slowness above which a target counts
// as slow. Smaller ratios are within the error of the prediction.
const slowThreshold = 1.7

// estimate returns the Choice of a target for a call, with its estimated times and cost. The
// cost is the time of the call, the delay that it causes for other calls, and the price of
// avoidable prefill and of bytes on the link.
func (c *LowestCost) estimate(n *Node, cachedBlocks int, r *Request) Choice {
	if r.Plain {
		return c.estimatePlain(n, r)
	}
	f, profile, p := c.fleet, &c.fleet.profile, c.fleet.pools[r.Service]
	choice := Choice{Node: n, Service: r.Service}
	choice.CachedTokens = min(cachedBlocks*provider.BlockTokens, r.PromptTokens)
	choice.UncachedTokens = r.PromptTokens - choice.CachedTokens
	calls, waitingTokens := n.Calls(), n.WaitingTokens()
	if c.options.NoCorrection {
		calls, waitingTokens = float64(n.report.Running+n.report.Waiting), float64(n.report.WaitingTokens)
	}
	batch := float64(n.MaxBatch())
	running := math.Min(calls, batch-1)
	outputTokens := math.Min(p.responseTokens, float64(max(1, r.MaxTokens)))
	choice.SecondsPerToken = profile.DecodeBaseSeconds + profile.DecodeSecondsPerSequence*(running+1)
	// While a prompt is prefilled, each chunk shares an iteration with the running batch.
	rate := n.prefillPerSec()
	computeSeconds := float64(choice.UncachedTokens) / rate
	prefillSecondsPerToken := 1/rate + (choice.SecondsPerToken-profile.DecodeSecondsPerSequence)/profile.PrefillChunkTokens
	choice.WaitSeconds = waitingTokens * prefillSecondsPerToken
	if calls >= batch {
		choice.WaitSeconds += (calls - batch + 1) / batch * outputTokens * choice.SecondsPerToken
	}
	choice.PrefillSeconds = float64(choice.UncachedTokens) * prefillSecondsPerToken
	c.considerImport(n, r, &choice)
	decode := outputTokens * choice.SecondsPerToken
	transfer, latency, megabytes := 0.0, profile.DomainLatency, 0.0
	if f.Remote(n) && !c.options.NoLink {
		bytes := f.LinkBytes(n, r)
		transfer, latency, megabytes = bytes/profile.LinkBytesPerSec, profile.RegionLatency, bytes/1e6
		if 2*choice.CachedTokens < r.PromptTokens {
			megabytes *= callsPerPlacement
		}
	}
	network := transfer + 2*latency.Seconds()
	choice.TotalSeconds = choice.WaitSeconds + choice.PrefillSeconds + decode + network
	weights := c.weightsFor(r.Service)
	choice.Cost = (choice.WaitSeconds+choice.PrefillSeconds+decode)*c.slownessFactor(n, p) + network +
		weights.Cache*recomputeFactor*computeSeconds + weights.Link*linkSecondsPerMB*megabytes
	if !c.options.NoInterference {
		// Each prefill chunk and each generated token lengthens the iterations of all other calls.
		choice.Cost += running * (computeSeconds + outputTokens*profile.DecodeSecondsPerSequence)
	}
	return choice
}

// slownessFactor returns how many times slower a target is than the mean of its service, 1
// for a target that does not count as slow.
func (c *LowestCost) slownessFactor(n *Node, p *pool) float64 {
	if ratio := n.slowness / p.slowness; ratio > slowThreshold && !c.options.NoSlowness {
		return ratio
	}
	return 1
}

// considerImport compares recomputing the missing prefix with importing the exported KV
// cache of the program, and changes the choice if the import is faster.
func (c *LowestCost) considerImport(n *Node, r *Request, choice *Choice) {
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
	seconds := float64(e.tokens)*profile.KVBytesPerToken/rate + math.Max(0, missing)/n.prefillPerSec()
	if seconds < choice.PrefillSeconds {
		choice.PrefillSeconds, choice.ImportObject = seconds, e.object
		choice.CachedTokens = min(e.tokens, r.PromptTokens)
		choice.UncachedTokens = r.PromptTokens - choice.CachedTokens
	}
}

func (c *LowestCost) weightsFor(service string) Weights {
	if w, ok := c.weights[service]; ok {
		return w
	}
	return c.fallback
}

// estimatePlain returns the choice for a call of a plain service: the cost rises with the
// calls in flight and the observed service time, and includes the latency of the network.
func (c *LowestCost) estimatePlain(n *Node, r *Request) Choice {
	latency := c.fleet.profile.DomainLatency
	if c.fleet.Remote(n) {
		latency = c.fleet.profile.RegionLatency
	}
	wait := float64(n.InFlight()) * n.serviceSeconds
	seconds := wait + n.serviceSeconds + 2*latency.Seconds()
	return Choice{Node: n, Service: r.Service, TotalSeconds: seconds, WaitSeconds: wait, Cost: seconds}
}
