package historian

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxChain is the longest chain that is served, above the longest program of the
// design size with sub-agents.
const maxChain = 1024

// maxCachedTurns bounds the number of turns in memory; bytes usually bind first.
const maxCachedTurns = 65_536

// Cache holds turns in memory, least recently used ones dropped first. It is safe for
// concurrent use.
type Cache struct {
	mutex sync.Mutex
	turns *lru.LRU[string, *Turn]
	bytes int
	limit int
}

// NewCache returns an empty cache for so many bytes of text.
func NewCache(limit int) *Cache {
	c := &Cache{limit: limit}
	// NewLRU fails only for sizes below 1.
	c.turns, _ = lru.NewLRU(maxCachedTurns, func(_ string, t *Turn) { c.bytes -= len(t.Text) })
	return c
}

// Add adds a turn that the store has.
func (c *Cache) Add(t *Turn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.turns.Contains(t.ID) {
		return
	}
	c.bytes += len(t.Text)
	c.turns.Add(t.ID, t)
	for c.bytes > c.limit && c.turns.Len() > 1 {
		c.turns.RemoveOldest()
	}
}

// Get returns a turn, nil when it is not in memory.
func (c *Cache) Get(id string) *Turn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	t, _ := c.turns.Get(id)
	return t
}

// Bytes returns the size of the texts in memory.
func (c *Cache) Bytes() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.bytes
}

// Chain collects the turns up to the given one, newest first. It returns the ID of the
// first turn that the lookup does not have, empty when the chain is whole.
func Chain(id string, lookup func(id string) *Turn) (turns []*Turn, missing string, err error) {
	for id != "" {
		if len(turns) == maxChain {
			return nil, "", NewError("chain", KindTooLong, nil)
		}
		t := lookup(id)
		if t == nil {
			return turns, id, nil
		}
		turns = append(turns, t)
		id = t.Previous
	}
	return turns, "", nil
}

// Join returns the text of a chain given newest first, followed by the new input.
func Join(turns []*Turn, input []byte) []byte {
	size := len(input)
	for _, t := range turns {
		size += len(t.Text)
	}
	text := make([]byte, 0, size)
	for i := len(turns) - 1; i >= 0; i-- {
		text = append(text, turns[i].Text...)
	}
	return append(text, input...)
}
