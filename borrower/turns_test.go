package borrower_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/borrower"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/messenger"
)

// lender lends one turn.
type lender struct {
	turn *historian.Turn
	// noMemory makes it find no memory to send the turn.
	noMemory bool
	// open is the number of turns that are lent and not done.
	open int
}

func (l *lender) LendTurn(_ context.Context, id string, maxBytes int) (*historian.Turn, bool, func()) {
	if l.turn == nil || id != l.turn.ID {
		return nil, false, func() {}
	}
	if l.noMemory || l.turn.MemoryBytes() > maxBytes {
		return l.turn, false, func() {}
	}
	l.open++
	return l.turn, true, func() { l.open-- }
}

func (*lender) LendTokens(context.Context, accountant.BorrowRequested) accountant.Lend {
	return accountant.Lend{}
}

func (*lender) SettleLoan(context.Context, accountant.LoanSettled) {}

// lenderHandler serves the requests of peers.
type lenderHandler struct {
	borrower *borrower.Borrower
	lender   *lender
}

func (h *lenderHandler) Handle(ctx context.Context, _, method string, params json.RawMessage) (any, error) {
	result, _, err := h.borrower.Handle(ctx, h.lender, method, params)
	return result, err
}

func (*lenderHandler) HandleCall(context.Context, string, encoder.ForwardedCall, messenger.Emit) (encoder.CallResult, error) {
	return encoder.CallResult{}, errors.New("no calls")
}

// oneList lists one peer.
type oneList struct{ list }

func (*oneList) RegionPeers() []messenger.Peer { return []messenger.Peer{{Host: "b", Address: "b"}} }

// Guards against a large turn that every peer sends at once, before the caller has memory for it, and against turns that
// arrive changed.
func TestTurnsOfPeers(t *testing.T) {
	newTurn := func(text []byte) *historian.Turn {
		turn, err := historian.NewTurn(&historian.Draft{ID: "a", Previous: "before", Workspace: "w", Parts: [][]byte{text}})
		if err != nil {
			t.Fatal(err)
		}
		turn.Partition, turn.EarlierBytes, turn.Expires = "t1", 12_345, time.Unix(1000, 0)
		return turn
	}
	small, large := newTurn([]byte("said")), newTurn(bytes.Repeat([]byte("said "), 100_000))
	large.Packed = append(large.Packed, make([]byte, historian.PlainBytes)...)
	tests := []struct {
		name   string
		lender lender
		// found is what is found at first, read the turn that is read then.
		found borrower.FoundTurn
		read  *historian.Turn
	}{
		{"small", lender{turn: small}, borrower.FoundTurn{Host: "b", Turn: small, Bytes: 4, EarlierBytes: 12_345}, small},
		{"large", lender{turn: large}, borrower.FoundTurn{Host: "b", Bytes: large.MemoryBytes(), EarlierBytes: 12_345}, large},
		{"no memory at the peer", lender{turn: small, noMemory: true}, borrower.FoundTurn{Host: "b", Bytes: 4, EarlierBytes: 12_345}, nil},
		{"not there", lender{}, borrower.FoundTurn{}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			network := messenger.NewMemoryNetwork()
			handler := &lenderHandler{lender: &test.lender}
			a := messenger.New(messenger.Settings{Host: "a", Dial: network.Dialer("a")}, handler, zap.NewNop())
			b := messenger.New(messenger.Settings{Host: "b", Dial: network.Dialer("b")}, handler, zap.NewNop())
			defer b.Close()
			defer a.Close()
			listener := network.Listen("b")
			// It returns an error only if the listener fails, and then the peer does not reply.
			go func() { _ = b.Serve(listener) }()
			options := borrower.DefaultOptions()
			options.ReplyTimeout, options.CallTimeout = 5*time.Second, 5*time.Second
			asking := borrower.New(a, &oneList{}, "a", "a-run", options, zap.NewNop())
			handler.borrower = asking
			found := asking.FindTurn(t.Context(), "a", historian.PlainBytes)
			if diff := cmp.Diff(test.found, found); diff != "" {
				t.Errorf("found (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.read, asking.ReadTurn(t.Context(), "a", found)); diff != "" {
				t.Errorf("read (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a peer of an earlier version that takes deflated text for the text of a turn.
func TestTurnForEarlierVersion(t *testing.T) {
	large, err := historian.NewTurn(&historian.Draft{ID: "a", Parts: [][]byte{bytes.Repeat([]byte("said "), 100_000)}})
	if err != nil {
		t.Fatal(err)
	}
	small := &historian.Turn{ID: "a", Text: []byte("said")}
	for _, test := range []struct {
		name string
		turn *historian.Turn
		want encoder.TurnAnswer
	}{
		{"small", small, encoder.TurnAnswer{Found: true, Bytes: 4, Text: []byte("said"), ExpiresAt: int(small.Expires.Unix())}},
		{"large", large, encoder.TurnAnswer{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := &lender{turn: test.turn}
			b := borrower.New(nil, &list{}, "a", "a-run", borrower.DefaultOptions(), zap.NewNop())
			got, _, err := b.Handle(t.Context(), l, messenger.MethodReadTurn, json.RawMessage(`{"turn":"a"}`))
			if err != nil {
				t.Fatal(err)
			}
			if r, ok := got.(messenger.Result); ok {
				r.Done()
				got = r.Value
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if l.open != 0 {
				t.Errorf("%d turns are still lent", l.open)
			}
		})
	}
}
