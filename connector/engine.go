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

// maxLineBytes limits the length of one line of a stream.
const maxLineBytes = 1 << 20

// Generate streams a response to emit. It fails with KindUnknown if the stream stalls,
// repeats or skips a sequence number, carries chunks of another attempt or ends before
// the final chunk.
func (e *Engine) Generate(ctx context.Context, request provider.GenerateRequest, emit func(provider.Chunk) error) error {
	const operation = "engine.generate"
	body, err := json.Marshal(request)
	if err != nil {
		return provider.NewError(operation, provider.KindInvalid, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimeout := e.client.options.StallTimeout
	watchdog := time.AfterFunc(stallTimeout, func() { cancel(eris.New("stream stalled")) })
	defer watchdog.Stop()

	header := http.Header{"Content-Type": {"application/json"}, headerAttemptID: {request.AttemptID}}
	response, err := e.client.send(ctx, &trackedRequest{operation: operation}, http.MethodPost, e.base+"/v1/generate", header, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
		return responseError(operation, response.StatusCode, data)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	next := request.SkipTokens
	for lines.Scan() {
		watchdog.Reset(stallTimeout)
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

// decodeChunk decodes one line of a stream. It returns an error unless the line is a valid
// chunk of the attempt with the sequence number next.
func decodeChunk(line []byte, attemptID string, next int) (provider.Chunk, error) {
	var chunk provider.Chunk
	if err := json.Unmarshal(line, &chunk); err != nil {
		return chunk, err
	}
	u := chunk.Usage
	switch {
	case chunk.AttemptID != attemptID || chunk.Sequence != next:
		return chunk, eris.Errorf("got chunk %d of attempt %q, want chunk %d", chunk.Sequence, chunk.AttemptID, next)
	case u.PromptTokens < 0 || u.CachedTokens < 0 || u.CompletionTokens < 0:
		return chunk, eris.New("negative token count in usage")
	}
	return chunk, nil
}

// Cancel stops an attempt at the engine.
func (e *Engine) Cancel(ctx context.Context, attemptID string) error {
	return e.client.roundTrip(ctx, "engine.cancel", http.MethodPost, e.base+"/v1/cancel?call="+url.QueryEscape(attemptID), nil, nil)
}

// Report returns the engine's load report.
func (e *Engine) Report(ctx context.Context) (provider.LoadReport, error) {
	var report provider.LoadReport
	err := e.client.roundTrip(ctx, "engine.report", http.MethodGet, e.base+"/v1/report", nil, &report)
	return report, err
}

// CacheEvents returns the cache events after a sequence number.
func (e *Engine) CacheEvents(ctx context.Context, after int64) ([]provider.CacheEvent, error) {
	var events []provider.CacheEvent
	err := e.client.roundTrip(ctx, "engine.events", http.MethodGet, e.base+"/v1/events?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

// Order sends an order. It fails if the engine does not respond before the order expires.
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
