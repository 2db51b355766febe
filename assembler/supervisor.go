package assembler

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"
)

const (
	// maxPanics is the number of panics within panicWindow after which the process ends: an input that
	// comes again with each restart of a loop would otherwise use up the processor.
	maxPanics   = 5
	panicWindow = time.Minute
	// restartDelay is the time from a panic to the restart of a loop.
	restartDelay = 100 * time.Millisecond
)

// supervisor restarts loops of the daemon that panic.
type supervisor struct {
	log *zap.Logger
	// count counts a panic of a loop.
	count func(loop string)
	// fail ends the process.
	fail func(loop string)
	now  func() time.Time
}

// run runs a loop until it returns. After a panic it calls rebuild, which replaces the loop's state and
// may be nil, and runs the loop again.
func (s *supervisor) run(ctx context.Context, name string, loop func(context.Context), rebuild func()) {
	var last []time.Time
	for {
		recovered := panics.Try(func() { loop(ctx) })
		if recovered == nil {
			return
		}
		s.count(name)
		s.log.Error("loop panicked; building its state anew", zap.String("loop", name), zap.String("panic", recovered.String()))
		now := s.now()
		last = append(last, now)
		if first := len(last) - maxPanics; first >= 0 && now.Sub(last[first]) < panicWindow {
			s.fail(name)
			return
		}
		last = last[max(0, len(last)-maxPanics):]
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartDelay):
		}
		if rebuild == nil {
			continue
		}
		if recovered := panics.Try(rebuild); recovered != nil {
			s.log.Error("state of a loop not rebuilt", zap.String("loop", name), zap.String("panic", recovered.String()))
			s.fail(name)
			return
		}
	}
}
