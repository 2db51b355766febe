package historian_test

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// selectRows returns the rows of a turn that the store returns for its range, sorted by key.
func selectRows(id string, writes []provider.RowWrite) []provider.VersionedRow {
	q := historian.Range(id, "t1")
	var rows []provider.VersionedRow
	for _, w := range writes {
		if w.Table == q.Table && w.Partition == q.Partition && w.Key >= q.From && w.Key < q.To {
			rows = append(rows, provider.VersionedRow{RowKey: w.RowKey, Value: w.Value})
		}
	}
	slices.SortFunc(rows, func(a, b provider.VersionedRow) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// TestEncodeDecode checks that a turn of any size is decoded as it was encoded, whatever the
// number of its rows.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turn := &historian.Turn{
			ID:        rapid.StringMatching(`[0-9a-f]{1,16}|[a-z/]{150,190}`).Draw(t, "id"),
			Partition: "t1",
			Previous:  rapid.StringMatching(`[0-9a-f]{0,16}`).Draw(t, "previous"),
			Text:      bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "text"), rapid.IntRange(1, 30).Draw(t, "times")),
			Expires:   time.Unix(rapid.Int64Range(1, 1e10).Draw(t, "expires"), 0),
		}
		writes, err := historian.Encode(turn, rapid.IntRange(100, 4000).Draw(t, "rowBytes"))
		if err != nil {
			t.Fatal(err)
		}
		got, err := historian.Decode(turn.ID, selectRows(turn.ID, writes))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(turn, got); diff != "" {
			t.Fatalf("turn differs (-want +got):\n%s", diff)
		}
	})
}

// TestDecodeMissingRow checks that a turn with a missing row is never decoded.
func TestDecodeMissingRow(t *testing.T) {
	text := make([]byte, 5000)
	for i := range text {
		text[i] = byte(i * i >> 3)
	}
	writes, err := historian.Encode(&historian.Turn{ID: "a", Partition: "t1", Text: text}, 200)
	if err != nil {
		t.Fatal(err)
	}
	rows := selectRows("a", writes)
	for i := range rows {
		if _, err := historian.Decode("a", slices.Delete(slices.Clone(rows), i, i+1)); err == nil {
			t.Errorf("a turn without row %d of %d was decoded", i, len(rows))
		}
	}
}

// TestRemoval checks that a removal deletes every row of an expired turn and its expiry row, and
// only the expiry row of a turn that expires later.
func TestRemoval(t *testing.T) {
	text := make([]byte, 5000)
	for i := range text {
		text[i] = byte(i * i >> 3)
	}
	turn := &historian.Turn{ID: "a", Partition: "t1", Text: text, Expires: time.Unix(100, 0)}
	writes, err := historian.Encode(turn, 200)
	if err != nil {
		t.Fatal(err)
	}
	remaining := map[provider.RowKey]bool{}
	var expiry provider.VersionedRow
	var turnRows []provider.VersionedRow
	for _, w := range writes {
		remaining[w.RowKey] = true
		if w.RowKey == historian.ExpiryKey(turn) {
			expiry = provider.VersionedRow{RowKey: w.RowKey, Value: w.Value, Version: 3}
			continue
		}
		turnRows = append(turnRows, provider.VersionedRow{RowKey: w.RowKey, Value: w.Value, Version: 5})
	}
	want := []provider.RowCondition{{RowKey: expiry.RowKey, Version: 3}, {RowKey: turnRows[0].RowKey, Version: 5}}

	// Guards against the loss of a turn that another daemon has renewed meanwhile.
	renewed := historian.Removal(&expiry, turnRows, time.Unix(99, 0))
	if diff := cmp.Diff([]provider.RowKey{expiry.RowKey}, renewed.Deletes); diff != "" {
		t.Errorf("rows that are removed of a turn that has been renewed differ (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want, renewed.Conditions); diff != "" {
		t.Errorf("conditions for a turn that has been renewed differ (-want +got):\n%s", diff)
	}

	removal := historian.Removal(&expiry, turnRows, time.Unix(101, 0))
	for _, k := range removal.Deletes {
		delete(remaining, k)
	}
	if len(remaining) != 0 {
		t.Errorf("rows not removed: %v", remaining)
	}
	if diff := cmp.Diff(want, removal.Conditions); diff != "" {
		t.Errorf("conditions differ (-want +got):\n%s", diff)
	}
}

// TestCandidatePartitions checks that a turn has three different candidate partitions, and
// that turns are spread evenly over all partitions.
func TestCandidatePartitions(t *testing.T) {
	counts := map[string]int{}
	for i := range 16_000 {
		candidates := historian.CandidatePartitions(fmt.Sprint("turn", i))
		seen := map[string]bool{}
		for _, p := range candidates {
			seen[p] = true
			counts[p]++
		}
		if len(seen) != 3 {
			t.Fatalf("candidates %v of turn %d are not three partitions", candidates, i)
		}
	}
	for _, partition := range historian.Partitions() {
		if n := counts[partition]; n < 2_500 || n > 3_500 {
			t.Errorf("partition %s is a candidate of %d turns, want about 3000", partition, n)
		}
	}
}

func TestChain(t *testing.T) {
	cache := historian.NewCache(1 << 20)
	cache.Add(&historian.Turn{ID: "a", Text: []byte("1")})
	cache.Add(&historian.Turn{ID: "b", Previous: "a", Text: []byte("2")})
	cache.Add(&historian.Turn{ID: "c", Previous: "b", Text: []byte("3")})
	cache.Add(&historian.Turn{ID: "d", Previous: "b", Text: []byte("4")})
	cache.Add(&historian.Turn{ID: "lost", Previous: "gone", Text: []byte("5")})
	cache.Add(&historian.Turn{ID: "loop", Previous: "loop"})
	tests := []struct {
		name, id, text, missing string
		fails                   bool
	}{
		{name: "start", id: "a", text: "1x"},
		{name: "chain", id: "c", text: "123x"},
		{name: "second turn after one", id: "d", text: "124x"},
		{name: "ancestor not in memory", id: "lost", text: "5x", missing: "gone"},
		{name: "not in memory", id: "none", text: "x", missing: "none"},
		{name: "chain with a cycle", id: "loop", text: "x", fails: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			turns, missing, err := historian.Chain(test.id, cache.Get)
			if (err != nil) != test.fails {
				t.Fatalf("error: %v", err)
			}
			got := []string{string(historian.Join(turns, []byte("x"))), missing}
			if diff := cmp.Diff([]string{test.text, test.missing}, got); diff != "" {
				t.Errorf("chain differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against errors whose text does not say what is wrong.
func TestErrorText(t *testing.T) {
	tests := []struct {
		kind  historian.Kind
		cause error
		want  string
	}{
		{historian.KindNotFound, nil, "read: not found"},
		{historian.KindUnavailable, errors.New("no response"), "read: unavailable: no response"},
		{historian.KindCorrupt, errors.New("EOF"), "read: corrupt: EOF"},
		{historian.KindTooLong, nil, "read: chain too long"},
	}
	for _, test := range tests {
		if diff := cmp.Diff(test.want, historian.NewError("read", test.kind, test.cause).Error()); diff != "" {
			t.Errorf("text (-want +got):\n%s", diff)
		}
	}
}

func TestCacheIsBounded(t *testing.T) {
	cache := historian.NewCache(100)
	for _, id := range []string{"a", "b", "c"} {
		cache.Add(&historian.Turn{ID: id, Text: make([]byte, 60)})
	}
	if cache.Bytes() > 100 {
		t.Errorf("%d bytes are cached, above the limit of 100", cache.Bytes())
	}
	if cache.Get("c") == nil {
		t.Error("the newest turn was evicted")
	}
}

// FuzzDecode checks that rows of other writers do not crash the daemon.
func FuzzDecode(f *testing.F) {
	writes, err := historian.Encode(&historian.Turn{ID: "a", Text: []byte("said")}, 4000)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(writes[0].Value)
	f.Add([]byte("not a row"))
	f.Fuzz(func(_ *testing.T, value []byte) {
		// The result does not matter: a panic fails the test.
		_, _ = historian.Decode("a", []provider.VersionedRow{{RowKey: provider.RowKey{Key: "a"}, Value: value}})
	})
}
