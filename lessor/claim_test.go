package lessor_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/lessor"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Guards against a shard that nobody claims because its unchanged row is read again
// before each answer about its owner's lease: with a store that is slow or lags, the
// proof that the owner has restarted was out of date each time.
func TestUnchangedRowKeepsTheProof(t *testing.T) {
	domain := lessor.Domain{Name: "d", Region: "r"}
	self := lessor.Host{Name: "a", FailureDomain: "d", Region: "r"}
	other := lessor.Host{Name: "b", FailureDomain: "d", Region: "r"}
	state := lessor.New(lessor.Options{
		Self: self, Domains: []lessor.Domain{domain}, ShardsPerDomain: 1, Lease: 6 * time.Second,
		CheckEvery: time.Second, ReadsPerSec: 1e6, Seed: 1,
	})
	row := func(table, key string, value any) provider.Row {
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return provider.Row{Table: table, Key: key, Version: 3, Value: data}
	}
	name := lessor.ShardName("d", 0)
	shardRow := row(committer.TableShards, name, encoder.ShardRow{Shard: name, Owner: "b", Incarnation: "old", Epoch: 1})
	leaseRow := row(committer.TableLeases, "b", encoder.LeaseRow{Host: "b", Incarnation: "new", State: committer.RowActive})

	now := time.Unix(1_700_000_000, 0)
	leaseAsked, claimed := false, false
	var send func(lessor.Message)
	send = func(message lessor.Message) {
		for _, command := range state.Update(now, message) {
			switch c := command.(type) {
			case lessor.ScanLeases:
				leaseAsked = true
			case lessor.ScanShards:
				// The answer about the lease arrives while the row is being read again.
				if leaseAsked {
					leaseAsked = false
					send(lessor.LeaseRowsRead{Rows: []provider.Row{leaseRow}})
				}
				now = now.Add(10 * time.Millisecond)
				send(lessor.ShardRowsRead{Rows: []provider.Row{shardRow}})
			case lessor.ClaimShards:
				claimed = len(c.Claims) > 0
			}
		}
	}
	send(lessor.HostsChanged{Live: []lessor.Host{self, other}})
	for range 600 {
		now = now.Add(50 * time.Millisecond)
		send(lessor.LeaseRenewed{SentAt: now, Incarnation: "x"})
		send(lessor.Tick{})
	}
	if !claimed {
		t.Error("the shard of a restarted owner was not claimed within 30 s")
	}
}
