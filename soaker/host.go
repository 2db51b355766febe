package soaker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/dogwoodweir/dogwoodweir/controller"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/tallier"
)

// Daemon is the part of a daemon's API that a host uses.
type Daemon interface {
	Run(ctx context.Context) error
	Shutdown(ctx context.Context) error
	Kill()
}

// host runs one daemon at a time, which faults kill, stop and start again.
type host struct {
	testbed        *testbed
	name           string
	domain         string
	settings       parser.Settings
	gate           *gate
	killDuringCall atomic.Bool
	pauseEnded     atomic.Int64 // end of the last pause, in nanoseconds since the Unix epoch

	mu          sync.Mutex
	daemon      Daemon
	run         int // number of the current run, incremented by each start
	stopStarted time.Time
	killed      bool
	// lastFault is the time at which a fault of the host last began or ended.
	lastFault time.Time
	group     conc.WaitGroup
}

// requestStart is the start of a request to a host. It shows whether a planned stop or a crash
// interrupted the request.
type requestStart struct {
	run int
	at  time.Time
}

// start starts a daemon unless one is running.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.daemon != nil {
		return
	}
	h.gate = newGate()
	daemon, err := controller.New(h.settings, h.platform(), h.testbed.hostLogger(h.name))
	if err != nil {
		h.testbed.tally.Check(checkDaemon, false, "%s cannot start: %v", h.name, err)
		return
	}
	h.daemon, h.killed, h.stopStarted = daemon, false, time.Time{}
	h.run++
	h.lastFault = time.Now()
	h.testbed.hostList.Put(provider.Member{
		Host: h.name, Address: h.settings.PeerAddress, FailureDomain: h.domain, Region: h.settings.Region, Role: "daemon",
	})
	h.group.Go(func() {
		if err := daemon.Run(context.Background()); err != nil {
			h.testbed.tally.Check(checkDaemon, false, "%s stopped: %v", h.name, err)
		}
	})
}

// platform returns the emulated platform as the host's current daemon reaches it, through the
// host's gate and the inspector.
func (h *host) platform() controller.Platform {
	b, gate := h.testbed, h.gate
	return controller.Platform{
		Tables:  gatedTableStore{b.tables.ForCaller(h.name), gate},
		Objects: b.objects.ForCaller(h.name),
		Hosts:   b.hostList,
		Dial:    b.network.dialer(h.name),
		Engine: func(address string) provider.Engine {
			return observedEngine{Engine: b.engineAt(address), name: address, host: h, gate: gate, inspector: b.inspector}
		},
		Service: func(address string) provider.Service {
			return observedService{Service: b.serviceAt(address), name: address, host: h, gate: gate, inspector: b.inspector}
		},
	}
}

// kill kills the daemon, as a crash does. It reports false if no daemon is running or the daemon
// is stopping.
func (h *host) kill() bool {
	h.mu.Lock()
	daemon := h.daemon
	if daemon == nil || !h.stopStarted.IsZero() {
		h.mu.Unlock()
		return false
	}
	h.killed, h.lastFault, h.daemon = true, time.Now(), nil
	gate := h.gate
	h.mu.Unlock()
	gate.resume()
	daemon.Kill()
	return true
}

// stop shuts the daemon down and checks that it stops within its timeout; a daemon that does not
// is killed. It reports false if no daemon is running or the daemon is already stopping.
func (h *host) stop(ctx context.Context) bool {
	h.mu.Lock()
	daemon := h.daemon
	if daemon == nil || !h.stopStarted.IsZero() {
		h.mu.Unlock()
		return false
	}
	h.stopStarted, h.lastFault = time.Now(), time.Now()
	h.mu.Unlock()
	h.testbed.hostList.Put(provider.Member{
		Host: h.name, Address: h.settings.PeerAddress, FailureDomain: h.domain, Region: h.settings.Region,
		Role: "daemon", Leaving: true,
	})
	timeout := time.Duration(h.settings.Timing.DrainTimeoutMs)*time.Millisecond + 2*time.Second
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	err := daemon.Shutdown(ctx)
	h.testbed.tally.Check(checkPlannedStop, err == nil, "%s did not stop in time: %v", h.name, err)
	if err != nil {
		daemon.Kill()
	}
	h.mu.Lock()
	h.daemon = nil
	h.mu.Unlock()
	return true
}

// recordFault records that a fault of the host begins or ends now.
func (h *host) recordFault() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastFault = time.Now()
}

// beginRequest returns the start of a request. It reports false if no daemon accepts requests.
func (h *host) beginRequest() (requestStart, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return requestStart{run: h.run, at: time.Now()}, h.daemon != nil && h.stopStarted.IsZero()
}

// interruptedByStop reports whether a planned stop interrupted a request whose connection broke.
func (h *host) interruptedByStop(start requestStart) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	const arrivalTime = 100 * time.Millisecond // a later request may not have arrived before the stop
	return h.run == start.run && !h.killed && !h.stopStarted.IsZero() && start.at.Add(arrivalTime).Before(h.stopStarted)
}

// status returns the number of the current run, the time of the last fault and whether the
// daemon is running.
func (h *host) status() (run int, lastFault time.Time, running bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.run, h.lastFault, h.daemon != nil && h.stopStarted.IsZero()
}

// hostLogger returns the logger of a host's daemons. Invariant violations that a daemon logs
// count as violations of the run.
func (b *testbed) hostLogger(host string) *zap.Logger {
	return b.baseLogger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewTee(core, violationCore{host: host, tally: b.tally})
	}))
}

// violationMessage is the message with which daemons log an invariant violation.
const violationMessage = "invariant violated"

// violationCore adds the errors that a daemon logs to the tally.
type violationCore struct {
	host  string
	tally *tallier.Tally
}

func (c violationCore) Enabled(level zapcore.Level) bool  { return level >= zapcore.ErrorLevel }
func (c violationCore) With([]zapcore.Field) zapcore.Core { return c }
func (c violationCore) Sync() error                       { return nil }

func (c violationCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	return checked.AddCore(entry, c)
}

func (c violationCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	c.tally.Count("errors logged", 1)
	encoder := zapcore.NewMapObjectEncoder()
	for _, field := range fields {
		field.AddTo(encoder)
	}
	c.tally.Check(checkDaemon, entry.Message != violationMessage, "%s: %v", c.host, encoder.Fields)
	return nil
}
