package receiver

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// smallBytes is the size up to which a body or a response needs no share of the memory pool, so that
// small calls do not wait for large ones. The number of connections bounds their sum.
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

// memoryShare is the share of one call in a pool.
type memoryShare struct {
	pool *memoryPool
	held int64
}

// missing returns the number of bytes that the share lacks to hold the size. A size above the capacity
// of the pool takes all of it.
func (m *memoryShare) missing(size int) int64 {
	if size <= smallBytes {
		return 0
	}
	return max(0, min(int64(size), m.pool.capacity)-m.held)
}

// await enlarges the share to the size once the pool has room. It returns an error if the context
// ends first.
func (m *memoryShare) await(ctx context.Context, size int) error {
	missing := m.missing(size)
	if missing == 0 {
		return nil
	}
	if err := m.pool.semaphore.Acquire(ctx, missing); err != nil {
		return err
	}
	m.held += missing
	return nil
}

// grow enlarges the share to the size if the pool has room now, and reports whether it had.
func (m *memoryShare) grow(size int) bool {
	missing := m.missing(size)
	if missing > 0 && !m.pool.semaphore.TryAcquire(missing) {
		return false
	}
	m.held += missing
	return true
}

// release returns the share to the pool.
func (m *memoryShare) release() {
	if m.held > 0 {
		m.pool.semaphore.Release(m.held)
		m.held = 0
	}
}
