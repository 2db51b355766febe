package historian_test

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/packer"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

func readerOf(read func(provider.RowRange) (provider.RowPage, error)) *historian.Reader {
	return &historian.Reader{Range: read, Admit: func(int, int) error { return nil }, RowBytes: 65536}
}

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
