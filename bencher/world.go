package bencher

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dogwoodweir/dogwoodweir/generator"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/router"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// world is one run.
type world struct {
	cell      Scenario
	now       time.Duration
	events    events
	order     int
	random    *rand.Rand
	source    *generator.Source
	daemons   []*daemon
	engines   []*engine
	plains    []*plain
	byName    map[string]*engine
	plainName map[string]*plain
	targets   []scheduler.Target
	busy      map[string]time.Duration
	everShare map[string]bool
	result    Result
	latencies []float64
	open      int
	good      int
	prompts   int
	cutFrom   time.Duration
	cutTo     time.Duration
}

// Run runs a cell.
func Run(cell Scenario) Result {
	w := &world{
		cell: cell, random: rand.New(rand.NewPCG(cell.Seed, 77)), byName: map[string]*engine{},
		plainName: map[string]*plain{}, busy: map[string]time.Duration{}, everShare: map[string]bool{},
		source: generator.New(cell.Deployment, cell.Shape, cell.Rate, cell.Seed),
	}
	w.build()
	w.inject()
	w.arrive()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		if w.now > cell.Timeline.End || (w.now > cell.Timeline.MeasureUntil && w.open == 0) {
			break
		}
		e.run()
	}
	return summarize(w)
}

func (w *world) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + delay, order: w.order, run: run})
}

func (w *world) every(interval time.Duration, run func()) {
	w.after(interval, func() {
		run()
		w.every(interval, run)
	})
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) measured() bool {
	return w.now >= w.cell.Timeline.MeasureFrom && w.now < w.cell.Timeline.MeasureUntil
}

func (w *world) build() {
	d := w.cell.Deployment
	domains := len(d.Domains)
	for i := range d.Runners {
		e := newEngine(w, fmt.Sprintf("%s-%d", d.ModelService, i), i%domains)
		w.engines = append(w.engines, e)
		w.byName[e.name] = e
		w.addTarget(e.name, d.ModelService, e.domain)
	}
	for i := range d.PlainInstances {
		p := &plain{world: w, name: fmt.Sprintf("%s-%d", d.PlainService, i), domain: i % domains}
		w.plains = append(w.plains, p)
		w.plainName[p.name] = p
		w.addTarget(p.name, d.PlainService, p.domain)
	}
	for i := range d.Daemons {
		w.daemons = append(w.daemons, newDaemon(w, i, i%domains))
	}
	interval := time.Second
	if w.cell.Fault == RareReports {
		interval = rarePoll
	}
	for _, e := range w.engines {
		w.every(interval, func() { w.poll(e) })
	}
}

func (w *world) addTarget(name, service string, domain int) {
	d := w.cell.Deployment.Domains[domain]
	w.targets = append(w.targets, scheduler.Target{
		Name: name, Service: service, FailureDomain: d.Name, Region: d.Region, State: router.StateReady,
		Since: epoch.Add(-time.Hour),
	})
}

// rarePoll is the interval of polls with RareReports.
const rarePoll = 12 * time.Second

// reportLag is the age of a polled report in the healthy case.
const reportLag = 100 * time.Millisecond

func (w *world) lag() time.Duration {
	if w.cell.Fault == StaleReports {
		return 2 * time.Second
	}
	return 0
}

// poll sends a report of the engine to every daemon.
func (w *world) poll(e *engine) {
	if e.silent {
		return
	}
	report := w.snapshot(e)
	for _, d := range w.daemons {
		if !w.cut(e.domain, d.domain) {
			w.after(reportLag, func() { d.update(scheduler.ReportReceived{Report: report}) })
		}
	}
}

// snapshot returns what the engine reports now: with the fault, its state of two
// seconds ago.
func (w *world) snapshot(e *engine) provider.LoadReport {
	e.advance()
	fresh := e.report()
	lag := w.lag()
	if lag == 0 {
		return fresh
	}
	e.reports = append(e.reports, fresh)
	stale := e.reports[0]
	for len(e.reports) > 1 && !e.reports[1].At.After(w.time().Add(-lag)) {
		e.reports = e.reports[1:]
		stale = e.reports[0]
	}
	// The daemon cannot see that a report is stale: the engine stamps it now.
	stale.At = fresh.At
	return stale
}

// eventDelay is how late cache events arrive in the healthy case.
const eventDelay = 500 * time.Millisecond

// flushLater sends the removed blocks of an engine to all daemons as one event.
func (w *world) flushLater(e *engine) {
	if e.flushing {
		return
	}
	e.flushing = true
	delay := eventDelay
	if w.cell.Fault == LostEvents {
		delay = 2 * time.Second
	}
	w.after(delay, func() {
		e.flushing = false
		e.sequence++
		message := provider.CacheEvent{Target: e.name, Sequence: e.sequence, Removed: e.removed}
		e.removed = nil
		if w.cell.Fault == LostEvents && w.random.IntN(3) == 0 {
			return
		}
		for _, d := range w.daemons {
			if !w.cut(e.domain, d.domain) {
				d.update(scheduler.CacheChanged{Event: message})
			}
		}
	})
}

// cutDomain is the failure domain that DomainCut cuts off.
const cutDomain = 1

func (w *world) cut(a, b int) bool {
	return a != b && (a == cutDomain || b == cutDomain) && w.now >= w.cutFrom && w.now < w.cutTo
}

// detection is how long a daemon takes to see that a domain is cut off or back.
const detection = 3 * time.Second

func (w *world) inject() {
	times := w.cell.Timeline
	from := times.MeasureFrom + (times.MeasureUntil-times.MeasureFrom)/4
	switch w.cell.Fault {
	case SlowRunner:
		w.after(times.MeasureFrom/2, func() {
			w.engines[0].advance()
			w.engines[0].slow = 4
			w.engines[0].step()
		})
	case FailingRunner:
		w.after(times.MeasureFrom/2, func() { w.engines[0].failing = true })
	case SilentRunner:
		set := func(silent bool) { w.engines[0].silent, w.plains[0].silent = silent, silent }
		w.after(from, func() { set(true) })
		w.after(from+(times.MeasureUntil-times.MeasureFrom)/3, func() { set(false) })
	case DomainCut:
		w.cutFrom, w.cutTo = from, from+min(2*time.Minute, (times.MeasureUntil-times.MeasureFrom)/3)
		w.after(w.cutFrom+detection, func() { w.publish(true) })
		w.after(w.cutTo+detection, func() { w.publish(false) })
	}
}

// publish tells every daemon which targets it can reach.
func (w *world) publish(cut bool) {
	for _, d := range w.daemons {
		targets := make([]scheduler.Target, len(w.targets))
		copy(targets, w.targets)
		for i := range targets {
			domain := i % len(w.cell.Deployment.Domains)
			if i >= len(w.engines) {
				domain = (i - len(w.engines)) % len(w.cell.Deployment.Domains)
			}
			if domain == d.domain || (domain != cutDomain && d.domain != cutDomain) {
				continue
			}
			targets[i].Since = w.time()
			if cut {
				targets[i].State = router.StateUnreachable
			}
		}
		d.update(scheduler.TargetsChanged{Targets: targets})
	}
}

func (w *world) arrive() {
	spec := w.source.Next()
	if spec.Arrival >= w.cell.Timeline.ArriveUntil {
		return
	}
	w.after(spec.Arrival-w.now, func() {
		w.begin(spec)
		w.arrive()
	})
}

// travel returns the time that bytes take between two failure domains; between
// regions they wait for the link.
func (w *world) travel(from, to int, bytes float64) time.Duration {
	domains := w.cell.Deployment.Domains
	profile := router.DefaultProfile()
	if domains[from].Region == domains[to].Region {
		return profile.DomainLatency
	}
	if w.measured() {
		w.result.LinkBytes += bytes
	}
	direction := domains[from].Region
	begin := max(w.now, w.busy[direction])
	end := begin + time.Duration(bytes/profile.LinkBytesPerSec*float64(time.Second))
	w.busy[direction] = end
	return end - w.now + profile.RegionLatency
}

// waste returns the tokens of a prompt that some engine had cached and that are
// computed again.
func (w *world) waste(j *job) int {
	p := j.run.program
	had := p.ever
	if w.everShare[p.sharedName] {
		had = max(had, p.spec.PrefixTokens)
	}
	w.everShare[p.sharedName] = true
	wasted := max(0, min(had, j.prompt)-j.cached)
	p.ever = max(p.ever, j.prompt)
	if w.measured() {
		w.result.WastedTokens += wasted
		w.result.Calls++
		w.result.PrefillTokens += j.prompt - j.cached
		w.prompts += j.prompt
	}
	return wasted
}
