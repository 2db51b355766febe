package controller

import (
	"context"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Guards against a takeover or a handover that waits for ever for a store whose
// connection has gone silent.
func TestBoundedRequestsEnd(t *testing.T) {
	faults := emulator.NewFaults(1)
	faults.SetStallOnLoss(true)
	faults.SetIsolated("h", true)
	tables := boundedTables{emulator.NewTableStore(emulator.TableStoreOptions{}, faults).ForCaller("h")}
	var objects provider.ObjectStore = boundedObjects{emulator.NewObjectStore(faults).ForCaller("h")}
	tests := []struct {
		name    string
		request func(ctx context.Context) error
	}{
		{"read", func(ctx context.Context) error { _, err := tables.Read(ctx, "log", "k"); return err }},
		{"scan", func(ctx context.Context) error { _, err := tables.Scan(ctx, "log", "", "", 10); return err }},
		{"put", func(ctx context.Context) error { return objects.Put(ctx, "o", nil) }},
		{"get", func(ctx context.Context) error { _, err := objects.Get(ctx, "o"); return err }},
		{"list", func(ctx context.Context) error { _, err := objects.List(ctx, ""); return err }},
		{"delete", func(ctx context.Context) error { return objects.Delete(ctx, "o") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			done := make(chan error, 1)
			go func() { done <- test.request(t.Context()) }()
			select {
			case err := <-done:
				if err == nil {
					t.Error("a request without an answer succeeded")
				}
			case <-time.After(2 * readTimeout):
				t.Error("a request without an answer does not end")
			}
		})
	}
}
