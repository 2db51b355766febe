package emulator

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// prefixCache is a prompt prefix cache of blocks in limited memory, with events
// about its content and the programs for which memory is held.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	total  int
	// seen has blocks that were cached once, to count what is computed again.
	seen     map[uint64]struct{}
	held     map[string][]uint64
	events   []timedEvent
	sequence int64
	removed  []uint64
}

type timedEvent struct {
	at    time.Time
	event provider.CacheEvent
}

// maxEvents bounds the events that are kept for readers.
const maxEvents = 4_096

func newPrefixCache(total int) *prefixCache {
	c := &prefixCache{total: total, seen: map[uint64]struct{}{}, held: map[string][]uint64{}}
	c.blocks, _ = simplelru.NewLRU(total, func(block uint64, _ struct{}) {
		c.removed = append(c.removed, block)
	})
	return c
}

// match returns how many leading blocks are cached and how many of the others
// had been cached before.
func (c *prefixCache) match(blocks []uint64) (cached, wasted int) {
	for cached < len(blocks) {
		if _, ok := c.blocks.Get(blocks[cached]); !ok {
			break
		}
		cached++
	}
	for _, block := range blocks[cached:] {
		if _, ok := c.seen[block]; ok {
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
		c.seen[block] = struct{}{}
	}
	if program != "" {
		c.held[program] = slices.Clone(blocks)
	}
	c.emit(now, stored)
}

func (c *prefixCache) emit(now time.Time, stored []uint64) {
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

// release drops the memory that is held for a program.
func (c *prefixCache) release(now time.Time, program string) bool {
	blocks, ok := c.held[program]
	if !ok {
		return false
	}
	delete(c.held, program)
	for _, block := range blocks {
		if !c.shared(block) {
			c.blocks.Remove(block)
			// Released on purpose: computing it again is not waste.
			delete(c.seen, block)
		}
	}
	c.emit(now, nil)
	return true
}

func (c *prefixCache) shared(block uint64) bool {
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

func (c *prefixCache) free() int { return c.total - c.blocks.Len() }
