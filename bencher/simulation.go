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

// event is a function that runs at an instant of virtual time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events is a heap of events by instant, then by the order in which they were added.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
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

// simulation is the state of one run of a scenario.
type simulation struct {
	scenario     Scenario
	now          time.Duration
	events       events
	sequence     int
	random       *rand.Rand
	source       *generator.Source
	daemons      []*daemon
	engines      []*engine
	plains       []*plainInstance
	engineByName map[string]*engine
	plainByName  map[string]*plainInstance
	targets      []scheduler.Target
	// linkBusyUntil is the instant at which the link out of a region is free.
	linkBusyUntil map[string]time.Duration
	// prefixComputed has the shared prefixes that some engine has computed.
	prefixComputed map[string]bool
	result         Result
	latencies      []float64
	// openPrograms are the measured programs that have not ended, goodCalls the model
	// calls that count as goodput, and promptTokens the prompt tokens of the measured calls.
	openPrograms int
	goodCalls    int
	promptTokens int
	// DomainCut isolates cutDomain from cutFrom until cutTo.
	cutFrom time.Duration
	cutTo   time.Duration
}

// Run simulates a scenario until every measured program has ended, or until the end
// of its timeline, and returns the figures.
func Run(scenario Scenario) Result {
	s := &simulation{
		scenario: scenario, random: rand.New(rand.NewPCG(scenario.Seed, 77)), engineByName: map[string]*engine{},
		plainByName: map[string]*plainInstance{}, linkBusyUntil: map[string]time.Duration{}, prefixComputed: map[string]bool{},
		source: generator.New(scenario.Deployment, scenario.Shape, scenario.Rate, scenario.Seed),
	}
	s.build()
	s.scheduleFault()
	s.scheduleArrival()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		if s.now > scenario.Timeline.End || (s.now > scenario.Timeline.MeasureUntil && s.openPrograms == 0) {
			break
		}
		e.run()
	}
	return summarize(s)
}

// after schedules a function to run after a delay in virtual time.
func (s *simulation) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now + delay, sequence: s.sequence, run: run})
}

func (s *simulation) every(interval time.Duration, run func()) {
	s.after(interval, func() {
		run()
		s.every(interval, run)
	})
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

// measured reports whether the present instant is in the measured part of the timeline.
func (s *simulation) measured() bool {
	return s.now >= s.scenario.Timeline.MeasureFrom && s.now < s.scenario.Timeline.MeasureUntil
}

// build creates the engines, the instances of the plain service and the daemons.
func (s *simulation) build() {
	d := s.scenario.Deployment
	domains := len(d.Domains)
	for i := range d.Runners {
		e := newEngine(s, fmt.Sprintf("%s-%d", d.ModelService, i), i%domains)
		s.engines = append(s.engines, e)
		s.engineByName[e.name] = e
		s.addTarget(e.name, d.ModelService, e.domain)
	}
	for i := range d.PlainInstances {
		p := &plainInstance{simulation: s, name: fmt.Sprintf("%s-%d", d.PlainService, i), domain: i % domains}
		s.plains = append(s.plains, p)
		s.plainByName[p.name] = p
		s.addTarget(p.name, d.PlainService, p.domain)
	}
	for i := range d.Daemons {
		s.daemons = append(s.daemons, newDaemon(s, i, i%domains))
	}
	interval := time.Second
	if s.scenario.Fault == RareReports {
		interval = rarePollInterval
	}
	for _, e := range s.engines {
		s.every(interval, func() { s.poll(e) })
	}
}

func (s *simulation) addTarget(name, service string, domain int) {
	d := s.scenario.Deployment.Domains[domain]
	s.targets = append(s.targets, scheduler.Target{
		Name: name, Service: service, FailureDomain: d.Name, Region: d.Region, State: router.StateReady,
		Since: epoch.Add(-time.Hour),
	})
}

// rarePollInterval is the interval at which engines are polled with RareReports.
const rarePollInterval = 12 * time.Second

// reportDelay is the age of a polled report in the healthy case.
const reportDelay = 100 * time.Millisecond

// reportStaleness returns the age that the fault adds to every load report.
func (s *simulation) reportStaleness() time.Duration {
	if s.scenario.Fault == StaleReports {
		return 2 * time.Second
	}
	return 0
}

// poll sends a load report of the engine to every daemon that is connected to it. A
// silent engine sends none.
func (s *simulation) poll(e *engine) {
	if e.silent {
		return
	}
	report := s.loadReport(e)
	for _, d := range s.daemons {
		if !s.disconnected(e.domain, d.domain) {
			s.after(reportDelay, func() { d.update(scheduler.ReportReceived{Report: report}) })
		}
	}
}

// loadReport returns the engine's load report: its present state or, with
// StaleReports, its state of two seconds ago.
func (s *simulation) loadReport(e *engine) provider.LoadReport {
	e.advance()
	fresh := e.report()
	staleness := s.reportStaleness()
	if staleness == 0 {
		return fresh
	}
	e.pastReports = append(e.pastReports, fresh)
	stale := e.pastReports[0]
	for len(e.pastReports) > 1 && !e.pastReports[1].At.After(s.time().Add(-staleness)) {
		e.pastReports = e.pastReports[1:]
		stale = e.pastReports[0]
	}
	// The engine puts the present time on a stale report, so that the daemon cannot
	// tell its age.
	stale.At = fresh.At
	return stale
}

// cacheEventDelay is the delay of cache events in the healthy case.
const cacheEventDelay = 500 * time.Millisecond

// scheduleCacheEvent sends the evicted blocks of an engine to all connected daemons
// after a delay, all evictions of the meantime in one event.
func (s *simulation) scheduleCacheEvent(e *engine) {
	if e.eventScheduled {
		return
	}
	e.eventScheduled = true
	delay := cacheEventDelay
	if s.scenario.Fault == LostEvents {
		delay = 2 * time.Second
	}
	s.after(delay, func() {
		e.eventScheduled = false
		e.eventSequence++
		message := provider.CacheEvent{Target: e.name, Sequence: e.eventSequence, Removed: e.evictedBlocks}
		e.evictedBlocks = nil
		if s.scenario.Fault == LostEvents && s.random.IntN(3) == 0 {
			return
		}
		for _, d := range s.daemons {
			if !s.disconnected(e.domain, d.domain) {
				d.update(scheduler.CacheChanged{Event: message})
			}
		}
	})
}

// cutDomain is the index of the failure domain that DomainCut isolates.
const cutDomain = 1

// disconnected reports whether DomainCut separates two failure domains at present.
func (s *simulation) disconnected(a, b int) bool {
	return a != b && (a == cutDomain || b == cutDomain) && s.now >= s.cutFrom && s.now < s.cutTo
}

// detectionDelay is the time until a daemon detects that a failure domain became
// unreachable or reachable again.
const detectionDelay = 3 * time.Second

// scheduleFault schedules the start and the end of the scenario's fault.
func (s *simulation) scheduleFault() {
	timeline := s.scenario.Timeline
	from := timeline.MeasureFrom + (timeline.MeasureUntil-timeline.MeasureFrom)/4
	switch s.scenario.Fault {
	case SlowRunner:
		s.after(timeline.MeasureFrom/2, func() {
			s.engines[0].advance()
			s.engines[0].slowdown = 4
			s.engines[0].step()
		})
	case FailingRunner:
		s.after(timeline.MeasureFrom/2, func() { s.engines[0].failing = true })
	case SilentRunner:
		setSilent := func(silent bool) { s.engines[0].silent, s.plains[0].silent = silent, silent }
		s.after(from, func() { setSilent(true) })
		s.after(from+(timeline.MeasureUntil-timeline.MeasureFrom)/3, func() { setSilent(false) })
	case DomainCut:
		s.cutFrom, s.cutTo = from, from+min(2*time.Minute, (timeline.MeasureUntil-timeline.MeasureFrom)/3)
		s.after(s.cutFrom+detectionDelay, func() { s.publishTargets(true) })
		s.after(s.cutTo+detectionDelay, func() { s.publishTargets(false) })
	}
}

// publishTargets sends every daemon the list of targets. isolated says whether targets
// on the other side of the network partition are unreachable or ready again.
func (s *simulation) publishTargets(isolated bool) {
	for _, d := range s.daemons {
		targets := make([]scheduler.Target, len(s.targets))
		copy(targets, s.targets)
		for i := range targets {
			domain := i % len(s.scenario.Deployment.Domains)
			if i >= len(s.engines) {
				domain = (i - len(s.engines)) % len(s.scenario.Deployment.Domains)
			}
			if domain == d.domain || (domain != cutDomain && d.domain != cutDomain) {
				continue
			}
			targets[i].Since = s.time()
			if isolated {
				targets[i].State = router.StateUnreachable
			}
		}
		d.update(scheduler.TargetsChanged{Targets: targets})
	}
}

// scheduleArrival schedules the start of the next program, and with it the arrival after it.
func (s *simulation) scheduleArrival() {
	spec := s.source.Next()
	if spec.Arrival >= s.scenario.Timeline.ArriveUntil {
		return
	}
	s.after(spec.Arrival-s.now, func() {
		s.startProgram(spec)
		s.scheduleArrival()
	})
}

// transfer returns the time until bytes sent now arrive in another failure domain.
// Between regions they wait until the link is free and then occupy it.
func (s *simulation) transfer(from, to int, bytes float64) time.Duration {
	domains := s.scenario.Deployment.Domains
	profile := router.DefaultProfile()
	if domains[from].Region == domains[to].Region {
		return profile.DomainLatency
	}
	if s.measured() {
		s.result.LinkBytes += bytes
	}
	region := domains[from].Region
	start := max(s.now, s.linkBusyUntil[region])
	end := start + time.Duration(bytes/profile.LinkBytesPerSec*float64(time.Second))
	s.linkBusyUntil[region] = end
	return end - s.now + profile.RegionLatency
}

// countPrompt adds the prompt of an attempt to the figures. It returns the tokens that
// some engine has computed before and that are computed again.
func (s *simulation) countPrompt(a *attempt) int {
	p := a.call.program
	computed := p.computedTokens
	if s.prefixComputed[p.prefixName] {
		computed = max(computed, p.spec.PrefixTokens)
	}
	s.prefixComputed[p.prefixName] = true
	wasted := max(0, min(computed, a.promptTokens)-a.cachedTokens)
	p.computedTokens = max(p.computedTokens, a.promptTokens)
	if s.measured() {
		s.result.WastedTokens += wasted
		s.result.Calls++
		s.result.PrefillTokens += a.promptTokens - a.cachedTokens
		s.promptTokens += a.promptTokens
	}
	return wasted
}
