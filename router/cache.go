package router

import (
	"math/bits"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// holder is a target that is believed to hold a prefix.
type holder struct {
	node        *Node
	blocks      int
	confirmedAt time.Time
	// eventSequence of the last cache event that confirmed or changed the entry.
	eventSequence int64
}

// Limits of the cache estimate.
const (
	maxHolders = 4
	// initialTTL and beliefShortest, beliefLongest bound how long an entry is believed
	// without an answer or event that confirms it.
	initialTTL  = 120 * time.Second
	minTTL      = 2 * time.Second
	maxTTL      = 20 * time.Minute
	maxPrefixes = 65_536
	maxPrograms = 16_384
)

// programBlocks is what is known about the blocks of one program.
type programBlocks struct {
	blocks  []uint64
	holders []holder
}

// CacheEstimate estimates which prefix of a prompt each target holds. Programs are kept
// exactly, prefixes shared by programs at geometric positions of the hash chain.
type CacheEstimate struct {
	programs           *lru.LRU[string, *programBlocks]
	programByLastBlock map[uint64]string
	prefixes           *lru.LRU[uint64, []holder]
	ttl                map[*Node]time.Duration
	lastSequence       map[*Node]int64
	// evictionAge is the smoothed age at which entries were evicted.
	evictionAge map[*Node]time.Duration
}

// NewCacheEstimate returns an empty estimate.
func NewCacheEstimate() *CacheEstimate {
	c := &CacheEstimate{
		programByLastBlock: map[uint64]string{}, ttl: map[*Node]time.Duration{}, lastSequence: map[*Node]int64{},
		evictionAge: map[*Node]time.Duration{},
	}
	// NewLRU fails only for sizes below 1.
	c.programs, _ = lru.NewLRU[string, *programBlocks](maxPrograms, c.programEvicted)
	c.prefixes, _ = lru.NewLRU[uint64, []holder](maxPrefixes, nil)
	return c
}

func (c *CacheEstimate) programEvicted(_ string, ch *programBlocks) {
	for _, h := range ch.holders {
		if h.blocks > 0 && h.blocks <= len(ch.blocks) {
			delete(c.programByLastBlock, ch.blocks[h.blocks-1])
		}
	}
}

// isIndexedLength reports whether prefixes of this many blocks are indexed: 1, 2, 3,
// 4, 6, 8, 12, 16, 24 and so on.
func isIndexedLength(length int) bool {
	return length > 0 && bits.TrailingZeros(uint(length)) >= bits.Len(uint(length))-2
}

func previousIndexedLength(length int) int {
	if length <= 2 {
		return length - 1
	}
	length--
	keep := bits.Len(uint(length)) - 2
	return length >> keep << keep
}

// TTL returns how long an entry of the target is believed.
func (c *CacheEstimate) TTL(n *Node) time.Duration {
	if d, ok := c.ttl[n]; ok {
		return d
	}
	return initialTTL
}

// RecordStored notes that a target holds the program's chain up to the given length.
func (c *CacheEstimate) RecordStored(now time.Time, n *Node, program string, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	ch, ok := c.programs.Get(program)
	if !ok {
		ch = &programBlocks{}
		c.programs.Add(program, ch)
	}
	if len(blocks) >= len(ch.blocks) {
		ch.blocks = blocks
	}
	ch.holders = c.putHolder(ch, program, ch.holders, holder{node: n, blocks: len(blocks), confirmedAt: now, eventSequence: c.lastSequence[n]})
	c.programByLastBlock[blocks[len(blocks)-1]] = program
	// Only the start of a chain is shared by programs.
	for length := 1; length <= len(blocks) && length <= maxSharedBlocks; length++ {
		if isIndexedLength(length) {
			hash := blocks[length-1]
			held, _ := c.prefixes.Get(hash)
			c.prefixes.Add(hash, c.putHolder(nil, "", held, holder{node: n, blocks: length, confirmedAt: now}))
		}
	}
}

// maxSharedBlocks bounds the prefixes that are indexed for other programs: 128 Ki
// tokens, above any shared system prompt with documents.
const maxSharedBlocks = 2_048

func (c *CacheEstimate) putHolder(ch *programBlocks, program string, held []holder, h holder) []holder {
	oldest := 0
	for i := range held {
		if held[i].node == h.node {
			c.removeLastBlock(ch, program, held[i])
			held[i] = h
			return held
		}
		if held[i].confirmedAt.Before(held[oldest].confirmedAt) {
			oldest = i
		}
	}
	if len(held) < maxHolders {
		return append(held, h)
	}
	c.removeLastBlock(ch, program, held[oldest])
	held[oldest] = h
	return held
}

func (c *CacheEstimate) removeLastBlock(ch *programBlocks, program string, h holder) {
	if ch == nil || h.blocks == 0 || h.blocks > len(ch.blocks) {
		return
	}
	for i := range ch.holders {
		if other := &ch.holders[i]; other.node != h.node && other.blocks == h.blocks {
			return
		}
	}
	if hash := ch.blocks[h.blocks-1]; c.programByLastBlock[hash] == program {
		delete(c.programByLastBlock, hash)
	}
}

// Lookup calls yield for each target that is believed to hold a prefix of the
// chain, longest first for each source; a target can be yielded twice.
func (c *CacheEstimate) Lookup(now time.Time, program, root string, blocks []uint64, yield func(n *Node, length int)) {
	if len(blocks) == 0 {
		return
	}
	c.lookupProgram(now, program, blocks, yield)
	if root != "" && root != program {
		c.lookupProgram(now, root, blocks, yield)
	}
	found := 0
	start := min(len(blocks), maxSharedBlocks)
	if !isIndexedLength(start) {
		start = previousIndexedLength(start + 1)
	}
	for length := start; length > 0 && found < maxHolders; length = previousIndexedLength(length) {
		held, ok := c.prefixes.Peek(blocks[length-1])
		if !ok {
			continue
		}
		for _, h := range held {
			if now.Sub(h.confirmedAt) <= c.TTL(h.node) {
				yield(h.node, length)
				found++
			}
		}
	}
}

func (c *CacheEstimate) lookupProgram(now time.Time, program string, blocks []uint64, yield func(*Node, int)) {
	ch, ok := c.programs.Get(program)
	if !ok {
		return
	}
	for _, h := range ch.holders {
		if now.Sub(h.confirmedAt) > c.TTL(h.node) {
			continue
		}
		length := min(h.blocks, len(blocks), len(ch.blocks))
		for length > 0 && ch.blocks[length-1] != blocks[length-1] {
			length = previousIndexedLength(length)
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
	if ch, ok := c.programs.Peek(program); ok {
		for _, h := range ch.holders {
			if h.node == n {
				age = now.Sub(h.confirmedAt)
			}
		}
	}
	if usage.CachedTokens < expected/2 {
		c.recordEviction(n, age)
		belief = (belief*3 + min(belief, age)) / 4
	} else if age > belief/2 {
		belief = belief * 11 / 10
	}
	c.ttl[n] = max(minTTL, min(maxTTL, belief))
}

// ApplyEvent applies a cache event. Events that arrive late (with a lower sequence
// than one already applied) can only remove: a late "stored" may have been
// followed by a removal that is already applied.
func (c *CacheEstimate) ApplyEvent(now time.Time, n *Node, event provider.CacheEvent) {
	late := event.Sequence <= c.lastSequence[n]
	if !late {
		c.lastSequence[n] = event.Sequence
	}
	for _, hash := range event.Removed {
		if held, ok := c.prefixes.Peek(hash); ok {
			c.prefixes.Add(hash, withoutHolder(held, n))
		}
		if program, ok := c.programByLastBlock[hash]; ok {
			c.truncate(now, n, program, event)
		}
	}
}

// EvictionAge returns how long the target keeps an entry that nobody uses, 0 when
// nothing of this daemon's programs was evicted yet.
func (c *CacheEstimate) EvictionAge(n *Node) time.Duration { return c.evictionAge[n] }

func (c *CacheEstimate) recordEviction(n *Node, age time.Duration) {
	if have, ok := c.evictionAge[n]; ok {
		age = (have*9 + age) / 10
	}
	c.evictionAge[n] = age
}

func (c *CacheEstimate) truncate(now time.Time, n *Node, program string, event provider.CacheEvent) {
	ch, ok := c.programs.Peek(program)
	if !ok {
		return
	}
	for i := range ch.holders {
		h := &ch.holders[i]
		if h.node != n || h.blocks == 0 || h.blocks > len(ch.blocks) || event.Sequence < h.eventSequence {
			continue
		}
		gone := make(map[uint64]bool, len(event.Removed))
		for _, hash := range event.Removed {
			gone[hash] = true
		}
		if !gone[ch.blocks[h.blocks-1]] {
			continue
		}
		c.recordEviction(n, now.Sub(h.confirmedAt))
		c.removeLastBlock(ch, program, *h)
		for h.blocks > 0 && gone[ch.blocks[h.blocks-1]] {
			h.blocks--
		}
		if h.blocks > 0 {
			c.programByLastBlock[ch.blocks[h.blocks-1]] = program
		}
	}
}

// ForgetTarget drops everything believed about a target, as after its restart.
func (c *CacheEstimate) ForgetTarget(n *Node) {
	for _, program := range c.programs.Keys() {
		if ch, ok := c.programs.Peek(program); ok {
			ch.holders = withoutHolder(ch.holders, n)
		}
	}
	for _, hash := range c.prefixes.Keys() {
		if held, ok := c.prefixes.Peek(hash); ok {
			c.prefixes.Add(hash, withoutHolder(held, n))
		}
	}
	delete(c.ttl, n)
	delete(c.lastSequence, n)
	delete(c.evictionAge, n)
}

// ForgetProgramAt forgets one program at one target, as after a release order.
func (c *CacheEstimate) ForgetProgramAt(program string, n *Node) {
	if ch, ok := c.programs.Peek(program); ok {
		for _, h := range ch.holders {
			if h.node == n {
				c.removeLastBlock(ch, program, h)
			}
		}
		ch.holders = withoutHolder(ch.holders, n)
	}
}

// ForgetProgram forgets a program and returns the targets that may hold memory for it.
func (c *CacheEstimate) ForgetProgram(program string) []*Node {
	ch, ok := c.programs.Peek(program)
	if !ok {
		return nil
	}
	nodes := make([]*Node, 0, len(ch.holders))
	for _, h := range ch.holders {
		nodes = append(nodes, h.node)
	}
	c.programs.Remove(program)
	return nodes
}

func withoutHolder(held []holder, n *Node) []holder {
	kept := held[:0]
	for _, h := range held {
		if h.node != n {
			kept = append(kept, h)
		}
	}
	return kept
}
