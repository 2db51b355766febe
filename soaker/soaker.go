package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/tallier"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Duration is the time under load, 30 s by default.
	Duration time.Duration
	// Hosts and Callers are the numbers of daemons and of concurrent callers, 6 and 16 by default.
	Hosts   int
	Callers int
	// NoFaults disables fault injection.
	NoFaults bool
	Logger   *zap.Logger
}

func (o Options) withDefaults() Options {
	if o.Duration == 0 {
		o.Duration = 30 * time.Second
	}
	if o.Hosts == 0 {
		o.Hosts = 6
	}
	if o.Callers == 0 {
		o.Callers = 16
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}

// settleTime is how long the system may take to recover after the last fault. It covers
// takeovers, timeouts of calls and two audits.
const settleTime = callTimeout + 4*leaseDuration + 2*auditInterval

// Run runs load and faults for the duration, ends all faults and programs and makes the final
// checks. The report lists the violations. An error means that the run could not start.
func Run(ctx context.Context, options Options) (*tallier.Report, error) {
	options = options.withDefaults()
	t := tallier.New(options.Seed)
	b, err := newTestbed(options, t)
	if err != nil {
		return nil, err
	}
	defer b.close()
	for _, h := range b.hosts {
		h.start()
	}
	if err := b.awaitReady(ctx); err != nil {
		return nil, err
	}
	callers := b.runLoad(ctx, options)
	b.restore()
	b.finish(ctx, callers)
	return t.Snapshot(), nil
}

// awaitReady waits until every daemon responds to a status request and the shards have owners.
func (b *testbed) awaitReady(ctx context.Context) error {
	c := newClient(operatorKey)
	deadline := time.Now().Add(10 * time.Second)
	for _, h := range b.hosts {
		for c.send(ctx, h, "GET", "/admin/v1/status", nil, nil).status != 200 {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("wait for host %s: no successful response to GET /admin/v1/status", h.name)
			}
			emulator.Sleep(ctx, 50*time.Millisecond)
		}
	}
	emulator.Sleep(ctx, 2*leaseDuration) // until the shards have owners
	return nil
}

// runLoad runs callers, operators and the schedule of faults, and returns when all have ended.
func (b *testbed) runLoad(ctx context.Context, options Options) []*caller {
	loadCtx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	var traffic, faults conc.WaitGroup
	checker := newConfigChecker(b)
	callers := make([]*caller, options.Callers)
	for n := range callers {
		c := &caller{
			testbed: b, random: rand.New(rand.NewPCG(options.Seed, uint64(n))), client: newClient(callerKey),
			name: fmt.Sprintf("c%d", n),
		}
		callers[n] = c
		traffic.Go(func() { c.run(loadCtx) })
	}
	for n := range 2 {
		traffic.Go(func() { checker.publishRepeatedly(loadCtx, options.Seed+uint64(n)) })
	}
	traffic.Go(func() { checker.watchVersions(loadCtx) })
	if !options.NoFaults {
		start := time.Now()
		for _, f := range schedule(options.Seed, options.Duration) {
			faults.Go(func() {
				emulator.Sleep(loadCtx, time.Until(start.Add(f.Start)))
				if loadCtx.Err() == nil {
					b.injectFault(loadCtx, f)
				}
			})
		}
	}
	faults.Wait()
	traffic.Wait()
	return callers
}

// finish ends all programs and makes the final checks.
func (b *testbed) finish(ctx context.Context, callers []*caller) {
	var group conc.WaitGroup
	deadline := time.Now().Add(settleTime)
	for _, c := range callers {
		group.Go(func() { c.endOpenPrograms(ctx, deadline) })
	}
	group.Wait()
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline) && b.inspector.countHeld(b.engines) > 0; {
		emulator.Sleep(ctx, 100*time.Millisecond)
	}
	b.inspector.checkMemory(b.engines)
	b.inspector.checkRuns()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, check := range b.finalChecks {
		check()
	}
}

// addFinalCheck adds a check to be made at the end of the run.
func (b *testbed) addFinalCheck(check func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finalChecks = append(b.finalChecks, check)
}
