package controller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// Methods between daemons besides those of package messenger.
const (
	methodProgram = "program"
	methodMemory  = "memory"
)

// programRequest asks an owner about a program, or to end it.
type programRequest struct {
	Program string `json:"program"`
	// Client is empty for operators, who see all programs.
	Client string `json:"client,omitempty"`
	End    bool   `json:"end,omitempty"`
}

type programResult struct {
	Info   server.ProgramInfo `json:"info"`
	Answer server.Response    `json:"answer"`
	// Owner is whom a host that does not own the program takes to be its owner.
	Owner string `json:"owner,omitempty"`
	Epoch int    `json:"epoch,omitempty"`
}

// Program describes a program of the client, of any client for "".
func (d *Daemon) Program(ctx context.Context, client, id string) (server.ProgramInfo, server.Response) {
	return d.askOwner(ctx, programRequest{Program: id, Client: client})
}

// EndProgram cancels a program of the client, of any client for "".
func (d *Daemon) EndProgram(ctx context.Context, client, id string) (server.ProgramInfo, server.Response) {
	return d.askOwner(ctx, programRequest{Program: id, Client: client, End: true})
}

// askOwner asks the owner of a program, and another host while the owner is not
// found. Both requests may be repeated.
func (d *Daemon) askOwner(ctx context.Context, r programRequest) (server.ProgramInfo, server.Response) {
	shard := sequencer.ShardOf(r.Program, d.settings.ShardsPerDomain)
	avoid, pause, last := "", firstRoutePause, ""
	for try := 0; ; try++ {
		host, epoch, known := d.pickOwner(shard, avoid, try)
		if known {
			result := d.askHost(ctx, host, r)
			last = result.Answer.Code
			if result.Owner != host {
				d.learn(shard, result.Owner, result.Epoch)
			}
			if !reroutes[result.Answer.Code] {
				return result.Info, result.Answer
			}
			d.logger.Debug("asking again", zap.String("program", r.Program), zap.String("owner", host),
				zap.Int("epoch", epoch), zap.String("code", last))
			avoid = ""
			if result.Answer.Code == server.CodeOwnerUnreachable {
				avoid = host
			}
		}
		if !wait(ctx, pause/2+rand.N(pause)) || d.loopsDone.Load() {
			d.logger.Warn("no owner was found", zap.String("program", r.Program), zap.String("shard", shard),
				zap.String("owner", host), zap.Int("epoch", epoch), zap.Bool("known", known), zap.String("code", last),
				zap.Int("tries", try+1))
			return server.ProgramInfo{}, server.Response{
				Outcome: server.OutcomeNotRun, Code: server.CodeOwnerUnreachable, Program: r.Program,
				Message: "the owner of the program cannot be reached", RetryAfterMs: d.settings.Timing.LeaseDurationMs,
			}
		}
		pause = min(2*pause, longestRoutePause)
	}
}

// wait waits and reports false when the context ended first.
func wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (d *Daemon) askHost(ctx context.Context, host string, r programRequest) programResult {
	if host == d.settings.Host {
		return d.localProgram(ctx, r)
	}
	unreachable := programResult{Answer: server.Response{Outcome: server.OutcomeNotRun, Code: server.CodeOwnerUnreachable}}
	peer, ok := d.snapshot.Load().peer(host)
	if !ok {
		return unreachable
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	result, err := messenger.Call[programResult](ctx, d.messenger, peer, methodProgram, r)
	if err != nil {
		return unreachable
	}
	return result
}

func (d *Daemon) handleProgram(ctx context.Context, params json.RawMessage) (any, error) {
	var r programRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, &Error{operation: "daemon.program", kind: KindMethod, cause: err}
	}
	result := d.localProgram(ctx, r)
	if result.Answer.Code == sequencer.CodeNotOwner {
		result.Owner, result.Epoch = d.namedOwner(sequencer.ShardOf(r.Program, d.settings.ShardsPerDomain))
	}
	return result, nil
}

// localProgram answers from the program loop; an end is answered when it is
// durable.
func (d *Daemon) localProgram(ctx context.Context, r programRequest) programResult {
	var ended *server.Response
	if r.End {
		answer := d.endLocal(ctx, r)
		if answer.Outcome != server.OutcomeDone {
			return programResult{Answer: answer}
		}
		ended = &answer
	}
	result, ok := ask(ctx, d, func(p *programs) programResult { return p.describe(r) })
	if !ok {
		return programResult{Answer: server.Response{Outcome: server.OutcomeNotRun, Code: server.CodeShuttingDown, Message: "the owner is stopping", Program: r.Program}}
	}
	if ended != nil && result.Answer.Code != "" {
		// The program has left this owner since its end was recorded.
		return programResult{Info: server.ProgramInfo{Program: r.Program, State: "ended", Reason: sequencer.ReasonCancelled}}
	}
	return result
}

func (d *Daemon) endLocal(ctx context.Context, r programRequest) server.Response {
	buffer := server.NewResponseBuffer()
	id := d.newID()
	d.programs.Post(programQuery{func(p *programs) {
		p.sessions[id] = &session{buffer: buffer, program: r.Program}
		p.sequence(sequencer.CancelRequested{Program: r.Program, Client: r.Client, RequestID: id})
	}})
	for {
		if _, answer := buffer.Next(serveCheckEvery); answer != nil {
			return *answer
		}
		if ctx.Err() != nil || d.loopsDone.Load() {
			return server.Response{
				Outcome: server.OutcomeUnknown, Code: sequencer.CodeNotDurable, Program: r.Program,
				Message: "the end is not recorded yet",
			}
		}
	}
}

// ask runs a query in the program loop and waits for its result.
func ask[T any](ctx context.Context, d *Daemon, query func(*programs) T) (T, bool) {
	result := make(chan T, 1)
	posted := d.programs.Post(programQuery{func(p *programs) { result <- query(p) }})
	value, err := await(ctx, d, "daemon.query", posted, result)
	return value, err == nil
}

// describe returns a program as its client or an operator may see it.
func (p *programs) describe(r programRequest) programResult {
	view, ok := p.sequencer.Program(r.Program)
	if !ok || r.Client != "" && view.Client != r.Client {
		// Whether a program of another client exists is not told.
		code, message := server.CodeNotFound, "there is no such program"
		if _, owned := p.sequencer.IsLive(r.Program); !owned {
			code, message = sequencer.CodeNotOwner, "this host does not own the program"
		}
		return programResult{Answer: server.Response{Outcome: server.OutcomeNotRun, Code: code, Message: message, Program: r.Program}}
	}
	return programResult{Info: p.info(view)}
}

func (p *programs) info(view sequencer.ProgramView) server.ProgramInfo {
	info := server.ProgramInfo{
		Program: view.ID, Client: view.Client, Workspace: view.Workspace, Parent: view.Parent, State: view.State,
		Reason: view.Reason, Turns: view.Turns, Tokens: view.Tokens, Cost: view.UsedCost, Owner: p.d.settings.Host,
		StartedAt: view.CreatedAt.UTC().Format(time.RFC3339Nano), LastCallAt: view.LastUsedAt.UTC().Format(time.RFC3339Nano),
	}
	for _, c := range view.Calls {
		info.Calls = append(info.Calls, server.CallInfo{
			Step: c.Step, Service: c.Service, Outcome: string(c.Outcome), Code: c.Code, State: c.State,
		})
	}
	return info
}

// Programs lists programs of the shards that the daemon owns.
func (d *Daemon) Programs(ctx context.Context, filter server.ProgramFilter) []server.ProgramInfo {
	list, _ := ask(ctx, d, func(p *programs) []server.ProgramInfo {
		var list []server.ProgramInfo
		for _, id := range p.sequencer.LiveProgramIDs(maxListed) {
			view, ok := p.sequencer.Program(id)
			if !ok || filter.Client != "" && view.Client != filter.Client || filter.State != "" && view.State != filter.State {
				continue
			}
			info := p.info(view)
			info.Calls = nil
			if list = append(list, info); filter.Limit > 0 && len(list) >= filter.Limit {
				break
			}
		}
		return list
	})
	return list
}

// maxListed bounds a list of programs.
const maxListed = 10_000
