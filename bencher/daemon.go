package bencher

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/router"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

// daemon executes the commands of one scheduler.
type daemon struct {
	world  *world
	domain int
	state  *scheduler.State
	ticket scheduler.Ticket
	calls  map[scheduler.Ticket]*call
	// inbox keeps messages in order while a message is being applied.
	inbox []scheduler.Message
	busy  bool
}

// call is one call of a program at its daemon.
type call struct {
	program *run
	info    scheduler.CallInfo
	ticket  scheduler.Ticket
	jobs    map[string]*job
	final   int
	answer  int
	service time.Duration
}

// tickInterval is how often the scheduler's time passes.
const tickInterval = 100 * time.Millisecond

func newDaemon(w *world, index, domain int) *daemon {
	place := w.cell.Deployment.Domains[domain]
	d := &daemon{world: w, domain: domain, calls: map[scheduler.Ticket]*call{}}
	d.state = scheduler.New(scheduler.Options{
		Location: router.Location{Domain: place.Name, Region: place.Region}, Profile: router.DefaultProfile(),
		Seed: w.cell.Seed*1_000 + uint64(index), Policy: w.cell.Policy,
	})
	deployment := w.cell.Deployment
	weights := router.Weights{Cache: deployment.CacheWeight, Link: deployment.LinkWeight}
	d.update(scheduler.ServicesChanged{Services: []scheduler.Service{
		{
			Name: deployment.ModelService, MaxConcurrency: w.cell.MaxConcurrency, MaxQueue: w.cell.MaxQueue, RetryRatio: 0.1,
			CallTimeout: 2 * time.Minute, Weights: weights,
		},
		{
			Name: deployment.PlainService, Plain: true, MaxConcurrency: 8, MaxQueue: w.cell.MaxQueue, RetryRatio: 0.1,
			CallTimeout: 2 * time.Minute, Weights: weights,
		},
	}})
	d.update(scheduler.TargetsChanged{Targets: w.targets})
	w.every(tickInterval, func() { d.update(scheduler.Tick{}) })
	return d
}

func (d *daemon) update(message scheduler.Message) {
	d.inbox = append(d.inbox, message)
	if d.busy {
		return
	}
	d.busy = true
	for len(d.inbox) > 0 {
		m := d.inbox[0]
		d.inbox = d.inbox[1:]
		for _, c := range d.state.Update(d.world.time(), m) {
			d.execute(c)
		}
	}
	d.busy = false
}

func (d *daemon) execute(c scheduler.Command) {
	switch c := c.(type) {
	case scheduler.SendCall:
		d.send(c)
	case scheduler.RejectCall:
		k := d.calls[c.Ticket]
		delete(d.calls, c.Ticket)
		d.world.refused(d, k, c)
	case scheduler.RetryCall:
		d.world.result.Retries++
		k := d.calls[c.Ticket]
		k.info.Exclude, k.info.Attempt, k.info.MayHaveRun = c.Exclude, c.Attempt, c.MayHaveRun
		d.world.after(c.After, func() { d.update(scheduler.CallQueued{Ticket: c.Ticket, Call: k.info}) })
	case scheduler.CancelAttempt:
		if k := d.calls[c.Ticket]; k != nil {
			if j := k.jobs[c.Target]; j != nil {
				delete(k.jobs, c.Target)
				d.world.cancel(d, c.Target, j)
			}
		}
	case scheduler.SendOrder:
		d.order(c)
	}
}

func (d *daemon) order(c scheduler.SendOrder) {
	e := d.world.byName[c.Target]
	if e == nil || d.world.cut(d.domain, e.domain) {
		return
	}
	d.world.after(d.world.travel(d.domain, e.domain, 200), func() {
		switch c.Order.Kind {
		case "hold":
			e.memory.hold(c.Order.Program, d.world.now+c.Order.ExpiresAfter)
		case "release":
			e.memory.release(c.Order.Program)
		}
	})
}

func (d *daemon) queue(k *call) {
	d.ticket++
	k.ticket = d.ticket
	d.calls[k.ticket] = k
	d.update(scheduler.CallQueued{Ticket: k.ticket, Call: k.info})
}

const (
	// connectFailure is the time until a connection to a cut target fails, and
	// silence the time until an answer that does not arrive is given up.
	connectFailure = 500 * time.Millisecond
	silence        = 5 * time.Second
	// failure is how fast a failing runner breaks a call, idle the timeout of a
	// connection without a byte.
	failure = 100 * time.Millisecond
	idle    = 15 * time.Second
)

func (d *daemon) send(c scheduler.SendCall) {
	w, k := d.world, d.calls[c.Ticket]
	if c.Hedge {
		w.result.Hedges++
	}
	if k.jobs == nil {
		k.jobs = map[string]*job{}
	}
	j := &job{
		run: k, daemon: d, priority: c.Priority, prompt: k.info.PromptTokens, blocks: k.info.Blocks,
		final: k.final, answer: k.answer, sentAt: w.now,
	}
	k.jobs[c.Target] = j
	domain := w.domainOf(c.Target)
	if w.cut(d.domain, domain) {
		w.after(connectFailure, func() { d.finish(k, c.Target, j, scheduler.CallFinished{Outcome: scheduler.OutcomeNotRun}) })
		return
	}
	bytes := 500 + router.DefaultProfile().BytesPerToken*float64(k.info.PromptTokens)
	w.after(w.travel(d.domain, domain, bytes), func() { d.arrive(k, c.Target, j) })
}

func (d *daemon) arrive(k *call, target string, j *job) {
	w := d.world
	if j.canceled {
		return
	}
	if p := w.plainName[target]; p != nil {
		if p.silent {
			w.after(idle, func() { d.finish(k, target, j, scheduler.CallFinished{Outcome: scheduler.OutcomeUnknown}) })
			return
		}
		p.submit(k.service, func() { w.answer(p.domain, d, k, target, j, 500) })
		return
	}
	e := w.byName[target]
	if e.failing {
		w.after(failure, func() { d.finish(k, target, j, scheduler.CallFinished{Outcome: scheduler.OutcomeUnknown}) })
		return
	}
	if e.silent {
		w.after(idle, func() { d.finish(k, target, j, scheduler.CallFinished{Outcome: scheduler.OutcomeUnknown}) })
		return
	}
	if !e.submit(j) {
		w.after(w.travel(e.domain, d.domain, 200), func() {
			report := w.snapshot(e)
			d.finish(k, target, j, scheduler.CallFinished{Outcome: scheduler.OutcomeNotRun, Busy: true, Report: &report})
		})
	}
}

// finish reports the end of an attempt unless it was cancelled before.
func (d *daemon) finish(k *call, target string, j *job, m scheduler.CallFinished) {
	if k.jobs[target] != j || d.calls[k.ticket] != k {
		return
	}
	delete(k.jobs, target)
	m.Ticket, m.Target, m.Latency = k.ticket, target, d.world.now-j.sentAt
	if m.Outcome == scheduler.OutcomeDone {
		delete(d.calls, k.ticket)
	}
	d.update(m)
	if m.Outcome == scheduler.OutcomeDone {
		d.world.done(d, k)
	}
}

func (w *world) domainOf(target string) int {
	if p := w.plainName[target]; p != nil {
		return p.domain
	}
	return w.byName[target].domain
}

func (w *world) cancel(d *daemon, target string, j *job) {
	e := w.byName[target]
	if e == nil {
		j.canceled = true
		return
	}
	w.after(w.travel(d.domain, e.domain, 200), func() { e.cancel(j) })
}

func (w *world) engineStarted(e *engine, j *job) {
	d := j.daemon
	if e.silent || w.cut(e.domain, d.domain) {
		return
	}
	w.after(w.travel(e.domain, d.domain, 200), func() {
		if j.run.jobs[e.name] == j {
			d.update(scheduler.FirstToken{Ticket: j.run.ticket, Target: e.name})
		}
	})
}

func (w *world) engineFinished(e *engine, j *job) {
	j.run.program.ever = max(j.run.program.ever, j.final)
	w.answer(e.domain, j.daemon, j.run, e.name, j, 4*float64(j.answer))
}

// answer carries a result back; an answer that is cut off ends as unknown.
func (w *world) answer(from int, d *daemon, k *call, target string, j *job, bytes float64) {
	if w.cut(from, d.domain) {
		w.after(silence, func() { d.finish(k, target, j, scheduler.CallFinished{Outcome: scheduler.OutcomeUnknown}) })
		return
	}
	message := scheduler.CallFinished{Outcome: scheduler.OutcomeDone}
	if e := w.byName[target]; e != nil {
		if e.silent {
			w.after(idle, func() { d.finish(k, target, j, scheduler.CallFinished{Outcome: scheduler.OutcomeUnknown}) })
			return
		}
		if w.cell.Fault != RareReports {
			report := w.snapshot(e)
			message.Report = &report
		}
		message.Usage = provider.Usage{PromptTokens: j.prompt, CachedTokens: j.cached, CompletionTokens: j.answer}
		message.Blocks = k.program.spec.Chain[:k.final/provider.BlockTokens]
	}
	w.after(w.travel(from, d.domain, bytes), func() { d.finish(k, target, j, message) })
}
