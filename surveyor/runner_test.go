package surveyor_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/ranker"
	"github.com/dogwoodweir/dogwoodweir/surveyor"
)

// wallClock is the clock of a test daemon.
type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// testDaemon is a daemon with a Runner on an in-memory network.
type testDaemon struct {
	messenger *messenger.Messenger
	runner    *surveyor.Runner
	mutex     sync.Mutex
	published map[string]int
	sums      int
}

// Handle implements messenger.Handler. A daemon without a Runner does not know the method.
func (d *testDaemon) Handle(_ context.Context, from, method string, params json.RawMessage) (any, error) {
	if d.runner != nil {
		if result, handled, err := d.runner.Handle(from, method, params); handled {
			return result, err
		}
	}
	return nil, errors.New("unknown method")
}

// HandleCall implements messenger.Handler.
func (*testDaemon) HandleCall(context.Context, string, encoder.ForwardedCall, messenger.Emit) (encoder.CallResult, error) {
	return encoder.CallResult{}, errors.New("unknown method")
}

// lastSum returns the last published calls and the number of sums so far.
func (d *testDaemon) lastSum() (inFlight map[string]int, sums int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.published, d.sums
}

// startDaemons starts a daemon on each host. A daemon without calls is an old one, which has no Runner.
func startDaemons(ctx context.Context, t *testing.T, network *messenger.MemoryNetwork, targets []string, calls map[string]map[string]int) map[string]*testDaemon {
	daemons := map[string]*testDaemon{}
	for host, own := range calls {
		d := &testDaemon{}
		d.messenger = messenger.New(messenger.Settings{Host: host, Dial: network.Dialer(host)}, d, zap.NewNop())
		t.Cleanup(d.messenger.Close)
		listener := network.Listen(host)
		daemons[host] = d
		if own != nil {
			d.runner = surveyor.NewRunner(surveyor.Dependencies{
				Messenger: d.messenger, Clock: wallClock{}, Log: zap.NewNop(), Host: host,
				Peers: func() []messenger.Peer {
					var peers []messenger.Peer
					for other := range calls {
						if other != host {
							peers = append(peers, messenger.Peer{Host: other, Address: other})
						}
					}
					return peers
				},
				Calls: func() map[string]int { return own },
				Publish: func(inFlight map[string]int, _ time.Duration) {
					d.mutex.Lock()
					defer d.mutex.Unlock()
					d.published = inFlight
					d.sums++
				},
			}, surveyor.DefaultOptions())
			d.runner.SetTargets(targets)
		}
		go func() { _ = d.messenger.Serve(listener) }()
	}
	for _, d := range daemons {
		if d.runner != nil {
			go d.runner.Run(ctx)
		}
	}
	return daemons
}

// await fails the test if a condition does not hold within 5 s.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// Guards against sums that do not reach the daemons over real messages, and against a collector whose end
// leaves the others without sums.
func TestRunnersExchangeLoads(t *testing.T) {
	t.Parallel()
	network := messenger.NewMemoryNetwork()
	targets := []string{"x", "y", "z"}
	calls := map[string]map[string]int{"a": {"x": 1}, "b": {"x": 2, "y": 5}, "c": {"z": 7}}
	daemons := startDaemons(t.Context(), t, network, targets, calls)
	want := map[string]map[string]int{"a": {"x": 2, "y": 5, "z": 7}, "b": {"x": 1, "z": 7}, "c": {"x": 3, "y": 5}}
	for host, sum := range want {
		await(t, fmt.Sprintf("sum of the others of %s", host), func() bool {
			got, _ := daemons[host].lastSum()
			return cmp.Equal(sum, got)
		})
	}
	collector, _ := ranker.FirstName("targetLoad", []string{"a", "b", "c"})
	daemons[collector].messenger.Close()
	for host, d := range daemons {
		if host == collector {
			continue
		}
		rest := map[string]int{}
		for other, own := range calls {
			if other == host || other == collector {
				continue
			}
			for id, n := range own {
				rest[id] += n
			}
		}
		await(t, fmt.Sprintf("sum of the other of %s after the end of the collector", host), func() bool {
			got, _ := d.lastSum()
			return cmp.Equal(rest, got)
		})
	}
}

// Guards against a daemon that places by reports although its peers are older and do not report.
func TestOldPeersDoNotReport(t *testing.T) {
	t.Parallel()
	hosts := ranker.OrderNames("targetLoad", []string{"a", "b", "c"})
	own := hosts[2]
	daemons := startDaemons(t.Context(), t, messenger.NewMemoryNetwork(), []string{"x"}, map[string]map[string]int{hosts[0]: nil, hosts[1]: nil, own: {"x": 3}})
	for _, host := range hosts[:2] {
		await(t, "an old peer is asked", func() bool { return daemons[host].messenger.Counters().ReceivedMessages > 1 })
	}
	time.Sleep(500 * time.Millisecond)
	if got, sums := daemons[own].lastSum(); sums != 0 {
		t.Errorf("got %v in %d sums, want none", got, sums)
	}
}

// TestReportBytes guards against messages that take more than 2 KB/s of a daemon, in both directions together,
// with the calls of the replayed load: a daemon has calls at 6 engines, the others at 8.
func TestReportBytes(t *testing.T) {
	t.Parallel()
	const maxBytesPerSecond, length = 2_000, 3 * time.Second
	var targets []string
	few, all := map[string]int{}, map[string]int{}
	for i := range 8 {
		id := fmt.Sprintf("engine-%02d", i)
		targets = append(targets, id)
		all[id] = 11
		if i < 6 {
			few[id] = 1
		}
	}
	collector, _ := ranker.FirstName("targetLoad", []string{"a", "b"})
	calls := map[string]map[string]int{"a": few, "b": few}
	calls[collector] = all
	daemons := startDaemons(t.Context(), t, messenger.NewMemoryNetwork(), targets, calls)
	for host, d := range daemons {
		if host == collector {
			continue
		}
		await(t, "first sum", func() bool { _, sums := d.lastSum(); return sums > 0 })
		_, sumsBefore := d.lastSum()
		before := d.messenger.Counters()
		time.Sleep(length)
		after := d.messenger.Counters()
		_, sums := d.lastSum()
		bytes := after.SentBytes + after.ReceivedBytes - before.SentBytes - before.ReceivedBytes
		t.Logf("%d sums with %d bytes each, %.0f bytes a second", sums-sumsBefore, int(bytes)/max(1, sums-sumsBefore), float64(bytes)/length.Seconds())
		if perSecond := float64(bytes) / length.Seconds(); perSecond > maxBytesPerSecond {
			t.Errorf("%.0f bytes a second, want at most %d", perSecond, maxBytesPerSecond)
		}
	}
}

// BenchmarkReport measures a report with its reply between two messengers: both daemons together.
func BenchmarkReport(b *testing.B) {
	network := messenger.NewMemoryNetwork()
	handler := &testDaemon{}
	newMessenger := func(host string) *messenger.Messenger {
		m := messenger.New(messenger.Settings{Host: host, Dial: network.Dialer(host)}, handler, zap.NewNop())
		b.Cleanup(m.Close)
		return m
	}
	own, collector := newMessenger("a"), newMessenger("b")
	handler.runner = surveyor.NewRunner(surveyor.Dependencies{Messenger: collector, Clock: wallClock{}, Log: zap.NewNop(), Host: "b"}, surveyor.DefaultOptions())
	listener := network.Listen("b")
	go func() { _ = collector.Serve(listener) }()
	load := []byte{}
	for i := range 8 {
		load = append(load, 0, 0, byte(i), 11)
	}
	for i := range 11 {
		request, err := json.Marshal(encoder.LoadReport{Load: load})
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := handler.runner.Handle(fmt.Sprint(i), messenger.MethodTargetLoad, request); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		_, err := messenger.Call[encoder.LoadSum](b.Context(), own, messenger.Peer{Host: "b", Address: "b"}, messenger.MethodTargetLoad, encoder.LoadReport{Load: load})
		if err != nil {
			b.Fatal(err)
		}
	}
}
