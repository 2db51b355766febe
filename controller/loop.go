package controller

import (
	"context"
	"sync"
)

// Loop handles messages of type M one after the other in a single goroutine,
// which owns the state that the handler changes.
type Loop[M any] struct {
	mu     sync.Mutex
	queue  []M
	signal chan struct{}
	closed bool
}

// NewLoop returns a loop; call Run in a goroutine of its own.
func NewLoop[M any]() *Loop[M] {
	return &Loop[M]{signal: make(chan struct{}, 1)}
}

// Post queues a message and reports whether the loop will handle it. It never
// blocks, so that two loops can post to each other; admission bounds the queue.
func (l *Loop[M]) Post(message M) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.queue = append(l.queue, message)
	select {
	case l.signal <- struct{}{}:
	default:
	}
	return true
}

// Len returns the number of messages that wait.
func (l *Loop[M]) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// Run handles messages until the context ends. Messages that are then still
// queued are dropped, and further ones refused.
func (l *Loop[M]) Run(ctx context.Context, handle func(M)) {
	defer l.close()
	var batch []M
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.signal:
		}
		l.mu.Lock()
		batch, l.queue = l.queue, batch[:0]
		l.mu.Unlock()
		for i, message := range batch {
			if ctx.Err() != nil {
				return
			}
			handle(message)
			clear(batch[i : i+1])
		}
	}
}

func (l *Loop[M]) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.queue = nil
}
