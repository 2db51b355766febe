package controller

import (
	"context"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
)

// attempt is one attempt of the sequencer at a call. The scheduler may send it
// more than once if it is repeatable.
type attempt struct {
	ticket  scheduler.Ticket
	call    string
	number  int
	request sequencer.CallRequest
	info    scheduler.CallInfo
	output  *output
	sends   int
	// running has the cancel functions of sends by target.
	running map[string]context.CancelFunc
	ctx     context.Context
	cancel  context.CancelFunc
}

func (a *attempt) stop(target string) {
	if cancel := a.running[target]; cancel != nil {
		cancel()
		delete(a.running, target)
	}
}

// promptReady says that a call's prompt is complete.
type promptReady struct {
	ticket   scheduler.Ticket
	messages []provider.ChatMessage
	blocks   []uint64
	tokens   int
	err      error
}

// retryDue queues a call again.
type retryDue struct{ ticket scheduler.Ticket }

func (promptReady) isProgramMessage() {}
func (retryDue) isProgramMessage()    {}

// dispatch prepares a call for the scheduler. The prompt is read and hashed
// outside the loop.
func (p *programs) dispatch(c sequencer.DispatchAttempt) {
	p.ticket++
	a := &attempt{
		ticket: p.ticket, call: c.CallID, number: c.Attempt, request: c.Request, running: map[string]context.CancelFunc{},
		output: &output{},
	}
	if s := p.sessions[c.Request.ID]; s != nil {
		a.output.buffer = s.buffer
	}
	a.ctx, a.cancel = p.callContext(c.Request)
	p.attempts[a.ticket] = a
	p.byCall[c.CallID] = a.ticket
	if c.Request.Kind == sequencer.KindPlain {
		p.promptReady(promptReady{ticket: a.ticket})
		return
	}
	ticket, request, segments, ctx := a.ticket, c.Request, c.Segments, a.ctx
	p.d.effect(func(context.Context) {
		ready := promptReady{ticket: ticket}
		ready.messages, ready.err = p.d.prompt(ctx, segments, request.Messages)
		if ready.err == nil {
			ready.blocks = blockChain(request.Model, request.Adapter, ready.messages)
			ready.tokens = promptTokens(ready.messages)
		}
		p.d.programs.Post(ready)
	})
}

// callContext bounds a call by its deadline and by the service's time limit.
func (p *programs) callContext(r sequencer.CallRequest) (context.Context, context.CancelFunc) {
	limit := p.now().Add(defaultCallTime)
	if service, ok := p.d.snapshot.Load().Service(r.Service); ok {
		limit = p.now().Add(time.Duration(service.Timeouts.CallMs) * time.Millisecond)
	}
	if !r.Deadline.IsZero() && r.Deadline.Before(limit) {
		limit = r.Deadline
	}
	return context.WithTimeout(p.d.effectsCtx, limit.Sub(p.now()))
}

// defaultCallTime bounds calls of a service that has just been removed.
const defaultCallTime = 2 * time.Minute

func (p *programs) promptReady(m promptReady) {
	a := p.attempts[m.ticket]
	if a == nil {
		return
	}
	if m.err != nil {
		// Nothing was sent: the history could not be read.
		p.finish(a, sequencer.OutcomeNotRun, sequencer.CodeStoreUnavailable, sequencer.Result{})
		return
	}
	r := &a.request
	if r.Kind == sequencer.KindModel {
		r.Messages, r.PromptTokens = m.messages, m.tokens
	}
	a.info = scheduler.CallInfo{
		Program: r.Program, Root: sequencer.RootOf(r.Program), Client: r.Client, Service: r.Service,
		Model: r.Model, Adapter: r.Adapter, Blocks: m.blocks, PromptTokens: r.PromptTokens,
		MaxTokens: r.MaxTokens, Repeatable: r.Repeatable, Deadline: r.Deadline, NewProgram: r.NewProgram,
	}
	if r.Kind == sequencer.KindPlain {
		a.info.Kind = scheduler.KindPlain
	}
	p.queue(a.ticket)
}

func (p *programs) queue(ticket scheduler.Ticket) {
	if a := p.attempts[ticket]; a != nil {
		p.schedule(scheduler.CallQueued{Ticket: ticket, Call: a.info})
	}
}

func (p *programs) retry(c scheduler.RetryCall) {
	a := p.attempts[c.Ticket]
	if a == nil {
		return
	}
	a.info.Exclude, a.info.Attempt, a.info.MayHaveRun = c.Exclude, c.Attempt, c.MayHaveRun
	p.d.metrics.count("retries", 1)
	p.d.after(c.After, func() { p.d.programs.Post(retryDue{ticket: c.Ticket}) })
}

func (p *programs) refuse(c scheduler.RejectCall) {
	a := p.attempts[c.Ticket]
	if a == nil {
		return
	}
	if s := p.sessions[a.request.ID]; s != nil {
		s.retryAfter = c.RetryAfter
	}
	outcome := sequencer.OutcomeNotRun
	if c.Outcome != scheduler.OutcomeNotRun {
		outcome = sequencer.OutcomeUnknown
	}
	result := sequencer.Result{}
	if outcome == sequencer.OutcomeUnknown {
		// A repeatable call that may have run is charged for what it is known to
		// have used.
		if tokens := a.output.count(); tokens > 0 {
			result.Usage = provider.Usage{PromptTokens: a.info.PromptTokens, CompletionTokens: tokens}
		}
	}
	p.finish(a, outcome, c.Code, result)
}

// finish ends an attempt and tells the sequencer.
func (p *programs) finish(a *attempt, outcome sequencer.Outcome, code string, result sequencer.Result) {
	a.cancel()
	delete(p.attempts, a.ticket)
	if p.byCall[a.call] == a.ticket {
		delete(p.byCall, a.call)
	}
	if outcome == sequencer.OutcomeDone {
		result.AttemptID = sequencer.AttemptID(a.call, a.number)
	}
	p.sequence(sequencer.AttemptFinished{CallID: a.call, Attempt: a.number, Outcome: outcome, Code: code, Result: result})
}

// cancel stops an attempt that the sequencer gives up.
func (p *programs) cancel(call string, number int) {
	a := p.attempts[p.byCall[call]]
	if a == nil || a.number != number {
		return
	}
	sent := a.sends > 0
	p.schedule(scheduler.CallCancelled{Ticket: a.ticket})
	if p.attempts[a.ticket] == nil {
		return
	}
	outcome := sequencer.OutcomeNotRun
	if sent {
		outcome = sequencer.OutcomeUnknown
	}
	p.finish(a, outcome, sequencer.CodeTimeout, sequencer.Result{})
}
