package recorder_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/borrower"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/recorder"
)

// noPeers are the peers of a daemon that is the only one.
type noPeers struct{}

func (noPeers) BorrowTokens(_ context.Context, request accountant.Borrow, _ func(int)) accountant.TokensReceived {
	return accountant.TokensReceived{Program: request.Program}
}
func (noPeers) PeerCount() int { return 0 }
func (noPeers) FindTurn(context.Context, string, int) borrower.FoundTurn {
	return borrower.FoundTurn{}
}
func (noPeers) ReadTurn(context.Context, string, borrower.FoundTurn) *historian.Turn { return nil }

// peer lends the tokens and returns the cached turns of another recorder.
type peer struct{ lender *recorder.Recorder }

func (p peer) BorrowTokens(ctx context.Context, request accountant.Borrow, _ func(int)) accountant.TokensReceived {
	return accountant.TokensReceived{Program: request.Program, Tokens: p.lender.LendTokens(ctx, accountant.BorrowRequested{Program: request.Program, Tokens: request.Tokens}).Tokens}
}
func (p peer) PeerCount() int { return 1 }
func (p peer) FindTurn(ctx context.Context, id string, maxBytes int) borrower.FoundTurn {
	turn, hasText, done := p.lender.LendTurn(ctx, id, maxBytes)
	defer done()
	if turn == nil {
		return borrower.FoundTurn{}
	}
	found := borrower.FoundTurn{Host: "peer", Bytes: turn.MemoryBytes(), EarlierBytes: turn.EarlierBytes}
	if hasText {
		found.Turn = turn
	}
	return found
}
func (p peer) ReadTurn(ctx context.Context, id string, found borrower.FoundTurn) *historian.Turn {
	return p.FindTurn(ctx, id, found.Bytes).Turn
}

// anyMemory is memory without a bound.
type anyMemory struct{}

func (anyMemory) Resize(context.Context, int) error { return nil }

// draft returns a turn with a text.
func draft(id, previous, text string) historian.Draft {
	return historian.Draft{ID: id, Previous: previous, Parts: [][]byte{[]byte(text)}}
}

// storedRows are second rows that are written to the store at once, as an owner does while the store is
// available.
type storedRows struct{ rows provider.RowStore }

func (storedRows) Activate() {}
func (s storedRows) Read(ctx context.Context, key provider.RowKey) (provider.VersionedRow, provider.Kind) {
	page, err := s.rows.Range(ctx, provider.RowRange{Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00"})
	if err != nil || len(page.Rows) == 0 {
		return provider.VersionedRow{RowKey: key}, provider.KindOf(err)
	}
	return page.Rows[0], provider.KindNone
}
func (s storedRows) Write(ctx context.Context, key provider.RowKey, version int64, value []byte) (provider.VersionedRow, provider.Kind) {
	written, err := s.rows.Apply(ctx, provider.RowTransaction{
		Conditions: []provider.RowCondition{{RowKey: key, Version: version}}, Writes: []provider.RowWrite{{RowKey: key, Value: value}},
	})
	var conflict *provider.RowConflictError
	if errors.As(err, &conflict) {
		return conflict.Rows[0], provider.KindConflict
	}
	return provider.VersionedRow{RowKey: key, Version: written, Value: value}, provider.KindOf(err)
}

// start returns a recorder that runs until the end of the test.
func start(t *testing.T, rows provider.RowStore, name string, peers recorder.Peers) *recorder.Recorder {
	t.Helper()
	return startAgain(t, rows, name, name, peers)
}

// startAgain returns a recorder like start, as a further incarnation of a daemon on the host.
func startAgain(t *testing.T, rows provider.RowStore, host, incarnation string, peers recorder.Peers) *recorder.Recorder {
	t.Helper()
	r := recorder.New(rows, storedRows{rows}, peers, recorder.Options{
		Batcher: batcher.DefaultOptions(), Accountant: accountant.DefaultOptions(), Host: host, Incarnation: incarnation,
		CacheBytes: 1 << 20, MaxChainBytes: 8 << 20, WorkBytes: 8 << 20, LendBytes: 4 << 20, RowBytes: 65536,
	}, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

// countingStore counts the calls to a store.
type countingStore struct {
	provider.RowStore
	calls atomic.Int64
}

func (s *countingStore) Apply(ctx context.Context, t provider.RowTransaction) (int64, error) {
	s.calls.Add(1)
	return s.RowStore.Apply(ctx, t)
}

func (s *countingStore) Range(ctx context.Context, r provider.RowRange) (provider.RowPage, error) {
	s.calls.Add(1)
	return s.RowStore.Range(ctx, r)
}

// Guards against programs that depend on the store for each turn that arrives at another daemon: a store
// that was slow or away for two seconds made half of the programs late.
func TestTurnAtOtherDaemonNeedsNoStore(t *testing.T) {
	store := &countingStore{RowStore: emulator.NewRowStore()}
	request := recorder.Request{Program: "p", Budget: 6000, Tokens: 500}
	first := start(t, store, "first", noPeers{})
	got := first.Reserve(timeout(t, time.Second), request)
	if got.Verdict != accountant.Admitted {
		t.Fatalf("first turn: %v", got.Verdict)
	}
	first.Finish(got, 200)
	second := start(t, store, "second", peer{first})
	before := store.calls.Load()
	if got := second.Reserve(timeout(t, time.Second), request); got.Verdict != accountant.Admitted || !got.HadTokens {
		t.Errorf("turn at the second daemon: %v, had tokens %v", got.Verdict, got.HadTokens)
	}
	if calls := store.calls.Load() - before; calls != 0 {
		t.Errorf("%d calls to the store", calls)
	}
}

// timeout returns a context that ends after a duration.
func timeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// TestTurnsSurvivePartialOutages checks that turns that are written while some partitions of
// the store are down can be read afterwards.
func TestTurnsSurvivePartialOutages(t *testing.T) {
	rows := emulator.NewRowStore()
	writer := start(t, rows, "writer", noPeers{})
	const count = 40
	rows.SetPartitionDown(func(partition string) bool {
		return partition == "t1" || partition == "t4" || partition == "t9"
	})
	for i := range count {
		turn := draft(fmt.Sprint("turn", i), "", fmt.Sprint("said ", i))
		if err := writer.Commit(timeout(t, 5*time.Second), turn, nil, time.Minute); err != nil {
			t.Fatalf("turn %d: %v", i, err)
		}
	}
	rows.SetPartitionDown(nil)
	reader := start(t, rows, "reader", noPeers{})
	for i := range count {
		turns, err := reader.Chain(timeout(t, 5*time.Second), fmt.Sprint("turn", i), anyMemory{})
		if err != nil {
			t.Fatalf("turn %d: %v", i, err)
		}
		if got, want := string(turns[0].Text), fmt.Sprint("said ", i); got != want {
			t.Errorf("turn %d is %q", i, got)
		}
	}
}

// TestNotFoundNeedsAllCandidates checks that a turn counts as not found only if all its
// candidate partitions have responded.
func TestNotFoundNeedsAllCandidates(t *testing.T) {
	rows := emulator.NewRowStore()
	r := start(t, rows, "host", noPeers{})
	if _, err := r.Chain(timeout(t, time.Second), "none", anyMemory{}); !recorder.IsNotFound(err) {
		t.Errorf("with all partitions up: %v", err)
	}
	for _, candidate := range historian.CandidatePartitions("none") {
		rows.SetPartitionDown(func(partition string) bool { return partition == candidate })
		if _, err := r.Chain(timeout(t, 300*time.Millisecond), "none", anyMemory{}); err == nil || recorder.IsNotFound(err) {
			t.Errorf("with partition %s down: %v", candidate, err)
		}
	}
}

// TestOutage checks that during an outage of the store a daemon uses the turns and tokens of
// its peers, and rejects at once the turns for which no peer has tokens.
func TestOutage(t *testing.T) {
	rows := emulator.NewRowStore()
	first := start(t, rows, "first", noPeers{})
	if err := first.Commit(timeout(t, time.Second), draft("a", "", "A"), nil, time.Minute); err != nil {
		t.Fatal(err)
	}
	if d := first.Reserve(timeout(t, time.Second), recorder.Request{Program: "p", Budget: 10_000, Tokens: 500}); d.Verdict != accountant.Admitted {
		t.Fatalf("the first turn is %s", d.Verdict)
	}
	second := start(t, rows, "second", peer{first})
	rows.SetDown(true)
	if turns, err := second.Chain(timeout(t, time.Second), "a", anyMemory{}); err != nil || string(turns[0].Text) != "A" {
		t.Errorf("the turn of the peer: %v", err)
	}
	if d := second.Reserve(timeout(t, 2*time.Second), recorder.Request{Program: "p", Budget: 10_000, Tokens: 500, ProgramStarted: true}); d.Verdict != accountant.Admitted {
		t.Errorf("with tokens of a peer the turn is %s", d.Verdict)
	}
	if d := second.Reserve(timeout(t, 2*time.Second), recorder.Request{Program: "unknown", Budget: 10_000, Tokens: 500}); d.Verdict != accountant.Unavailable {
		t.Errorf("without any tokens the turn is %s", d.Verdict)
	}
	began := time.Now()
	if d := second.Reserve(timeout(t, 2*time.Second), recorder.Request{Program: "other", Budget: 1_000, Tokens: 500}); d.Verdict != accountant.Unavailable {
		t.Errorf("without any tokens the turn is %s", d.Verdict)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the rejection took %s though the store is known to be down", took)
	}
}

// Guards against a turn that is renewed again by each later turn of its chain: the copy in memory
// kept the old time of expiry.
func TestRenewedTurnIsRenewedOnce(t *testing.T) {
	rows := emulator.NewRowStore()
	r := start(t, rows, "host", noPeers{})
	if err := r.Commit(timeout(t, time.Second), draft("old", "", "A"), nil, time.Minute); err != nil {
		t.Fatal(err)
	}
	cached(t, r, "old").Expires = time.Now().Add(30 * time.Second)
	previous := "old"
	var applied []int
	for _, id := range []string{"first", "second", "third"} {
		before := rows.Applied()
		chain, err := r.Chain(timeout(t, time.Second), previous, anyMemory{})
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Commit(timeout(t, time.Second), draft(id, previous, "B"), chain, time.Minute); err != nil {
			t.Fatal(err)
		}
		previous = id
		applied = append(applied, rows.Applied()-before)
	}
	if diff := cmp.Diff([]int{2, 1, 1}, applied); diff != "" {
		t.Errorf("transactions of the commits differ (-want +got):\n%s", diff)
	}
	if renewed := cached(t, r, "old"); !renewed.Expires.After(time.Now().Add(time.Minute)) {
		t.Errorf("the turn in memory expires in %s", time.Until(renewed.Expires))
	}
}

// cached returns a turn in memory.
func cached(t *testing.T, r *recorder.Recorder, id string) *historian.Turn {
	t.Helper()
	turn, _, done := r.LendTurn(t.Context(), id, historian.PlainBytes)
	done()
	if turn == nil {
		t.Fatalf("turn %s is not in memory", id)
	}
	return turn
}

// TestSplitBudgetIsFullyUsed checks that turns for which the whole budget suffices are
// admitted, also when the budget is split into two rows.
func TestSplitBudgetIsFullyUsed(t *testing.T) {
	tests := []struct{ budget, tokens, turns int }{
		{1728, 576, 3}, {1152, 576, 2}, {900, 576, 1}, {2600, 576, 4}, {8700, 576, 15}, {500, 576, 0},
	}
	for _, test := range tests {
		r := start(t, emulator.NewRowStore(), "host", noPeers{})
		got := 0
		var d recorder.Reservation
		for got <= test.turns {
			if d = r.Reserve(timeout(t, time.Second), recorder.Request{Program: "p", Budget: test.budget, Tokens: test.tokens}); d.Verdict != accountant.Admitted {
				break
			}
			got++
			r.Finish(d, test.tokens)
		}
		if diff := cmp.Diff([]any{test.turns, accountant.Spent}, []any{got, d.Verdict}); diff != "" {
			t.Errorf("budget %d: turns and last verdict differ (-want +got):\n%s", test.budget, diff)
		}
	}
}

// endedPeers are peers that have ended. They are listed until their entries expire.
type endedPeers struct {
	noPeers
	listed bool
}

func (p endedPeers) BorrowTokens(_ context.Context, request accountant.Borrow, _ func(int)) accountant.TokensReceived {
	if p.listed {
		return accountant.TokensReceived{Program: request.Program, Silent: request.Hosts}
	}
	return accountant.TokensReceived{Program: request.Program, Ended: request.Hosts}
}

// Guards against programs that fail although their budget suffices: the tokens that a daemon had been
// granted ahead were lost when its host was gone, and the others refused the program's last turn.
func TestTurnsAfterLossOfDaemon(t *testing.T) {
	const turn = 576
	tests := []struct {
		name   string
		budget int
		// used is the number of tokens of the first turn.
		used  int
		host  string
		peers recorder.Peers
		// turns is the number of turns that are admitted after the loss.
		turns   int
		verdict accountant.Verdict
	}{
		{"gone and listed", 8 * turn, turn, "second", endedPeers{listed: true}, 7, accountant.Contended},
		{"gone and no longer listed", 8 * turn, turn, "second", endedPeers{}, 7, accountant.Spent},
		{"started again", 8 * turn, turn, "first", noPeers{}, 7, accountant.Spent},
		{"budget of one grant", 900, 200, "second", endedPeers{listed: true}, 1, accountant.Contended},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rows := emulator.NewRowStore()
			request := recorder.Request{Program: "p", Budget: test.budget, Tokens: turn, MaxOverdraft: turn}
			first := start(t, rows, "first", noPeers{})
			firstTurn := first.Reserve(timeout(t, time.Second), request)
			if firstTurn.Verdict != accountant.Admitted {
				t.Fatalf("first turn is %s", firstTurn.Verdict)
			}
			first.Finish(firstTurn, test.used)
			after := startAgain(t, rows, test.host, "second run", test.peers)
			request.ProgramStarted = true
			got := 0
			var d recorder.Reservation
			for got <= test.turns {
				if d = after.Reserve(timeout(t, time.Second), request); d.Verdict != accountant.Admitted {
					break
				}
				got++
				after.Finish(d, turn)
			}
			if diff := cmp.Diff([]any{test.turns, test.verdict}, []any{got, d.Verdict}); diff != "" {
				t.Errorf("turns and last verdict differ (-want +got):\n%s", diff)
			}
		})
	}
}
