package controller

import (
	"context"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/publisher"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// controlTickEvery is the resolution of the control loop's timers.
const controlTickEvery = 50 * time.Millisecond

// healthyWithin is how old the last tick of a healthy daemon may be.
const healthyWithin = 5 * time.Second

// Daemon is one running daemon.
type Daemon struct {
	settings    parser.Settings
	platform    Platform
	logger      *zap.Logger
	incarnation string
	generation  int
	seed        uint64
	domains     []string

	control   *Loop[controlMessage]
	programs  *Loop[programMessage]
	snapshot  atomic.Pointer[Snapshot]
	owner     Owner
	config    *publisher.Store
	metrics   *metrics
	server    *server.Server
	monitor   *server.MonitoringServer
	messenger *messenger.Messenger

	storeReachable  atomic.Bool
	leaving         atomic.Bool
	loopsDone       atomic.Bool
	inFlight        atomic.Int64
	forwards        atomic.Int64
	violations      atomic.Int64
	lastTick        atomic.Int64
	lastProgramTick atomic.Int64
	counts          atomic.Pointer[sequencer.Counts]

	mu        sync.Mutex
	listeners []*server.Listener
	hints     map[string]hint
	fencing   map[string]int64

	// effects run until effectsCtx ends.
	effects       *tasks
	effectsCtx    context.Context
	cancelEffects context.CancelFunc

	stopOnce   sync.Once
	stopping   chan struct{}
	stopped    chan struct{}
	loopsEnded chan struct{}
	killed     atomic.Bool
}

// New assembles a daemon; it opens no connection and starts no goroutine.
func New(settings parser.Settings, platform Platform, logger *zap.Logger) (*Daemon, error) {
	if platform.Clock == nil {
		platform.Clock = systemClock{}
	}
	platform.Objects = boundedObjects{platform.Objects}
	now := platform.Clock.Now()
	d := &Daemon{
		settings: settings, platform: platform, incarnation: uuid.NewString(), generation: int(now.UnixMilli()),
		seed:    maphash.String(maphash.MakeSeed(), settings.Host),
		control: NewLoop[controlMessage](), programs: NewLoop[programMessage](),
		effects:  &tasks{},
		stopping: make(chan struct{}), stopped: make(chan struct{}), loopsEnded: make(chan struct{}),
	}
	d.logger = logger.With(zap.String("host", settings.Host))
	for _, domain := range settings.Domains {
		d.domains = append(d.domains, domain.Name)
	}
	d.snapshot.Store(&Snapshot{})
	d.effectsCtx, d.cancelEffects = context.WithCancel(context.Background())
	d.lastTick.Store(now.UnixNano())
	d.lastProgramTick.Store(now.UnixNano())
	security, err := peerTLS(settings)
	if err != nil {
		return nil, err
	}
	d.messenger = messenger.New(messenger.Settings{
		Host: settings.Host, Token: settings.Platform.Token, TLS: security, Dial: platform.Dial,
	}, d, d.logger)
	d.owner = newOwner(d)
	d.config = publisher.New(platform.Tables, platform.Clock)
	d.metrics = newMetrics(settings.Host, settings.FailureDomain)
	d.monitor = server.NewMonitoringServer(d, d.metrics.handler)
	d.server = server.New(d, server.NewKeyring(settings.Keys), d.logger)
	return d, nil
}

func (d *Daemon) newID() string { return uuid.NewString() }

// Deliver passes a message to the sequencer.
func (d *Daemon) Deliver(message sequencer.Message) { d.programs.Post(sequencerMessage{message}) }

// Query runs a function in the program loop.
func (d *Daemon) Query(query func(*sequencer.State)) bool {
	return d.programs.Post(programQuery{func(p *programs) { query(p.sequencer) }})
}

// TakeShard takes an idle shard away from the program loop.
func (d *Daemon) TakeShard(shard string, taken func(snapshot []byte)) bool {
	return d.programs.Post(programQuery{func(p *programs) {
		if !p.sequencer.ShardIdle(shard) {
			taken(nil)
			return
		}
		snapshot := p.sequencer.Snapshot(shard)
		p.sequence(sequencer.ShardReleased{Shard: shard})
		taken(snapshot)
	}})
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
	if d.killed.Load() {
		listener.CloseAll()
	}
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
	var listeners [3]*server.Listener
	addresses := []string{d.settings.CallerAddress, d.settings.PeerAddress, d.settings.MetricsAddress}
	for i, address := range addresses {
		listener, err := d.listen(address)
		if err != nil {
			return err
		}
		listeners[i] = listener
	}
	loops, stopLoops := context.WithCancel(context.Background())
	ownerCtx, stopOwner := context.WithCancel(context.Background())
	var group, owning conc.WaitGroup
	group.Go(func() { d.control.Run(loops, newControl(d).handle) })
	group.Go(func() { d.programs.Run(loops, newPrograms(d).handle) })
	group.Go(func() { d.tick(loops, controlTickEvery, func() { d.control.Post(controlTick{}) }) })
	group.Go(func() { d.tick(loops, programTickEvery, func() { d.programs.Post(programTick{}) }) })
	group.Go(func() { d.serveListener("callers", func() error { return d.server.Serve(listeners[0]) }) })
	group.Go(func() { d.serveListener("peers", func() error { return d.messenger.Serve(listeners[1]) }) })
	group.Go(func() { d.serveListener("monitor", func() error { return d.monitor.Serve(listeners[2]) }) })
	owning.Go(func() { d.owner.Run(ownerCtx) })
	d.logger.Info("daemon is running", zap.String("callerAddress", d.settings.CallerAddress),
		zap.String("incarnation", d.incarnation))
	select {
	case <-ctx.Done():
	case <-d.stopping:
	}
	if !d.killed.Load() {
		d.drain(&owning)
	}
	stopOwner()
	owning.Wait()
	d.loopsDone.Store(true)
	stopLoops()
	d.cancelEffects()
	close(d.loopsEnded)
	d.closeListeners()
	d.messenger.Close()
	d.effects.wait()
	group.Wait()
	return nil
}

func (d *Daemon) serveListener(name string, run func() error) {
	if err := run(); err != nil && !d.killed.Load() && !d.leaving.Load() {
		d.logger.Error("listener ended", zap.String("listener", name), zap.Error(err))
	}
}

func (d *Daemon) tick(ctx context.Context, every time.Duration, post func()) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		post()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
