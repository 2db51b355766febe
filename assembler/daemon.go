package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/allocator"
	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/borrower"
	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
	"github.com/dogwoodweir/dogwoodweir/limiter"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/receiver"
	"github.com/dogwoodweir/dogwoodweir/recorder"
	"github.com/dogwoodweir/dogwoodweir/registrar"
	"github.com/dogwoodweir/dogwoodweir/relayer"
	"github.com/dogwoodweir/dogwoodweir/replicator"
	"github.com/dogwoodweir/dogwoodweir/surveyor"
)

const (
	// targetGracePeriod is how long a target stays in use whose entry expired during an
	// outage of the store. Targets register again within about two seconds.
	targetGracePeriod = 2200 * time.Millisecond
	// turnCacheFraction is the fraction of the memory limit that turns in memory may use.
	turnCacheFraction = 0.06
	// tokenReturnMargin is the part of the grace period that is reserved for returning
	// unused tokens after the last responses.
	tokenReturnMargin = 900 * time.Millisecond
	// lastResponseMargin is the time in which the last responses are written before their connections
	// are closed.
	lastResponseMargin = 150 * time.Millisecond
	// tokenReturnTimeout limits the return of unused tokens at the end.
	tokenReturnTimeout = 500 * time.Millisecond
	// ownershipReleaseTimeout limits the release of partitions of budget rows after that.
	ownershipReleaseTimeout = 300 * time.Millisecond
	// peerStallTimeout closes a connection to a peer on which nothing has arrived for
	// this long while a reply is overdue.
	peerStallTimeout = time.Second
	// peerPingInterval is less than a third of peerStallTimeout, so that one late ping does not close
	// the connection.
	peerPingInterval = 300 * time.Millisecond
	// peerDialTimeout limits the opening of a connection to a peer.
	peerDialTimeout = 300 * time.Millisecond
	// listedTimeout is how long a daemon waits for the list of daemons before it follows the tables.
	listedTimeout = 2 * time.Second
	// maintenanceInterval is the interval at which idle connections are closed and gauges
	// are updated.
	maintenanceInterval = time.Second
	// inboxSize is the capacity of the follower's inbox, enough for a burst of changes.
	inboxSize = 256
)

// Dialect translates the platform's headers and provides the path of its readiness check.
type Dialect interface {
	forwarder.Dialect
	ReadyPath() string
}

// Dependencies holds the platform's implementations that a daemon needs.
type Dependencies struct {
	Store   provider.RowStore
	Catalog follower.Catalog
	Dialect Dialect
}

// readinessState holds the conditions of the readiness check.
type readinessState struct {
	configured    atomic.Bool
	targetsListed atomic.Bool
	stopping      atomic.Bool
}

func (r *readinessState) update(s *follower.State) {
	r.configured.Store(s.Configuration() != nil)
	r.targetsListed.Store(s.TargetsKnown())
}

func (r *readinessState) ready() bool {
	return r.configured.Load() && r.targetsListed.Load() && !r.stopping.Load()
}

// Daemon is an entry daemon.
type Daemon struct {
	settings     Settings
	dependencies Dependencies
	log          *zap.Logger
	messenger    *messenger.Messenger
	registrar    *registrar.Registrar
	store        *relayer.Store
	// replicas is the store with the tables that daemons of a failure domain share.
	replicas  *replicator.Store
	metrics   *metrics
	readiness *readinessState
	forwarder *forwarder.Forwarder
	recorder  *recorder.Recorder
	borrower  *borrower.Borrower
	limiter   *limiter.Limiter
	receiver  *receiver.Receiver
	surveyor  *surveyor.Runner
	// owners owns partitions of the second rows of budgets.
	owners   *allocator.Runner
	follower *followerRunner
	// configurationFeed and targetFeed bring the follower up to date.
	configurationFeed *feed
	targetFeed        *feed
	callers           *callerServer
	supervisor        *supervisor
	pauses            *pauseGuard
	targets           atomic.Pointer[map[string]follower.Target]
}

// messengerSettings returns the settings of the connections to other daemons.
func messengerSettings(host string) messenger.Settings {
	return messenger.Settings{
		Host: host, PingInterval: peerPingInterval, StallTimeout: peerStallTimeout, DialTimeout: peerDialTimeout,
	}
}

// New returns a daemon. Run starts it.
func New(settings Settings, dependencies Dependencies, log *zap.Logger) *Daemon {
	d := &Daemon{
		settings: settings, dependencies: dependencies, log: log, readiness: &readinessState{}, metrics: newMetrics(settings),
	}
	d.supervisor = &supervisor{
		log: log, count: d.metrics.countPanic, now: time.Now,
		fail: func(loop string) { log.Fatal("loop panics too often; ending the process", zap.String("loop", loop)) },
	}
	d.messenger = messenger.New(messengerSettings(settings.Host), peerHandler{daemon: d}, log)
	entry := registrar.Entry{
		Host: settings.Host, Address: settings.PeerAddress, Domain: settings.FailureDomain, Region: settings.Region,
	}
	d.store = relayer.New(dependencies.Store, d.messenger, func() []messenger.Peer { return d.registrar.Peers() },
		relayer.DefaultOptions(), d.metrics.recordStoreCall, log)
	d.registrar = registrar.New(d.store, entry, log)
	seed := uint64(os.Getpid())<<32 ^ uint64(time.Now().UnixNano())
	batcherOptions := batcher.DefaultOptions()
	batcherOptions.Seed = seed
	incarnation := uuid.NewString()
	d.borrower = borrower.New(d.messenger, d.registrar, settings.Host, incarnation, borrower.DefaultOptions(), log)
	d.owners = allocator.NewRunner(allocator.Dependencies{
		Store: d.store, Clock: bootClock{}, Messenger: d.messenger,
		Identity: allocator.Identity{Host: settings.Host, Incarnation: incarnation, Boot: bootID()},
		Domain:   settings.FailureDomain, Others: d.ownerCandidates, Listed: d.registrar.Listed(),
		RowTable: recorder.ProgramTable, Partitions: recorder.ProgramPartitions(), IsSecondRow: recorder.IsSecondRow,
	}, allocator.DefaultOptions(), log)
	var secondRows recorder.SecondRows
	if settings.OwnSecondRows {
		secondRows = d.owners
	}
	limits := hostBounds(settings.MemoryLimitBytes, settings.MaxDescriptors)
	accountantOptions := accountant.DefaultOptions()
	accountantOptions.MaxBytes = limits.ProgramBytes
	d.recorder = recorder.New(d.store, secondRows, d.borrower, recorder.Options{
		Batcher: batcherOptions, Accountant: accountantOptions, Host: settings.Host, Incarnation: incarnation,
		CacheBytes: int(turnCacheFraction * float64(settings.MemoryLimitBytes)), MaxChainBytes: int(limits.CallBytes),
		WorkBytes: limits.HistoryWorkBytes, LendBytes: limits.HistoryLendBytes, RowBytes: settings.Store.MaxRowBytes,
	}, log)
	d.limiter = limiter.New(limiter.Dependencies{
		Store: d.store, Peers: limiter.NewPeers(d.messenger), Daemons: d.registrar.Entries, Refresh: d.registrar.Refresh, Clock: bootClock{}, Observe: d.metrics.quotaObserver(), Log: log,
	}, limiter.Settings{
		Own: entry, Incarnation: uuid.NewString(), Domains: max(1, len(settings.RegionByDomain)), Regions: countRegions(settings), Seed: seed,
	})
	forwarderOptions := forwarder.DefaultOptions()
	forwarderOptions.MaxConnections = limits.TargetConnections
	d.forwarder = forwarder.New(dependencies.Dialect, forwarderOptions)
	location := dispatcher.Location{Domain: settings.FailureDomain, Region: settings.Region}
	receiverOptions := receiver.DefaultOptions()
	receiverOptions.MemoryBytes = limits.CallBytes
	receiverOptions.SmallBodyBytes, receiverOptions.SmallResponseBytes = limits.SmallBodyBytes, limits.SmallResponseBytes
	receiverOptions.MaxKeyAge = settings.RevocationBound
	if settings.ConfigurationBound > 0 {
		// A change arrives before the end of a feed request's wait, so that the age between two
		// responses says nothing yet.
		receiverOptions.MaxConfigurationAge = settings.ConfigurationBound + feedWait
	}
	d.receiver = receiver.New(receiver.Dependencies{
		Dialect: dependencies.Dialect, Forwarder: d.forwarder, Recorder: d.recorder, Limiter: d.limiter,
		CallLog: newCallLogger(log, d.metrics), Clock: bootClock{},
		DaemonCount:  func() int { return len(d.registrar.Peers()) + 1 },
		Alone:        func() bool { return d.store.AccessMode() == relayer.Alone },
		AwaitCurrent: func(ctx context.Context) { d.pauses.await(ctx) },
		FeedAge: func() time.Duration {
			now := time.Now()
			return max(d.configurationFeed.age(now), d.targetFeed.age(now))
		},
		TargetLeaving:    func(id string, startedAt int64) { d.follower.announceLeaving(id, startedAt) },
		ConfigurationAge: func() time.Duration { return d.configurationFeed.age(time.Now()) },
	}, dispatcher.New(dispatcher.DefaultOptions(), location, seed), receiverOptions)
	d.surveyor = surveyor.NewRunner(surveyor.Dependencies{
		Messenger: d.messenger, Clock: bootClock{}, Log: log, Host: settings.Host, Peers: d.domainPeers, Calls: d.receiver.EngineCalls,
		Publish: func(inFlight map[string]int, age time.Duration) {
			d.receiver.UpdateDispatcher(dispatcher.LoadReported{InFlight: inFlight, At: time.Now().Add(-age)})
		},
	}, surveyor.DefaultOptions())
	d.callers = newCallerServer(d.receiver, log)
	d.callers.maxConnections, d.callers.dropSlowestBody = limits.CallerConnections, d.receiver.DropSlowestBody
	d.callers.maxQueuedBytes = limits.QueuedBytes
	d.pauses = newPauseGuard(bootClock{}, func() []*feed { return []*feed{d.configurationFeed, d.targetFeed} }, log)
	d.follower = &followerRunner{
		state: follower.New(follower.Options{GracePeriod: targetGracePeriod}), catalog: dependencies.Catalog,
		regionByDomain: settings.RegionByDomain, log: log, inbox: make(chan followerInput, inboxSize), readiness: d.readiness,
		applyConfiguration: func(c *follower.Configuration) {
			d.receiver.SetConfiguration(c)
			d.callers.setLimits(c.Limits)
			if settings.OwnSecondRows && c.HasEngines() {
				// A program that is the first to need the second half of its budget would wait for an owner.
				d.owners.Activate()
			}
			d.limiter.SetQuotas(quotas(c))
		},
		dispatch:       func(m dispatcher.Message) { d.receiver.UpdateDispatcher(m) },
		publishTargets: d.publishTargets, onStoreResponse: d.recorder.NotifyStoreReachable,
		accessMode: d.store.AccessMode, onTick: func() { d.pauses.observe() },
	}
	d.replicas = replicator.New(d.store, d.messenger, regionDaemon(entry), d.regionDaemons,
		replicator.DefaultOptions(dependencies.Catalog.ConfigurationTable(), dependencies.Catalog.TargetTable()), log)
	d.configurationFeed, d.targetFeed = d.follower.configurationFeed(d.replicas), d.follower.targetFeed(d.replicas)
	return d
}

func (d *Daemon) publishTargets(targets map[string]follower.Target) {
	published := make(map[string]follower.Target, len(targets))
	var ownDomain []string
	for id, t := range targets {
		published[id] = t
		if t.Domain == d.settings.FailureDomain {
			ownDomain = append(ownDomain, id)
		}
	}
	d.targets.Store(&published)
	d.surveyor.SetTargets(ownDomain)
}

// Run serves until the context ends, then shuts down gracefully. It returns an error only if
// a listener cannot be opened.
func (d *Daemon) Run(ctx context.Context) error {
	callListener, err := listen(d.settings.CallerAddress, callerBufferBytes)
	if err != nil {
		return err
	}
	readinessListener, err := listen(d.settings.ReadinessAddress, 0)
	if err != nil {
		return errors.Join(err, callListener.Close())
	}
	peerListener, err := listen(d.settings.PeerAddress, 0)
	if err != nil {
		return errors.Join(err, callListener.Close(), readinessListener.Close())
	}
	d.log.Info("start", zap.String("host", d.settings.Host), zap.String("domain", d.settings.FailureDomain),
		zap.String("callers", d.settings.CallerAddress), zap.String("store", d.settings.Store.Address))
	// Background tasks outlive the server for callers, whose last calls need them.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var tasks conc.WaitGroup
	for _, task := range []struct {
		name    string
		run     func(context.Context)
		rebuild func()
	}{
		{"recorder", d.recorder.Run, d.recorder.Rebuild},
		{"cleanUp", d.recorder.RunCleanup, nil},
		{"settlement", func(ctx context.Context) { d.borrower.RunSettlement(ctx, d.recorder) }, nil},
		{"follower", d.follower.run, func() { d.follower.rebuild(d.configurationFeed, d.targetFeed) }},
		{"feeds", d.runFeeds, nil},
		{"maintenance", d.runMaintenance, nil},
		{"registrar", d.registrar.Run, nil},
		{"owners", d.owners.Run, nil},
		{"limiter", d.limiter.Run, nil},
		{"surveyor", d.shareLoad, nil},
	} {
		tasks.Go(func() { d.supervisor.run(background, task.name, task.run, task.rebuild) })
	}
	readinessServer := &http.Server{Handler: d.readinessHandler(), ReadHeaderTimeout: time.Second}
	tasks.Go(func() { d.serve("readiness", readinessServer, readinessListener) })
	metricsServer := d.serveMetrics(&tasks)
	tasks.Go(func() {
		if err := d.messenger.Serve(peerListener); err != nil {
			d.log.Error("listener failed", zap.String("listener", "peers"), zap.Error(err))
		}
	})
	d.callers.setListener(callListener)
	tasks.Go(d.callers.serve)

	<-ctx.Done()
	d.stop()
	cancel()
	// Errors on closing listeners have no effect at the end of the process.
	_ = readinessServer.Close()
	if metricsServer != nil {
		_ = metricsServer.Close()
	}
	_ = d.callers.close()
	d.messenger.Close()
	tasks.Wait()
	d.log.Info("stopped", zap.String("host", d.settings.Host))
	return nil
}

// shareLoad exchanges the calls at engines with the daemons of the failure domain, if that is switched on.
func (d *Daemon) shareLoad(ctx context.Context) {
	if d.settings.ShareLoad {
		d.surveyor.Run(ctx)
	}
}

// runFeeds follows the tables. It begins when the other daemons are known, from whose copies a daemon
// of a large region reads the tables.
func (d *Daemon) runFeeds(ctx context.Context) {
	select {
	case <-d.registrar.Listed():
	case <-time.After(listedTimeout):
	case <-ctx.Done():
		return
	}
	var feeds conc.WaitGroup
	// A feed that is run again reads its whole table.
	feeds.Go(func() { d.supervisor.run(ctx, "configurationFeed", d.configurationFeed.run, nil) })
	feeds.Go(func() { d.supervisor.run(ctx, "targetFeed", d.targetFeed.run, nil) })
	feeds.Wait()
}

// stop makes the readiness check fail, waits for running calls to finish and returns unused
// tokens. No call that arrives after the listener has closed is read.
func (d *Daemon) stop() {
	began := time.Now()
	d.readiness.stopping.Store(true)
	d.log.Info("stopping", zap.Int64("serving", d.receiver.InFlightCalls()))
	d.callers.beginShutdown()
	end := began.Add(d.settings.GracePeriod - tokenReturnMargin)
	d.receiver.BeginStop(bootClock{}.Now().Add(d.settings.ShutdownDelay), bootClock{}.Now().Add(time.Until(end)-lastResponseMargin))
	time.Sleep(d.settings.ShutdownDelay)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := d.callers.shutdown(ctx); err != nil {
		d.log.Warn("grace period ended before all calls; closing their connections",
			zap.Int64("serving", d.receiver.InFlightCalls()), zap.Error(err))
	}
	returnCtx, cancelReturn := context.WithTimeout(context.Background(), tokenReturnTimeout)
	defer cancelReturn()
	var returns conc.WaitGroup
	returns.Go(func() { d.recorder.ReturnTokens(returnCtx) })
	returns.Go(func() { d.limiter.ReturnFractions(returnCtx) })
	returns.Wait()
	releaseCtx, cancelRelease := context.WithTimeout(context.Background(), ownershipReleaseTimeout)
	defer cancelRelease()
	if err := d.owners.Release(releaseCtx); err != nil {
		d.log.Warn("ownership of budget rows not released; it will expire", zap.Error(err))
	}
	d.log.Info("finished serving callers", zap.Int64("serving", d.receiver.InFlightCalls()), zap.Duration("took", time.Since(began)))
}

// storeAllowsServing reports whether access to the store lets the daemon serve callers. It
// returns false if neither the store nor a peer can be reached, since other daemons may
// still reach the store. In an outage that peers confirm, the daemon keeps serving.
func (d *Daemon) storeAllowsServing() bool { return d.store.AccessMode() != relayer.Alone }

func (d *Daemon) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.dependencies.Dialect.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !d.readiness.ready() || !d.storeAllowsServing() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (d *Daemon) serve(name string, server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("listener failed", zap.String("listener", name), zap.Error(err))
	}
}

func (d *Daemon) serveMetrics(tasks *conc.WaitGroup) *http.Server {
	if d.settings.MetricsPort == 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(d.settings.CallerAddress)
	if err != nil {
		d.log.Error("metrics not served", zap.Error(err))
		return nil
	}
	l, err := listen(net.JoinHostPort(host, strconv.Itoa(d.settings.MetricsPort)), 0)
	if err != nil {
		d.log.Error("metrics not served", zap.Error(err))
		return nil
	}
	server := &http.Server{Handler: d.metrics.handler, ReadHeaderTimeout: time.Second}
	tasks.Go(func() { d.serve("metrics", server, l) })
	return server
}

// InFlightCalls returns the number of calls that are being served.
func (d *Daemon) InFlightCalls() int64 { return d.receiver.InFlightCalls() }

// reportClosed counts the connections of callers that were closed to stay within the limits, and logs them in
// one line.
func (d *Daemon) reportClosed() {
	closed := d.callers.takeClosed()
	if len(closed) == 0 {
		return
	}
	for reason, n := range closed {
		d.metrics.countClosedConnections(reason, n)
	}
	d.log.Warn("closed connections of callers to stay within the limits", zap.Any("closed", closed),
		zap.Int("open", d.callers.connectionCount()), zap.Int("limit", d.callers.maxConnections))
}

// runMaintenance closes idle connections and updates gauges at an interval.
func (d *Daemon) runMaintenance(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		d.forwarder.CloseStale(func(id string) bool {
			targets := d.targets.Load()
			if targets == nil {
				return false
			}
			_, ok := (*targets)[id]
			return ok
		})
		d.callers.closeTimedOut(time.Now())
		d.callers.limitQueued(time.Now())
		d.receiver.CloseSlow(maintenanceInterval)
		d.reportClosed()
		for _, f := range []*feed{d.configurationFeed, d.targetFeed} {
			d.metrics.setFeedAge(f.table, f.age(time.Now()))
		}
		if age, known := d.surveyor.SumAge(); known {
			d.metrics.setGauge("target_load_age_seconds", age.Seconds())
		}
		d.metrics.setGauge("connections_opened", float64(d.forwarder.ConnectionsOpened()))
		d.metrics.setGauge("connections_to_targets", float64(d.forwarder.OpenConnections()))
		d.metrics.setGauge("connections_of_callers", float64(d.callers.connectionCount()))
		d.metrics.setGauge("calls_serving", float64(d.receiver.InFlightCalls()))
		d.metrics.setFractions(d.limiter.Fractions())
		d.metrics.setGauge("history_bytes", float64(d.recorder.CachedBytes()))
		d.metrics.setGauge("program_bytes", float64(d.recorder.ProgramBytes()))
		d.metrics.setOwnership(d.owners.Stats())
	}
}
