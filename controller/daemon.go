package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// tickEvery is the resolution of the control loop's timers.
const tickEvery = 50 * time.Millisecond

// Daemon is one running daemon.
type Daemon struct {
	settings parser.Settings
	platform Platform
	logger   *zap.Logger
	control  *Loop[controlMessage]
	programs *Loop[programMessage]
	snapshot atomic.Pointer[Snapshot]
	server   *server.Server
	listener *server.Listener

	// effects run until effectsDone is cancelled.
	effects       conc.WaitGroup
	effectsCtx    context.Context
	cancelEffects context.CancelFunc

	stopOnce sync.Once
	stopping chan struct{}
	stopped  chan struct{}
	killed   atomic.Bool
}

// New assembles a daemon; it opens no connection and starts no goroutine.
func New(settings parser.Settings, platform Platform, logger *zap.Logger) (*Daemon, error) {
	if platform.Clock == nil {
		platform.Clock = systemClock{}
	}
	d := &Daemon{
		settings: settings, platform: platform, logger: logger.With(zap.String("host", settings.Host)),
		control: NewLoop[controlMessage](), programs: NewLoop[programMessage](),
		stopping: make(chan struct{}), stopped: make(chan struct{}),
	}
	d.snapshot.Store(&Snapshot{})
	d.effectsCtx, d.cancelEffects = context.WithCancel(context.Background())
	d.server = server.New(d, server.NewKeyring(settings.Keys), d.logger)
	return d, nil
}

// effect runs I/O outside the loops; it reports by posting a message.
func (d *Daemon) effect(run func(ctx context.Context)) {
	if d.effectsCtx.Err() != nil {
		return
	}
	d.effects.Go(func() { run(d.effectsCtx) })
}

// Run serves until the context ends or the daemon is shut down or killed. When the
// context ends it shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.stopped)
	listener, err := server.Listen(d.settings.CallerAddress)
	if err != nil {
		return &Error{operation: "daemon.listen", kind: KindListen, cause: err}
	}
	d.listener = listener
	loops, stopLoops := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { d.control.Run(loops, (&control{d: d}).handle) })
	group.Go(func() { d.programs.Run(loops, newPrograms(uint64(time.Now().UnixNano())).handle) })
	group.Go(func() { d.tick(loops) })
	group.Go(func() {
		if err := d.server.Serve(listener); err != nil && !d.killed.Load() {
			d.logger.Error("server ended", zap.Error(err))
		}
	})
	d.logger.Info("daemon is running", zap.String("callerAddress", listener.Addr().String()))
	select {
	case <-ctx.Done():
	case <-d.stopping:
	}
	if !d.killed.Load() {
		_ = d.server.Shutdown(time.Duration(d.settings.Timing.DrainMs) * time.Millisecond)
	}
	d.cancelEffects()
	stopLoops()
	listener.CloseAll()
	d.effects.Wait()
	group.Wait()
	return nil
}

func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		d.control.Post(controlTick{})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

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
func (d *Daemon) Kill() {
	d.killed.Store(true)
	d.cancelEffects()
	if l := d.listener; l != nil {
		l.CloseAll()
	}
	d.stopOnce.Do(func() { close(d.stopping) })
	<-d.stopped
}
