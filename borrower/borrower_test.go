package borrower_test

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/borrower"
	"github.com/dogwoodweir/dogwoodweir/messenger"
)

// list is a peer list that is empty before and after a refresh.
type list struct {
	failure   error
	refreshed int
}

func (l *list) Peers() []messenger.Peer       { return nil }
func (l *list) RegionPeers() []messenger.Peer { return nil }
func (l *list) Refresh(context.Context) error {
	l.refreshed++
	return l.failure
}

// Guards against counting tokens as lost because their daemon has started after the list
// was last read: a turn was rejected permanently.
func TestTokensOfUnlistedDaemons(t *testing.T) {
	tests := []struct {
		name      string
		hosts     []string
		failure   error
		want      accountant.TokensReceived
		refreshed int
	}{
		{"region peers", nil, nil, accountant.TokensReceived{Program: "p"}, 0},
		{"daemon no longer listed", []string{"b"}, nil, accountant.TokensReceived{Program: "p", Ended: []string{"b"}}, 1},
		{
			"list cannot be refreshed", []string{"b"}, errors.New("store unavailable"),
			accountant.TokensReceived{Program: "p", Silent: []string{"b"}}, 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := &list{failure: test.failure}
			b := borrower.New(nil, l, "a", "a-run", borrower.DefaultOptions(), zap.NewNop())
			got := b.BorrowTokens(t.Context(), accountant.Borrow{Program: "p", Tokens: 10, Hosts: test.hosts}, func(int) {})
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("tokens received (-want +got):\n%s", diff)
			}
			if l.refreshed != test.refreshed {
				t.Errorf("%d refreshes, want %d", l.refreshed, test.refreshed)
			}
		})
	}
}
