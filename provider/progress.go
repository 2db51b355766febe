package provider

import (
	"context"
	"time"
)

// progressKey is the key of the function that a context carries for WithProgress.
type progressKey struct{}

// WithProgress returns a context whose function is called with the number of bytes as each part of a
// response arrives, 0 for its head. The function may be called by other goroutines.
func WithProgress(ctx context.Context, f func(bytes int)) context.Context {
	if outer, ok := ctx.Value(progressKey{}).(func(bytes int)); ok {
		inner := f
		f = func(bytes int) { inner(bytes); outer(bytes) }
	}
	return context.WithValue(ctx, progressKey{}, f)
}

// ReportProgress tells the functions of WithProgress that a part of a response has arrived.
func ReportProgress(ctx context.Context, bytes int) {
	if f, ok := ctx.Value(progressKey{}).(func(bytes int)); ok {
		f(bytes)
	}
}

// WithStallTimeout returns a context that ends with the cause context.DeadlineExceeded once no
// progress has been reported for the limit.
func WithStallTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	ctx = WithProgress(ctx, func(int) {
		// A timer that has ended must not start again, since nothing would stop it.
		if timer.Stop() {
			timer.Reset(limit)
		}
	})
	return ctx, func() { timer.Stop(); cancel(context.Canceled) }
}
