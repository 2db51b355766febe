package controller

import (
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// forwardedAnswer is the result of a forwarded call. The text that was streamed is
// not sent twice: Streamed and Sum let the entry daemon check it.
type forwardedAnswer struct {
	server.Response
	Streamed int    `json:"streamed,omitempty"`
	Sum      uint64 `json:"sum,omitempty"`
}

const eventText = "text"

// forward sends a call to its owner and passes its stream on.
func (d *Daemon) forward(ctx context.Context, host, shard string, epoch int, call server.Call, r *relay) server.Response {
	peer, ok := d.snapshot.Load().peer(host)
	if !ok {
		return refusal(call, server.CodeOwnerUnreachable, "the owner of the program is not in the list of hosts")
	}
	request, err := json.Marshal(call)
	if err != nil {
		return refusal(call, server.CodeInvalidRequest, err.Error())
	}
	d.forwards.Add(1)
	var text []byte
	result, err := d.messenger.Forward(ctx, peer, encoder.ForwardedCall{
		Call: call.ID + "/" + d.newID(), Entry: d.settings.Host, Shard: shard, Epoch: epoch,
		DeadlineMs: int(call.RemainingMs), Request: request,
	}, func(event encoder.CallEvent) error {
		var piece string
		if err := json.Unmarshal(event.Data, &piece); err != nil {
			return err
		}
		text = append(text, piece...)
		r.add(server.Chunk{Text: piece})
		return nil
	})
	d.control.Post(hostObserved{host: host, ok: err == nil})
	if d.snapshot.Load().region(host) != d.settings.Region {
		d.metrics.link(call.Service, len(request)+len(text)+len(result.Result))
	}
	if err != nil {
		return d.forwardFailed(call, host, err)
	}
	if result.Owner != host {
		d.learn(shard, result.Owner, result.Epoch)
	}
	var answer forwardedAnswer
	if err := json.Unmarshal(result.Result, &answer); err != nil {
		return server.Response{Outcome: server.OutcomeUnknown, Code: codeOwnerLost, Message: err.Error(), Program: call.Program, Step: call.Step}
	}
	if answer.Streamed > 0 {
		if answer.Streamed != len(text) || answer.Sum != xxhash.Sum64(text) {
			return server.Response{
				Outcome: server.OutcomeUnknown, Code: codeOwnerLost, Message: "the stream is not complete",
				Program: call.Program, Step: call.Step,
			}
		}
		answer.Text = string(text)
	}
	return answer.Response
}

// forwardFailed tells what a broken connection to an owner means for the call.
func (d *Daemon) forwardFailed(call server.Call, host string, err error) server.Response {
	d.logger.Info("owner did not answer", zap.String("call", call.ID), zap.String("program", call.Program),
		zap.String("owner", host), zap.Error(err))
	if messenger.KindOf(err).NotRun() {
		return refusal(call, server.CodeOwnerUnreachable, "the owner of the program cannot be reached")
	}
	return server.Response{
		Outcome: server.OutcomeUnknown, Code: codeOwnerLost, Message: "the connection to the owner broke",
		Program: call.Program, Step: call.Step,
	}
}

// HandleCall serves a call that another daemon has forwarded.
func (d *Daemon) HandleCall(ctx context.Context, from string, forwarded encoder.ForwardedCall, emit messenger.Emit) (encoder.CallResult, error) {
	var call server.Call
	if err := json.Unmarshal(forwarded.Request, &call); err != nil {
		return encoder.CallResult{}, err
	}
	d.logger.Debug("forwarded call", zap.String("call", call.ID), zap.String("program", call.Program), zap.String("entry", from))
	// An arrival has an id of its own: an earlier one of the same call may still be
	// open here after its connection broke.
	call.ID = forwarded.Call
	var sent []byte
	broken := false
	answer := forwardedAnswer{Response: d.serve(ctx, call, func(event server.Chunk) {
		data, err := json.Marshal(event.Text)
		if err != nil || broken {
			return
		}
		if err := emit(eventText, data); err != nil {
			broken = true
			return
		}
		sent = append(sent, event.Text...)
	})}
	if len(sent) > 0 && string(sent) == answer.Text {
		answer.Streamed, answer.Sum, answer.Text = len(sent), xxhash.Sum64(sent), ""
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return encoder.CallResult{}, err
	}
	result := encoder.CallResult{Outcome: answer.Outcome, Code: answer.Code, Message: answer.Message, Result: data}
	if answer.Code == sequencer.CodeNotOwner {
		result.Owner, result.Epoch = d.namedOwner(forwarded.Shard)
	}
	return result, nil
}
