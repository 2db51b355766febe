package recorder

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// Memory is the share of a call in the memory that is kept until calls end.
type Memory interface {
	// Resize changes the share to a number of bytes. It waits for room, and fails if the context ends first.
	Resize(ctx context.Context, bytes int) error
}

// workMemory bounds the memory that reading, sending and writing turns takes at a time. It is safe for
// concurrent use.
type workMemory struct {
	semaphore *semaphore.Weighted
	capacity  int64
}

func newWorkMemory(capacity int64) *workMemory {
	return &workMemory{semaphore: semaphore.NewWeighted(capacity), capacity: capacity}
}

// workShare is the memory of one task. It is used by one goroutine.
type workShare struct {
	memory *workMemory
	bytes  int64
}

func (m *workMemory) newShare() *workShare { return &workShare{memory: m} }

// grow enlarges the share to a number of bytes, or to all of the memory if there is less. To do so, it is released
// first: tasks that wait for each other's memory would wait without end.
func (s *workShare) grow(ctx context.Context, bytes int) error {
	want := min(int64(bytes), s.memory.capacity)
	if want <= s.bytes {
		return nil
	}
	s.release()
	if err := s.memory.semaphore.Acquire(ctx, want); err != nil {
		return NewError("take memory", KindNoMemory, err)
	}
	s.bytes = want
	return nil
}

// shrink reduces the share to a number of bytes.
func (s *workShare) shrink(bytes int) {
	if excess := s.bytes - int64(bytes); excess > 0 {
		s.memory.semaphore.Release(excess)
		s.bytes -= excess
	}
}

func (s *workShare) release() { s.shrink(0) }
