package emulator

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// prefixCache is an LRU cache of prompt blocks. It records events about its contents and
// the programs for which the engine holds memory.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	total  int
	// everCached contains the blocks that have been cached, so that match can count those
	// that are computed again.
	everCached map[uint64]struct{}
	held       map[string][]uint64
	events     []timedEvent
	sequence   int64
	removed    []uint64
}

type timedEvent struct {
	at    time.Time
	event provider.CacheEvent
}

// maxEvents is the number of events that are kept for readers.
const maxEvents = 4_096

func newPrefixCache(total int) *prefixCache {
	c := &prefixCache{total: total, everCached: map[uint64]struct{}{}, held: map[string][]uint64{}}
	c.blocks, _ = simplelru.NewLRU(total, func(block uint64, _ struct{}) {
		c.removed = append(c.removed, block)
	})
	return c
}

// match returns the number of leading blocks that are cached and the number of other
// blocks that were cached before.
func (c *prefixCache) match(blocks []uint64) (cached, wasted int) {
	for cached < len(blocks) {
		if _, ok := c.blocks.Get(blocks[cached]); !ok {
			break
		}
		cached++
	}
	for _, block := range blocks[cached:] {
		if _, ok := c.everCached[block]; ok {
			wasted++
		}
	}
	return cached, wasted
}

func (c *prefixCache) store(now time.Time, program string, blocks []uint64) {
	var stored []uint64
	for _, block := range blocks {
		if !c.blocks.Contains(block) {
			stored = append(stored, block)
		}
		c.blocks.Add(block, struct{}{})
		c.everCached[block] = struct{}{}
	}
	if program != "" {
		c.held[program] = slices.Clone(blocks)
	}
	c.recordEvent(now, stored)
}

func (c *prefixCache) recordEvent(now time.Time, stored []uint64) {
	if len(stored) == 0 && len(c.removed) == 0 {
		return
	}
	c.sequence++
	c.events = append(c.events, timedEvent{at: now, event: provider.CacheEvent{
		Sequence: c.sequence, Stored: stored, Removed: c.removed,
	}})
	c.removed = nil
	if len(c.events) > maxEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxEvents)
	}
}

// release removes the blocks that are held only for the program. It returns false if the
// program holds no memory.
func (c *prefixCache) release(now time.Time, program string) bool {
	blocks, ok := c.held[program]
	if !ok {
		return false
	}
	delete(c.held, program)
	for _, block := range blocks {
		if !c.isHeld(block) {
			c.blocks.Remove(block)
			// A block that was released on purpose does not count as wasted when it is
			// computed again.
			delete(c.everCached, block)
		}
	}
	c.recordEvent(now, nil)
	return true
}

func (c *prefixCache) isHeld(block uint64) bool {
	for _, blocks := range c.held {
		if slices.Contains(blocks, block) {
			return true
		}
	}
	return false
}

func (c *prefixCache) clear() {
	c.blocks.Purge()
	clear(c.held)
	c.events, c.removed = nil, nil
}

func (c *prefixCache) freeBlocks() int { return c.total - c.blocks.Len() }
