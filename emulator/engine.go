package emulator

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// EngineOptions configures an engine. A zero field means its default.
type EngineOptions struct {
	Name string `json:"name"`
	// Models are the models that are loaded at the start.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// MaxConcurrency is the largest size of the batch (default 16).
	MaxConcurrency int `json:"maxConcurrency,omitempty"`
	// TotalBlocks is the capacity of the prefix cache in blocks (default 4096).
	TotalBlocks int `json:"totalBlocks,omitempty"`
	// TokensPerSec is the decode rate of one stream in an empty batch (default 400).
	// A full batch halves it.
	TokensPerSec float64 `json:"tokensPerSec,omitempty"`
	// PrefillPerSec is the prefill rate of the engine in tokens (default 40000).
	PrefillPerSec float64 `json:"prefillPerSec,omitempty"`
	// ChecksFencing makes the engine reject orders with an outdated fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Weights is the store from which models are fetched; nil loads them at once.
	Weights provider.WeightStore `json:"-"`
	// Objects stores exported caches; nil makes export and import unsupported.
	Objects provider.ObjectStore `json:"-"`
}

func (o *EngineOptions) fillDefaults() {
	if o.MaxConcurrency == 0 {
		o.MaxConcurrency = 16
	}
	if o.TotalBlocks == 0 {
		o.TotalBlocks = 4096
	}
	if o.TokensPerSec == 0 {
		o.TokensPerSec = 400
	}
	if o.PrefillPerSec == 0 {
		o.PrefillPerSec = 40_000
	}
}

// EngineFaults are the fault switches of an engine.
type EngineFaults struct {
	// Slow is the factor by which the engine is slowed down; 0 and 1 have no effect.
	Slow float64 `json:"slow"`
	// Hang stops all progress but keeps connections open.
	Hang bool `json:"hang"`
	// Dead breaks running calls and closes new connections.
	Dead bool `json:"dead"`
	// RejectCalls rejects new calls before they run.
	RejectCalls bool `json:"refuse"`
	// BreakAfter is the number of tokens after which each stream breaks; 0 means never.
	BreakAfter int `json:"breakAfter"`
	// Leaving sets Leaving in load reports and rejects new calls.
	Leaving bool `json:"leaving"`
	// ReportLagMs is the age of load reports.
	ReportLagMs int `json:"reportLagMs"`
	// EventDelayMs is the delay of cache events.
	EventDelayMs int `json:"eventDelayMs"`
	// EventGap drops every EventGap-th cache event; 0 drops none.
	EventGap int `json:"eventGap"`
}

// stepInterval is the time between two steps of the engine's batch.
const stepInterval = 4 * time.Millisecond

// Engine emulates one model engine with continuous batching. It implements
// provider.Engine.
type Engine struct {
	options EngineOptions

	mu       sync.Mutex
	faults   EngineFaults
	waiting  []*job
	running  []*job
	jobs     map[string]*job
	cache    *prefixCache
	models   map[string]bool
	adapters map[string]bool
	role     string
	fencing  int64
	orders   []provider.Order
	reports  []provider.LoadReport
	counts   EngineCounts
	arrivals int64
	wake     chan struct{}
	done     chan struct{}
	group    conc.WaitGroup
}

// EngineCounts are totals since the engine's start.
type EngineCounts struct {
	Calls           int `json:"calls"`
	PrefillTokens   int `json:"prefillTokens"`
	CachedTokens    int `json:"cachedTokens"`
	WastedTokens    int `json:"wastedTokens"`
	GeneratedTokens int `json:"generatedTokens"`
	Cancelled       int `json:"cancelled"`
	// StaleOrders counts orders with an outdated fencing number that were carried out.
	StaleOrders int `json:"staleOrders"`
}

// NewEngine starts an engine. The caller must close it.
func NewEngine(options EngineOptions) *Engine {
	options.fillDefaults()
	e := &Engine{
		options: options, jobs: map[string]*job{}, cache: newPrefixCache(options.TotalBlocks),
		models: map[string]bool{}, adapters: map[string]bool{}, role: options.Role,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, model := range options.Models {
		e.models[model] = true
	}
	for _, adapter := range options.Adapters {
		e.adapters[adapter] = true
	}
	e.group.Go(e.run)
	return e
}

// Close stops the engine and breaks its calls.
func (e *Engine) Close() {
	e.mu.Lock()
	select {
	case <-e.done:
	default:
		close(e.done)
	}
	e.mu.Unlock()
	e.group.Wait()
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.options.Name }

// Faults returns the fault switches.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the fault switches. An engine that becomes dead loses its calls and
// its cache.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.Dead && !e.faults.Dead {
		for _, j := range e.jobs {
			j.fail(provider.NewError("engine.generate", provider.KindUnknown, eris.New("engine became dead by a fault switch")))
		}
		clear(e.jobs)
		e.waiting, e.running = nil, nil
		e.cache.clear()
	}
	e.faults = faults
	e.signal()
}

// Counts returns the totals.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Generate runs one call in the batch and streams its response to emit.
func (e *Engine) Generate(ctx context.Context, request provider.GenerateRequest, emit func(provider.Chunk) error) error {
	j, err := e.enqueue(request)
	if err != nil {
		return err
	}
	return e.stream(ctx, j, emit)
}

// stream passes the tokens of a call to emit until the call ends.
func (e *Engine) stream(ctx context.Context, j *job, emit func(provider.Chunk) error) error {
	defer e.removeJob(j)
	request, sent := j.request, 0
	for {
		select {
		case <-ctx.Done():
			return provider.NewError("engine.generate", provider.KindUnknown, ctx.Err())
		case <-e.done:
			return provider.NewError("engine.generate", provider.KindUnknown, eris.New("engine closed"))
		case <-j.signal:
		}
		e.mu.Lock()
		produced, finished, failure, cached := j.produced, j.finished, j.failure, j.cached
		e.mu.Unlock()
		for ; sent < produced; sent++ {
			if sent < request.SkipTokens {
				continue
			}
			chunk := provider.Chunk{AttemptID: request.AttemptID, Sequence: sent, Text: j.token(sent)}
			if err := emit(chunk); err != nil {
				return provider.NewError("engine.generate", provider.KindUnknown, err)
			}
		}
		if failure != nil {
			return failure
		}
		if finished {
			return emit(provider.Chunk{
				AttemptID: request.AttemptID, Sequence: sent, Final: true,
				Usage: provider.Usage{
					PromptTokens: request.PromptTokens, CachedTokens: cached, CompletionTokens: j.length,
				},
			})
		}
	}
}

// Cancel stops an attempt. It fails with KindNotFound if the engine does not run it.
func (e *Engine) Cancel(_ context.Context, attemptID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := e.jobs[attemptID]
	if !ok {
		return provider.NewError("engine.cancel", provider.KindNotFound, nil)
	}
	e.counts.Cancelled++
	j.fail(provider.NewError("engine.generate", provider.KindUnknown, eris.New("call cancelled")))
	return nil
}
