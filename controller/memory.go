package controller

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/detector"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// textLoaded brings an answer whose text was in a segment.
type textLoaded struct {
	answer server.Response
	buffer *server.ResponseBuffer
}

func (textLoaded) isProgramMessage() {}

// objectTimeout bounds one request to the object store.
const objectTimeout = 10 * time.Second

// prompt joins the segments of a history and the messages after them.
func (d *Daemon) prompt(ctx context.Context, segments []string, messages []provider.ChatMessage) ([]provider.ChatMessage, error) {
	if len(segments) == 0 {
		return messages, nil
	}
	var all []provider.ChatMessage
	for _, name := range segments {
		part, err := d.segment(ctx, name)
		if err != nil {
			return nil, err
		}
		all = append(all, part...)
	}
	return append(all, messages...), nil
}

func (d *Daemon) segment(ctx context.Context, name string) ([]provider.ChatMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	data, err := d.platform.Objects.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	var messages []provider.ChatMessage
	if err := json.Unmarshal(data, &messages); err != nil {
		return nil, provider.NewError("objects.get", provider.KindInvalid, err)
	}
	return messages, nil
}

// storeSegment writes a part of a history; the sequencer asks again if it fails.
func (d *Daemon) storeSegment(c sequencer.StoreSegment) {
	d.effect(func(ctx context.Context) {
		data, err := json.Marshal(c.Messages)
		if err == nil {
			err = d.platform.Objects.Put(ctx, c.Name, data)
		}
		if err != nil {
			d.logger.Warn("history segment was not stored", zap.String("program", c.Program), zap.Error(err))
			return
		}
		d.programs.Post(sequencerMessage{sequencer.SegmentStored{Program: c.Program, Name: c.Name}})
	})
}

// loadText completes an answer whose text is in a segment.
func (d *Daemon) loadText(segment string, offset int, answer server.Response, buffer *server.ResponseBuffer) {
	d.effect(func(ctx context.Context) {
		messages, err := d.segment(ctx, segment)
		switch {
		case err != nil || offset >= len(messages):
			answer.Outcome, answer.Code = server.OutcomeUnknown, server.CodeStoreUnavailable
			answer.Message = "the recorded answer cannot be read now"
		default:
			answer.Text = messages[offset].Content
		}
		buffer.Finish(answer)
	})
}

// release frees the memory of an ended program. A target holds none when the
// platform does not list it, or does not list it any more and nothing answers at its
// address; one that returns is found by the audit.
func (p *programs) release(c sequencer.ReleaseMemory) {
	snapshot := p.d.snapshot.Load()
	for _, target := range c.Targets {
		confirmed := sequencerMessage{sequencer.ReleaseConfirmed{Program: c.Program, Target: target}}
		t, listed := snapshot.target(target)
		if !listed {
			p.d.programs.Post(confirmed)
			continue
		}
		p.d.effect(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, orderExpiry)
			defer cancel()
			err := p.d.orderMemory(ctx, target, t.Address, provider.Order{Kind: "release", Program: c.Program, ExpiresAfter: orderExpiry})
			kind := provider.KindOf(err)
			gone := t.State == detector.Gone && kind == provider.KindUnavailable
			if kind != provider.KindNone && kind != provider.KindNotFound && !gone {
				p.d.logger.Debug("release failed", zap.String("program", c.Program), zap.String("target", target), zap.Error(err))
				return
			}
			p.d.programs.Post(confirmed)
		})
	}
}

// lookup asks a target of the service for the result of a call that an earlier
// owner may have run. It never runs the call.
func (p *programs) lookup(c sequencer.LookupAttempt) {
	nodes := p.scheduler.Fleet().Accepting(c.Service)
	finished := sequencer.AttemptFinished{
		CallID: c.CallID, Attempt: c.Attempt, Outcome: sequencer.OutcomeUnknown, Code: sequencer.CodeOwnerChanged,
	}
	if len(nodes) == 0 {
		p.d.programs.Post(sequencerMessage{finished})
		return
	}
	address := nodes[int(p.ticket)%len(nodes)].Target().Address
	p.d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, orderExpiry)
		defer cancel()
		result, err := p.d.platform.Service(address).Lookup(ctx, c.IdempotencyKey)
		if err == nil {
			result.AttemptID = ""
			finished.Outcome, finished.Code = sequencer.OutcomeDone, ""
			finished.Result = sequencer.Result{Invoke: &result}
		}
		p.d.programs.Post(sequencerMessage{finished})
	})
}
