package registrar_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/registrar"
)

// Guards against daemons that are missing from the list, so that their tokens count as lost and they get no feeds, since only its
// first page is read. Entries of hosts that ended without removing theirs stay in the table.
func TestListOfSeveralPages(t *testing.T) {
	rows := emulator.NewRowStore()
	const daemons, ended = 350, 900
	for i := range daemons + ended {
		expires := time.Now().Add(time.Hour)
		if i < ended {
			expires = time.Now().Add(-time.Hour)
		}
		value, err := json.Marshal(encoder.PeerEntry{Address: fmt.Sprintf("127.0.0.1:%d", i), Domain: "ams", Region: "nl", ExpiresAt: int(expires.Unix())})
		if err != nil {
			t.Fatal(err)
		}
		key := provider.RowKey{Table: registrar.Table, Key: fmt.Sprintf("host-%04d", i)}
		if _, err := rows.Apply(t.Context(), provider.RowTransaction{Writes: []provider.RowWrite{{RowKey: key, Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	r := registrar.New(rows, registrar.Entry{Host: "own", Address: "127.0.0.1:9999", Domain: "ams", Region: "nl"}, zap.NewNop())
	if err := r.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(daemons, len(r.Peers())); diff != "" {
		t.Errorf("listed daemons (-want +got):\n%s", diff)
	}
}
