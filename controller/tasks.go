package controller

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// tasks are the goroutines of effects. After wait no more can be started.
type tasks struct {
	mu     sync.Mutex
	closed bool
	group  conc.WaitGroup
}

func (t *tasks) start(run func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.group.Go(run)
	return true
}

func (t *tasks) wait() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.group.Wait()
}

// effect runs I/O outside the loops; it reports by posting a message. Its context
// ends with the daemon.
func (d *Daemon) effect(run func(ctx context.Context)) {
	d.effects.start(func() { run(d.effectsCtx) })
}

// after runs a function later, unless the daemon ends before.
func (d *Daemon) after(wait time.Duration, run func()) {
	d.effect(func(ctx context.Context) {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			run()
		}
	})
}

// await waits for the reply of a loop to a message. posted is false when the loop
// did not take the message.
func await[T any](ctx context.Context, d *Daemon, operation string, posted bool, reply <-chan T) (T, error) {
	var zero T
	if !posted {
		return zero, &Error{operation: operation, kind: KindStopped}
	}
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-d.loopsEnded:
		return zero, &Error{operation: operation, kind: KindStopped}
	}
}
