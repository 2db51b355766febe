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

// incoming is a streamed answer at the entry daemon.
type incoming struct {
	mu      sync.Mutex
	events  []encoder.CallEvent
	last    int
	failure Kind
	signal  chan struct{}
}

// deliver takes an event on the read loop.
func (l *link) deliver(params json.RawMessage) {
	var event encoder.CallEvent
	if err := json.Unmarshal(params, &event); err != nil {
		l.messenger.logger.Warn("malformed event", zap.String("peer", l.name()), zap.Error(err))
		l.conn.Close()
		return
	}
	l.mu.Lock()
	in := l.incoming[event.Call]
	l.mu.Unlock()
	if in == nil {
		return
	}
	in.add(event, &l.messenger.counters)
}

func (in *incoming) add(event encoder.CallEvent, counters *counters) {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch {
	case in.failure != KindNone:
	case event.Sequence <= in.last:
		counters.repeats.Add(1)
		return
	case event.Sequence > in.last+1:
		counters.gaps.Add(1)
		in.failure = KindMissingEvents
	case len(in.events) >= maxPendingEvents:
		in.failure = KindSlowReceiver
	default:
		in.last = event.Sequence
		in.events = append(in.events, event)
	}
	select {
	case in.signal <- struct{}{}:
	default:
	}
}

func (in *incoming) take() ([]encoder.CallEvent, Kind) {
	in.mu.Lock()
	defer in.mu.Unlock()
	events := in.events
	in.events = nil
	return events, in.failure
}

// Forward sends a call to its owner, passes the streamed events to receive in
// order, each once, and returns the final answer. An error of receive cancels the
// call at the owner and is returned; so does the end of ctx. After KindClosed,
// KindTimeout, KindGap and KindSlow the call may have run.
func (m *Messenger) Forward(ctx context.Context, peer Peer, call encoder.ForwardedCall, receive func(encoder.CallEvent) error) (encoder.CallResult, error) {
	l, err := m.connect(ctx, peer, MethodCall)
	if err != nil {
		return encoder.CallResult{}, err
	}
	in := &incoming{signal: make(chan struct{}, 1)}
	if err := l.register(call.Call, in); err != nil {
		return encoder.CallResult{}, &Error{operation: MethodCall, kind: KindUnreachable, peer: peer.Host, cause: err}
	}
	defer l.unregister(call.Call)
	if !l.begin() {
		return encoder.CallResult{}, &Error{operation: MethodCall, kind: KindUnreachable, peer: peer.Host, cause: errors.New("too many requests")}
	}
	defer l.end()
	waiter, err := l.conn.DispatchCall(ctx, MethodCall, call)
	if err != nil {
		return encoder.CallResult{}, l.notSent(MethodCall, err)
	}
	l.requestSent()
	result, err := l.follow(ctx, waiter, in, receive)
	if err != nil {
		m.cancelRemote(l, call.Call)
	}
	return result, err
}

// follow passes on events until the final answer.
func (l *link) follow(ctx context.Context, waiter jsonrpc2.Waiter, in *incoming, receive func(encoder.CallEvent) error) (encoder.CallResult, error) {
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	var result encoder.CallResult
	answered := make(chan error, 1)
	if !l.messenger.spawn(func() { answered <- waiter.Wait(waiting, &result) }) {
		return result, &Error{operation: MethodCall, kind: KindClosed, peer: l.name(), cause: errConnClosed}
	}
	for final := false; ; {
		var err error
		select {
		case <-in.signal:
		case err = <-answered:
			final = true
		}
		events, failure := in.take()
		for _, event := range events {
			if err := receive(event); err != nil {
				return encoder.CallResult{}, err
			}
		}
		if failure != KindNone {
			return encoder.CallResult{}, &Error{operation: MethodCall, kind: failure, peer: l.name()}
		}
		if !final {
			continue
		}
		if err != nil {
			return encoder.CallResult{}, l.classify(ctx, MethodCall, err)
		}
		if result.Events != in.last {
			l.messenger.counters.gaps.Add(1)
			return encoder.CallResult{}, &Error{operation: MethodCall, kind: KindMissingEvents, peer: l.name(),
				cause: fmt.Errorf("%d of %d events", in.last, result.Events)}
		}
		return result, nil
	}
}

func (l *link) register(call string, in *incoming) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.incoming[call]; ok {
		return fmt.Errorf("call %q is in progress", call)
	}
	l.incoming[call] = in
	return nil
}

func (l *link) unregister(call string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.incoming, call)
}

// cancelRemote tells the owner that nobody waits any more.
func (m *Messenger) cancelRemote(l *link, call string) {
	// On a broken connection the owner completes the call, which is allowed.
	_ = l.conn.Notify(m.ctx, MethodCancelCall, encoder.CancelCall{Call: call})
}

// serveCall runs a forwarded call at the owner.
func (l *link) serveCall(params json.RawMessage) (encoder.CallResult, error) {
	m := l.messenger
	var call encoder.ForwardedCall
	if err := json.Unmarshal(params, &call); err != nil {
		return encoder.CallResult{}, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	key := l.name() + "/" + call.Call
	if _, exists := m.serving.LoadOrStore(key, cancel); exists {
		return encoder.CallResult{}, &jsonrpc2.Error{Code: codeDuplicate, Message: "call is in progress"}
	}
	defer m.serving.Delete(key)
	var mu sync.Mutex
	sequence := 0
	emit := func(kind string, data json.RawMessage) error {
		mu.Lock()
		defer mu.Unlock()
		event := encoder.CallEvent{Call: call.Call, Sequence: sequence + 1, Kind: kind, Data: data}
		if err := l.conn.Notify(m.ctx, methodCallEvent, event); err != nil {
			return l.notSent(methodCallEvent, err)
		}
		sequence++
		return nil
	}
	result, err := m.handler.HandleCall(ctx, l.name(), call, emit)
	result.Call, result.Events = call.Call, sequence
	return result, err
}

func (m *Messenger) cancelServing(from string, params json.RawMessage) {
	var request encoder.CancelCall
	if err := json.Unmarshal(params, &request); err != nil {
		return
	}
	if cancel, ok := m.serving.Load(from + "/" + request.Call); ok {
		cancel.(context.CancelFunc)()
	}
}
