package historian_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// turnRows returns the rows of a turn, sorted by key.
func turnRows(writes []provider.RowWrite) []provider.VersionedRow {
	var rows []provider.VersionedRow
	for _, w := range writes {
		if w.Table == historian.Table {
			rows = append(rows, provider.VersionedRow{RowKey: w.RowKey, Value: w.Value})
		}
	}
	slices.SortFunc(rows, func(a, b provider.VersionedRow) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// readerOf returns a reader of turns that reads pages with a function and has any memory.
// textOf returns the text of a turn.
func textOf(t testing.TB, turns ...*historian.Turn) []byte {
	t.Helper()
	text, err := io.ReadAll(historian.NewHistory(turns, nil).Reader())
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// pagesOf returns a function that reads the rows in pages of at most so many rows.
// TestEncodeDecode checks that a turn of any size is decoded as it was encoded, whatever the
// number of its rows.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "text"), rapid.IntRange(1, 1000).Draw(t, "times"))
		cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
		turn, err := historian.NewTurn(&historian.Draft{
			ID:        rapid.StringMatching(`[0-9a-f]{1,16}|[a-z/]{150,190}`).Draw(t, "id"),
			Previous:  rapid.StringMatching(`[0-9a-f]{0,16}`).Draw(t, "previous"),
			Workspace: rapid.StringMatching(`[a-z]{0,16}`).Draw(t, "workspace"),
			Parts:     [][]byte{text[:cut], text[cut:]},
		})
		if err != nil {
			t.Fatal(err)
		}
		turn.Partition, turn.EarlierBytes = "t1", rapid.IntRange(0, 1e9).Draw(t, "earlierBytes")
		turn.Expires = time.Unix(rapid.Int64Range(1, 1e10).Draw(t, "expires"), 0)
		rowBytes := rapid.IntRange(200, 4000).Draw(t, "rowBytes")
		writes, err := historian.Encode(turn, rowBytes)
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range writes {
			if len(w.Value) > rowBytes {
				t.Fatalf("a row has %d bytes, want at most %d", len(w.Value), rowBytes)
			}
		}
		got, err := readerOf(pagesOf(turnRows(writes), rapid.IntRange(1, 20).Draw(t, "pageRows"))).Read(turn.ID, "t1")
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(turn, got); diff != "" {
			t.Fatalf("turn differs (-want +got):\n%s", diff)
		}
		history := historian.NewHistory([]*historian.Turn{got}, []byte("more"))
		gotText, err := io.ReadAll(history.Reader())
		if err != nil {
			t.Fatal(err)
		}
		if want := string(text) + "more"; string(gotText) != want || history.Len() != len(want) {
			t.Fatalf("text of %d bytes, length %d, want %d bytes", len(gotText), history.Len(), len(want))
		}
	})
}

// writeAsBefore returns the rows of a turn as versions without packed turns wrote them.
// Guards against turns of versions before packed ones that can no longer be read, and against memory that is taken
// for them without being admitted.
// Guards against memory that is taken before it was admitted: a turn is not read further once Admit fails.
// Guards against calls to the store that a turn does not need: each is paid for.
// Guards against a large text that is deflated without a bound, and then refused by the store.
func TestTurnTooLargeForStore(t *testing.T) {
	tests := []struct {
		name  string
		parts [][]byte
		want  historian.Kind
	}{
		{"does not fit into a transaction", [][]byte{noise(900_000)}, 0},
		{"largest", [][]byte{make([]byte, 16<<20), make([]byte, 16<<20)}, 0},
		{"too large", [][]byte{make([]byte, 16<<20), make([]byte, 16<<20), {1}}, historian.KindTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			turn, err := historian.NewTurn(&historian.Draft{ID: "a", Parts: test.parts})
			if historian.KindOf(err) != test.want {
				t.Fatalf("error %v, want kind %d", err, test.want)
			}
			if err != nil || !turn.InParts() {
				return
			}
			if _, err := historian.Encode(turn, 65536); historian.KindOf(err) != historian.KindTooLarge {
				t.Errorf("a turn that needs parts is encoded for one transaction: %v", err)
			}
		})
	}
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
	rows := turnRows(writes)
	for i := range rows {
		if _, err := readerOf(pagesOf(slices.Delete(slices.Clone(rows), i, i+1), 500)).Read("a", "t1"); err == nil {
			t.Errorf("a turn without row %d of %d was decoded", i, len(rows))
		}
	}
}

// rewrittenRows returns a turn that is rewritten before each of the first reads of its later rows.
// noise returns bytes that do not deflate.
func noise(n int) []byte {
	source := rand.NewChaCha8([32]byte{})
	text := make([]byte, n)
	_, _ = source.Read(text)
	return text
}

// Guards against a turn that is joined from two of its writes, and against one that counts as unreadable because
// it was renewed while it was read.
// Guards against rows of earlier versions, whose keys are not escaped, that can no longer be read, and against one
// of their segments that is taken for a turn.
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

	expired, err := readerOf(pagesOf(turnRows, 500)).ReadExpired(&expiry)
	if err != nil {
		t.Fatal(err)
	}

	// Guards against the loss of a turn that another daemon has renewed meanwhile.
	renewed := historian.Removal(&expiry, expired, time.Unix(99, 0))
	if diff := cmp.Diff([]provider.RowKey{expiry.RowKey}, renewed.Deletes); diff != "" {
		t.Errorf("rows that are removed of a turn that has been renewed differ (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want, renewed.Conditions); diff != "" {
		t.Errorf("conditions for a turn that has been renewed differ (-want +got):\n%s", diff)
	}

	removal := historian.Removal(&expiry, expired, time.Unix(101, 0))
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

// Guards against the removal of a renewed turn whose rows were mixed up with those of a turn whose ID begins with
// its own.
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
		{name: "ancestor not in memory", id: "lost", text: "x", missing: "gone", fails: true},
		{name: "not in memory", id: "none", text: "x", missing: "none", fails: true},
		{name: "chain with a cycle", id: "loop", text: "x", fails: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			missing := ""
			turns, err := historian.Chain(test.id, func(id string) (*historian.Turn, error) {
				if turn := cache.Get(id); turn != nil {
					return turn, nil
				}
				missing = id
				return nil, errors.New("not in memory")
			})
			if (err != nil) != test.fails {
				t.Fatalf("error: %v", err)
			}
			got := []string{string(textOf(t, turns...)) + "x", missing}
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

// Guards against a cache that counts the texts of turns only: IDs of 14 KB took several times the memory of the host.
func TestCacheIsBounded(t *testing.T) {
	const limit, large = 10_000, 6_000
	name := strings.Repeat("n", large)
	tests := []struct {
		what string
		turn historian.Turn
	}{
		{"texts", historian.Turn{Text: make([]byte, large)}},
		{"IDs", historian.Turn{ID: name}},
		{"IDs of the turns before", historian.Turn{Previous: name}},
		{"workspaces", historian.Turn{Workspace: name}},
	}
	for _, test := range tests {
		t.Run(test.what, func(t *testing.T) {
			cache, kept := historian.NewCache(limit), 0
			for _, id := range []string{"a", "b", "c"} {
				turn := test.turn
				turn.ID += id
				cache.Add(&turn)
			}
			for _, id := range []string{"a", "b", "c"} {
				if turn := cache.Get(test.turn.ID + id); turn != nil {
					kept += len(turn.ID) + len(turn.Previous) + len(turn.Workspace) + len(turn.Text)
				}
			}
			if cache.Bytes() > limit || kept > limit {
				t.Errorf("%d bytes are cached, %d by its count, above the limit of %d", kept, cache.Bytes(), limit)
			}
			if cache.Get(test.turn.ID+"c") == nil {
				t.Error("the newest turn was evicted")
			}
		})
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
		row := provider.VersionedRow{RowKey: provider.RowKey{Table: historian.Table, Partition: "t1", Key: "a"}, Value: value}
		_, _ = readerOf(pagesOf([]provider.VersionedRow{row}, 500)).Read("a", "t1")
	})
}
