package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

// maxPendingEvents bounds the buffered events of one forwarded call. A full buffer
// fails the call, because blocking the read loop would delay all other calls on
// the connection.
const maxPendingEvents = 4_096

// eventBuffer holds the received events of a forwarded call on the entry daemon
// until receiveEvents takes them.
type eventBuffer struct {
	mu           sync.Mutex
	events       []encoder.CallEvent
	lastSequence int
	failure      Kind
	// signal has capacity 1 and holds a value after events or failure has changed.
	signal chan struct{}
}

// deliverEvent adds a call event to the buffer of its call. An event of a call that
// has ended is dropped; a malformed one closes the connection. It runs on the read
// loop.
func (c *peerConn) deliverEvent(params json.RawMessage) {
	var event encoder.CallEvent
	if err := json.Unmarshal(params, &event); err != nil {
		c.messenger.logger.Warn("malformed call event; closing the connection", zap.String("peer", c.peerName()), zap.Error(err))
		c.rpc.Close()
		return
	}
	c.mu.Lock()
	buffer := c.eventBuffers[event.Call]
	c.mu.Unlock()
	if buffer == nil {
		return
	}
	buffer.add(event, &c.messenger.counters)
}

// add buffers an event. Duplicates are dropped; a gap in the sequence or a full
// buffer sets failure, and no event is accepted after that.
func (b *eventBuffer) add(event encoder.CallEvent, counters *counters) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.failure != KindNone:
	case event.Sequence <= b.lastSequence:
		counters.duplicateEvents.Add(1)
		return
	case event.Sequence > b.lastSequence+1:
		counters.eventGaps.Add(1)
		b.failure = KindMissingEvents
	case len(b.events) >= maxPendingEvents:
		b.failure = KindSlowReceiver
	default:
		b.lastSequence = event.Sequence
		b.events = append(b.events, event)
	}
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// takeAll removes and returns the buffered events, and returns the failure, if any.
func (b *eventBuffer) takeAll() ([]encoder.CallEvent, Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	b.events = nil
	return events, b.failure
}

// Forward sends a call to its owner, passes each streamed event to receive once and
// in order, and returns the result. If receive returns an error or ctx ends, Forward
// cancels the call at the owner and returns the error. After KindClosed,
// KindTimeout, KindMissingEvents and KindSlowReceiver the call may have run.
func (m *Messenger) Forward(ctx context.Context, peer Peer, call encoder.ForwardedCall, receive func(encoder.CallEvent) error) (encoder.CallResult, error) {
	c, err := m.connect(ctx, peer, MethodCall)
	if err != nil {
		return encoder.CallResult{}, err
	}
	buffer := &eventBuffer{signal: make(chan struct{}, 1)}
	if err := c.register(call.Call, buffer); err != nil {
		return encoder.CallResult{}, &Error{operation: MethodCall, kind: KindUnreachable, peer: peer.Host, cause: err}
	}
	defer c.unregister(call.Call)
	if !c.addPending() {
		return encoder.CallResult{}, &Error{operation: MethodCall, kind: KindUnreachable, peer: peer.Host, cause: errors.New("too many requests")}
	}
	defer c.removePending()
	waiter, err := c.rpc.DispatchCall(ctx, MethodCall, call)
	if err != nil {
		return encoder.CallResult{}, c.wrapSendError(MethodCall, err)
	}
	c.restartStallTimer()
	result, err := c.receiveEvents(ctx, waiter, buffer, receive)
	if err != nil {
		m.cancelAtOwner(c, call.Call)
	}
	return result, err
}

// receiveEvents passes the events of a forwarded call to receive until the result
// arrives.
func (c *peerConn) receiveEvents(ctx context.Context, waiter jsonrpc2.Waiter, buffer *eventBuffer, receive func(encoder.CallEvent) error) (encoder.CallResult, error) {
	waitCtx, stop := context.WithCancel(ctx)
	defer stop()
	var result encoder.CallResult
	replied := make(chan error, 1)
	if !c.messenger.spawn(func() { replied <- waiter.Wait(waitCtx, &result) }) {
		return result, &Error{operation: MethodCall, kind: KindClosed, peer: c.peerName(), cause: errConnClosed}
	}
	for final := false; ; {
		var err error
		select {
		case <-buffer.signal:
		case err = <-replied:
			final = true
		}
		events, failure := buffer.takeAll()
		for _, event := range events {
			if err := receive(event); err != nil {
				return encoder.CallResult{}, err
			}
		}
		if failure != KindNone {
			return encoder.CallResult{}, &Error{operation: MethodCall, kind: failure, peer: c.peerName()}
		}
		if !final {
			continue
		}
		if err != nil {
			return encoder.CallResult{}, c.wrapCallError(ctx, MethodCall, err)
		}
		if result.Events != buffer.lastSequence {
			c.messenger.counters.eventGaps.Add(1)
			return encoder.CallResult{}, &Error{operation: MethodCall, kind: KindMissingEvents, peer: c.peerName(),
				cause: fmt.Errorf("received %d of %d events", buffer.lastSequence, result.Events)}
		}
		return result, nil
	}
}

// register adds the event buffer of a call; it fails if the call already has one.
func (c *peerConn) register(callID string, buffer *eventBuffer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.eventBuffers[callID]; ok {
		return fmt.Errorf("call %q is already in progress", callID)
	}
	c.eventBuffers[callID] = buffer
	return nil
}

func (c *peerConn) unregister(callID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.eventBuffers, callID)
}

// cancelAtOwner asks the owner to cancel a call whose result is no longer needed.
func (m *Messenger) cancelAtOwner(c *peerConn, callID string) {
	// If the connection is broken, the owner completes the call, which is allowed.
	_ = c.rpc.Notify(m.ctx, MethodCancelCall, encoder.CancelCall{Call: callID})
}

// serveCall runs a forwarded call on its owner and sends its events to the entry
// daemon. A second request with the ID of a running call fails with codeDuplicate.
func (c *peerConn) serveCall(params json.RawMessage) (encoder.CallResult, error) {
	m := c.messenger
	var call encoder.ForwardedCall
	if err := json.Unmarshal(params, &call); err != nil {
		return encoder.CallResult{}, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	key := c.peerName() + "/" + call.Call
	if _, exists := m.callCancels.LoadOrStore(key, cancel); exists {
		return encoder.CallResult{}, &jsonrpc2.Error{Code: codeDuplicate, Message: "call is in progress"}
	}
	defer m.callCancels.Delete(key)
	var mu sync.Mutex
	sequence := 0
	emit := func(kind string, data json.RawMessage) error {
		mu.Lock()
		defer mu.Unlock()
		event := encoder.CallEvent{Call: call.Call, Sequence: sequence + 1, Kind: kind, Data: data}
		if err := c.rpc.Notify(m.ctx, methodCallEvent, event); err != nil {
			return c.wrapSendError(methodCallEvent, err)
		}
		sequence++
		return nil
	}
	result, err := m.handler.HandleCall(ctx, c.peerName(), call, emit)
	result.Call, result.Events = call.Call, sequence
	return result, err
}

// cancelServedCall cancels the context of a running call of the entry daemon from.
func (m *Messenger) cancelServedCall(from string, params json.RawMessage) {
	var request encoder.CancelCall
	if err := json.Unmarshal(params, &request); err != nil {
		return
	}
	if cancel, ok := m.callCancels.Load(from + "/" + request.Call); ok {
		cancel.(context.CancelFunc)()
	}
}
