package controller

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// RunCall runs one call of a caller to its end and measures it.
func (d *Daemon) RunCall(ctx context.Context, call server.Call, emit func(server.Chunk)) server.Response {
	started := d.platform.Clock.Now()
	d.metrics.gauge("in_flight", float64(d.inFlight.Add(1)))
	first := true
	answer := d.enter(ctx, call, func(event server.Chunk) {
		if first && event.Text != "" {
			first = false
			d.metrics.firstToken(call.Service, d.platform.Clock.Now().Sub(started))
		}
		emit(event)
	})
	took := d.platform.Clock.Now().Sub(started)
	d.metrics.gauge("in_flight", float64(d.inFlight.Add(-1)))
	snapshot := d.snapshot.Load()
	service := call.Service
	if _, ok := snapshot.Service(service); !ok {
		// Names that callers invent must not become tags.
		service = "unknown"
	}
	d.metrics.call(service, answer.Outcome, answer.Code, took)
	d.logger.Debug("call ended", zap.String("call", call.ID), zap.String("program", answer.Program),
		zap.Int("step", answer.Step), zap.String("service", call.Service), zap.String("outcome", answer.Outcome),
		zap.String("code", answer.Code), zap.Duration("took", took), zap.Int("version", snapshot.version))
	return answer
}

// enter checks a call, names its program and routes it to the program's owner.
func (d *Daemon) enter(ctx context.Context, call server.Call, emit func(server.Chunk)) server.Response {
	snapshot := d.snapshot.Load()
	if !snapshot.ready {
		return refusal(call, server.CodeNotReady, "the daemon has no configuration yet")
	}
	service, ok := snapshot.Service(call.Service)
	if !ok || service.Kind != call.Kind || !snapshot.allows(service, call.Client) {
		return refusal(call, "unknownService", "there is no such service of this kind for the client")
	}
	if code, message := checkLimits(&call, service); code != "" {
		return refusal(call, code, message)
	}
	if code, message := d.identify(&call); code != "" {
		return refusal(call, code, message)
	}
	if call.NewProgram && call.ParentProgram == "" && d.leaving.Load() {
		return refusal(call, server.CodeShuttingDown, "the host is leaving; use another one")
	}
	limit := time.Duration(service.Timeouts.CallMs) * time.Millisecond
	if call.RemainingMs > 0 {
		limit = min(limit, time.Duration(call.RemainingMs)*time.Millisecond)
	}
	emit(server.Chunk{Program: call.Program, Step: call.Step})
	r := &relay{emit: emit}
	return r.finish(d.route(ctx, call, d.platform.Clock.Now().Add(limit), r))
}

func refusal(call server.Call, code, message string) server.Response {
	return server.Response{
		Outcome: server.OutcomeNotRun, Code: code, Message: message, Program: call.Program, Step: call.Step,
	}
}

// allows reports whether a client may call a service.
func (s *Snapshot) allows(service encoder.Service, client string) bool {
	clients := service.Clients
	if workspace, ok := s.workspaces[service.Workspace]; ok && len(clients) == 0 {
		clients = workspace.Clients
	}
	return len(clients) == 0 || slices.Contains(clients, client)
}

// checkLimits applies the service's limits and fills in its defaults.
func checkLimits(call *server.Call, service encoder.Service) (code, message string) {
	limits := service.Limits
	if call.BodyBytes > limits.MaxBodyBytes {
		return server.CodeTooLarge, "the request's body is larger than the service allows"
	}
	if call.Kind == server.KindPlain {
		return "", ""
	}
	if call.MaxTokens > limits.MaxTokensPerCall {
		return server.CodeInvalidRequest, "max_tokens is over the service's limit"
	}
	if call.MaxTokens == 0 {
		call.MaxTokens = min(defaultMaxTokens, limits.MaxTokensPerCall)
	}
	if call.Model == "" {
		call.Model = service.Models[0].Name
	}
	for _, model := range service.Models {
		if model.Name != call.Model {
			continue
		}
		if call.Adapter != "" && !slices.Contains(model.Adapters, call.Adapter) {
			return server.CodeInvalidRequest, "the model has no such adapter"
		}
		return "", ""
	}
	return server.CodeInvalidRequest, "the service has no such model"
}

// defaultMaxTokens bounds the answer of a call that names no bound; the bound is
// reserved from the program's budget.
const defaultMaxTokens = 1024

// identify names the program of a call that names none. Whoever repeats the
// request under the same key finds the same program.
func (d *Daemon) identify(call *server.Call) (code, message string) {
	if call.Program != "" {
		// The first step may be repeated although its first try left no trace; a
		// sub-agent then needs its parent as well.
		call.NewProgram = call.Step == 1 && (call.ParentProgram != "" || sequencer.RootOf(call.Program) == call.Program)
		return "", ""
	}
	if call.Step > 1 {
		return server.CodeInvalidRequest, "a step needs its program"
	}
	var random [16]byte
	// The error of rand.Read is always nil.
	_, _ = rand.Read(random[:])
	call.NewProgram = true
	switch {
	case call.ParentProgram != "" && call.IdempotencyKey != "":
		call.Program = sequencer.KeyedChildID(call.ParentProgram, call.IdempotencyKey)
	case call.ParentProgram != "":
		call.Program = sequencer.NewChildID(call.ParentProgram, random)
	case call.IdempotencyKey != "":
		call.Program = sequencer.KeyedProgramID(d.domains, call.Client, call.Service, call.IdempotencyKey)
	default:
		call.Program = sequencer.NewProgramID(d.settings.FailureDomain, random)
	}
	call.Step = 1
	return "", ""
}

// serve runs a call at its owner.
func (d *Daemon) serve(ctx context.Context, call server.Call, emit func(server.Chunk)) server.Response {
	snapshot := d.snapshot.Load()
	service, ok := snapshot.Service(call.Service)
	if !ok {
		return refusal(call, codeNotYetKnown, "the owner does not know the service yet")
	}
	buffer := server.NewResponseBuffer()
	request := d.callRequest(call, service)
	if !d.programs.Post(callArrived{request: request, buffer: buffer}) {
		return refusal(call, server.CodeShuttingDown, "the daemon has stopped")
	}
	for {
		event, answer := buffer.Next(serveCheckEvery)
		if event.Text != "" {
			emit(event)
		}
		if answer != nil {
			return *answer
		}
		if ctx.Err() != nil || d.platform.Clock.Now().After(request.Deadline.Add(answerGrace)) {
			d.programs.Post(sequencerMessage{sequencer.CallerLeft{RequestID: call.ID}})
			return server.Response{Outcome: server.OutcomeUnknown, Code: codeOwnerLost, Program: call.Program, Step: call.Step}
		}
		if d.loopsDone.Load() {
			return server.Response{
				Outcome: server.OutcomeUnknown, Code: codeOwnerLost, Message: "the owner has stopped",
				Program: call.Program, Step: call.Step,
			}
		}
	}
}

// answerGrace is how long after its deadline a call is answered at the latest: the
// cancellation of the attempt and the wait for durability, with some to spare.
const answerGrace = 20 * time.Second

// serveCheckEvery is the period at which a waiting call looks whether its caller or
// the loops have gone.
const serveCheckEvery = 200 * time.Millisecond

// codeNotYetKnown makes the entry daemon ask again: the owner's configuration lags.
const codeNotYetKnown = "notYetKnown"

// callRequest translates a call for the sequencer.
func (d *Daemon) callRequest(call server.Call, service encoder.Service) sequencer.CallRequest {
	r := sequencer.CallRequest{
		ID: call.ID, Client: call.Client, Workspace: service.Workspace, Service: service.Name, Program: call.Program,
		NewProgram: call.NewProgram, ParentProgram: call.ParentProgram, Step: call.Step, IdempotencyKey: call.IdempotencyKey, Kind: call.Kind, Repeatable: true,
		Append: call.Append, Messages: call.Messages, Model: call.Model, Adapter: call.Adapter,
		MaxTokens: call.MaxTokens, Budget: budgetOf(call, service), Limits: *service.Limits,
		Retention: *service.Retention, EndProgram: call.EndProgram,
	}
	if call.Kind == server.KindModel {
		r.PromptTokens = promptTokens(call.Messages)
	}
	if call.Invoke != nil {
		r.Invoke = *call.Invoke
		r.Repeatable = parser.MayRepeat(service, r.Invoke.Method, pathOf(r.Invoke.Path))
		r.SupportsLookup = service.Targets.LookupByKey
		r.MaxCost = parser.CostOf(service, r.Invoke.Method, pathOf(r.Invoke.Path))
	}
	limit := time.Duration(service.Timeouts.CallMs) * time.Millisecond
	if call.RemainingMs > 0 {
		limit = min(limit, time.Duration(call.RemainingMs)*time.Millisecond)
	}
	r.Deadline = d.platform.Clock.Now().Add(limit)
	return r
}

// budgetOf is the budget of a new program: what the caller asks for within what
// the service allows.
func budgetOf(call server.Call, service encoder.Service) encoder.Budget {
	budget := *service.Budget
	lower(&budget.Tokens, call.Budget.Tokens)
	lower(&budget.Turns, call.Budget.Turns)
	lower(&budget.Cost, call.Budget.Cost)
	return budget
}

func lower[T int | float64](limit *T, wanted T) {
	if wanted > 0 && (*limit == 0 || wanted < *limit) {
		*limit = wanted
	}
}
