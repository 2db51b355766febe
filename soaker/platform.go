package soaker

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// gate delays a paused host's requests to the platform and their responses until the end of the
// pause. To the platform this looks like a process that was stopped between checking that it may
// send a request and sending it.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the host is not paused
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

// wait waits until the host is not paused. It takes no context, since the timers of a stopped
// process do not fire.
func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// gatedTableStore is a table store that waits at the gate before and after each request.
type gatedTableStore struct {
	provider.TableStore
	gate *gate
}

func (t gatedTableStore) Commit(ctx context.Context, transaction provider.Transaction) (provider.CommitResult, error) {
	t.gate.wait()
	defer t.gate.wait()
	if ctx.Err() != nil {
		// A process that was stopped just before sending a request sends it even after its timeout.
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

// observedEngine passes the calls to an engine to the inspector and delays them at the gate.
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

// observedService passes the calls to a service to the inspector and delays them at the gate. It
// also kills the host during a call if killDuringCall is set.
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
