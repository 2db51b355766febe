package bencher

import (
	"container/list"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// entry is the cached part of one program, or one shared prefix.
type entry struct {
	name   string
	chain  []uint64
	first  int
	blocks int
	pins   int
	held   time.Duration
	shared *entry
	place  *list.Element
	gone   bool
}

// memory is the KV memory of a fake engine: least recently used entries lose
// their last blocks first; running and held ones stay.
type memory struct {
	total   int
	used    int
	entries map[string]*entry
	order   *list.List
	evicted func(hashes []uint64)
}

func newMemory(total int, evicted func([]uint64)) *memory {
	return &memory{total: total, entries: map[string]*entry{}, order: list.New(), evicted: evicted}
}

func (m *memory) free() int { return m.total - m.used }

func (m *memory) get(name string) *entry {
	e := m.entries[name]
	if e == nil {
		e = &entry{name: name}
		m.entries[name] = e
		e.place = m.order.PushBack(e)
	}
	return e
}

// admit finds the cached blocks of a prompt and allocates the rest with the
// answer. It returns false when running and held programs leave too little.
func (m *memory) admit(j *job, now time.Duration) (int, *entry, bool) {
	p := j.run.program
	sharedBlocks := p.spec.PrefixTokens / provider.BlockTokens
	shared := m.get(p.sharedName)
	own := m.get(p.spec.ID)
	cached := 0
	if shared.blocks == sharedBlocks {
		cached = sharedBlocks + min(own.blocks, len(j.blocks)-sharedBlocks)
	}
	want := j.final/provider.BlockTokens + 1 - sharedBlocks
	need := max(0, want-own.blocks) + max(0, sharedBlocks-shared.blocks)
	own.pins++
	shared.pins++
	m.order.MoveToBack(shared.place)
	m.order.MoveToBack(own.place)
	if !m.reclaim(need, now) {
		own.pins--
		shared.pins--
		return 0, nil, false
	}
	own.chain, own.first, own.held = p.spec.Chain, sharedBlocks, 0
	shared.chain = p.spec.Chain
	m.used += need
	own.blocks = max(own.blocks, want)
	shared.blocks = sharedBlocks
	own.shared = shared
	return cached, own, true
}

func (m *memory) unpin(e *entry, _ time.Duration) {
	e.pins--
	e.shared.pins--
	m.order.MoveToBack(e.place)
	m.order.MoveToBack(e.shared.place)
	if e.gone && e.pins == 0 {
		m.drop(e)
	}
}

// reclaim evicts until need blocks are free; holds give way last.
func (m *memory) reclaim(need int, now time.Duration) bool {
	for _, force := range []bool{false, true} {
		for place := m.order.Front(); place != nil && m.free() < need; {
			e := place.Value.(*entry)
			place = place.Next()
			if e.pins > 0 || (e.held > now && !force) {
				continue
			}
			cut := min(e.blocks, need-m.free())
			m.cut(e, e.blocks-cut)
		}
	}
	return m.free() >= need
}

func (m *memory) cut(e *entry, blocks int) {
	if blocks >= e.blocks {
		return
	}
	from, to := e.first+blocks, min(e.first+e.blocks, len(e.chain))
	if from < to {
		m.evicted(e.chain[from:to])
	}
	m.used -= e.blocks - blocks
	e.blocks = blocks
	if blocks == 0 && e.pins == 0 {
		m.order.Remove(e.place)
		delete(m.entries, e.name)
	}
}

func (m *memory) hold(name string, until time.Duration) {
	if e := m.entries[name]; e != nil {
		e.held = until
	}
}

func (m *memory) release(name string) {
	e := m.entries[name]
	if e == nil {
		return
	}
	if e.pins > 0 {
		e.gone = true
		return
	}
	m.drop(e)
}

func (m *memory) drop(e *entry) {
	e.gone = false
	if e.blocks == 0 {
		m.order.Remove(e.place)
		delete(m.entries, e.name)
		return
	}
	m.cut(e, 0)
}
