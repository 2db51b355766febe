package connector

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Engine is the HTTP client of one model engine.
type Engine struct {
	client *Client
	base   string
}

// NewEngine returns a client of the engine at an address such as 10.0.0.9:8000.
func NewEngine(client *Client, address string) *Engine {
	return &Engine{client: client, base: "http://" + address}
}

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 1 << 20

// Generate streams an answer. A stream that is silent for too long, repeats or
// skips a sequence number, carries another call's chunks or ends without its last
// chunk fails with KindUnknown.
func (e *Engine) Generate(ctx context.Context, request provider.GenerateRequest, emit func(provider.Chunk) error) error {
	const operation = "engine.generate"
	body, err := json.Marshal(request)
	if err != nil {
		return provider.NewError(operation, provider.KindInvalid, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := e.client.options.StallTimeout
	watchdog := time.AfterFunc(silence, func() { cancel(eris.New("stream is silent")) })
	defer watchdog.Stop()

	header := http.Header{"Content-Type": {"application/json"}, headerCall: {request.AttemptID}}
	response, err := e.client.send(ctx, &exchange{operation: operation}, http.MethodPost, e.base+"/v1/generate", header, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
		return failureOf(operation, response.StatusCode, data)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	next := request.SkipTokens
	for lines.Scan() {
		watchdog.Reset(silence)
		if len(lines.Bytes()) == 0 {
			continue
		}
		chunk, err := decodeChunk(lines.Bytes(), request.AttemptID, next)
		if err != nil {
			return provider.NewError(operation, provider.KindUnknown, err)
		}
		next++
		if err := emit(chunk); err != nil {
			return provider.NewError(operation, provider.KindUnknown, err)
		}
		if chunk.Final {
			return nil
		}
	}
	err = lines.Err()
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return provider.NewError(operation, provider.KindUnknown, err)
}

// decodeChunk reads one line of a stream, which must be the next chunk of the call.
func decodeChunk(line []byte, call string, next int) (provider.Chunk, error) {
	var chunk provider.Chunk
	if err := json.Unmarshal(line, &chunk); err != nil {
		return chunk, err
	}
	u := chunk.Usage
	switch {
	case chunk.AttemptID != call || chunk.Sequence != next:
		return chunk, eris.Errorf("chunk %d of call %q where %d was expected", chunk.Sequence, chunk.AttemptID, next)
	case u.PromptTokens < 0 || u.CachedTokens < 0 || u.CompletionTokens < 0:
		return chunk, eris.New("negative usage")
	}
	return chunk, nil
}

// Cancel ends a call at the engine.
func (e *Engine) Cancel(ctx context.Context, call string) error {
	return e.client.roundTrip(ctx, "engine.cancel", http.MethodPost, e.base+"/v1/cancel?call="+url.QueryEscape(call), nil, nil)
}

// Report returns the engine's load.
func (e *Engine) Report(ctx context.Context) (provider.LoadReport, error) {
	var report provider.LoadReport
	err := e.client.roundTrip(ctx, "engine.report", http.MethodGet, e.base+"/v1/report", nil, &report)
	return report, err
}

// CacheEvents returns cache events after a sequence number.
func (e *Engine) CacheEvents(ctx context.Context, after int64) ([]provider.CacheEvent, error) {
	var events []provider.CacheEvent
	err := e.client.roundTrip(ctx, "engine.events", http.MethodGet, e.base+"/v1/events?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

// Order sends an order. An order whose time is up is not sent.
func (e *Engine) Order(ctx context.Context, order provider.Order) error {
	if order.ExpiresAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, order.ExpiresAfter)
		defer cancel()
	}
	return e.client.roundTrip(ctx, "engine.order", http.MethodPost, e.base+"/v1/orders", order, nil)
}

// HeldPrograms lists the programs for which the engine holds memory.
func (e *Engine) HeldPrograms(ctx context.Context) ([]string, error) {
	var held []string
	err := e.client.roundTrip(ctx, "engine.held", http.MethodGet, e.base+"/v1/held", nil, &held)
	return held, err
}
