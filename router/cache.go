package router

import (
	"math/bits"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// holder is a target that is expected to hold a prefix.
type holder struct {
	node        *Node
	blocks      int
	confirmedAt time.Time
	// eventSequence is the sequence number of the last cache event that was applied when
	// the entry was written.
	eventSequence int64
}

// Limits of the cache estimate.
const (
	maxHolders = 4
	// An entry expires after its target's TTL unless a response confirms it. The TTL starts
	// at initialTTL, adapts to responses and stays between minTTL and maxTTL.
	initialTTL  = 120 * time.Second
	minTTL      = 2 * time.Second
	maxTTL      = 20 * time.Minute
	maxPrefixes = 65_536
	maxPrograms = 16_384
)

// programBlocks holds the block hashes of one program and the targets that hold them.
type programBlocks struct {
	blocks  []uint64
	holders []holder
}

// CacheEstimate estimates which prefix of a prompt each target holds. It keeps all block
// hashes of a program. Prefixes that programs share are indexed at geometrically spaced
// lengths of the hash chain.
type CacheEstimate struct {
	programs           *lru.LRU[string, *programBlocks]
	programByLastBlock map[uint64]string
	prefixes           *lru.LRU[uint64, []holder]
	ttl                map[*Node]time.Duration
	lastSequence       map[*Node]int64
	// evictionAge is the smoothed age at which a target evicted entries.
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

// programEvicted removes the last blocks of an evicted program from their index.
func (c *CacheEstimate) programEvicted(_ string, p *programBlocks) {
	for _, h := range p.holders {
		if h.blocks > 0 && h.blocks <= len(p.blocks) {
			delete(c.programByLastBlock, p.blocks[h.blocks-1])
		}
	}
}

// isIndexedLength reports whether prefixes of this many blocks are indexed: 1, 2, 3,
// 4, 6, 8, 12, 16, 24 and so on.
func isIndexedLength(length int) bool {
	return length > 0 && bits.TrailingZeros(uint(length)) >= bits.Len(uint(length))-2
}

// previousIndexedLength returns the largest indexed length below the given one, 0 for none.
func previousIndexedLength(length int) int {
	if length <= 2 {
		return length - 1
	}
	length--
	keep := bits.Len(uint(length)) - 2
	return length >> keep << keep
}

// TTL returns how long an entry of the target is valid without a confirmation.
func (c *CacheEstimate) TTL(n *Node) time.Duration {
	if d, ok := c.ttl[n]; ok {
		return d
	}
	return initialTTL
}

// RecordStored records that a target holds all given blocks of a program.
func (c *CacheEstimate) RecordStored(now time.Time, n *Node, program string, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	p, ok := c.programs.Get(program)
	if !ok {
		p = &programBlocks{}
		c.programs.Add(program, p)
	}
	if len(blocks) >= len(p.blocks) {
		p.blocks = blocks
	}
	p.holders = c.putHolder(p, program, p.holders, holder{node: n, blocks: len(blocks), confirmedAt: now, eventSequence: c.lastSequence[n]})
	c.programByLastBlock[blocks[len(blocks)-1]] = program
	// Programs share only the start of a hash chain.
	for length := 1; length <= len(blocks) && length <= maxSharedBlocks; length++ {
		if isIndexedLength(length) {
			hash := blocks[length-1]
			prefixHolders, _ := c.prefixes.Get(hash)
			c.prefixes.Add(hash, c.putHolder(nil, "", prefixHolders, holder{node: n, blocks: length, confirmedAt: now}))
		}
	}
}

// maxSharedBlocks bounds the prefixes that are indexed for other programs: 128 Ki
// tokens, more than any shared system prompt with documents has.
const maxSharedBlocks = 2_048

// putHolder replaces the entry of the same target or adds one, in place of the oldest if
// there are maxHolders.
func (c *CacheEstimate) putHolder(p *programBlocks, program string, holders []holder, h holder) []holder {
	oldest := 0
	for i := range holders {
		if holders[i].node == h.node {
			c.unindexLastBlock(p, program, holders[i])
			holders[i] = h
			return holders
		}
		if holders[i].confirmedAt.Before(holders[oldest].confirmedAt) {
			oldest = i
		}
	}
	if len(holders) < maxHolders {
		return append(holders, h)
	}
	c.unindexLastBlock(p, program, holders[oldest])
	holders[oldest] = h
	return holders
}

// unindexLastBlock removes a holder's last block from the index of last blocks, unless another
// holder of the program has the same number of blocks.
func (c *CacheEstimate) unindexLastBlock(p *programBlocks, program string, h holder) {
	if p == nil || h.blocks == 0 || h.blocks > len(p.blocks) {
		return
	}
	for i := range p.holders {
		if other := &p.holders[i]; other.node != h.node && other.blocks == h.blocks {
			return
		}
	}
	if hash := p.blocks[h.blocks-1]; c.programByLastBlock[hash] == program {
		delete(c.programByLastBlock, hash)
	}
}

// Lookup calls yield for each target that is expected to hold a prefix of the blocks. It
// searches the program, then the root program, then the shared prefixes from the longest
// to the shortest. A target can be yielded more than once.
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
		prefixHolders, ok := c.prefixes.Peek(blocks[length-1])
		if !ok {
			continue
		}
		for _, h := range prefixHolders {
			if now.Sub(h.confirmedAt) <= c.TTL(h.node) {
				yield(h.node, length)
				found++
			}
		}
	}
}

func (c *CacheEstimate) lookupProgram(now time.Time, program string, blocks []uint64, yield func(*Node, int)) {
	p, ok := c.programs.Get(program)
	if !ok {
		return
	}
	for _, h := range p.holders {
		if now.Sub(h.confirmedAt) > c.TTL(h.node) {
			continue
		}
		length := min(h.blocks, len(blocks), len(p.blocks))
		for length > 0 && p.blocks[length-1] != blocks[length-1] {
			length = previousIndexedLength(length)
		}
		if length > 0 {
			yield(h.node, length)
		}
	}
}

// RecordUsage corrects the estimate by the number of cached tokens in a response: a miss
// shortens the TTL of the target's entries, a hit extends it.
func (c *CacheEstimate) RecordUsage(now time.Time, n *Node, program string, expected int, usage provider.Usage) {
	if expected < provider.BlockTokens {
		return
	}
	ttl := c.TTL(n)
	age := ttl
	if p, ok := c.programs.Peek(program); ok {
		for _, h := range p.holders {
			if h.node == n {
				age = now.Sub(h.confirmedAt)
			}
		}
	}
	if usage.CachedTokens < expected/2 {
		c.recordEviction(n, age)
		ttl = (ttl*3 + min(ttl, age)) / 4
	} else if age > ttl/2 {
		ttl = ttl * 11 / 10
	}
	c.ttl[n] = max(minTTL, min(maxTTL, ttl))
}

// ApplyEvent removes the blocks that a cache event reports as evicted. An event that arrives
// late (its sequence is not above the last one applied) can only remove blocks: a late
// "stored" may have been followed by a removal that is already applied.
func (c *CacheEstimate) ApplyEvent(now time.Time, n *Node, event provider.CacheEvent) {
	late := event.Sequence <= c.lastSequence[n]
	if !late {
		c.lastSequence[n] = event.Sequence
	}
	for _, hash := range event.Removed {
		if prefixHolders, ok := c.prefixes.Peek(hash); ok {
			c.prefixes.Add(hash, withoutHolder(prefixHolders, n))
		}
		if program, ok := c.programByLastBlock[hash]; ok {
			c.truncate(now, n, program, event)
		}
	}
}

// EvictionAge returns the smoothed age at which the target evicts unused entries, 0 if it
// has not evicted any block of this daemon's programs yet.
func (c *CacheEstimate) EvictionAge(n *Node) time.Duration { return c.evictionAge[n] }

func (c *CacheEstimate) recordEviction(n *Node, age time.Duration) {
	if previous, ok := c.evictionAge[n]; ok {
		age = (previous*9 + age) / 10
	}
	c.evictionAge[n] = age
}

// truncate shortens the target's entry of a program by the removed blocks at its end.
func (c *CacheEstimate) truncate(now time.Time, n *Node, program string, event provider.CacheEvent) {
	p, ok := c.programs.Peek(program)
	if !ok {
		return
	}
	for i := range p.holders {
		h := &p.holders[i]
		if h.node != n || h.blocks == 0 || h.blocks > len(p.blocks) || event.Sequence < h.eventSequence {
			continue
		}
		removed := make(map[uint64]bool, len(event.Removed))
		for _, hash := range event.Removed {
			removed[hash] = true
		}
		if !removed[p.blocks[h.blocks-1]] {
			continue
		}
		c.recordEviction(n, now.Sub(h.confirmedAt))
		c.unindexLastBlock(p, program, *h)
		for h.blocks > 0 && removed[p.blocks[h.blocks-1]] {
			h.blocks--
		}
		if h.blocks > 0 {
			c.programByLastBlock[p.blocks[h.blocks-1]] = program
		}
	}
}

// ForgetTarget removes all entries of a target, for example after it restarted.
func (c *CacheEstimate) ForgetTarget(n *Node) {
	for _, program := range c.programs.Keys() {
		if p, ok := c.programs.Peek(program); ok {
			p.holders = withoutHolder(p.holders, n)
		}
	}
	for _, hash := range c.prefixes.Keys() {
		if prefixHolders, ok := c.prefixes.Peek(hash); ok {
			c.prefixes.Add(hash, withoutHolder(prefixHolders, n))
		}
	}
	delete(c.ttl, n)
	delete(c.lastSequence, n)
	delete(c.evictionAge, n)
}

// ForgetProgramAt removes a program's entry at one target, for example after an order to
// release its cache.
func (c *CacheEstimate) ForgetProgramAt(program string, n *Node) {
	if p, ok := c.programs.Peek(program); ok {
		for _, h := range p.holders {
			if h.node == n {
				c.unindexLastBlock(p, program, h)
			}
		}
		p.holders = withoutHolder(p.holders, n)
	}
}

// ForgetProgram removes a program and returns the targets that may hold memory for it.
func (c *CacheEstimate) ForgetProgram(program string) []*Node {
	p, ok := c.programs.Peek(program)
	if !ok {
		return nil
	}
	nodes := make([]*Node, 0, len(p.holders))
	for _, h := range p.holders {
		nodes = append(nodes, h.node)
	}
	c.programs.Remove(program)
	return nodes
}

func withoutHolder(holders []holder, n *Node) []holder {
	kept := holders[:0]
	for _, h := range holders {
		if h.node != n {
			kept = append(kept, h)
		}
	}
	return kept
}
