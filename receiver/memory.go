package receiver

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// smallBytes is the size up to which a body or a response takes its memory from a pool of its own, so that
// small calls do not wait for large ones.
const smallBytes = 32 << 10

// memoryPool bounds the memory that the bodies, or the responses, of all calls take together. It is
// safe for concurrent use.
type memoryPool struct {
	semaphore *semaphore.Weighted
	capacity  int64
}

func newMemoryPool(capacity int64) *memoryPool {
	return &memoryPool{semaphore: semaphore.NewWeighted(capacity), capacity: capacity}
}

// memoryShare is the share of one call in the pools.
type memoryShare struct {
	// pool holds sizes above smallBytes, small the others. Without small, these need no share.
	pool, small *memoryPool
	held        int64
	heldSmall   int64
	// reclaim makes the calls whose callers are the slowest of those with a share of the pool return at least the
	// bytes. It may be nil.
	reclaim func(kind poolKind, bytes int64)
	// kind and taken are the pool in which the share is and its size there, for other goroutines.
	kind  atomic.Int32
	taken atomic.Int64
}

// poolKind names the pool in which a share is.
type poolKind int32

const (
	noPool poolKind = iota
	smallPool
	largePool
)

// kindOf returns the kind of one of the share's pools.
func (m *memoryShare) kindOf(pool *memoryPool) poolKind {
	if pool == m.small {
		return smallPool
	}
	return largePool
}

// request returns the pool that holds the size and the number of bytes that the share lacks there. A size
// above the capacity of the pool takes all of it.
func (m *memoryShare) request(size int) (*memoryPool, int64) {
	pool, held := m.pool, m.held
	if size <= smallBytes {
		pool, held = m.small, m.heldSmall
	}
	if pool == nil || size <= smallBytes && m.held > 0 {
		return nil, 0
	}
	return pool, max(0, min(int64(size), pool.capacity)-held)
}

// add records memory of a pool. Memory of the large pool replaces that of the small one.
func (m *memoryShare) add(pool *memoryPool, bytes int64) {
	m.kind.Store(int32(m.kindOf(pool)))
	if pool == m.small {
		m.heldSmall += bytes
		m.taken.Store(m.heldSmall)
		return
	}
	m.held += bytes
	m.taken.Store(m.held)
	m.releaseSmall()
}

// await enlarges the share to the size once the pool has room. It returns an error if the context
// ends first.
func (m *memoryShare) await(ctx context.Context, size int) error {
	pool, missing := m.request(size)
	if missing == 0 {
		return nil
	}
	if !pool.semaphore.TryAcquire(missing) {
		if m.reclaim != nil {
			m.reclaim(m.kindOf(pool), missing)
		}
		if err := pool.semaphore.Acquire(ctx, missing); err != nil {
			return err
		}
	}
	m.add(pool, missing)
	return nil
}

// grow enlarges the share to the size if the pool has room now, and reports whether it had.
func (m *memoryShare) grow(size int) bool {
	pool, missing := m.request(size)
	if missing == 0 {
		return true
	}
	if !pool.semaphore.TryAcquire(missing) {
		if m.reclaim != nil {
			m.reclaim(m.kindOf(pool), missing)
		}
		return false
	}
	m.add(pool, missing)
	return true
}

// shrink reduces a share of the large pool to the size.
func (m *memoryShare) shrink(size int) {
	if excess := m.held - int64(size); excess > 0 {
		m.pool.semaphore.Release(excess)
		m.held -= excess
		m.taken.Store(m.held)
	}
}

func (m *memoryShare) releaseSmall() {
	if m.heldSmall > 0 {
		m.small.semaphore.Release(m.heldSmall)
		m.heldSmall = 0
	}
}

// release returns the share to the pools.
func (m *memoryShare) release() {
	m.kind.Store(int32(noPool))
	m.releaseSmall()
	m.shrink(0)
}
