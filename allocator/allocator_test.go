package allocator_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/allocator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

var start = time.Unix(1_000, 0)

// later is a pause between two messages.
type later struct {
	allocator.Tick
	time.Duration
}

// replay applies messages and returns the commands in text form.
func replay(s *allocator.State, messages ...allocator.Message) []string {
	got, now := []string{}, start
	for _, m := range messages {
		if pause, ok := m.(later); ok {
			now = now.Add(pause.Duration)
			m = pause.Tick
		}
		for _, c := range s.Update(now, m) {
			switch c := c.(type) {
			case allocator.Apply:
				text := fmt.Sprintf("apply %d at %d", c.Sequence, c.Version)
				for _, change := range c.Changes {
					text += fmt.Sprintf(" %s=%s at %d", change.Key, change.Value, change.Version)
				}
				if c.Owner.BlockedMs > 0 {
					text += fmt.Sprintf(" blocked %d ms", c.Owner.BlockedMs)
				}
				if c.Owner.Unwritten {
					text += " unwritten"
				}
				if c.Owner.Released {
					text += " released"
				}
				got = append(got, text)
			case allocator.ReadOwner:
				got = append(got, "read owner")
			case allocator.ReadRows:
				got = append(got, fmt.Sprint("read rows ", c.Sequence))
			case allocator.Reply:
				got = append(got, fmt.Sprintf("reply %d %s %s", c.Ticket, c.Kind, c.Value))
			case allocator.OwnershipChanged:
				got = append(got, fmt.Sprint("owned ", c.Owned))
			case allocator.MemoryChanged:
				got = append(got, fmt.Sprint("from memory ", c.Active))
			}
		}
	}
	return got
}

func ownerRow(version int64, owner encoder.BudgetOwner) provider.VersionedRow {
	value, err := json.Marshal(owner)
	if err != nil {
		panic(err)
	}
	return provider.VersionedRow{Version: version, Value: value}
}

func ownerRead(version int64, owner encoder.BudgetOwner) allocator.OwnerRead {
	row := ownerRow(version, owner)
	return allocator.OwnerRead{Row: &row}
}

func write(ticket int, before, after string) allocator.Request {
	r := allocator.Request{Ticket: allocator.Ticket(ticket), Key: "k", Value: []byte(after)}
	if before != "" {
		r.Version = allocator.VersionOf([]byte(before))
	}
	return r
}

func TestState(t *testing.T) {
	startMs := int(start.UnixMilli())
	// owning makes the daemon the owner with sequences 1 (claim) and 2 (read of the rows).
	owning := []allocator.Message{
		allocator.Tick{}, allocator.OwnerRead{}, allocator.Applied{Sequence: 1, Version: 5}, allocator.RowsRead{Sequence: 2},
	}
	owned := []string{"read owner", "apply 1 at 0", "owned true", "read rows 2"}
	earlier := encoder.BudgetOwner{Host: "host", Incarnation: "earlier", Boot: "boot", SentAtMs: startMs - 1000}
	other := encoder.BudgetOwner{Host: "other", Incarnation: "run", Boot: "boot", SentAtMs: startMs}
	with := func(o encoder.BudgetOwner, change func(o *encoder.BudgetOwner)) encoder.BudgetOwner {
		change(&o)
		return o
	}
	tests := []struct {
		name     string
		messages []allocator.Message
		want     []string
		// afterOwning prepends the messages and commands of owning.
		afterOwning bool
	}{
		{
			"a write is acknowledged only after it is stored",
			[]allocator.Message{write(1, "", "a"), allocator.Applied{Sequence: 3, Version: 6}},
			[]string{"apply 3 at 5 k=a at 0", "reply 1 none a"}, true,
		},
		{
			"writes that wait share a transaction",
			[]allocator.Message{
				write(1, "", "a"), write(2, "a", "b"), write(3, "a", "c"), allocator.Applied{Sequence: 3, Version: 6}, allocator.Applied{Sequence: 4, Version: 7},
			},
			[]string{"apply 3 at 5 k=a at 0", "reply 1 none a", "apply 4 at 6 k=b at 6", "reply 2 none b", "reply 3 conflict b"}, true,
		},
		{
			"a repeated write is served once",
			[]allocator.Message{
				write(1, "", "a"), write(2, "", "a"), allocator.Applied{Sequence: 3, Version: 6}, allocator.Applied{Sequence: 4, Version: 7}, write(3, "", "a"),
			},
			[]string{"apply 3 at 5 k=a at 0", "reply 1 none a", "apply 4 at 6", "reply 2 none a", "reply 3 none a"}, true,
		},
		{
			"a write of unknown outcome is rejected and found later",
			[]allocator.Message{
				write(1, "", "a"), allocator.Applied{Sequence: 3, Kind: provider.KindUnknown}, later{allocator.Tick{}, 300 * time.Millisecond},
				allocator.Applied{Sequence: 4, Kind: provider.KindConflict, Owner: ownerRow(6, encoder.BudgetOwner{Host: "host", Incarnation: "me", Sequence: 3})},
				allocator.Applied{Sequence: 5, Version: 7}, allocator.Applied{Sequence: 6, Version: 8}, write(2, "", "b"), write(3, "a", "c"),
				allocator.Applied{Sequence: 7, Version: 9},
			},
			[]string{
				"apply 3 at 5 k=a at 0", "reply 1 unavailable ", "apply 4 at 5 unwritten", "apply 5 at 6 unwritten", "apply 6 at 7", "apply 7 at 8",
				"reply 2 conflict a", "apply 8 at 9 k=c at 6",
			}, true,
		},
		{
			"grants from memory begin 2.5 s after the first failure and are written before they are confirmed",
			[]allocator.Message{
				later{allocator.Tick{}, time.Second}, allocator.Applied{Sequence: 3, Kind: provider.KindUnavailable}, write(1, "", "a"),
				later{allocator.Tick{}, 2400 * time.Millisecond}, write(2, "", "b"), allocator.Applied{Sequence: 4, Kind: provider.KindUnavailable},
				later{allocator.Tick{}, 200 * time.Millisecond}, write(3, "", "c"), write(4, "c", "d"), write(5, "c", "e"),
				later{allocator.Tick{}, 300 * time.Millisecond}, allocator.Applied{Sequence: 5, Version: 6}, allocator.Applied{Sequence: 6, Version: 7},
			},
			[]string{
				"apply 3 at 5", "reply 1 unavailable ", "apply 4 at 5 unwritten", "reply 2 unavailable ", "from memory true", "reply 3 none c",
				"reply 4 none d", "reply 5 conflict d", "apply 5 at 5 k=d at 0 unwritten", "apply 6 at 6", "from memory false",
			}, true,
		},
		{
			"nothing is granted 20 s after the last renewal",
			[]allocator.Message{
				later{allocator.Tick{}, time.Second}, allocator.Applied{Sequence: 3, Kind: provider.KindUnavailable},
				later{allocator.Tick{}, 18900 * time.Millisecond}, write(1, "", "a"), later{allocator.Tick{}, 100 * time.Millisecond}, write(2, "a", "b"),
			},
			[]string{"apply 3 at 5", "apply 4 at 5 unwritten", "from memory true", "reply 1 none a", "from memory false", "reply 2 unavailable "}, true,
		},
		{
			"an owner that was replaced gives up",
			[]allocator.Message{
				write(1, "", "a"), allocator.Applied{Sequence: 3, Kind: provider.KindConflict, Owner: ownerRow(9, other)}, write(2, "", "a"),
			},
			[]string{"apply 3 at 5 k=a at 0", "reply 1 unavailable ", "owned false", "reply 2 unavailable "}, true,
		},
		{
			"a planned stop writes what is only in memory and releases the partition",
			[]allocator.Message{
				later{allocator.Tick{}, time.Second}, allocator.Applied{Sequence: 3, Kind: provider.KindUnavailable},
				later{allocator.Tick{}, 3 * time.Second}, write(1, "", "a"), allocator.Applied{Sequence: 4, Kind: provider.KindUnavailable},
				allocator.Stopping{}, allocator.Applied{Sequence: 5, Version: 6}, write(2, "a", "b"),
			},
			[]string{
				"apply 3 at 5", "apply 4 at 5 unwritten", "from memory true", "reply 1 none a", "apply 5 at 5 k=a at 0 released", "from memory false",
				"owned false", "reply 2 unavailable ",
			}, true,
		},
		{
			"the earlier process on the host is replaced at once",
			[]allocator.Message{allocator.Tick{Rank: -1}, ownerRead(4, earlier)}, []string{"read owner", "apply 1 at 4"}, false,
		},
		{
			"the earlier process on the host may have granted from memory",
			[]allocator.Message{
				allocator.Tick{Rank: -1}, ownerRead(4, with(earlier, func(o *encoder.BudgetOwner) { o.Unwritten = true })),
			},
			[]string{"read owner", "apply 1 at 4 blocked 120000 ms"}, false,
		},
		{
			"the earlier process on the host was not renewed for 2.5 s",
			[]allocator.Message{
				allocator.Tick{Rank: -1}, ownerRead(4, with(earlier, func(o *encoder.BudgetOwner) { o.SentAtMs -= 1500 })),
			},
			[]string{"read owner", "apply 1 at 4 blocked 120000 ms"}, false,
		},
		{
			"the host has been started again",
			[]allocator.Message{
				allocator.Tick{Rank: -1}, ownerRead(4, with(earlier, func(o *encoder.BudgetOwner) { o.Boot = "boot before" })),
			},
			[]string{"read owner", "apply 1 at 4 blocked 120000 ms"}, false,
		},
		{
			"the block of an earlier owner goes on",
			[]allocator.Message{
				allocator.Tick{}, ownerRead(4, with(other, func(o *encoder.BudgetOwner) { o.Released, o.BlockedMs = true, 70_000 })),
				allocator.Applied{Sequence: 1, Version: 5}, allocator.RowsRead{Sequence: 2}, write(1, "", "a"),
				later{allocator.Tick{}, 70 * time.Second}, allocator.Applied{Sequence: 3, Version: 6}, write(2, "", "a"),
			},
			[]string{
				"read owner", "apply 1 at 4 blocked 70000 ms", "owned true", "read rows 2", "reply 1 unavailable ", "apply 3 at 5", "apply 4 at 6 k=a at 0",
			}, false,
		},
		{
			"an owner on another host is replaced 21 s after its last renewal was seen",
			[]allocator.Message{
				allocator.Tick{}, ownerRead(4, other), later{allocator.Tick{}, 20 * time.Second}, ownerRead(4, other),
				later{allocator.Tick{}, time.Second},
			},
			[]string{"read owner", "read owner", "apply 1 at 4 blocked 120000 ms"}, false,
		},
		{
			"an owner on another host that is renewed is not replaced",
			[]allocator.Message{
				allocator.Tick{}, ownerRead(4, other), later{allocator.Tick{}, 20 * time.Second}, ownerRead(5, other),
				later{allocator.Tick{}, 2 * time.Second},
			},
			[]string{"read owner", "read owner"}, false,
		},
		{
			"daemons of higher rank leave the claim to others first",
			[]allocator.Message{
				allocator.Tick{Rank: 1}, allocator.OwnerRead{}, later{allocator.Tick{Rank: 1}, 2 * time.Second}, later{allocator.Tick{Rank: 1}, time.Second},
				allocator.OwnerRead{},
			},
			[]string{"read owner", "read owner", "apply 1 at 0"}, false,
		},
		{
			"other daemons claim nothing",
			[]allocator.Message{allocator.Tick{Rank: -1}, allocator.OwnerRead{}, later{allocator.Tick{Rank: -1}, time.Hour}}, []string{"read owner"}, false,
		},
		{
			"after a claim of unknown outcome the owner is read again",
			[]allocator.Message{
				allocator.Tick{}, allocator.OwnerRead{}, allocator.Applied{Sequence: 1, Kind: provider.KindUnknown},
				later{allocator.Tick{}, 300 * time.Millisecond}, ownerRead(7, encoder.BudgetOwner{Host: "host", Incarnation: "me", Boot: "boot", SentAtMs: startMs, Sequence: 1}),
				allocator.Applied{Sequence: 2, Version: 8},
			},
			[]string{"read owner", "apply 1 at 0", "read owner", "apply 2 at 7", "owned true", "read rows 3"}, false,
		},
		{
			"a row that clean-up has removed is written anew",
			[]allocator.Message{
				write(1, "", "a"), allocator.Applied{Sequence: 3, Version: 6}, write(2, "a", "b"),
				allocator.Applied{Sequence: 4, Kind: provider.KindConflict, Owner: ownerRow(6, encoder.BudgetOwner{}), Rows: []provider.VersionedRow{{RowKey: provider.RowKey{Key: "k"}}}},
				allocator.Applied{Sequence: 5, Version: 7}, write(3, "", "c"),
			},
			[]string{
				"apply 3 at 5 k=a at 0", "reply 1 none a", "apply 4 at 6 k=b at 6", "reply 2 unavailable ", "apply 5 at 6", "apply 6 at 7 k=c at 0",
			}, true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := allocator.New(allocator.DefaultOptions(), allocator.Identity{Host: "host", Incarnation: "me", Boot: "boot"})
			messages, want := test.messages, test.want
			if test.afterOwning {
				messages = append(append([]allocator.Message{}, owning...), messages...)
				want = append(append([]string{}, owned...), want...)
			}
			if diff := cmp.Diff(want, replay(state, messages...)); diff != "" {
				t.Errorf("commands differ (-want +got):\n%s", diff)
			}
		})
	}
}

// TestProgramsBeginDuringOutage checks that a program that begins at any time of an outage of 7 s gets the
// turns of its second half before the outage ends, if 4 s of it are left and the owner lives.
func TestProgramsBeginDuringOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(allocator.DefaultOptions(), func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") })
		for range rapid.IntRange(40, 80).Draw(t, "calm") {
			s.settle()
		}
		s.store.down = true
		end := s.now.Add(7 * time.Second)
		for range rapid.IntRange(0, 14).Draw(t, "outage") {
			s.settle()
		}
		s.nextProgram()
		for s.now.Before(end) && s.admitted < rowBudget/turnTokens {
			n := s.nodes[s.draw(len(s.nodes))]
			n.tickets++
			s.updateAccountant(n, accountant.ReservationRequested{
				Ticket: n.tickets, Program: s.program.name, Budget: rowBudget, Tokens: turnTokens,
			})
			s.settle()
		}
		if s.admitted != rowBudget/turnTokens || s.violation != "" {
			t.Fatalf("%d turns admitted during the outage, want %d; violation %q", s.admitted, rowBudget/turnTokens, s.violation)
		}
	})
}
