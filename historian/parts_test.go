package historian_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// newTurnInParts returns a turn whose text does not deflate.
func newTurnInParts(t interface{ Fatal(...any) }, id string, size int) *historian.Turn {
	turn, err := historian.NewTurn(&historian.Draft{ID: id, Previous: "before", Workspace: "w", Parts: [][]byte{noise(size)}})
	if err != nil {
		t.Fatal(err)
	}
	turn.Partition, turn.EarlierBytes, turn.Expires = "t1", 12_345, time.Unix(1000, 0)
	if !turn.InParts() {
		t.Fatal("the turn fits into one transaction")
	}
	return turn
}

// transactions returns the rows of all transactions of a write, the one with the first row last.
func transactions(t interface{ Fatal(...any) }, turn *historian.Turn, rowBytes int, write string) [][]provider.RowWrite {
	parts := historian.NewParts(turn, rowBytes, write)
	var all [][]provider.RowWrite
	for i := range parts.Count() {
		writes, err := parts.Part(i)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, writes)
	}
	head, err := parts.Head()
	if err != nil {
		t.Fatal(err)
	}
	return append(all, head)
}

// Guards against turns that a runner has answered whole and that the store does not take: a turn of any size is read as it
// was written, from rows and transactions within the store's limits.
func TestTurnInParts(t *testing.T) {
	const (
		maxEntries  = 100
		maxKeyBytes = 200
		// maxCallBytes is the size of a call, in which values take a third more.
		maxCallBytes = 1 << 20
	)
	for _, id := range []string{"a", "a/b", strings.Repeat("n", 300)} {
		for _, size := range []int{740_100, 1_200_000, 2_400_001, 4 << 20, 4<<20 + 300_000} {
			for _, rowBytes := range []int{8_192, 65_536} {
				t.Run(fmt.Sprintf("%d bytes in rows of %d, ID of %d", size, rowBytes, len(id)), func(t *testing.T) {
					turn := newTurnInParts(t, id, size)
					var rows []provider.VersionedRow
					for version, writes := range transactions(t, turn, rowBytes, "0123456789abcdef") {
						callBytes := 0
						for _, w := range writes {
							callBytes += len(w.Value)*4/3 + len(w.Key)
							if len(w.Value) > rowBytes || len(w.Key) > maxKeyBytes {
								t.Fatalf("a row has %d bytes and a key of %d", len(w.Value), len(w.Key))
							}
							if w.Table == historian.Table {
								rows = append(rows, provider.VersionedRow{RowKey: w.RowKey, Value: w.Value, Version: int64(version + 1)})
							}
						}
						if len(writes) > maxEntries || callBytes > maxCallBytes {
							t.Fatalf("a transaction has %d entries and takes %d bytes", len(writes), callBytes)
						}
					}
					slices.SortFunc(rows, func(a, b provider.VersionedRow) int { return strings.Compare(a.Key, b.Key) })
					got, err := readerOf(pagesOf(rows, 7)).Read(turn.ID, "t1")
					if err != nil {
						t.Fatal(err)
					}
					if !bytes.Equal(turn.Packed, got.Packed) {
						t.Error("the text differs")
					}
					want := *turn
					want.Packed, got.Packed = nil, nil
					if diff := cmp.Diff(&want, got); diff != "" {
						t.Errorf("the turn differs (-want +got):\n%s", diff)
					}
				})
			}
		}
	}
}

// Guards against a turn that is read although a row of it is missing, or with rows of two writes.
func TestTurnInPartsWithoutRow(t *testing.T) {
	turn := newTurnInParts(t, "a", 1_500_000)
	var rows, other []provider.VersionedRow
	add := func(to *[]provider.VersionedRow, writes []provider.RowWrite) {
		for _, w := range writes {
			if w.Table == historian.Table {
				*to = append(*to, provider.VersionedRow{RowKey: w.RowKey, Value: w.Value, Version: 1})
			}
		}
	}
	for _, writes := range transactions(t, turn, 65_536, "0123456789abcdef") {
		add(&rows, writes)
	}
	renewed := *turn
	renewed.Expires = turn.Expires.Add(time.Hour)
	all := transactions(t, &renewed, 65_536, "fedcba9876543210")
	for _, writes := range all[:len(all)-1] {
		add(&other, writes)
	}
	sorted := func(rows []provider.VersionedRow) []provider.VersionedRow {
		return slices.SortedFunc(slices.Values(rows), func(a, b provider.VersionedRow) int { return strings.Compare(a.Key, b.Key) })
	}
	for i := range rows {
		without := slices.Delete(slices.Clone(rows), i, i+1)
		if _, err := readerOf(pagesOf(sorted(append(without, other...)), 500)).Read("a", "t1"); err == nil {
			t.Errorf("the turn is read without %s", rows[i].Key)
		}
	}
	got, err := readerOf(pagesOf(sorted(append(slices.Clone(rows), other...)), 500)).Read("a", "t1")
	if err != nil || !bytes.Equal(got.Packed, turn.Packed) {
		t.Errorf("with the parts of a write that was not completed: %v", err)
	}
}

// Guards against rows that stay in the store for good: clean-up finds those of a turn, and of a write that was not
// completed, by their expiry rows.
func TestRemovalOfParts(t *testing.T) {
	turn := newTurnInParts(t, "a", 1_500_000)
	all := transactions(t, turn, 65_536, "0123456789abcdef")
	for _, written := range []int{1, len(all) - 1, len(all)} {
		t.Run(fmt.Sprint(written, " of ", len(all), " transactions"), func(t *testing.T) {
			stored := map[provider.RowKey]provider.VersionedRow{}
			for _, writes := range all[:written] {
				for _, w := range writes {
					stored[w.RowKey] = provider.VersionedRow{RowKey: w.RowKey, Value: w.Value, Version: 1}
				}
			}
			for key, row := range stored {
				if key.Table != historian.ExpiryTable {
					continue
				}
				var rows []provider.VersionedRow
				for k, r := range stored {
					if k.Table == historian.Table {
						rows = append(rows, r)
					}
				}
				slices.SortFunc(rows, func(a, b provider.VersionedRow) int { return strings.Compare(a.Key, b.Key) })
				expired, err := readerOf(pagesOf(rows, 500)).ReadExpired(&row)
				if err != nil {
					t.Fatal(err)
				}
				for _, k := range historian.Removal(&row, expired, turn.Expires.Add(time.Second)).Deletes {
					delete(stored, k)
				}
			}
			if len(stored) > 0 {
				t.Errorf("%d rows are left", len(stored))
			}
		})
	}
}
