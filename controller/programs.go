package controller

import (
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/router"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// programMessage is a message to the program loop.
type programMessage interface{ isProgramMessage() }

type programTick struct{}

// sequencerMessage is for the sequencer as it is.
type sequencerMessage struct{ message sequencer.Message }

// schedulerMessage is for the scheduler as it is.
type schedulerMessage struct{ message scheduler.Message }

// callArrived brings a call and the buffer that gets its answer.
type callArrived struct {
	request sequencer.CallRequest
	buffer  *server.ResponseBuffer
}

// programQuery runs a function in the loop.
type programQuery struct{ query func(*programs) }

func (programTick) isProgramMessage()      {}
func (sequencerMessage) isProgramMessage() {}
func (schedulerMessage) isProgramMessage() {}
func (callArrived) isProgramMessage()      {}
func (programQuery) isProgramMessage()     {}

// programs is the state of the program loop: the sequencer, the scheduler and the
// calls between them.
type programs struct {
	d         *Daemon
	sequencer *sequencer.State
	scheduler *scheduler.State
	sessions  map[string]*session
	attempts  map[scheduler.Ticket]*attempt
	byCall    map[string]scheduler.Ticket
	ticket    scheduler.Ticket
	// exports has the objects with exported caches by program.
	exports map[string]string
	// Messages that wait while commands are executed.
	sequences  []sequencer.Message
	schedules  []scheduler.Message
	sequencing bool
	scheduling bool

	sequenced time.Time
	counted   time.Time
}

// session is one arrival that waits for its answer.
type session struct {
	buffer     *server.ResponseBuffer
	service    string
	program    string
	retryAfter time.Duration
}

// Periods of the program loop.
const (
	programTickEvery = 100 * time.Millisecond
	sequencerEvery   = 500 * time.Millisecond
	countEvery       = time.Second
)

func newPrograms(d *Daemon) *programs {
	timing := d.settings.Timing
	milliseconds := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return &programs{
		d: d,
		sequencer: sequencer.New(sequencer.Options{
			ShardsPerDomain: d.settings.ShardsPerDomain, MaxPendingRecords: d.settings.Store.MaxPendingRecords,
			MaxPendingBytes: d.settings.Store.MaxPendingBytes, DurabilityWait: milliseconds(timing.DurabilityWaitMs),
			ReleaseRetryInterval: milliseconds(timing.AuditIntervalMs),
		}, d.reportViolation),
		scheduler: scheduler.New(scheduler.Options{
			Location: router.Location{Domain: d.settings.FailureDomain, Region: d.settings.Region},
			Profile:  router.DefaultProfile(), Seed: d.seed,
		}),
		exports:  map[string]string{},
		sessions: map[string]*session{}, attempts: map[scheduler.Ticket]*attempt{}, byCall: map[string]scheduler.Ticket{},
	}
}

// reportViolation makes a broken invariant visible; it is always a defect.
func (d *Daemon) reportViolation(violation sequencer.Violation) {
	d.violations.Add(1)
	d.metrics.count("invariant_violations", 1)
	d.logger.Error("invariant violated", zap.String("violation", violation.String()))
}

func (p *programs) handle(message programMessage) {
	switch m := message.(type) {
	case programTick:
		p.tick()
	case sequencerMessage:
		p.sequence(m.message)
	case schedulerMessage:
		p.schedule(m.message)
	case callArrived:
		p.arrive(m)
	case programQuery:
		m.query(p)
	case promptReady:
		p.promptReady(m)
	case sendStarted:
		p.schedule(scheduler.FirstToken{Ticket: m.ticket, Target: m.target})
	case sendFinished:
		p.sendFinished(m)
	case retryDue:
		p.queue(m.ticket)
	case textLoaded:
		m.buffer.Finish(m.answer)
	}
}

func (p *programs) now() time.Time { return p.d.platform.Clock.Now() }

func (p *programs) tick() {
	now := p.now()
	p.schedule(scheduler.Tick{})
	if now.Sub(p.sequenced) >= sequencerEvery {
		p.sequenced = now
		p.sequence(sequencer.Tick{})
	}
	if now.Sub(p.counted) >= countEvery {
		p.counted = now
		p.count()
	}
	p.d.lastProgramTick.Store(now.UnixNano())
}

// count publishes figures for status and metrics.
func (p *programs) count() {
	counts := p.sequencer.Counts()
	p.d.counts.Store(&counts)
	p.d.metrics.gauge("programs", float64(counts.LivePrograms))
	p.d.metrics.gauge("shards", float64(counts.Shards))
	p.d.metrics.gauge("pending_records", float64(counts.PendingRecords))
}

// arrive passes a call to the sequencer, which adds the recorded history to the
// bound of a request that appends.
func (p *programs) arrive(m callArrived) {
	r := m.request
	if _, open := p.sessions[r.ID]; open {
		m.buffer.Finish(server.Response{Outcome: server.OutcomeNotRun, Code: sequencer.CodeCallInProgress, Program: r.Program})
		return
	}
	p.sessions[r.ID] = &session{buffer: m.buffer, service: r.Service, program: r.Program}
	p.sequence(sequencer.CallArrived{Request: r})
}

// sequence updates the sequencer and executes its commands. A message that arises
// while commands are executed waits until they all are, so that tickets reach the
// log in order.
func (p *programs) sequence(message sequencer.Message) {
	p.sequences = append(p.sequences, message)
	if p.sequencing {
		return
	}
	p.sequencing = true
	for len(p.sequences) > 0 {
		message, p.sequences = p.sequences[0], p.sequences[1:]
		for _, command := range p.sequencer.Update(p.now(), message) {
			p.executeSequencer(command)
		}
	}
	p.sequencing = false
}

func (p *programs) executeSequencer(command sequencer.Command) {
	switch c := command.(type) {
	case sequencer.AppendRecords:
		p.d.owner.Append(c.Ticket, c.Records)
	case sequencer.DispatchAttempt:
		p.dispatch(c)
	case sequencer.LookupAttempt:
		p.lookup(c)
	case sequencer.CancelAttempt:
		p.cancel(c.CallID, c.Attempt)
	case sequencer.Response:
		p.answer(c)
	case sequencer.ReleaseMemory:
		p.release(c)
	case sequencer.NotifyProgramEnded:
		p.schedule(scheduler.ProgramEnded{Program: c.Program})
		p.deleteExport(c.Program)
	case sequencer.StoreSegment:
		p.d.storeSegment(c)
	}
}

// schedule updates the scheduler and executes its commands, one message after the
// other.
func (p *programs) schedule(message scheduler.Message) {
	p.schedules = append(p.schedules, message)
	if p.scheduling {
		return
	}
	p.scheduling = true
	for len(p.schedules) > 0 {
		message, p.schedules = p.schedules[0], p.schedules[1:]
		for _, command := range p.scheduler.Update(p.now(), message) {
			p.executeScheduler(command)
		}
	}
	p.scheduling = false
}

func (p *programs) executeScheduler(command scheduler.Command) {
	switch c := command.(type) {
	case scheduler.SendCall:
		p.send(c)
	case scheduler.RejectCall:
		p.refuse(c)
	case scheduler.RetryCall:
		p.retry(c)
	case scheduler.CancelAttempt:
		if a := p.attempts[c.Ticket]; a != nil {
			a.stop(c.Target)
		}
	case scheduler.SendOrder:
		p.order(c)
	}
}

// answer gives a call's answer to the arrival that waits for it.
func (p *programs) answer(c sequencer.Response) {
	s := p.sessions[c.RequestID]
	if s == nil {
		return
	}
	delete(p.sessions, c.RequestID)
	answer := server.Response{
		Outcome: string(c.Outcome), Code: c.Code, Message: c.Message, Program: c.Program, Step: c.Step,
		Text: c.Result.Text, Usage: c.Result.Usage, Result: c.Result.Invoke,
	}
	if answer.Outcome != server.OutcomeDone {
		answer.RetryAfterMs = int(s.retryAfter / time.Millisecond)
		if answer.Code == "" {
			answer.Code = codeTargetFailed
		}
	}
	if c.Segment != "" {
		p.d.loadText(c.Segment, c.Offset, answer, s.buffer)
		return
	}
	s.buffer.Finish(answer)
}
