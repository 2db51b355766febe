package batcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/batcher"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

var start = time.Unix(1_000, 0)

func key(name string) provider.RowKey { return provider.RowKey{Table: "t", Key: name} }

// entry returns an entry that writes a row, with a condition unless the version is negative.
func entry(ticket int, name string, version int64) batcher.Entry {
	t := provider.RowTransaction{Writes: []provider.RowWrite{{RowKey: key(name)}}}
	if version >= 0 {
		t.Conditions = []provider.RowCondition{{RowKey: key(name), Version: version}}
	}
	return batcher.Entry{Ticket: batcher.Ticket(ticket), Transaction: t, Deadline: start.Add(time.Minute), Bytes: 10}
}

func describe(commands []batcher.Command) []string {
	got := []string{}
	for _, c := range commands {
		switch c := c.(type) {
		case batcher.Apply:
			got = append(got, fmt.Sprintf("apply %d with %d writes", c.Batch, len(c.Transaction.Writes)))
		case batcher.Resolve:
			got = append(got, fmt.Sprintf("%d %s", c.Ticket, c.Outcome.Kind))
		case batcher.HealthChanged:
			got = append(got, fmt.Sprintf("up %t", c.Up))
		case batcher.Probe:
			got = append(got, "probe")
		}
	}
	return got
}

// timed is a message and the time since the one before it.
type timed struct {
	after   time.Duration
	message batcher.Message
}

func submit(after time.Duration, e batcher.Entry) timed {
	return timed{after, batcher.Submitted{Entry: e}}
}

func oneInFlight() batcher.Options {
	options := batcher.DefaultOptions()
	options.MaxInFlight = 1
	return options
}

// replay applies messages at their times and compares the commands.
func replay(t *testing.T, input []timed, want []string) {
	t.Helper()
	state := batcher.New(oneInFlight())
	got, now := []string{}, start
	for _, in := range input {
		now = now.Add(in.after)
		got = append(got, describe(state.Update(now, in.message))...)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("commands differ (-want +got):\n%s", diff)
	}
}

func TestState(t *testing.T) {
	tests := []struct {
		name  string
		input []timed
		want  []string
	}{
		{
			name: "entries that arrive while a transaction is in flight go together",
			input: []timed{
				submit(0, entry(1, "a", -1)), submit(0, entry(2, "b", -1)), submit(0, entry(3, "c", -1)),
				{0, batcher.Applied{Batch: 1}}, {0, batcher.Applied{Batch: 2}},
			},
			want: []string{"apply 1 with 1 writes", "1 none", "apply 2 with 2 writes", "2 none", "3 none"},
		},
		{
			name: "a failed condition fails its own entry only",
			input: []timed{
				submit(0, entry(1, "a", -1)), submit(0, entry(2, "b", 4)), submit(0, entry(3, "c", -1)),
				{0, batcher.Applied{Batch: 1}},
				{0, batcher.Conflicted{Batch: 2, Rows: []provider.VersionedRow{{RowKey: key("b"), Version: 5}}}},
				{0, batcher.Applied{Batch: 3}},
			},
			want: []string{
				"apply 1 with 1 writes", "1 none", "apply 2 with 2 writes", "2 conflict", "apply 3 with 1 writes", "3 none",
			},
		},
		{
			name: "a lost response leaves the outcome of all entries unknown",
			input: []timed{
				submit(0, entry(1, "a", -1)), submit(0, entry(2, "b", 4)), submit(0, entry(3, "c", -1)),
				{0, batcher.Applied{Batch: 1}}, {0, batcher.Failed{Batch: 2, Kind: provider.KindUnknown}},
			},
			want: []string{"apply 1 with 1 writes", "1 none", "apply 2 with 2 writes", "2 unknown", "3 unknown", "probe"},
		},
		{
			name: "a rejected transaction is sent again after a backoff",
			input: []timed{
				submit(0, entry(1, "a", 4)), {0, batcher.Failed{Batch: 1, Kind: provider.KindUnavailable}},
				{time.Second, batcher.Tick{}},
			},
			want: []string{"apply 1 with 1 writes", "probe", "apply 2 with 1 writes"},
		},
		{
			name: "a conflict that no row explains is not retried",
			input: []timed{
				submit(0, entry(1, "a", 4)),
				{0, batcher.Conflicted{Batch: 1, Rows: []provider.VersionedRow{{RowKey: key("a"), Version: 4}}}},
			},
			want: []string{"apply 1 with 1 writes", "1 unavailable"},
		},
		{
			name: "two writes of one row do not go in one transaction",
			input: []timed{
				submit(0, entry(1, "x", -1)), submit(0, entry(2, "a", -1)), submit(0, entry(3, "a", -1)),
				{0, batcher.Applied{Batch: 1}},
			},
			want: []string{"apply 1 with 1 writes", "1 none", "apply 2 with 1 writes"},
		},
		{
			name: "entries are dropped after their deadline",
			input: []timed{
				submit(0, entry(1, "a", -1)), submit(0, entry(2, "b", -1)), {2 * time.Minute, batcher.Tick{}},
			},
			// An entry that waits in the queue had no effect.
			want: []string{"apply 1 with 1 writes", "2 unavailable"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			replay(t, test.input, test.want)
		})
	}
}

// TestPartitionDown replays failures of a partition and the results of probes. Only a
// partition that fails a probe counts as down: lost responses to writes alone must not make
// the daemon reject callers.
func TestPartitionDown(t *testing.T) {
	rejected := batcher.Failed{Batch: 1, Kind: provider.KindUnavailable}
	tests := []struct {
		name  string
		input []timed
		want  []string
	}{
		{
			name:  "a store above its rate limit",
			input: []timed{submit(0, entry(1, "a", -1)), {0, rejected}, {0, batcher.Probed{Succeeded: true}}},
			want:  []string{"apply 1 with 1 writes", "probe", "apply 2 with 1 writes"},
		},
		{
			name: "outage",
			input: []timed{
				submit(0, entry(1, "a", -1)), submit(0, entry(2, "b", 3)), {0, rejected}, {0, batcher.Probed{}},
				{time.Second, batcher.Tick{}}, {0, batcher.Probed{Succeeded: true}}, submit(0, entry(3, "c", -1)),
			},
			want: []string{
				"apply 1 with 1 writes", "probe", "up false", "1 unavailable", "2 unavailable", "probe", "up true",
				"apply 2 with 1 writes",
			},
		},
		{
			name: "another partition responds during an outage",
			input: []timed{
				submit(0, entry(1, "a", -1)), {0, rejected}, {0, batcher.Probed{}}, {0, batcher.ProbeRequested{}},
			},
			want: []string{"apply 1 with 1 writes", "probe", "up false", "1 unavailable", "probe"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			replay(t, test.input, test.want)
		})
	}
}

// TestEveryEntryIsResolvedOnce checks that each entry is resolved exactly once, whatever
// the store returns.
func TestEveryEntryIsResolvedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := batcher.New(batcher.DefaultOptions())
		resolved := map[batcher.Ticket]int{}
		var inFlight []batcher.Apply
		probes := 0
		now := start
		run := func(m batcher.Message) {
			for _, c := range state.Update(now, m) {
				switch c := c.(type) {
				case batcher.Apply:
					inFlight = append(inFlight, c)
				case batcher.Resolve:
					resolved[c.Ticket]++
				case batcher.Probe:
					probes++
				}
			}
		}
		count := rapid.IntRange(1, 40).Draw(t, "entries")
		for i := range count {
			version := int64(rapid.IntRange(-1, 1).Draw(t, "version"))
			run(batcher.Submitted{Entry: entry(i, fmt.Sprint(i%7), version)})
			for len(inFlight) > 0 && rapid.Bool().Draw(t, "respond") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				apply := inFlight[0]
				inFlight = inFlight[1:]
				respond(t, apply, run)
			}
			if probes > 0 && rapid.Bool().Draw(t, "probed") {
				probes--
				run(batcher.Probed{Succeeded: rapid.Bool().Draw(t, "up")})
			}
		}
		for range 10_000 {
			if len(resolved) == count {
				break
			}
			now = now.Add(time.Second)
			run(batcher.Tick{})
			for ; probes > 0; probes-- {
				run(batcher.Probed{Succeeded: true})
			}
			for len(inFlight) > 0 {
				apply := inFlight[0]
				inFlight = inFlight[1:]
				run(batcher.Applied{Batch: apply.Batch})
			}
		}
		for i := range count {
			if n := resolved[batcher.Ticket(i)]; n != 1 {
				t.Fatalf("entry %d was resolved %d times", i, n)
			}
		}
	})
}

func respond(t *rapid.T, apply batcher.Apply, run func(batcher.Message)) {
	switch rapid.SampledFrom([]string{"applied", "unknown", "unavailable", "conflict"}).Draw(t, "response") {
	case "applied":
		run(batcher.Applied{Batch: apply.Batch})
	case "unknown":
		run(batcher.Failed{Batch: apply.Batch, Kind: provider.KindUnknown})
	case "unavailable":
		run(batcher.Failed{Batch: apply.Batch, Kind: provider.KindUnavailable})
	case "conflict":
		var rows []provider.VersionedRow
		for _, c := range apply.Transaction.Conditions {
			rows = append(rows, provider.VersionedRow{RowKey: c.RowKey, Version: 2})
		}
		run(batcher.Conflicted{Batch: apply.Batch, Rows: rows})
	}
}

// Guards against large transactions that never complete on a slow link: their timeout was that of small ones.
func TestTimeoutGrowsWithSize(t *testing.T) {
	options := batcher.DefaultOptions()
	options.SmallBytes, options.MinBytesPerSecond = 1000, 10_000
	tests := []struct {
		name  string
		bytes int
		want  time.Duration
	}{
		{"small", 1000, options.InitialTimeout},
		{"large", 5000, options.InitialTimeout + 500*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []time.Duration
			for _, c := range batcher.New(options).Update(time.Unix(1000, 0), batcher.Submitted{Entry: batcher.Entry{Ticket: 1, Bytes: test.bytes}}) {
				if apply, ok := c.(batcher.Apply); ok {
					got = append(got, apply.Timeout)
				}
			}
			if diff := cmp.Diff([]time.Duration{test.want}, got); diff != "" {
				t.Errorf("timeouts (-want +got):\n%s", diff)
			}
		})
	}
}
