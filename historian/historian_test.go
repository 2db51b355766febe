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

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/packer"
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
func readerOf(read func(provider.RowRange) (provider.RowPage, error)) *historian.Reader {
	return &historian.Reader{Range: read, Admit: func(int, int) error { return nil }, RowBytes: 65536}
}

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
func pagesOf(rows []provider.VersionedRow, pageRows int) func(provider.RowRange) (provider.RowPage, error) {
	return func(q provider.RowRange) (provider.RowPage, error) {
		var page provider.RowPage
		limit := pageRows
		if q.Limit > 0 {
			limit = min(limit, q.Limit)
		}
		for _, r := range rows {
			if r.Table != q.Table || r.Partition != q.Partition || r.Key < q.From || r.Key >= q.To {
				continue
			}
			if len(page.Rows) == limit {
				page.More = true
				break
			}
			page.Rows = append(page.Rows, r)
		}
		return page, nil
	}
}

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
func writeAsBefore(t *testing.T, id string, text []byte) []provider.VersionedRow {
	t.Helper()
	plain, err := cbor.Marshal(map[int]any{1: "before", 2: text, 3: 1000, 4: "w"})
	if err != nil {
		t.Fatal(err)
	}
	var rows []provider.VersionedRow
	const size = 60_000
	deflated := packer.Deflate(plain)
	count := (len(deflated) + size - 1) / size
	for i := range count {
		row := map[int]any{2: deflated[i*size : min(len(deflated), (i+1)*size)]}
		key := fmt.Sprintf("%s/%03d", id, i)
		if i == 0 {
			row[1], key = count, id
		}
		value, err := cbor.Marshal(row)
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, provider.VersionedRow{RowKey: provider.RowKey{Table: historian.Table, Partition: "t1", Key: key}, Value: value})
	}
	return rows
}

// Guards against turns of versions before packed ones that can no longer be read, and against memory that is taken
// for them without being admitted.
func TestReadOfTurnWrittenBefore(t *testing.T) {
	tests := []struct {
		name string
		text []byte
		// keep is the memory that must be admitted for the turn.
		keep int
	}{
		{"small", []byte("said"), 0},
		{"large", noise(300_000), 300_000},
		{"large that deflates well", bytes.Repeat([]byte("said "), 200_000), 1_000_000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader, admitted := readerOf(pagesOf(writeAsBefore(t, "a", test.text), 500)), 0
			reader.Admit = func(keep, _ int) error {
				admitted = max(admitted, keep)
				return nil
			}
			turn, err := reader.Read("a", "t1")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]any{"before", "w", time.Unix(1000, 0)}, []any{turn.Previous, turn.Workspace, turn.Expires}); diff != "" {
				t.Errorf("turn (-want +got):\n%s", diff)
			}
			if !bytes.Equal(test.text, textOf(t, turn)) {
				t.Error("the text differs")
			}
			if admitted < test.keep {
				t.Errorf("%d bytes were admitted, want at least %d", admitted, test.keep)
			}
		})
	}
}

// Guards against memory that is taken before it was admitted: a turn is not read further once Admit fails.
func TestReadStopsWithoutMemory(t *testing.T) {
	turn, err := historian.NewTurn(&historian.Draft{ID: "a", Parts: [][]byte{noise(300_000)}})
	if err != nil {
		t.Fatal(err)
	}
	turn.Partition = "t1"
	writes, err := historian.Encode(turn, 65536)
	if err != nil {
		t.Fatal(err)
	}
	pages := pagesOf(turnRows(writes), 500)
	full := errors.New("full")
	for allowed, want := range []int{0, 1} {
		requested := 0
		reader := readerOf(func(q provider.RowRange) (provider.RowPage, error) {
			requested++
			return pages(q)
		})
		admissions := 0
		reader.Admit = func(int, int) error {
			if admissions++; admissions > allowed {
				return full
			}
			return nil
		}
		if _, err := reader.Read("a", "t1"); !errors.Is(err, full) {
			t.Errorf("after %d admissions: %v", allowed, err)
		}
		if diff := cmp.Diff(want, requested); diff != "" {
			t.Errorf("pages that are read after %d admissions (-want +got):\n%s", allowed, diff)
		}
	}
}

// Guards against calls to the store that a turn does not need: each is paid for.
func TestReadsOfTurn(t *testing.T) {
	tests := []struct {
		name string
		text []byte
		// read and expired are the pages that are read of a turn, and of one that has expired.
		read, expired int
	}{
		{"small", []byte("said"), 1, 1},
		{"large in one row", bytes.Repeat([]byte("said "), 100_000), 1, 1},
		{"large in several rows", noise(300_000), 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			turn, err := historian.NewTurn(&historian.Draft{ID: "a", Parts: [][]byte{test.text}})
			if err != nil {
				t.Fatal(err)
			}
			turn.Partition, turn.Expires = "t1", time.Unix(100, 0)
			writes, err := historian.Encode(turn, 65536)
			if err != nil {
				t.Fatal(err)
			}
			requested := 0
			pages := pagesOf(turnRows(writes), 500)
			reader := readerOf(func(q provider.RowRange) (provider.RowPage, error) {
				requested++
				return pages(q)
			})
			if _, err := reader.Read("a", "t1"); err != nil {
				t.Fatal(err)
			}
			read := requested
			if _, err := reader.ReadExpired(&provider.VersionedRow{RowKey: historian.ExpiryKey(turn), Value: []byte("1")}); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]int{test.read, test.expired}, []int{read, requested - read}); diff != "" {
				t.Errorf("pages (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a large text that is deflated without a bound, and then refused by the store.
func TestTurnTooLargeForStore(t *testing.T) {
	if _, err := historian.NewTurn(&historian.Draft{ID: "a", Parts: [][]byte{noise(900_000)}}); historian.KindOf(err) != historian.KindTooLarge {
		t.Errorf("turn of 900,000 bytes that do not deflate: %v", err)
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
func rewrittenRows(t *testing.T, rewrites int) func(provider.RowRange) (provider.RowPage, error) {
	t.Helper()
	version := 0
	rows := func() []provider.VersionedRow {
		writes, err := historian.Encode(&historian.Turn{ID: "a", Partition: "t1", Text: noise(5000), Expires: time.Unix(int64(version), 0)}, 2000)
		if err != nil {
			t.Fatal(err)
		}
		found := turnRows(writes)
		for i := range found {
			found[i].Version = int64(version)
		}
		return found
	}
	return func(q provider.RowRange) (provider.RowPage, error) {
		if q.From != "a" && version < rewrites {
			version++
		}
		return pagesOf(rows(), 500)(q)
	}
}

// noise returns bytes that do not deflate.
func noise(n int) []byte {
	source := rand.NewChaCha8([32]byte{})
	text := make([]byte, n)
	_, _ = source.Read(text)
	return text
}

// Guards against a turn that is joined from two of its writes, and against one that counts as unreadable because
// it was renewed while it was read.
func TestReadOfRewrittenTurn(t *testing.T) {
	turn, err := readerOf(rewrittenRows(t, 1)).Read("a", "t1")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(noise(5000), turn.Text); diff != "" {
		t.Errorf("text (-want +got):\n%s", diff)
	}
	if _, err := readerOf(rewrittenRows(t, 100)).Read("a", "t1"); historian.KindOf(err) != historian.KindCorrupt {
		t.Errorf("a turn that is rewritten before each read: %v", err)
	}
}

// Guards against rows of earlier versions, whose keys are not escaped, that can no longer be read, and against one
// of their segments that is taken for a turn.
func TestReadOfUnescapedKey(t *testing.T) {
	writes, err := historian.Encode(&historian.Turn{ID: "a", Partition: "t1", Text: noise(5000)}, 2000)
	if err != nil {
		t.Fatal(err)
	}
	rows := turnRows(writes)
	if _, err := readerOf(pagesOf(rows, 500)).Read("a/001", "t1"); historian.KindOf(err) != historian.KindNotFound {
		t.Errorf("the second row of a turn as a turn: %v", err)
	}
	for i := range rows {
		rows[i].Key = "b/001" + strings.TrimPrefix(rows[i].Key, "a")
	}
	turn, err := readerOf(pagesOf(rows, 500)).Read("b/001", "t1")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(noise(5000), turn.Text); diff != "" {
		t.Errorf("text (-want +got):\n%s", diff)
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
func TestRemovalAmongLongerIDs(t *testing.T) {
	var rows []provider.VersionedRow
	for i, id := range []string{"a", "a-1", "a/001"} {
		writes, err := historian.Encode(&historian.Turn{ID: id, Partition: "t1", Text: noise(5000), Expires: time.Unix(200, 0)}, 2000)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range turnRows(writes) {
			r.Version = int64(i)
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b provider.VersionedRow) int { return strings.Compare(a.Key, b.Key) })
	for _, id := range []string{"a", "a/001"} {
		first := &historian.Turn{ID: id, Partition: "t1", Expires: time.Unix(100, 0)}
		expiry := provider.VersionedRow{RowKey: historian.ExpiryKey(first), Value: []byte("3")}
		found, err := readerOf(pagesOf(rows, 500)).ReadExpired(&expiry)
		if err != nil {
			t.Fatal(err)
		}
		removal := historian.Removal(&expiry, found, time.Unix(101, 0))
		if diff := cmp.Diff([]provider.RowKey{expiry.RowKey}, removal.Deletes); diff != "" {
			t.Errorf("rows that are removed for the first expiry of %s differ (-want +got):\n%s", id, diff)
		}
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
		row := provider.VersionedRow{RowKey: provider.RowKey{Table: historian.Table, Partition: "t1", Key: "a"}, Value: value}
		_, _ = readerOf(pagesOf([]provider.VersionedRow{row}, 500)).Read("a", "t1")
	})
}
