package router

import (
	"math/bits"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// holder is a target that is believed to hold a prefix.
type holder struct {
	node   *Node
	blocks int
	at     time.Time
	// sequence of the last cache event that confirmed or changed the entry.
	sequence int64
}

// Limits of the cache estimate.
const (
	maxHolders = 4
	// beliefStart and beliefShortest, beliefLongest bound how long an entry is believed
	// without an answer or event that confirms it.
	beliefStart    = 120 * time.Second
	beliefShortest = 2 * time.Second
	beliefLongest  = 20 * time.Minute
	maxPrefixes    = 65_536
	maxChains      = 16_384
)

// chain is what is known about the blocks of one program.
type chain struct {
	blocks  []uint64
	holders []holder
}

// CacheEstimate estimates which prefix of a prompt each target holds. Programs are kept
// exactly, prefixes shared by programs at geometric positions of the hash chain.
type CacheEstimate struct {
	chains   *lru.LRU[string, *chain]
	tails    map[uint64]string
	prefixes *lru.LRU[uint64, []holder]
	belief   map[*Node]time.Duration
	events   map[*Node]int64
	// residence is the smoothed age at which entries were evicted.
	residence map[*Node]time.Duration
}

// NewCacheEstimate returns an empty estimate.
func NewCacheEstimate() *CacheEstimate {
	c := &CacheEstimate{
		tails: map[uint64]string{}, belief: map[*Node]time.Duration{}, events: map[*Node]int64{},
		residence: map[*Node]time.Duration{},
	}
	// NewLRU fails only for sizes below 1.
	c.chains, _ = lru.NewLRU[string, *chain](maxChains, c.dropChain)
	c.prefixes, _ = lru.NewLRU[uint64, []holder](maxPrefixes, nil)
	return c
}

func (c *CacheEstimate) dropChain(_ string, ch *chain) {
	for _, h := range ch.holders {
		if h.blocks > 0 && h.blocks <= len(ch.blocks) {
			delete(c.tails, ch.blocks[h.blocks-1])
		}
	}
}

// checkpoint reports whether prefixes of this many blocks are indexed: 1, 2, 3,
// 4, 6, 8, 12, 16, 24 and so on.
func checkpoint(length int) bool {
	return length > 0 && bits.TrailingZeros(uint(length)) >= bits.Len(uint(length))-2
}

func below(length int) int {
	if length <= 2 {
		return length - 1
	}
	length--
	keep := bits.Len(uint(length)) - 2
	return length >> keep << keep
}

// TTL returns how long an entry of the target is believed.
func (c *CacheEstimate) TTL(n *Node) time.Duration {
	if d, ok := c.belief[n]; ok {
		return d
	}
	return beliefStart
}

// RecordStored notes that a target holds the program's chain up to the given length.
func (c *CacheEstimate) RecordStored(now time.Time, n *Node, program string, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	ch, ok := c.chains.Get(program)
	if !ok {
		ch = &chain{}
		c.chains.Add(program, ch)
	}
	if len(blocks) >= len(ch.blocks) {
		ch.blocks = blocks
	}
	ch.holders = c.put(ch, program, ch.holders, holder{node: n, blocks: len(blocks), at: now, sequence: c.events[n]})
	c.tails[blocks[len(blocks)-1]] = program
	// Only the start of a chain is shared by programs.
	for length := 1; length <= len(blocks) && length <= sharedBlocks; length++ {
		if checkpoint(length) {
			hash := blocks[length-1]
			held, _ := c.prefixes.Get(hash)
			c.prefixes.Add(hash, c.put(nil, "", held, holder{node: n, blocks: length, at: now}))
		}
	}
}

// sharedBlocks bounds the prefixes that are indexed for other programs: 128 Ki
// tokens, above any shared system prompt with documents.
const sharedBlocks = 2_048

func (c *CacheEstimate) put(ch *chain, program string, held []holder, h holder) []holder {
	oldest := 0
	for i := range held {
		if held[i].node == h.node {
			c.dropTail(ch, program, held[i])
			held[i] = h
			return held
		}
		if held[i].at.Before(held[oldest].at) {
			oldest = i
		}
	}
	if len(held) < maxHolders {
		return append(held, h)
	}
	c.dropTail(ch, program, held[oldest])
	held[oldest] = h
	return held
}

func (c *CacheEstimate) dropTail(ch *chain, program string, h holder) {
	if ch == nil || h.blocks == 0 || h.blocks > len(ch.blocks) {
		return
	}
	for i := range ch.holders {
		if other := &ch.holders[i]; other.node != h.node && other.blocks == h.blocks {
			return
		}
	}
	if hash := ch.blocks[h.blocks-1]; c.tails[hash] == program {
		delete(c.tails, hash)
	}
}

// Lookup calls yield for each target that is believed to hold a prefix of the
// chain, longest first for each source; a target can be yielded twice.
func (c *CacheEstimate) Lookup(now time.Time, program, root string, blocks []uint64, yield func(n *Node, length int)) {
	if len(blocks) == 0 {
		return
	}
	c.lookupChain(now, program, blocks, yield)
	if root != "" && root != program {
		c.lookupChain(now, root, blocks, yield)
	}
	found := 0
	start := min(len(blocks), sharedBlocks)
	if !checkpoint(start) {
		start = below(start + 1)
	}
	for length := start; length > 0 && found < maxHolders; length = below(length) {
		held, ok := c.prefixes.Peek(blocks[length-1])
		if !ok {
			continue
		}
		for _, h := range held {
			if now.Sub(h.at) <= c.TTL(h.node) {
				yield(h.node, length)
				found++
			}
		}
	}
}

func (c *CacheEstimate) lookupChain(now time.Time, program string, blocks []uint64, yield func(*Node, int)) {
	ch, ok := c.chains.Get(program)
	if !ok {
		return
	}
	for _, h := range ch.holders {
		if now.Sub(h.at) > c.TTL(h.node) {
			continue
		}
		length := min(h.blocks, len(blocks), len(ch.blocks))
		for length > 0 && ch.blocks[length-1] != blocks[length-1] {
			length = below(length)
		}
		if length > 0 {
			yield(h.node, length)
		}
	}
}

// RecordUsage corrects the estimate by the cached-token count of an answer: a miss
// shortens the belief in the target's entries, a hit extends it.
func (c *CacheEstimate) RecordUsage(now time.Time, n *Node, program string, expected int, usage provider.Usage) {
	if expected < provider.BlockTokens {
		return
	}
	belief := c.TTL(n)
	age := belief
	if ch, ok := c.chains.Peek(program); ok {
		for _, h := range ch.holders {
			if h.node == n {
				age = now.Sub(h.at)
			}
		}
	}
	if usage.CachedTokens < expected/2 {
		c.evicted(n, age)
		belief = (belief*3 + min(belief, age)) / 4
	} else if age > belief/2 {
		belief = belief * 11 / 10
	}
	c.belief[n] = max(beliefShortest, min(beliefLongest, belief))
}

// ApplyEvent applies a cache event. Events that arrive late (with a lower sequence
// than one already applied) can only remove: a late "stored" may have been
// followed by a removal that is already applied.
func (c *CacheEstimate) ApplyEvent(now time.Time, n *Node, event provider.CacheEvent) {
	late := event.Sequence <= c.events[n]
	if !late {
		c.events[n] = event.Sequence
	}
	for _, hash := range event.Removed {
		if held, ok := c.prefixes.Peek(hash); ok {
			c.prefixes.Add(hash, without(held, n))
		}
		if program, ok := c.tails[hash]; ok {
			c.truncate(now, n, program, event)
		}
	}
}

// EvictionAge returns how long the target keeps an entry that nobody uses, 0 when
// nothing of this daemon's programs was evicted yet.
func (c *CacheEstimate) EvictionAge(n *Node) time.Duration { return c.residence[n] }

func (c *CacheEstimate) evicted(n *Node, age time.Duration) {
	if have, ok := c.residence[n]; ok {
		age = (have*9 + age) / 10
	}
	c.residence[n] = age
}

func (c *CacheEstimate) truncate(now time.Time, n *Node, program string, event provider.CacheEvent) {
	ch, ok := c.chains.Peek(program)
	if !ok {
		return
	}
	for i := range ch.holders {
		h := &ch.holders[i]
		if h.node != n || h.blocks == 0 || h.blocks > len(ch.blocks) || event.Sequence < h.sequence {
			continue
		}
		gone := make(map[uint64]bool, len(event.Removed))
		for _, hash := range event.Removed {
			gone[hash] = true
		}
		if !gone[ch.blocks[h.blocks-1]] {
			continue
		}
		c.evicted(n, now.Sub(h.at))
		c.dropTail(ch, program, *h)
		for h.blocks > 0 && gone[ch.blocks[h.blocks-1]] {
			h.blocks--
		}
		if h.blocks > 0 {
			c.tails[ch.blocks[h.blocks-1]] = program
		}
	}
}

// ForgetTarget drops everything believed about a target, as after its restart.
func (c *CacheEstimate) ForgetTarget(n *Node) {
	for _, program := range c.chains.Keys() {
		if ch, ok := c.chains.Peek(program); ok {
			ch.holders = without(ch.holders, n)
		}
	}
	for _, hash := range c.prefixes.Keys() {
		if held, ok := c.prefixes.Peek(hash); ok {
			c.prefixes.Add(hash, without(held, n))
		}
	}
	delete(c.belief, n)
	delete(c.events, n)
	delete(c.residence, n)
}

// ForgetProgramAt forgets one program at one target, as after a release order.
func (c *CacheEstimate) ForgetProgramAt(program string, n *Node) {
	if ch, ok := c.chains.Peek(program); ok {
		for _, h := range ch.holders {
			if h.node == n {
				c.dropTail(ch, program, h)
			}
		}
		ch.holders = without(ch.holders, n)
	}
}

// ForgetProgram forgets a program and returns the targets that may hold memory for it.
func (c *CacheEstimate) ForgetProgram(program string) []*Node {
	ch, ok := c.chains.Peek(program)
	if !ok {
		return nil
	}
	nodes := make([]*Node, 0, len(ch.holders))
	for _, h := range ch.holders {
		nodes = append(nodes, h.node)
	}
	c.chains.Remove(program)
	return nodes
}

func without(held []holder, n *Node) []holder {
	kept := held[:0]
	for _, h := range held {
		if h.node != n {
			kept = append(kept, h)
		}
	}
	return kept
}
