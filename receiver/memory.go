package receiver

import (
	"context"

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
	// reclaim makes calls whose callers are too slow return their shares. It may be nil.
	reclaim func()
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
	if pool == m.small {
		m.heldSmall += bytes
		return
	}
	m.held += bytes
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
			m.reclaim()
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
			m.reclaim()
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
	m.releaseSmall()
	m.shrink(0)
}
