package registrar

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/emulator"
)

// TestReadsGrowWithFewerRounds checks that the entries that a daemon reads in a minute hardly grow with
// the number of daemons. Reading the whole list in each round took 5 KB/s at 350 daemons.
func TestReadsGrowWithFewerRounds(t *testing.T) {
	const rounds, maxEntriesPerRound = 600, 60
	tests := []struct {
		peers     int
		wantReads int
	}{
		{8, rounds}, {49, rounds}, {85, rounds / 2}, {349, rounds / 7},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d peers", test.peers), func(t *testing.T) {
			r := New(emulator.NewRowStore(), Entry{Host: "own"}, zap.NewNop())
			peers := make([]Entry, test.peers)
			r.peers.Store(&peers)
			reads := 0
			for round := range rounds {
				if r.readDue(round) {
					reads++
				}
			}
			if reads < test.wantReads || reads > test.wantReads+startupReads+1 {
				t.Errorf("the list is read in %d of %d rounds, want about %d", reads, rounds, test.wantReads)
			}
			if perRound := reads * test.peers / rounds; perRound > maxEntriesPerRound {
				t.Errorf("%d entries are read a round, want at most %d", perRound, maxEntriesPerRound)
			}
		})
	}
}
