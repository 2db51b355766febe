package controller

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
)

// Codes of answers that this package adds.
const (
	codeTargetFailed   = "targetFailed"
	codeStreamDiverged = "streamDiverged"
	codeOwnerLost      = "ownerLost"
)

// sendStarted says that the first token of a send has arrived.
type sendStarted struct {
	ticket scheduler.Ticket
	target string
}

// sendFinished is the end of a send.
type sendFinished struct {
	ticket  scheduler.Ticket
	target  string
	err     error
	invoke  *provider.InvokeResult
	latency time.Duration
	// report is the load of an engine that declined the call.
	report *provider.LoadReport
}

func (sendStarted) isProgramMessage()  {}
func (sendFinished) isProgramMessage() {}

// send starts a send to a target outside the loop.
func (p *programs) send(c scheduler.SendCall) {
	a := p.attempts[c.Ticket]
	node := p.scheduler.Fleet().Node(c.Target)
	if a == nil {
		return
	}
	if node == nil {
		// The scheduler must hear of every send, or the call would wait for ever.
		p.d.metrics.count("sends_without_target", 1)
		p.schedule(scheduler.CallFinished{Ticket: c.Ticket, Target: c.Target, Outcome: scheduler.OutcomeNotRun})
		return
	}
	a.sends++
	ctx, cancel := context.WithCancel(a.ctx)
	a.running[c.Target] = cancel
	s := &send{
		d: p.d, ticket: c.Ticket, target: c.Target, address: node.Target().Address, priority: c.Priority,
		id:   sequencer.AttemptID(a.call, a.number) + "." + strconv.Itoa(a.sends),
		call: a.call, remote: node.Target().Region != p.d.settings.Region,
		request: a.request, blocks: a.info.Blocks, output: a.output, object: c.ImportObject,
	}
	p.d.effect(func(context.Context) {
		defer cancel()
		p.d.programs.Post(s.run(ctx))
	})
}

// send is one send of a call to a target; it runs in a goroutine of its own.
type send struct {
	d        *Daemon
	ticket   scheduler.Ticket
	target   string
	address  string
	priority int
	id       string
	call     string
	remote   bool
	request  sequencer.CallRequest
	blocks   []uint64
	output   *output
	// object names an exported cache to import first, "" for none.
	object string
}

func (s *send) run(ctx context.Context) sendFinished {
	started := s.d.platform.Clock.Now()
	finished := sendFinished{ticket: s.ticket, target: s.target}
	if s.request.Kind == sequencer.KindPlain {
		finished.invoke, finished.err = s.invoke(ctx)
	} else {
		finished.err = s.generate(ctx)
		if provider.KindOf(finished.err) == provider.KindRefused {
			finished.report = s.askReport(ctx)
		}
	}
	if s.remote {
		s.d.metrics.link(s.request.Service, s.bytes(finished.invoke))
	}
	finished.latency = s.d.platform.Clock.Now().Sub(started)
	if finished.err != nil && ctx.Err() == nil {
		s.d.logger.Warn("target failed", zap.String("program", s.request.Program), zap.String("call", s.id),
			zap.String("request", s.request.ID), zap.String("target", s.target), zap.Error(finished.err))
	}
	return finished
}

// refusalReportTimeout bounds the wait for the report of an engine that has just
// declined a call; the call is sent elsewhere afterwards.
const refusalReportTimeout = 200 * time.Millisecond

// askReport asks an engine that declined a call why: it is overloaded, it leaves or
// it does not hold the model.
func (s *send) askReport(ctx context.Context) *provider.LoadReport {
	ctx, cancel := context.WithTimeout(ctx, refusalReportTimeout)
	defer cancel()
	report, err := s.d.platform.Engine(s.address).Report(ctx)
	if err != nil {
		return nil
	}
	s.d.reported(s.target, report)
	report.Target = s.target
	return &report
}

// bytesPerBlock is the size of a block's hash in a request.
const bytesPerBlock = 21

// bytes estimates the size of the request and the answer, without headers.
func (s *send) bytes(result *provider.InvokeResult) int {
	n := len(s.request.Invoke.Body) + len(s.request.Invoke.Path) + bytesPerBlock*len(s.blocks)
	for _, message := range s.request.Messages {
		n += len(message.Content) + len(message.Role)
	}
	if result != nil {
		return n + len(result.Body)
	}
	text, _ := s.output.result()
	return n + len(text)
}

// generate streams an answer. The seed follows from the call, so that another
// attempt, at another engine or by another owner, continues the same answer.
func (s *send) generate(ctx context.Context) error {
	r := s.request
	s.importCache(ctx)
	engine := s.d.platform.Engine(s.address)
	first := true
	err := engine.Generate(ctx, provider.GenerateRequest{
		AttemptID: s.id, Program: r.Program, Model: r.Model, Adapter: r.Adapter, BlockHashes: s.blocks, Messages: r.Messages,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Priority: s.priority, SkipTokens: s.output.count(),
		Seed: int64(xxhash.Sum64String(s.call) >> 1),
	}, func(chunk provider.Chunk) error {
		if chunk.AttemptID != s.id {
			return eris.Errorf("chunk of call %q", chunk.AttemptID)
		}
		if first && !chunk.Final {
			first = false
			s.d.programs.Post(sendStarted{ticket: s.ticket, target: s.target})
		}
		return s.output.add(chunk)
	})
	if ctx.Err() != nil {
		// The engine must not go on with a call that nobody reads.
		s.d.effect(func(ctx context.Context) { _ = engine.Cancel(ctx, s.id) })
	}
	return err
}

// invoke runs a call of a plain service. A call that may not be repeated is sent
// only while the lease is valid: after that a new owner may have resolved it.
func (s *send) invoke(ctx context.Context) (*provider.InvokeResult, error) {
	if !s.request.Repeatable && !s.d.owner.LeaseValid() {
		return nil, provider.NewError("service.invoke", provider.KindRefused, eris.New("the lease has expired"))
	}
	result, err := s.d.platform.Service(s.address).Invoke(ctx, s.request.Invoke)
	if err != nil {
		return nil, err
	}
	if result.AttemptID != "" && result.AttemptID != s.request.Invoke.AttemptID {
		return nil, provider.NewError("service.invoke", provider.KindUnknown, eris.Errorf("answer to call %q", result.AttemptID))
	}
	return &result, nil
}

// sendFinished tells the scheduler, which decides about another send, and ends the
// attempt when it is done.
func (p *programs) sendFinished(m sendFinished) {
	a := p.attempts[m.ticket]
	if a == nil || a.running[m.target] == nil {
		return
	}
	a.stop(m.target)
	finished := scheduler.CallFinished{Ticket: m.ticket, Target: m.target, Latency: m.latency, Report: m.report}
	result := sequencer.Result{Invoke: m.invoke, Cost: a.request.MaxCost}
	switch kind := provider.KindOf(m.err); {
	case kind == provider.KindNone:
		if a.request.Kind == sequencer.KindModel {
			result.Text, result.Usage = a.output.result()
			result.Targets = []string{m.target}
			finished.Usage = result.Usage
			p.d.control.Post(callServed{target: m.target, model: a.request.Model, adapter: a.request.Adapter, took: m.latency})
		}
	case kind.NoEffect():
		finished.Outcome = scheduler.OutcomeNotRun
		finished.Leaving = m.report != nil && m.report.Leaving
		finished.Busy = kind == provider.KindRefused && !finished.Leaving
	default:
		finished.Outcome = scheduler.OutcomeUnknown
	}
	p.d.observeTarget(m.target, m.err)
	p.schedule(finished)
	if m.err != nil {
		return
	}
	p.finish(a, sequencer.OutcomeDone, "", result)
	if a.request.Kind == sequencer.KindModel && !a.request.EndProgram {
		p.schedule(scheduler.ProgramPaused{Program: a.request.Program, Tool: a.request.Service})
	}
}
