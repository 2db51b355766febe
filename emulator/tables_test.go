package emulator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

func setRow(key string, version int64) provider.Transaction {
	return provider.Transaction{
		Conditions: []provider.Condition{{Table: "t", Key: key, Version: version}},
		Writes:     []provider.Write{{Table: "t", Key: key, Value: []byte(`{}`)}},
	}
}

// Guards against a stand-in that is more lenient than provider.TableStore: a failed
// condition must leave all rows unchanged, and versions must not restart after a delete.
func TestTablesContract(t *testing.T) {
	tables := NewTableStore(TableStoreOptions{}, NewFaults(1))
	both := setRow("b", 7)
	both.Writes = append(both.Writes, provider.Write{Table: "t", Key: "a"})
	if _, err := tables.Apply(both); provider.KindOf(err) != provider.KindConflict {
		t.Fatalf("got %v", err)
	}
	if rows := tables.Rows("t", "", "", 0); len(rows) != 0 {
		t.Fatalf("a transaction with a failed condition wrote %v", rows)
	}
	for version := range int64(2) {
		if _, err := tables.Apply(setRow("a", version)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := tables.Apply(provider.Transaction{Writes: []provider.Write{{Table: "t", Key: "a", Delete: true}}}); err != nil {
		t.Fatal(err)
	}
	result, err := tables.Apply(setRow("a", provider.VersionAbsent))
	if diff := cmp.Diff([]int64{4}, result.Versions); diff != "" || err != nil {
		t.Errorf("versions (-want +got):\n%s%v", diff, err)
	}
}

// Guards against a late request that is dropped when its caller stops waiting. It must
// still take effect, since fencing must hold against late requests. Also checks the
// rate limit.
func TestLateRequestTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := NewTableStore(TableStoreOptions{WritesPerSec: 10}, NewFaults(1))
		tables.Faults().SetLateRequests(1, time.Minute)
		start := time.Now()
		done := make(chan error)
		go func() {
			_, err := tables.ForCaller("a").Commit(t.Context(), setRow("a", 0))
			done <- err
		}()
		if err := <-done; err != nil || time.Since(start) != time.Minute {
			t.Errorf("commit after %v: %v", time.Since(start), err)
		}
		tables.Faults().Clear()
		throttled := 0
		for range 30 {
			go func() {
				_, err := tables.ForCaller("a").Commit(t.Context(), setRow("b", 9))
				done <- err
			}()
		}
		for range 30 {
			if provider.KindOf(<-done) == provider.KindUnavailable {
				throttled++
			}
		}
		if throttled != 19 {
			t.Errorf("%d of 30 commits throttled at 10/s with a wait of 1 s, want 19", throttled)
		}
	})
}
