package bencher

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/router"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

// daemon runs one scheduler and executes its commands.
type daemon struct {
	simulation *simulation
	domain     int
	state      *scheduler.State
	lastTicket scheduler.Ticket
	calls      map[scheduler.Ticket]*call
	// pending are the messages that arrived while another message is applied, in order.
	pending  []scheduler.Message
	updating bool
}

// call is one call of a program at its daemon. A model call has finalTokens, the length
// of the history after the turn, and a call of the plain service has serviceTime.
type call struct {
	program          *programRun
	info             scheduler.CallInfo
	ticket           scheduler.Ticket
	attempts         map[string]*attempt
	finalTokens      int
	completionTokens int
	serviceTime      time.Duration
}

// tickInterval is the interval between the scheduler's ticks.
const tickInterval = 100 * time.Millisecond

func newDaemon(s *simulation, index, domain int) *daemon {
	location := s.scenario.Deployment.Domains[domain]
	d := &daemon{simulation: s, domain: domain, calls: map[scheduler.Ticket]*call{}}
	d.state = scheduler.New(scheduler.Options{
		Location: router.Location{Domain: location.Name, Region: location.Region}, Profile: router.DefaultProfile(),
		Seed: s.scenario.Seed*1_000 + uint64(index), Policy: s.scenario.Policy,
	})
	deployment := s.scenario.Deployment
	weights := router.Weights{Cache: deployment.CacheWeight, Link: deployment.LinkWeight}
	d.update(scheduler.ServicesChanged{Services: []scheduler.Service{
		{
			Name: deployment.ModelService, MaxConcurrency: s.scenario.MaxConcurrency, MaxQueue: s.scenario.MaxQueue, RetryRatio: 0.1,
			CallTimeout: 2 * time.Minute, Weights: weights,
		},
		{
			Name: deployment.PlainService, Plain: true, MaxConcurrency: 8, MaxQueue: s.scenario.MaxQueue, RetryRatio: 0.1,
			CallTimeout: 2 * time.Minute, Weights: weights,
		},
	}})
	d.update(scheduler.TargetsChanged{Targets: s.targets})
	s.every(tickInterval, func() { d.update(scheduler.Tick{}) })
	return d
}

// update applies a message to the scheduler and executes the commands that follow. A
// message that arrives meanwhile is applied after them, since Update reuses its slice of
// commands.
func (d *daemon) update(message scheduler.Message) {
	d.pending = append(d.pending, message)
	if d.updating {
		return
	}
	d.updating = true
	for len(d.pending) > 0 {
		m := d.pending[0]
		d.pending = d.pending[1:]
		for _, c := range d.state.Update(d.simulation.time(), m) {
			d.execute(c)
		}
	}
	d.updating = false
}

func (d *daemon) execute(c scheduler.Command) {
	switch c := c.(type) {
	case scheduler.SendCall:
		d.send(c)
	case scheduler.RejectCall:
		k := d.calls[c.Ticket]
		delete(d.calls, c.Ticket)
		d.simulation.callRejected(d, k, c)
	case scheduler.RetryCall:
		d.simulation.result.Retries++
		k := d.calls[c.Ticket]
		k.info.Exclude, k.info.Attempt, k.info.MayHaveRun = c.Exclude, c.Attempt, c.MayHaveRun
		d.simulation.after(c.After, func() { d.update(scheduler.CallQueued{Ticket: c.Ticket, Call: k.info}) })
	case scheduler.CancelAttempt:
		if k := d.calls[c.Ticket]; k != nil {
			if a := k.attempts[c.Target]; a != nil {
				delete(k.attempts, c.Target)
				d.simulation.cancel(d, c.Target, a)
			}
		}
	case scheduler.SendOrder:
		d.sendOrder(c)
	}
}

// sendOrder sends an order to an engine. An order to an unreachable engine is lost.
func (d *daemon) sendOrder(c scheduler.SendOrder) {
	e := d.simulation.engineByName[c.Target]
	if e == nil || d.simulation.disconnected(d.domain, e.domain) {
		return
	}
	d.simulation.after(d.simulation.transfer(d.domain, e.domain, 200), func() {
		switch c.Order.Kind {
		case "hold":
			e.cache.hold(c.Order.Program, d.simulation.now+c.Order.ExpiresAfter)
		case "release":
			e.cache.release(c.Order.Program)
		}
	})
}

func (d *daemon) enqueue(k *call) {
	d.lastTicket++
	k.ticket = d.lastTicket
	d.calls[k.ticket] = k
	d.update(scheduler.CallQueued{Ticket: k.ticket, Call: k.info})
}

const (
	// connectTimeout is the time until a connection to an unreachable target fails, and
	// responseTimeout the time until the wait for a response that was cut off ends.
	connectTimeout  = 500 * time.Millisecond
	responseTimeout = 5 * time.Second
	// failureDelay is the time in which a failing runner fails a call, and idleTimeout
	// the timeout of a connection on which no data arrives.
	failureDelay = 100 * time.Millisecond
	idleTimeout  = 15 * time.Second
)

// send sends an attempt of a call to a target.
func (d *daemon) send(c scheduler.SendCall) {
	s, k := d.simulation, d.calls[c.Ticket]
	if c.Hedge {
		s.result.Hedges++
	}
	if k.attempts == nil {
		k.attempts = map[string]*attempt{}
	}
	a := &attempt{
		call: k, daemon: d, priority: c.Priority, promptTokens: k.info.PromptTokens, blocks: k.info.Blocks,
		finalTokens: k.finalTokens, completionTokens: k.completionTokens, sentAt: s.now,
	}
	k.attempts[c.Target] = a
	domain := s.domainOf(c.Target)
	if s.disconnected(d.domain, domain) {
		s.after(connectTimeout, func() { d.finishAttempt(k, c.Target, a, scheduler.CallFinished{Outcome: scheduler.OutcomeNotRun}) })
		return
	}
	bytes := 500 + router.DefaultProfile().BytesPerToken*float64(k.info.PromptTokens)
	s.after(s.transfer(d.domain, domain, bytes), func() { d.deliver(k, c.Target, a) })
}

// deliver passes an attempt to the target at which it has arrived.
func (d *daemon) deliver(k *call, target string, a *attempt) {
	s := d.simulation
	if a.canceled {
		return
	}
	if p := s.plainByName[target]; p != nil {
		if p.silent {
			s.after(idleTimeout, func() { d.finishAttempt(k, target, a, scheduler.CallFinished{Outcome: scheduler.OutcomeUnknown}) })
			return
		}
		p.submit(k.serviceTime, func() { s.respond(p.domain, d, k, target, a, 500) })
		return
	}
	e := s.engineByName[target]
	if e.failing {
		s.after(failureDelay, func() { d.finishAttempt(k, target, a, scheduler.CallFinished{Outcome: scheduler.OutcomeUnknown}) })
		return
	}
	if e.silent {
		s.after(idleTimeout, func() { d.finishAttempt(k, target, a, scheduler.CallFinished{Outcome: scheduler.OutcomeUnknown}) })
		return
	}
	if !e.submit(a) {
		s.after(s.transfer(e.domain, d.domain, 200), func() {
			report := s.loadReport(e)
			d.finishAttempt(k, target, a, scheduler.CallFinished{Outcome: scheduler.OutcomeNotRun, Busy: true, Report: &report})
		})
	}
}

// finishAttempt reports the end of an attempt to the scheduler unless the attempt was
// cancelled before.
func (d *daemon) finishAttempt(k *call, target string, a *attempt, m scheduler.CallFinished) {
	if k.attempts[target] != a || d.calls[k.ticket] != k {
		return
	}
	delete(k.attempts, target)
	m.Ticket, m.Target, m.Latency = k.ticket, target, d.simulation.now-a.sentAt
	if m.Outcome == scheduler.OutcomeDone {
		delete(d.calls, k.ticket)
	}
	d.update(m)
	if m.Outcome == scheduler.OutcomeDone {
		d.simulation.callDone(d, k)
	}
}

// domainOf returns the failure domain of a target.
func (s *simulation) domainOf(target string) int {
	if p := s.plainByName[target]; p != nil {
		return p.domain
	}
	return s.engineByName[target].domain
}

// cancel cancels an attempt at its target. A plain service runs the call all the same if
// it has arrived.
func (s *simulation) cancel(d *daemon, target string, a *attempt) {
	e := s.engineByName[target]
	if e == nil {
		a.canceled = true
		return
	}
	s.after(s.transfer(d.domain, e.domain, 200), func() { e.cancel(a) })
}

// sendFirstToken reports the first token of an attempt to its daemon.
func (s *simulation) sendFirstToken(e *engine, a *attempt) {
	d := a.daemon
	if e.silent || s.disconnected(e.domain, d.domain) {
		return
	}
	s.after(s.transfer(e.domain, d.domain, 200), func() {
		if a.call.attempts[e.name] == a {
			d.update(scheduler.FirstToken{Ticket: a.call.ticket, Target: e.name})
		}
	})
}

// finishGeneration sends the response of a finished generation to its daemon.
func (s *simulation) finishGeneration(e *engine, a *attempt) {
	a.call.program.computedTokens = max(a.call.program.computedTokens, a.finalTokens)
	s.respond(e.domain, a.daemon, a.call, e.name, a, 4*float64(a.completionTokens))
}

// respond sends a response to the daemon. The outcome of an attempt whose response is
// cut off is unknown.
func (s *simulation) respond(from int, d *daemon, k *call, target string, a *attempt, bytes float64) {
	if s.disconnected(from, d.domain) {
		s.after(responseTimeout, func() { d.finishAttempt(k, target, a, scheduler.CallFinished{Outcome: scheduler.OutcomeUnknown}) })
		return
	}
	message := scheduler.CallFinished{Outcome: scheduler.OutcomeDone}
	if e := s.engineByName[target]; e != nil {
		if e.silent {
			s.after(idleTimeout, func() { d.finishAttempt(k, target, a, scheduler.CallFinished{Outcome: scheduler.OutcomeUnknown}) })
			return
		}
		if s.scenario.Fault != RareReports {
			report := s.loadReport(e)
			message.Report = &report
		}
		message.Usage = provider.Usage{PromptTokens: a.promptTokens, CachedTokens: a.cachedTokens, CompletionTokens: a.completionTokens}
		message.Blocks = k.program.spec.Chain[:k.finalTokens/provider.BlockTokens]
	}
	s.after(s.transfer(from, d.domain, bytes), func() { d.finishAttempt(k, target, a, message) })
}
