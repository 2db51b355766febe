package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// HTTP headers between daemons and plain services.
const (
	HeaderAttemptID      = "Dogwoodweir-Call"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Dogwoodweir-Outcome"
)

// Ledger counts the runs of non-repeatable calls by idempotency key and keeps their results.
// All targets of a service share one, which stands for the payment provider behind them.
type Ledger struct {
	mu      sync.Mutex
	runs    map[string]int
	results map[string]provider.InvokeResult
	next    int
}

// NewLedger returns an empty ledger, to be shared by the targets of a service.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]int{}, results: map[string]provider.InvokeResult{}}
}

func (l *Ledger) record(request provider.InvokeRequest) provider.InvokeResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	if request.IdempotencyKey != "" {
		l.runs[request.IdempotencyKey]++
	}
	body, _ := json.Marshal(ServiceResponse{
		Number: l.next, Path: request.Path, Key: request.IdempotencyKey, Digest: BodyDigest(request.Body),
	})
	result := provider.InvokeResult{
		AttemptID: request.AttemptID, Status: http.StatusOK, Header: map[string]string{"Content-Type": "application/json"}, Body: body,
	}
	if request.IdempotencyKey != "" {
		l.results[request.IdempotencyKey] = result
	}
	return result
}

func (l *Ledger) result(key string) (provider.InvokeResult, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	result, ok := l.results[key]
	return result, ok
}

// Runs returns the number of runs by idempotency key.
func (l *Ledger) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// ServiceResponse is the body of a response of Service. Number increases with each run,
// like an invoice number.
type ServiceResponse struct {
	Number int    `json:"number"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Digest string `json:"digest"`
}

// BodyDigest returns the digest of a request's body, as contained in the response.
func BodyDigest(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// ServiceOptions configures one target of a plain service.
type ServiceOptions struct {
	Name string `json:"name"`
	// LookupByKey makes the target support Lookup.
	LookupByKey bool `json:"lookupByKey,omitempty"`
	// DelayMs is the duration of a call (default 5).
	DelayMs int `json:"delayMs,omitempty"`
}

// ServiceFaults are the fault switches of a service.
type ServiceFaults struct {
	// Hang runs calls but never responds.
	Hang bool `json:"hang"`
	// HangEvery applies Hang to every HangEvery-th call; 0 to none.
	HangEvery int `json:"hangEvery"`
	// Stall makes connections stall: the service accepts calls but neither runs them nor
	// responds.
	Stall bool `json:"silent"`
	// DropResponse runs calls but breaks the connection before the response.
	DropResponse bool `json:"dropAnswer"`
	// RejectCalls rejects calls without running them.
	RejectCalls bool `json:"refuse"`
	// Dead breaks connections before a call runs.
	Dead bool `json:"dead"`
	// DelayMs is added to the duration of each call.
	DelayMs int `json:"delayMs"`
}

// Service emulates one target of a plain service or tool. It implements provider.Service.
type Service struct {
	options ServiceOptions
	ledger  *Ledger

	mu     sync.Mutex
	faults ServiceFaults
	calls  int
	done   chan struct{}
	closed sync.Once
}

// NewService returns a target that records its runs in the ledger.
func NewService(options ServiceOptions, ledger *Ledger) *Service {
	if options.DelayMs == 0 {
		options.DelayMs = 5
	}
	return &Service{options: options, ledger: ledger, done: make(chan struct{})}
}

// Close ends the calls that hang.
func (s *Service) Close() { s.closed.Do(func() { close(s.done) }) }

// Faults returns the fault switches.
func (s *Service) Faults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the fault switches.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Invoke runs one call and records it in the ledger.
func (s *Service) Invoke(ctx context.Context, request provider.InvokeRequest) (provider.InvokeResult, error) {
	const operation = "service.invoke"
	s.mu.Lock()
	s.calls++
	faults, n := s.faults, s.calls
	s.mu.Unlock()
	fail := func(kind provider.Kind, text string) (provider.InvokeResult, error) {
		return provider.InvokeResult{}, provider.NewError(operation, kind, eris.New(text))
	}
	switch {
	case faults.Dead:
		return fail(provider.KindUnavailable, "service is dead")
	case faults.RejectCalls:
		return fail(provider.KindRefused, "call rejected by a fault switch")
	case faults.Stall:
		return s.hang(ctx)
	}
	delay := time.Duration(s.options.DelayMs+faults.DelayMs) * time.Millisecond
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
	// A call that has arrived runs to its end even if its caller has disconnected.
	result := s.ledger.record(request)
	if faults.Hang || faults.HangEvery > 0 && n%faults.HangEvery == 0 {
		return s.hang(ctx)
	}
	if faults.DropResponse {
		return fail(provider.KindUnknown, "answer dropped")
	}
	return result, nil
}

func (s *Service) hang(ctx context.Context) (provider.InvokeResult, error) {
	select {
	case <-ctx.Done():
		return provider.InvokeResult{}, provider.NewError("service.invoke", provider.KindUnknown, ctx.Err())
	case <-s.done:
		return provider.InvokeResult{}, provider.NewError("service.invoke", provider.KindUnknown, eris.New("service closed"))
	}
}

// Lookup returns the result that was recorded under an idempotency key.
func (s *Service) Lookup(_ context.Context, key string) (provider.InvokeResult, error) {
	if s.Faults().Dead {
		return provider.InvokeResult{}, provider.NewError("service.lookup", provider.KindUnavailable, nil)
	}
	if !s.options.LookupByKey {
		return provider.InvokeResult{}, provider.NewError("service.lookup", provider.KindUnsupported, nil)
	}
	result, ok := s.ledger.result(key)
	if !ok {
		return provider.InvokeResult{}, provider.NewError("service.lookup", provider.KindNotFound, nil)
	}
	return result, nil
}

// Handler serves the target over HTTP. Every path is a call except /faults, /runs and
// /lookup?key=.
func (s *Service) Handler() *fiber.App {
	app := newApp()
	addFaultRoutes(app, s.Faults, s.SetFaults)
	app.Get("/runs", func(c *fiber.Ctx) error { return c.JSON(s.ledger.Runs()) })
	app.Get("/lookup", func(c *fiber.Ctx) error {
		result, err := s.Lookup(c.Context(), c.Query("key"))
		return respondValue(c, result, err)
	})
	app.All("/*", s.serveCall)
	return app
}

func (s *Service) serveCall(c *fiber.Ctx) error {
	faults := s.Faults()
	if faults.Stall {
		return stall(c, s.done)
	}
	request := provider.InvokeRequest{
		AttemptID: c.Get(HeaderAttemptID), IdempotencyKey: c.Get(HeaderIdempotencyKey), Method: c.Method(),
		Path: strings.Clone(c.OriginalURL()), Body: append([]byte(nil), c.Body()...),
	}
	result, err := s.Invoke(context.Background(), request)
	switch provider.KindOf(err) {
	case provider.KindNone:
	case provider.KindRefused:
		c.Set(HeaderOutcome, "notRun")
		return writeError(c, err)
	default:
		return abort(c)
	}
	c.Set(HeaderAttemptID, result.AttemptID)
	for name, value := range result.Header {
		c.Set(name, value)
	}
	return c.Status(result.Status).Send(result.Body)
}
