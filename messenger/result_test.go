package messenger

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// resultHandler replies to heartbeats with large results and counts those that it returned and those that are done.
type resultHandler struct {
	fakeHandler
	returned, done atomic.Int64
}

func (h *resultHandler) Handle(context.Context, string, string, json.RawMessage) (any, error) {
	h.returned.Add(1)
	return Result{
		Value: encoder.Heartbeat{Host: "b", State: strings.Repeat("x", 1<<20)},
		Done:  func() { h.done.Add(1) },
	}, nil
}

// Guards against memory of replies that is released before they are written, twice, or never, for instance when
// their connection ends.
func TestResultIsDoneOnce(t *testing.T) {
	tests := []struct {
		name string
		// disturb is called once the first result is returned.
		disturb func(a, b *Messenger, network *MemoryNetwork)
	}{
		{"all replies arrive", func(*Messenger, *Messenger, *MemoryNetwork) {}},
		{"connection falls silent", func(_, _ *Messenger, network *MemoryNetwork) { network.BlackholeConnections("b", "a") }},
		{"caller closes", func(a, _ *Messenger, _ *MemoryNetwork) { a.Close() }},
		{"server closes", func(_, b *Messenger, _ *MemoryNetwork) { b.Close() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := &resultHandler{}
			a, b, peer, network := newPair(t, nil, h)
			const calls = 16
			var group sync.WaitGroup
			for range calls {
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					defer cancel()
					reply, err := Call[encoder.Heartbeat](ctx, a, peer, MethodHeartbeat, encoder.Heartbeat{Host: "a"})
					if err == nil && len(reply.State) != 1<<20 {
						t.Errorf("reply of %d bytes", len(reply.State))
					}
				})
			}
			for end := time.Now().Add(2 * time.Second); h.returned.Load() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			test.disturb(a, b, network)
			group.Wait()
			for end := time.Now().Add(10 * time.Second); h.done.Load() < h.returned.Load() && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			if diff := cmp.Diff(h.returned.Load(), h.done.Load()); diff != "" || h.returned.Load() == 0 {
				t.Errorf("results that are done, of those returned (-want +got):\n%s", diff)
			}
		})
	}
}
