package recorder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/recorder"
)

// Guards against daemons that probe each of the store's partitions several times a second while the whole
// store is away: with 78 daemons that was a third of all calls of a day.
func TestFewProbesDuringOutage(t *testing.T) {
	rows := emulator.NewRowStore()
	store := &countingStore{RowStore: rows}
	r := start(t, store, "host", noPeers{})
	reserve := func(i int, wait time.Duration) accountant.Verdict {
		return r.Reserve(timeout(t, wait), recorder.Request{Program: fmt.Sprint("p", i), Budget: 1000, Tokens: 500}).Verdict
	}
	for i := range 200 {
		if got := reserve(i, time.Second); got != accountant.Admitted {
			t.Fatalf("program %d before the outage: %v", i, got)
		}
	}
	rows.SetPartitionDown(func(string) bool { return true })
	for i := 200; r.Up(); i++ {
		reserve(i, 100*time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	before := store.calls.Load()
	time.Sleep(2 * time.Second)
	// One probe each 200 ms, and one for the ends of the period.
	if calls := store.calls.Load() - before; calls > 11 {
		t.Errorf("%d calls to the store in 2 s of its outage", calls)
	}
	rows.SetPartitionDown(nil)
	for i := 1000; !r.Up() || reserve(i, time.Second) != accountant.Admitted; i++ {
		if i == 1500 {
			t.Fatal("no program is admitted after the outage")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
