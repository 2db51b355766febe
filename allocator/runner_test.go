package allocator_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/allocator"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// systemClock is the clock of the tests, whose processes are not frozen.
type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

const (
	testTable     = "programs"
	testPartition = "p0"
)

var secondKey = provider.RowKey{Table: testTable, Partition: testPartition, Key: "a second"}

// startRunner starts a runner that is alone. It returns a function that ends it as a kill does.
func startRunner(t *testing.T, rows *emulator.RowStore, host, incarnation string, partitions ...string) (*allocator.Runner, func()) {
	t.Helper()
	return run(t, allocator.Dependencies{
		Store: rows, Identity: allocator.Identity{Host: host, Incarnation: incarnation, Boot: "boot"}, Partitions: partitions,
		Others: func() []allocator.Member { return nil },
	})
}

// run starts a runner with the given dependencies and those that are the same in all tests. It returns a function that
// ends it as a kill does.
func run(t *testing.T, d allocator.Dependencies) (*allocator.Runner, func()) {
	t.Helper()
	listed := make(chan struct{})
	close(listed)
	d.Clock, d.Listed, d.RowTable = systemClock{}, listed, testTable
	d.IsSecondRow = func(key string) bool { return strings.HasSuffix(key, " second") }
	r := allocator.NewRunner(d, allocator.DefaultOptions(), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	kill := func() {
		cancel()
		<-done
	}
	t.Cleanup(kill)
	return r, kill
}

// awaitWrite repeats a write until it succeeds, and fails the test after 10 s.
func awaitWrite(t *testing.T, r *allocator.Runner, version int64, value string) int64 {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if row, kind := r.Write(t.Context(), secondKey, version, []byte(value)); kind == provider.KindNone {
			return row.Version
		}
	}
	t.Fatalf("value %s is not written after 10 s", value)
	return 0
}

// Guards against ownership that costs more than one write a second for each partition, and against requests
// to the store of a daemon whose programs have no split budgets.
func TestCalmCost(t *testing.T) {
	t.Parallel()
	const period = 3 * time.Second
	partitions := []string{"p0", "p1", "p2", "p3"}
	rows := emulator.NewRowStore()
	r, _ := startRunner(t, rows, "host", "run", partitions...)
	time.Sleep(300 * time.Millisecond)
	if r.Stats().Owned != 0 || rows.Applied() != 0 {
		t.Error("the runner owns partitions before any program needs them")
	}
	for r.Activate(); r.Stats().Owned < len(partitions); {
		time.Sleep(20 * time.Millisecond)
	}
	before := rows.Applied()
	time.Sleep(period)
	if got, limit := rows.Applied()-before, len(partitions)*(int(period/time.Second)+1); got > limit || got < len(partitions) {
		t.Errorf("%d transactions in %s, want at most %d", got, period, limit)
	}
}

// Guards against second halves that are refused for 120 s whenever a daemon is restarted, and against grants
// from memory that the next process does not know.
func TestRestartOnHost(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// outage is set if the daemon is killed after it has granted from memory.
		outage  bool
		blocked bool
	}{
		{"store available", false, false},
		{"grants from memory", true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			rows := emulator.NewRowStore()
			first, kill := startRunner(t, rows, "host", "first", testPartition)
			version := awaitWrite(t, first, 0, "a")
			rows.SetDown(test.outage)
			awaitWrite(t, first, version, "b")
			kill()
			rows.SetDown(false)
			second, _ := startRunner(t, rows, "host", "second", testPartition)
			second.Activate()
			for end := time.Now().Add(2 * time.Second); second.Stats().Owned == 0 && time.Now().Before(end); {
				time.Sleep(20 * time.Millisecond)
			}
			stats := second.Stats()
			if diff := cmp.Diff([]any{1, test.blocked}, []any{stats.Owned, stats.Blocked == 1}); diff != "" {
				t.Errorf("owned and blocked partitions (-want +got):\n%s", diff)
			}
			if !test.blocked {
				awaitWrite(t, second, allocator.VersionOf([]byte("b")), "c")
			} else if _, kind := second.Read(t.Context(), secondKey); kind != provider.KindUnavailable {
				t.Errorf("read while the partition is blocked: %s", kind)
			}
		})
	}
}

// Guards against grants from memory that are not written at a planned stop, and against a partition that
// no other daemon may claim after it.
func TestRelease(t *testing.T) {
	t.Parallel()
	rows := emulator.NewRowStore()
	first, _ := startRunner(t, rows, "host", "first", testPartition)
	version := awaitWrite(t, first, 0, "a")
	rows.SetDown(true)
	awaitWrite(t, first, version, "b")
	rows.SetDown(false)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := first.Release(ctx); err != nil {
		t.Fatal(err)
	}
	if _, kind := first.Write(t.Context(), secondKey, allocator.VersionOf([]byte("b")), []byte("c")); kind != provider.KindUnavailable {
		t.Errorf("write after the release: %s", kind)
	}
	var owner encoder.BudgetOwner
	stored := rows.Get(provider.RowKey{Table: allocator.Table, Partition: testPartition, Key: allocator.OwnerKey})
	if err := json.Unmarshal(stored.Value, &owner); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{"b", true, false}, []any{string(rows.Get(secondKey).Value), owner.Released, owner.Unwritten}); diff != "" {
		t.Errorf("row, and owner released and with unwritten grants (-want +got):\n%s", diff)
	}
	second, _ := startRunner(t, rows, "other", "second", testPartition)
	awaitWrite(t, second, allocator.VersionOf([]byte("b")), "c")
}

// Guards against a call that waits for an owner that does not reply, and against one that waits for it again.
func TestSilentOwner(t *testing.T) {
	t.Parallel()
	const bound, margin = 100 * time.Millisecond, 100 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	m := messenger.New(messenger.Settings{Host: "host"}, nil, zap.NewNop())
	defer m.Close()
	r, kill := run(t, allocator.Dependencies{
		Store: emulator.NewRowStore(), Messenger: m, Identity: allocator.Identity{Host: "host", Incarnation: "run", Boot: "boot"},
		Others: func() []allocator.Member {
			return []allocator.Member{{Peer: messenger.Peer{Host: "silent", Address: listener.Addr().String()}}}
		},
		Partitions: []string{testPartition},
	})
	defer kill()
	r.Activate()
	time.Sleep(300 * time.Millisecond)
	for i, limit := range []time.Duration{bound + margin, margin} {
		began := time.Now()
		_, kind := r.Write(t.Context(), secondKey, 0, []byte("a"))
		if took := time.Since(began); kind == provider.KindNone || took > limit {
			t.Errorf("write %d: %s after %s, want an error within %s", i, kind, took, limit)
		}
	}
}

// Guards against second halves that are refused for up to 5 s after their owner has started: it was asked only once
// the order had been computed anew.
func TestOwnerThatStartsLater(t *testing.T) {
	t.Parallel()
	network := messenger.NewMemoryNetwork()
	newMessenger := func(host string, handler messenger.Handler) *messenger.Messenger {
		m := messenger.New(messenger.Settings{Host: host, Dial: network.Dialer(host)}, handler, zap.NewNop())
		t.Cleanup(m.Close)
		return m
	}
	for _, host := range []string{"owner", "other"} {
		m, listener := newMessenger(host, namingOwner(host)), network.Listen(host)
		go func() { _ = m.Serve(listener) }()
	}
	owner := allocator.Member{Peer: messenger.Peer{Host: "owner", Address: "owner"}}
	other := allocator.Member{Peer: messenger.Peer{Host: "other", Address: "other"}}
	tests := []struct {
		name          string
		before, after []allocator.Member
	}{
		{"no daemon before", nil, []allocator.Member{owner}},
		{"a daemon that names the owner", []allocator.Member{other}, []allocator.Member{other, owner}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var members atomic.Pointer[[]allocator.Member]
			members.Store(&test.before)
			ordered := make(chan struct{}, 100)
			r, kill := run(t, allocator.Dependencies{
				Store: emulator.NewRowStore(), Messenger: newMessenger("host", nil),
				Identity: allocator.Identity{Host: "host", Incarnation: "run", Boot: "boot"},
				Others: func() []allocator.Member {
					ordered <- struct{}{}
					return *members.Load()
				},
				Partitions: []string{testPartition},
			})
			r.Activate()
			<-ordered
			// The runner stops, so that only the request can compute the order.
			kill()
			members.Store(&test.after)
			if row, kind := r.Read(t.Context(), secondKey); kind != provider.KindNone || string(row.Value) != "a" {
				t.Errorf("read of a row of the owner: %s, value %q", kind, row.Value)
			}
		})
	}
}

// namingOwner is a daemon of this name. If it is the owner, it has the value a in each row; if not, it names the owner.
type namingOwner string

func (n namingOwner) Handle(context.Context, string, string, json.RawMessage) (any, error) {
	if n == "owner" {
		return encoder.BudgetRowAnswer{Kind: provider.KindNone.String(), Version: 1, Value: "a"}, nil
	}
	return encoder.BudgetRowAnswer{Kind: provider.KindUnavailable.String(), NotOwner: true, Owner: "owner"}, nil
}

func (namingOwner) HandleCall(context.Context, string, encoder.ForwardedCall, messenger.Emit) (encoder.CallResult, error) {
	return encoder.CallResult{}, errors.ErrUnsupported
}

// Guards against a call that waits for the store longer than one for a first row does.
func TestRequestWithoutResponseEnds(t *testing.T) {
	t.Parallel()
	rows := emulator.NewRowStore()
	store := &stallingStore{RowStore: rows, stall: make(chan struct{})}
	r, _ := run(t, allocator.Dependencies{
		Store: store, Identity: allocator.Identity{Host: "host", Incarnation: "run", Boot: "boot"},
		Others: func() []allocator.Member { return nil }, Partitions: []string{testPartition},
	})
	version := awaitWrite(t, r, 0, "a")
	close(store.stall)
	began := time.Now()
	_, kind := r.Write(t.Context(), secondKey, version, []byte("b"))
	if took := time.Since(began); kind == provider.KindNone || took > 1200*time.Millisecond {
		t.Errorf("write while the store does not respond: %s after %s", kind, took)
	}
}

// stallingStore does not respond to transactions once stall is closed.
type stallingStore struct {
	*emulator.RowStore
	stall chan struct{}
}

func (s *stallingStore) Apply(ctx context.Context, t provider.RowTransaction) (int64, error) {
	select {
	case <-s.stall:
		<-ctx.Done()
		return 0, provider.NewError("apply", provider.KindUnknown, ctx.Err())
	default:
		return s.RowStore.Apply(ctx, t)
	}
}
