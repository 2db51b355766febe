package recorder_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/recorder"
)

// alone is a daemon without neighbours.
type alone struct{}

func (alone) BorrowTokens(context.Context, string, int, []string, func(int)) (int, bool) {
	return 0, true
}
func (alone) Turn(context.Context, string) *historian.Turn { return nil }

// neighbour passes on what another recorder has.
type neighbour struct{ other *recorder.Recorder }

func (n neighbour) BorrowTokens(ctx context.Context, program string, tokens int, _ []string, _ func(int)) (int, bool) {
	return n.other.LendTokens(ctx, program, tokens), true
}
func (n neighbour) Turn(_ context.Context, id string) *historian.Turn { return n.other.Turn(id) }

func start(t *testing.T, rows *emulator.Rows, name string, neighbours recorder.Peers) *recorder.Recorder {
	t.Helper()
	r := recorder.New(rows, neighbours, recorder.Options{
		Batcher: batcher.DefaultOptions(), Accountant: accountant.DefaultOptions(), Host: name, Incarnation: name,
		CacheBytes: 1 << 20, RowBytes: 65536,
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

func patience(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// TestTurnsSurvivePartialOutages writes turns while some parts of the store are silent, and
// reads them while others are.
func TestTurnsSurvivePartialOutages(t *testing.T) {
	rows := emulator.NewRows()
	writer := start(t, rows, "writer", alone{})
	const count = 40
	rows.SetPartDown(func(part string) bool { return part == "t1" || part == "t4" || part == "t9" })
	for i := range count {
		turn := &historian.Turn{ID: fmt.Sprint("turn", i), Text: []byte(fmt.Sprint("said ", i))}
		if err := writer.Commit(patience(t, 5*time.Second), turn, nil, time.Minute); err != nil {
			t.Fatalf("turn %d: %v", i, err)
		}
	}
	rows.SetPartDown(nil)
	reader := start(t, rows, "reader", alone{})
	for i := range count {
		turns, err := reader.Chain(patience(t, 5*time.Second), fmt.Sprint("turn", i))
		if err != nil {
			t.Fatalf("turn %d: %v", i, err)
		}
		if got, want := string(turns[0].Text), fmt.Sprint("said ", i); got != want {
			t.Errorf("turn %d is %q", i, got)
		}
	}
}

// TestUnknownTurnNeedsAllParts checks that a turn counts as unknown only if every part that
// may hold it has answered.
func TestUnknownTurnNeedsAllParts(t *testing.T) {
	rows := emulator.NewRows()
	r := start(t, rows, "host", alone{})
	if _, err := r.Chain(patience(t, time.Second), "none"); !recorder.IsNotFound(err) {
		t.Errorf("with all parts up: %v", err)
	}
	for _, place := range historian.CandidatePartitions("none") {
		rows.SetPartDown(func(part string) bool { return part == place })
		if _, err := r.Chain(patience(t, 300*time.Millisecond), "none"); err == nil || recorder.IsNotFound(err) {
			t.Errorf("with part %s down: %v", place, err)
		}
	}
}

// TestOutage checks that a daemon goes on with what neighbours have, and gives up at once
// what nobody has.
func TestOutage(t *testing.T) {
	rows := emulator.NewRows()
	first := start(t, rows, "first", alone{})
	if err := first.Commit(patience(t, time.Second), &historian.Turn{ID: "a", Text: []byte("A")}, nil, time.Minute); err != nil {
		t.Fatal(err)
	}
	if d := first.Reserve(patience(t, time.Second), "p", 10_000, 500, false); d.Verdict != accountant.Admitted {
		t.Fatalf("the first turn is %s", d.Verdict)
	}
	second := start(t, rows, "second", neighbour{first})
	rows.SetDown(true)
	if turns, err := second.Chain(patience(t, time.Second), "a"); err != nil || string(turns[0].Text) != "A" {
		t.Errorf("the neighbour's turn: %v", err)
	}
	if d := second.Reserve(patience(t, 2*time.Second), "p", 10_000, 500, true); d.Verdict != accountant.Admitted {
		t.Errorf("with a neighbour's tokens the turn is %s", d.Verdict)
	}
	if d := second.Reserve(patience(t, 2*time.Second), "unknown", 10_000, 500, false); d.Verdict != accountant.Unavailable {
		t.Errorf("without any tokens the turn is %s", d.Verdict)
	}
	began := time.Now()
	if d := second.Reserve(patience(t, 2*time.Second), "other", 1_000, 500, false); d.Verdict != accountant.Unavailable {
		t.Errorf("without any tokens the turn is %s", d.Verdict)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the refusal took %s though the store is known to be down", took)
	}
}

// TestBudgetIsUsedToTheEnd checks that keeping a budget in two rows does not refuse turns
// that it holds.
func TestBudgetIsUsedToTheEnd(t *testing.T) {
	tests := []struct{ budget, tokens, turns int }{
		{1728, 576, 3}, {1152, 576, 2}, {900, 576, 1}, {2600, 576, 4}, {8700, 576, 15}, {500, 576, 0},
	}
	for _, test := range tests {
		r := start(t, emulator.NewRows(), "host", alone{})
		got := 0
		var d recorder.Reservation
		for got <= test.turns {
			if d = r.Reserve(patience(t, time.Second), "p", test.budget, test.tokens, false); d.Verdict != accountant.Admitted {
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
