package controller

import (
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/emulator"
)

// Guards against a takeover that waits for ever for a store whose connection has
// gone silent.
func TestBoundedReadsEnd(t *testing.T) {
	faults := emulator.NewFaults(1)
	faults.SetSilent(true)
	faults.SetCut("h", true)
	tables := boundedTables{emulator.NewTables(emulator.TablesOptions{}, faults).For("h")}
	done := make(chan error, 1)
	go func() {
		_, err := tables.Scan(t.Context(), "log", "", "", 10)
		done <- err
	}()
	select {
	case err := <-done:
		if err == nil {
			t.Error("a scan without an answer succeeded")
		}
	case <-time.After(2 * readTimeout):
		t.Error("a scan without an answer does not end")
	}
}
