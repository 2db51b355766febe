package soaker

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// gate holds the platform requests of a paused host: those not yet sent are sent,
// and answers are seen, only after the pause. To the platform this looks like a
// process that is stopped between its check and its request.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		g.open = make(chan struct{})
	default:
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

// pass waits for the end of a pause. It ignores the context, as a stopped process
// ignores its timers.
func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

type gatedTableStore struct {
	provider.TableStore
	gate *gate
}

func (t gatedTableStore) Commit(ctx context.Context, transaction provider.Transaction) (provider.CommitResult, error) {
	t.gate.wait()
	defer t.gate.wait()
	if ctx.Err() != nil {
		// A request that was about to be sent goes out even when its time is over.
		lateCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		ctx = lateCtx
	}
	return t.TableStore.Commit(ctx, transaction)
}

func (t gatedTableStore) Read(ctx context.Context, table, key string) (provider.Row, error) {
	t.gate.wait()
	defer t.gate.wait()
	return t.TableStore.Read(ctx, table, key)
}

func (t gatedTableStore) Scan(ctx context.Context, table, prefix, after string, limit int) ([]provider.Row, error) {
	t.gate.wait()
	defer t.gate.wait()
	return t.TableStore.Scan(ctx, table, prefix, after, limit)
}

// watchedEngine shows an engine's calls to the inspector.
type observedEngine struct {
	provider.Engine
	name      string
	host      *host
	gate      *gate
	inspector *inspector
}

func (e observedEngine) Generate(ctx context.Context, request provider.GenerateRequest, emit func(provider.Chunk) error) error {
	e.gate.wait()
	e.inspector.observeGenerate(e.name, e.host, request)
	return e.Engine.Generate(ctx, request, func(chunk provider.Chunk) error {
		e.gate.wait()
		return emit(chunk)
	})
}

// watchedService shows a service's calls to the inspector.
type observedService struct {
	provider.Service
	name      string
	host      *host
	gate      *gate
	inspector *inspector
}

func (s observedService) Invoke(ctx context.Context, request provider.InvokeRequest) (provider.InvokeResult, error) {
	s.gate.wait()
	s.inspector.observeInvoke(s.name, s.host, request)
	if request.IdempotencyKey != "" && s.host.killDuringCall.CompareAndSwap(true, false) {
		go s.host.kill()
	}
	result, err := s.Service.Invoke(ctx, request)
	s.gate.wait()
	return result, err
}
