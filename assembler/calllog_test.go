package assembler

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dogwoodweir/dogwoodweir/forwarder"
	"github.com/dogwoodweir/dogwoodweir/receiver"
)

// Guards against moves that are counted for calls whose session's last target is not known, which would
// make the share of moved turns look smaller or larger than it is.
func TestMovedSessionsAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	core, logs := observer.New(zap.InfoLevel)
	log := newCallLogger(zap.New(core), &metrics{scope: scope})
	for _, r := range []receiver.CallRecord{
		{Route: "r", Target: "a", Session: 0xab},
		{Route: "r", Target: "a", Session: 0xab, PreviousTarget: "a"},
		{Route: "r", Target: "b", Session: 0xab, PreviousTarget: "a", Moved: true},
		{Route: "r", Target: "b"},
	} {
		r.Call = &forwarder.Call{}
		log.LogCall(&r)
	}
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() != "calls" {
			counts[c.Name()+" "+c.Tags()["route"]] += c.Value()
		}
	}
	if diff := cmp.Diff(map[string]int64{"session_turns r": 2, "session_moves r": 1}, counts); diff != "" {
		t.Errorf("counters differ (-want +got):\n%s", diff)
	}
	var lines [][]any
	for _, entry := range logs.All() {
		fields := entry.ContextMap()
		lines = append(lines, []any{fields["session"], fields["previousTarget"], fields["moved"]})
	}
	want := [][]any{{"ab", "", false}, {"ab", "a", false}, {"ab", "a", true}, {"", "", false}}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("log fields differ (-want +got):\n%s", diff)
	}
}
