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

// maxPendingEvents bounds the events that wait for a slow receiver. A full
// buffer fails the call, since waiting would stop the other calls of the
// connection.
const maxPendingEvents = 4_096

// eventBuffer is a streamed answer at the entry daemon.
type eventBuffer struct {
	mu           sync.Mutex
	events       []encoder.CallEvent
	lastSequence int
	failure      Kind
	signal       chan struct{}
}

// deliverEvent takes an event on the read loop.
func (c *peerConn) deliverEvent(params json.RawMessage) {
	var event encoder.CallEvent
	if err := json.Unmarshal(params, &event); err != nil {
		c.messenger.logger.Warn("malformed event", zap.String("peer", c.peerName()), zap.Error(err))
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

func (buffer *eventBuffer) add(event encoder.CallEvent, counters *counters) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	switch {
	case buffer.failure != KindNone:
	case event.Sequence <= buffer.lastSequence:
		counters.duplicateEvents.Add(1)
		return
	case event.Sequence > buffer.lastSequence+1:
		counters.eventGaps.Add(1)
		buffer.failure = KindMissingEvents
	case len(buffer.events) >= maxPendingEvents:
		buffer.failure = KindSlowReceiver
	default:
		buffer.lastSequence = event.Sequence
		buffer.events = append(buffer.events, event)
	}
	select {
	case buffer.signal <- struct{}{}:
	default:
	}
}

func (buffer *eventBuffer) takeAll() ([]encoder.CallEvent, Kind) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	events := buffer.events
	buffer.events = nil
	return events, buffer.failure
}

// Forward sends a call to its owner, passes the streamed events to receive in
// order, each once, and returns the final answer. An error of receive cancels the
// call at the owner and is returned; so does the end of ctx. After KindClosed,
// KindTimeout, KindGap and KindSlow the call may have run.
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

// receiveEvents passes on events until the final answer.
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
				cause: fmt.Errorf("%d of %d events", buffer.lastSequence, result.Events)}
		}
		return result, nil
	}
}

func (c *peerConn) register(call string, buffer *eventBuffer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.eventBuffers[call]; ok {
		return fmt.Errorf("call %q is in progress", call)
	}
	c.eventBuffers[call] = buffer
	return nil
}

func (c *peerConn) unregister(call string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.eventBuffers, call)
}

// cancelAtOwner tells the owner that nobody waits any more.
func (m *Messenger) cancelAtOwner(c *peerConn, call string) {
	// On a broken connection the owner completes the call, which is allowed.
	_ = c.rpc.Notify(m.ctx, MethodCancelCall, encoder.CancelCall{Call: call})
}

// serveCall runs a forwarded call at the owner.
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

func (m *Messenger) cancelServedCall(from string, params json.RawMessage) {
	var request encoder.CancelCall
	if err := json.Unmarshal(params, &request); err != nil {
		return
	}
	if cancel, ok := m.callCancels.Load(from + "/" + request.Call); ok {
		cancel.(context.CancelFunc)()
	}
}
