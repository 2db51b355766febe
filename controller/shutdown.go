package controller

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/detector"
)

// drain is the graceful shutdown: the host says that it leaves, hands its shards
// over and lets the requests that it has accepted run to their end.
func (d *Daemon) drain(owning *conc.WaitGroup) {
	d.leaving.Store(true)
	d.logger.Info("daemon is leaving")
	deadline := time.Now().Add(time.Duration(d.settings.Timing.DrainTimeoutMs) * time.Millisecond)
	d.control.Post(detectorMessage{detector.LeaveRequested{}})
	d.owner.Drain()
	// New connections are accepted until the load balancer has seen the daemon
	// unready; their new programs are refused with a hint.
	d.pause(unreadyFor)
	if err := d.server.Shutdown(time.Until(deadline)); err != nil {
		d.logger.Warn("requests were still in progress at the end of the drain", zap.Error(err))
	}
	released := make(chan struct{})
	go func() {
		owning.Wait()
		close(released)
	}()
	select {
	case <-released:
	case <-time.After(time.Until(deadline)):
		d.logger.Warn("shards were not handed over in time")
	case <-d.killedSignal():
	}
	_ = d.monitor.Shutdown()
	d.logger.Info("daemon has left")
}

// unreadyFor is the time for which a leaving daemon still accepts connections.
const unreadyFor = 500 * time.Millisecond

// pause waits, or until the daemon is killed.
func (d *Daemon) pause(wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-d.killedSignal():
	}
}

func (d *Daemon) killedSignal() <-chan struct{} { return d.effectsCtx.Done() }

// Shutdown stops the daemon gracefully and waits until Run has returned.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.stopOnce.Do(func() { close(d.stopping) })
	select {
	case <-d.stopped:
		return nil
	case <-ctx.Done():
		return &Error{operation: "daemon.shutdown", kind: KindTimeout, cause: ctx.Err()}
	}
}

// Kill stops the daemon at once: connections break and nothing more is written.
// Call it only while Run runs.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	d.loopsDone.Store(true)
	d.cancelEffects()
	d.closeListeners()
	d.stopOnce.Do(func() { close(d.stopping) })
	<-d.stopped
}
