package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/publisher"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// tickEvery is the resolution of the control loop's timers.
const tickEvery = 50 * time.Millisecond

// healthyWithin is how old the last tick of a healthy daemon may be.
const healthyWithin = 5 * time.Second

// Daemon is one running daemon.
type Daemon struct {
	settings parser.Settings
	platform Platform
	logger   *zap.Logger
	control  *Loop[controlMessage]
	programs *Loop[programMessage]
	snapshot atomic.Pointer[Snapshot]
	config   *publisher.Store
	metrics  *metrics
	server   *server.Server
	monitor  *server.Monitor

	storeReachable atomic.Bool
	leaving        atomic.Bool
	inFlight       atomic.Int64
	lastTick       atomic.Int64

	mu        sync.Mutex
	listeners []*server.Listener

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
	d.config = publisher.New(platform.Tables, platform.Clock)
	d.metrics = newMetrics(settings.Host, settings.FailureDomain)
	d.monitor = server.NewMonitor(d, d.metrics.handler)
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

// listen opens one of the daemon's addresses; Kill closes it.
func (d *Daemon) listen(address string) (*server.Listener, error) {
	listener, err := server.Listen(address)
	if err != nil {
		return nil, &Error{operation: "daemon.listen", kind: KindListen, cause: err}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, listener)
	return listener, nil
}

func (d *Daemon) closeListeners() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, listener := range d.listeners {
		listener.CloseAll()
	}
}

// Run serves until the context ends or the daemon is shut down or killed. When the
// context ends it shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.stopped)
	defer d.metrics.close()
	defer d.closeListeners()
	callers, err := d.listen(d.settings.CallerAddress)
	if err != nil {
		return err
	}
	monitor, err := d.listen(d.settings.MetricsAddress)
	if err != nil {
		return err
	}
	loops, stopLoops := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { d.control.Run(loops, (&control{d: d}).handle) })
	group.Go(func() { d.programs.Run(loops, newPrograms(uint64(time.Now().UnixNano())).handle) })
	group.Go(func() { d.tick(loops) })
	group.Go(func() { d.serve("callers", func() error { return d.server.Serve(callers) }) })
	group.Go(func() { d.serve("monitor", func() error { return d.monitor.Serve(monitor) }) })
	d.logger.Info("daemon is running", zap.String("callerAddress", d.settings.CallerAddress))
	select {
	case <-ctx.Done():
	case <-d.stopping:
	}
	if !d.killed.Load() {
		d.drain()
	}
	d.cancelEffects()
	stopLoops()
	d.closeListeners()
	d.effects.Wait()
	group.Wait()
	return nil
}

// drain lets requests in progress run to their end, within the bound.
func (d *Daemon) drain() {
	d.leaving.Store(true)
	d.logger.Info("daemon is leaving")
	timeout := time.Duration(d.settings.Timing.DrainMs) * time.Millisecond
	if err := d.server.Shutdown(timeout); err != nil {
		d.logger.Warn("requests were still in progress at the end of the drain", zap.Error(err))
	}
	_ = d.monitor.Shutdown()
}

func (d *Daemon) serve(name string, run func() error) {
	if err := run(); err != nil && !d.killed.Load() {
		d.logger.Error("listener ended", zap.String("listener", name), zap.Error(err))
	}
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
	d.closeListeners()
	d.stopOnce.Do(func() { close(d.stopping) })
	<-d.stopped
}
