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

// Daemon is what the soaker needs of a daemon.
type Daemon interface {
	Run(ctx context.Context) error
	Shutdown(ctx context.Context) error
	Kill()
}

// host is one machine on which a daemon runs, dies and is started again.
type host struct {
	bed        *bed
	name       string
	domain     string
	settings   parser.Settings
	gate       *gate
	killDuring atomic.Bool
	paused     atomic.Int64 // end of the last pause, in nanoseconds

	mu       sync.Mutex
	daemon   Daemon
	run      int // number of the current run; rises with each start
	stopping time.Time
	killed   bool
	// impaired is the last time at which a fault touched the host.
	impaired time.Time
	group    conc.WaitGroup
}

// visit is a caller's use of a host, to tell a planned stop from a crash.
type visit struct {
	run     int
	started time.Time
}

// start starts a daemon unless one is running.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.daemon != nil {
		return
	}
	h.gate = newGate()
	daemon, err := controller.New(h.settings, h.platform(), h.bed.logger(h.name))
	if err != nil {
		h.bed.tally.Check(checkInside, false, "%s cannot start: %v", h.name, err)
		return
	}
	h.daemon, h.killed, h.stopping = daemon, false, time.Time{}
	h.run++
	h.impaired = time.Now()
	h.bed.hosts.Put(provider.Member{
		Host: h.name, Address: h.settings.PeerAddress, FailureDomain: h.domain, Region: h.settings.Region, Role: "daemon",
	})
	h.group.Go(func() {
		if err := daemon.Run(context.Background()); err != nil {
			h.bed.tally.Check(checkInside, false, "%s stopped: %v", h.name, err)
		}
	})
}

func (h *host) platform() controller.Platform {
	b, gate := h.bed, h.gate
	return controller.Platform{
		Tables:  gatedTables{b.tables.ForCaller(h.name), gate},
		Objects: b.objects.ForCaller(h.name),
		Hosts:   b.hosts,
		Dial:    b.network.dialer(h.name),
		Engine: func(address string) provider.Engine {
			return watchedEngine{Engine: b.engine(address), name: address, host: h, gate: gate, inspector: b.inspector}
		},
		Service: func(address string) provider.Service {
			return watchedService{Service: b.service(address), name: address, host: h, gate: gate, inspector: b.inspector}
		},
	}
}

// kill ends the daemon at once, as a crash does.
func (h *host) kill() bool {
	h.mu.Lock()
	daemon := h.daemon
	if daemon == nil || !h.stopping.IsZero() {
		h.mu.Unlock()
		return false
	}
	h.killed, h.impaired, h.daemon = true, time.Now(), nil
	gate := h.gate
	h.mu.Unlock()
	gate.resume()
	daemon.Kill()
	return true
}

// stop ends the daemon by a planned stop and reports whether it was in time.
func (h *host) stop(ctx context.Context) bool {
	h.mu.Lock()
	daemon := h.daemon
	if daemon == nil || !h.stopping.IsZero() {
		h.mu.Unlock()
		return false
	}
	h.stopping, h.impaired = time.Now(), time.Now()
	h.mu.Unlock()
	h.bed.hosts.Put(provider.Member{
		Host: h.name, Address: h.settings.PeerAddress, FailureDomain: h.domain, Region: h.settings.Region,
		Role: "daemon", Leaving: true,
	})
	limit := time.Duration(h.settings.Timing.DrainTimeoutMs)*time.Millisecond + 2*time.Second
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	err := daemon.Shutdown(ctx)
	h.bed.tally.Check(checkStop, err == nil, "%s did not stop in time: %v", h.name, err)
	if err != nil {
		daemon.Kill()
	}
	h.mu.Lock()
	h.daemon = nil
	h.mu.Unlock()
	return true
}

func (h *host) impair() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.impaired = time.Now()
}

// enter begins a visit; it reports false when no daemon takes requests.
func (h *host) enter() (visit, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return visit{run: h.run, started: time.Now()}, h.daemon != nil && h.stopping.IsZero()
}

// interrupted reports whether a visit that broke was broken by a planned stop.
func (h *host) interrupted(v visit) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	const underWay = 100 * time.Millisecond // the request may not have arrived before
	return h.run == v.run && !h.killed && !h.stopping.IsZero() && v.started.Add(underWay).Before(h.stopping)
}

// calm reports since when no fault has touched the host, and whether it runs.
func (h *host) calm() (run int, since time.Time, running bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.run, h.impaired, h.daemon != nil && h.stopping.IsZero()
}

// logger returns a daemon's logger. Violations that a daemon reports about itself
// count as violations of the run.
func (b *bed) logger(host string) *zap.Logger {
	return b.base.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewTee(core, violationCore{host: host, tally: b.tally})
	}))
}

// violationText is the message under which daemons log a broken invariant.
const violationText = "invariant violated"

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
	c.tally.Check(checkInside, entry.Message != violationText, "%s: %v", c.host, encoder.Fields)
	return nil
}
