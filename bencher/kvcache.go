package bencher

import (
	"container/list"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// cacheEntry has the cached blocks of one program, or of one shared prefix.
type cacheEntry struct {
	name  string
	chain []uint64
	// firstBlock is the index in chain of the entry's first block.
	firstBlock int
	blocks     int
	// pins counts the attempts in the batch that use the entry.
	pins      int
	heldUntil time.Duration
	// prefix is the entry of the program's shared prefix.
	prefix  *cacheEntry
	element *list.Element
	// releasePending is set when a release arrived while the entry was pinned.
	releasePending bool
}

// kvCache is the KV cache of a fake engine. It evicts the last blocks of the least
// recently used entries first. It never evicts pinned entries, and held ones only when
// no others are left.
type kvCache struct {
	total   int
	used    int
	entries map[string]*cacheEntry
	lru     *list.List
	onEvict func(hashes []uint64)
}

func newKVCache(total int, onEvict func([]uint64)) *kvCache {
	return &kvCache{total: total, entries: map[string]*cacheEntry{}, lru: list.New(), onEvict: onEvict}
}

func (m *kvCache) free() int { return m.total - m.used }

func (m *kvCache) entry(name string) *cacheEntry {
	e := m.entries[name]
	if e == nil {
		e = &cacheEntry{name: name}
		m.entries[name] = e
		e.element = m.lru.PushBack(e)
	}
	return e
}

// admit allocates the blocks of a prompt and its response that are not cached, and pins
// the entries of the program and its prefix. It returns the number of cached blocks and
// the program's entry, or false when pinned entries leave too few blocks.
func (m *kvCache) admit(a *attempt, now time.Duration) (int, *cacheEntry, bool) {
	p := a.call.program
	sharedBlocks := p.spec.PrefixTokens / provider.BlockTokens
	shared := m.entry(p.prefixName)
	own := m.entry(p.spec.ID)
	cached := 0
	if shared.blocks == sharedBlocks {
		cached = sharedBlocks + min(own.blocks, len(a.blocks)-sharedBlocks)
	}
	want := a.finalTokens/provider.BlockTokens + 1 - sharedBlocks
	need := max(0, want-own.blocks) + max(0, sharedBlocks-shared.blocks)
	own.pins++
	shared.pins++
	m.lru.MoveToBack(shared.element)
	m.lru.MoveToBack(own.element)
	if !m.reclaim(need, now) {
		own.pins--
		shared.pins--
		return 0, nil, false
	}
	own.chain, own.firstBlock, own.heldUntil = p.spec.Chain, sharedBlocks, 0
	shared.chain = p.spec.Chain
	m.used += need
	own.blocks = max(own.blocks, want)
	shared.blocks = sharedBlocks
	own.prefix = shared
	return cached, own, true
}

// unpin releases the pins of an attempt that has left the batch.
func (m *kvCache) unpin(e *cacheEntry, _ time.Duration) {
	e.pins--
	e.prefix.pins--
	m.lru.MoveToBack(e.element)
	m.lru.MoveToBack(e.prefix.element)
	if e.releasePending && e.pins == 0 {
		m.remove(e)
	}
}

// reclaim evicts until need blocks are free, held entries last. It reports whether that
// many are free.
func (m *kvCache) reclaim(need int, now time.Duration) bool {
	for _, evictHeld := range []bool{false, true} {
		for element := m.lru.Front(); element != nil && m.free() < need; {
			e := element.Value.(*cacheEntry)
			element = element.Next()
			if e.pins > 0 || (e.heldUntil > now && !evictHeld) {
				continue
			}
			evicted := min(e.blocks, need-m.free())
			m.truncate(e, e.blocks-evicted)
		}
	}
	return m.free() >= need
}

// truncate evicts the last blocks of an entry so that at most the given number remain.
// An entry without blocks and pins is deleted.
func (m *kvCache) truncate(e *cacheEntry, blocks int) {
	if blocks >= e.blocks {
		return
	}
	from, to := e.firstBlock+blocks, min(e.firstBlock+e.blocks, len(e.chain))
	if from < to {
		m.onEvict(e.chain[from:to])
	}
	m.used -= e.blocks - blocks
	e.blocks = blocks
	if blocks == 0 && e.pins == 0 {
		m.lru.Remove(e.element)
		delete(m.entries, e.name)
	}
}

// hold protects a program's entry from eviction until an instant.
func (m *kvCache) hold(name string, until time.Duration) {
	if e := m.entries[name]; e != nil {
		e.heldUntil = until
	}
}

// release evicts a program's entry, at once or when it is no longer pinned.
func (m *kvCache) release(name string) {
	e := m.entries[name]
	if e == nil {
		return
	}
	if e.pins > 0 {
		e.releasePending = true
		return
	}
	m.remove(e)
}

func (m *kvCache) remove(e *cacheEntry) {
	e.releasePending = false
	if e.blocks == 0 {
		m.lru.Remove(e.element)
		delete(m.entries, e.name)
		return
	}
	m.truncate(e, 0)
}
