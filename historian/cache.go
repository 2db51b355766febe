package historian

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxChainTurns bounds the length of a chain. It is above the longest program, including
// sub-agents, for which the system is designed.
const maxChainTurns = 1024

// maxCachedTurns bounds the number of turns in memory; the limit in bytes is usually
// reached first.
const maxCachedTurns = 65_536

// turnBytes is the memory of a turn in the cache in addition to its strings and its text.
const turnBytes = 384

// cachedBytes returns the memory that a turn takes in the cache.
func cachedBytes(t *Turn) int {
	return turnBytes + len(t.ID) + len(t.Previous) + len(t.Partition) + len(t.Workspace) + t.MemoryBytes()
}

// Cache holds turns in memory and evicts the least recently used ones. It is safe for
// concurrent use.
type Cache struct {
	mutex sync.Mutex
	turns *lru.LRU[string, *Turn]
	bytes int
	limit int
}

// NewCache returns an empty cache that is limited to so many bytes of turns, with their texts as they are kept.
func NewCache(limit int) *Cache {
	c := &Cache{limit: limit}
	// NewLRU fails only for sizes below 1.
	c.turns, _ = lru.NewLRU(maxCachedTurns, func(_ string, t *Turn) { c.bytes -= cachedBytes(t) })
	return c
}

// Add adds a turn that is already written to the store, and evicts others if the cache is
// above its limit. Of two copies of a turn it keeps the one that expires later.
func (c *Cache) Add(t *Turn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if old, ok := c.turns.Peek(t.ID); ok {
		if !t.Expires.After(old.Expires) {
			return
		}
		c.bytes -= cachedBytes(old)
	}
	c.bytes += cachedBytes(t)
	c.turns.Add(t.ID, t)
	for c.bytes > c.limit && c.turns.Len() > 1 {
		c.turns.RemoveOldest()
	}
}

// Get returns a turn, or nil if it is not in memory.
func (c *Cache) Get(id string) *Turn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	t, _ := c.turns.Get(id)
	return t
}

// Bytes returns the memory that the turns take.
func (c *Cache) Bytes() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.bytes
}

// Chain collects the turns up to the given one, newest first. It fails with the error of lookup, and with
// KindTooLong if the chain has more than maxChainTurns turns.
func Chain(id string, lookup func(id string) (*Turn, error)) ([]*Turn, error) {
	var turns []*Turn
	for id != "" {
		if len(turns) == maxChainTurns {
			return nil, NewError("chain", KindTooLong, nil)
		}
		t, err := lookup(id)
		if err != nil {
			return nil, err
		}
		turns = append(turns, t)
		id = t.Previous
	}
	return turns, nil
}
