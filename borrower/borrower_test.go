package borrower_test

import (
	"context"
	"errors"
	"testing"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/borrower"
	"github.com/dogwoodweir/dogwoodweir/messenger"
)

// list is a list of daemons that lacks all, before and after a refresh.
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

// Guards against tokens that count as lost because their daemon has started after the list
// was last read: a turn was refused for good.
func TestTokensOfUnlistedDaemons(t *testing.T) {
	tests := []struct {
		name      string
		hosts     []string
		failure   error
		complete  bool
		refreshed int
	}{
		{"neighbours", nil, nil, true, 0},
		{"a daemon that has gone", []string{"b"}, nil, true, 1},
		{"no current list", []string{"b"}, errors.New("store is away"), false, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := &list{failure: test.failure}
			b := borrower.New(nil, l, borrower.DefaultOptions(), zap.NewNop())
			_, complete := b.BorrowTokens(t.Context(), "p", 10, test.hosts, func(int) {})
			if complete != test.complete || l.refreshed != test.refreshed {
				t.Errorf("complete = %v after %d refreshes, want %v after %d", complete, l.refreshed, test.complete, test.refreshed)
			}
		})
	}
}
