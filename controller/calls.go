package controller

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// Call runs one call of a caller to its end and measures it.
func (d *Daemon) Call(ctx context.Context, call server.Call, emit func(server.Event)) server.Answer {
	started := d.platform.Clock.Now()
	d.metrics.gauge("in_flight", float64(d.inFlight.Add(1)))
	first := true
	answer := d.run(ctx, call, func(event server.Event) {
		if first && event.Text != "" {
			first = false
			d.metrics.firstToken(call.Service, d.platform.Clock.Now().Sub(started))
		}
		emit(event)
	})
	took := d.platform.Clock.Now().Sub(started)
	d.metrics.gauge("in_flight", float64(d.inFlight.Add(-1)))
	service := call.Service
	if _, ok := d.snapshot.Load().Service(service); !ok {
		// Names that callers invent must not become tags.
		service = "unknown"
	}
	d.metrics.call(service, answer.Outcome, answer.Code, took)
	d.logger.Debug("call ended", zap.String("call", call.ID), zap.String("program", answer.Program),
		zap.Int("step", answer.Step), zap.String("service", call.Service), zap.String("outcome", answer.Outcome),
		zap.String("code", answer.Code), zap.Duration("took", took))
	return answer
}

func (d *Daemon) run(ctx context.Context, call server.Call, emit func(server.Event)) server.Answer {
	snapshot := d.snapshot.Load()
	if call.Program == "" {
		call.Program = d.newProgramID()
	}
	refuse := func(code, message string) server.Answer {
		return server.Answer{
			Outcome: server.OutcomeNotRun, Code: code, Message: message, Program: call.Program, Step: call.Step,
		}
	}
	if !snapshot.ready {
		return refuse(server.CodeNotReady, "no configuration yet")
	}
	service, ok := snapshot.Service(call.Service)
	if !ok || service.Kind != call.Kind {
		return refuse("unknownService", "no such service of this kind")
	}
	emit(server.Event{Program: call.Program, Step: call.Step})
	candidates := snapshot.Targets(service)
	if len(candidates) == 0 {
		return refuse(server.CodeNoTarget, "the service has no target")
	}
	reply := make(chan provider.Member, 1)
	if !d.programs.Post(pickTarget{candidates: candidates, reply: reply}) {
		return refuse(server.CodeShuttingDown, "the daemon has stopped")
	}
	target := <-reply
	defer d.programs.Post(attemptEnded{target: target.Host})
	ctx, cancel := context.WithTimeout(ctx, time.Duration(service.Timeouts.CallMs)*time.Millisecond)
	defer cancel()
	if call.Kind == server.KindPlain {
		return d.invoke(ctx, call, target)
	}
	return d.generate(ctx, call, service, target, emit)
}

func (d *Daemon) newProgramID() string {
	return d.settings.FailureDomain + "-" + strings.ReplaceAll(uuid.NewString(), "-", "")
}

func (d *Daemon) generate(ctx context.Context, call server.Call, service encoder.Service, target provider.Member, emit func(server.Event)) server.Answer {
	request := provider.GenerateRequest{
		Call: call.ID, Program: call.Program, Model: call.Model, Adapter: call.Adapter, Messages: call.Messages,
		PromptTokens: promptTokens(call.Messages), MaxTokens: call.MaxTokens, Seed: int64(xxhash.Sum64String(call.ID) >> 1),
	}
	if request.Model == "" {
		request.Model = service.Models[0].Name
	}
	var text strings.Builder
	answer := server.Answer{Outcome: server.OutcomeDone, Program: call.Program, Step: call.Step}
	err := d.platform.Engine(target.Address).Generate(ctx, request, func(chunk provider.Chunk) error {
		if chunk.Final {
			answer.Usage = chunk.Usage
			return nil
		}
		text.WriteString(chunk.Text)
		emit(server.Event{Text: chunk.Text})
		return nil
	})
	answer.Text = text.String()
	return d.finish(answer, err, call, target)
}

func (d *Daemon) invoke(ctx context.Context, call server.Call, target provider.Member) server.Answer {
	request := *call.Invoke
	request.Call, request.Key = call.ID, call.Key
	answer := server.Answer{Outcome: server.OutcomeDone, Program: call.Program, Step: call.Step}
	result, err := d.platform.Service(target.Address).Invoke(ctx, request)
	answer.Result = &result
	return d.finish(answer, err, call, target)
}

// finish turns the error of an attempt into the outcome of the call.
func (d *Daemon) finish(answer server.Answer, err error, call server.Call, target provider.Member) server.Answer {
	if err == nil {
		return answer
	}
	d.logger.Warn("attempt failed", zap.String("call", call.ID), zap.String("program", call.Program),
		zap.String("target", target.Host), zap.Error(err))
	answer.Outcome, answer.Code, answer.Message = server.OutcomeUnknown, "targetFailed", err.Error()
	if provider.KindOf(err).NoEffect() {
		answer.Outcome = server.OutcomeNotRun
	}
	return answer
}

// bytesPerToken is the usual ratio of English text, for estimates of prompts.
const bytesPerToken = 4

func promptTokens(messages []provider.ChatMessage) int {
	bytes := 0
	for _, message := range messages {
		bytes += len(message.Role) + len(message.Content) + bytesPerToken
	}
	return bytes/bytesPerToken + 1
}
