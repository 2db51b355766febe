package connector

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Guards against reporting a lost response as "no effect" and against reporting a refused
// connection as an unknown outcome.
func TestStoreOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*emulator.Faults, *httptest.Server)
		want    provider.Kind
		written bool
	}{
		{"success", func(*emulator.Faults, *httptest.Server) {}, provider.KindNone, true},
		{"outage", func(f *emulator.Faults, _ *httptest.Server) { f.SetOutage(true) }, provider.KindUnavailable, false},
		{"response lost", func(f *emulator.Faults, _ *httptest.Server) { f.SetResponseLoss(1) }, provider.KindUnknown, true},
		{"request lost", func(f *emulator.Faults, _ *httptest.Server) { f.SetRequestLoss(1) }, provider.KindUnknown, false},
		{"stalled", func(f *emulator.Faults, _ *httptest.Server) { f.SetStallOnLoss(true); f.SetResponseLoss(1) }, provider.KindUnknown, true},
		{"response late", func(f *emulator.Faults, _ *httptest.Server) { f.SetLateResponses(1, time.Second) }, provider.KindUnknown, true},
		{"isolated", func(f *emulator.Faults, _ *httptest.Server) { f.SetIsolated("a", true) }, provider.KindUnknown, false},
		{"no server", func(_ *emulator.Faults, s *httptest.Server) { s.Close() }, provider.KindUnavailable, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			faults := emulator.NewFaults(1)
			store := emulator.NewTableStore(emulator.TableStoreOptions{}, faults)
			server := httptest.NewServer(emulator.NewStoreServer(store, emulator.NewObjectStore(faults)))
			defer server.Close()
			tables := NewTableStore(StoreOptions{URL: server.URL, Caller: "a", Timeout: 100 * time.Millisecond})
			defer tables.Close()
			if _, err := tables.Read(t.Context(), "t", "k"); err != nil {
				t.Fatal(err)
			}
			test.prepare(faults, server)
			// A pooled connection that the server closes while the client reuses it ends in
			// EOF with an unknown outcome, so each case must use a new connection.
			tables.Close()
			_, err := tables.Commit(t.Context(), provider.Transaction{
				Conditions: []provider.Condition{{Table: "t", Key: "k"}},
				Writes:     []provider.Write{{Table: "t", Key: "k", Value: []byte(`1`)}},
			})
			if diff := cmp.Diff(test.want, provider.KindOf(err)); diff != "" {
				t.Errorf("kind (-want +got):\n%s%v", diff, err)
			}
			if got := store.Get("t", "k").Version == 1; got != test.written {
				t.Errorf("written %v, want %v", got, test.written)
			}
		})
	}
}

// Guards against a read that fails because its pooled connection is stalled, and against
// object names or values that change in transit.
func TestReadsRetryAfterLostResponse(t *testing.T) {
	faults := emulator.NewFaults(3)
	objects := emulator.NewObjectStore(faults)
	server := httptest.NewServer(emulator.NewStoreServer(emulator.NewTableStore(emulator.TableStoreOptions{}, faults), objects))
	defer server.Close()
	client := NewObjectStore(StoreOptions{URL: server.URL, Caller: "a", Timeout: 50 * time.Millisecond})
	defer client.Close()
	name := "snapshots/nl-ams/1/ä b%2F"
	if err := client.Put(t.Context(), name, []byte{0, 1, 255}); err != nil {
		t.Fatal(err)
	}
	faults.SetStallOnLoss(true)
	faults.SetResponseLoss(0.3)
	failures := 0
	for range 20 {
		if _, err := client.Get(t.Context(), name); err != nil {
			failures++
		}
	}
	if failures > 5 {
		t.Errorf("%d of 20 reads failed; with one retry about 2 are expected", failures)
	}
	faults.Clear()
	names, err := client.List(t.Context(), "snapshots/")
	if diff := cmp.Diff([]string{name}, names); diff != "" || err != nil {
		t.Errorf("names (-want +got):\n%s%v", diff, err)
	}
	if _, err := client.Get(t.Context(), "none"); provider.KindOf(err) != provider.KindNotFound {
		t.Errorf("missing object: %v", err)
	}
}
