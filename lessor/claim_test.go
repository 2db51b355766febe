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
// before each result about its owner's lease arrives. With a slow store, each read
// then invalidated the proof that the owner has restarted.
func TestUnchangedShardRowKeepsReceiptTime(t *testing.T) {
	domain := lessor.Domain{Name: "d", Region: "r"}
	self := lessor.Host{Name: "a", FailureDomain: "d", Region: "r"}
	other := lessor.Host{Name: "b", FailureDomain: "d", Region: "r"}
	state := lessor.New(lessor.Options{
		Self: self, Domains: []lessor.Domain{domain}, ShardsPerDomain: 1, Lease: 6 * time.Second,
		CheckInterval: time.Second, ReadsPerSec: 1e6, Seed: 1,
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
	leaseRow := row(committer.TableLeases, "b", encoder.LeaseRow{Host: "b", Incarnation: "new", State: committer.LeaseRowActive})

	now := time.Unix(1_700_000_000, 0)
	leaseRequested, claimed := false, false
	var send func(lessor.Message)
	send = func(message lessor.Message) {
		for _, command := range state.Update(now, message) {
			switch c := command.(type) {
			case lessor.ReadLeaseRows:
				leaseRequested = true
			case lessor.ReadShardRows:
				// The result for the lease row arrives while the shard row is being
				// read again.
				if leaseRequested {
					leaseRequested = false
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

// Guards against a restart that is noticed only by the infrequent reads of live hosts'
// leases. The restarted host does not look for shards for which it does not rank, so
// they had no owner for about ten seconds.
func TestRestartedOwnerLeaseIsReadAtOnce(t *testing.T) {
	// This daemon watches the leases of some of the owners anyway, but not of most.
	for _, owner := range []string{"b", "c", "d", "e", "f", "g"} {
		t.Run(owner, func(t *testing.T) { checkRestart(t, owner) })
	}
}

func checkRestart(t *testing.T, owner string) {
	live := []lessor.Host{{Name: "a", FailureDomain: "d", Region: "r"}}
	index := 0
	for i, name := range []string{"b", "c", "d", "e", "f", "g"} {
		live = append(live, lessor.Host{Name: name, FailureDomain: "e", Region: "r", Incarnation: "old"})
		if name == owner {
			index = i + 1
		}
	}
	state := lessor.New(lessor.Options{
		Self: live[0], Domains: []lessor.Domain{{Name: "d", Region: "r"}}, ShardsPerDomain: 1, Lease: 6 * time.Second,
		CheckInterval: time.Minute, ReadsPerSec: 1e6, WatchersPerLease: 1, Seed: 1,
	})
	shardName := lessor.ShardName("d", 0)
	shard, _ := json.Marshal(encoder.ShardRow{Shard: shardName, Owner: owner, Incarnation: "old", Epoch: 1})
	now := time.Unix(1_700_000_000, 0)
	var readAt time.Time
	var send func(lessor.Message)
	send = func(message lessor.Message) {
		for _, command := range state.Update(now, message) {
			switch c := command.(type) {
			case lessor.ReadLeaseRows:
				var rows []provider.Row
				for _, host := range c.Hosts {
					lease, _ := json.Marshal(encoder.LeaseRow{Host: host, Incarnation: "old", State: committer.LeaseRowActive})
					rows = append(rows, provider.Row{Table: committer.TableLeases, Key: host, Version: 3, Value: lease})
					if host == owner {
						readAt = now
					}
				}
				send(lessor.LeaseRowsRead{Rows: rows})
			case lessor.ReadShardRows:
				send(lessor.ShardRowsRead{Rows: []provider.Row{{Table: committer.TableShards, Key: shardName, Version: 3, Value: shard}}})
			}
		}
	}
	run := func(wait time.Duration) {
		for end := now.Add(wait); now.Before(end); now = now.Add(100 * time.Millisecond) {
			send(lessor.LeaseRenewed{SentAt: now, Incarnation: "x"})
			send(lessor.Tick{})
		}
	}
	send(lessor.HostsChanged{Live: live})
	run(5 * time.Second)
	restarted := now
	changed := append([]lessor.Host(nil), live...)
	changed[index].Incarnation = "new"
	send(lessor.HostsChanged{Live: changed})
	run(time.Second)
	if readAt.Before(restarted) {
		t.Errorf("the lease of a restarted owner was last read %v before its restart", restarted.Sub(readAt))
	}
}

// Guards against a restarted host that does not look for a shard of another failure
// domain that its earlier incarnation had claimed. The ranked hosts claimed such a
// shard only when they noticed the restart, ten seconds later during a store failure.
func TestRestartedHostFindsShardsOfOtherDomains(t *testing.T) {
	self := lessor.Host{Name: "a", FailureDomain: "e", Region: "r"}
	live := []lessor.Host{self,
		{Name: "b", FailureDomain: "d", Region: "r"},
		{Name: "c", FailureDomain: "d", Region: "r"}}
	shardName := lessor.ShardName("d", 0)
	tests := []struct {
		name  string
		owner string
		past  []encoder.LogRange
		want  bool
	}{
		{"own shard", "a", []encoder.LogRange{{Host: "a", Incarnation: "old", Through: 7}}, true},
		{"another host's shard", "b", []encoder.LogRange{{Host: "a", Incarnation: "old", Through: 7}}, false},
		{"first incarnation", "b", nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := lessor.New(lessor.Options{
				Self: self, Domains: []lessor.Domain{{Name: "d", Region: "r"}, {Name: "e", Region: "r"}}, ShardsPerDomain: 1,
				Lease: 6 * time.Second, CheckInterval: time.Minute, ReadsPerSec: 1e6, WatchersPerLease: 1, Seed: 1,
			})
			now := time.Unix(1_700_000_000, 0)
			reads, failures, claimed := 0, 3, false
			var send func(lessor.Message)
			send = func(message lessor.Message) {
				for _, command := range state.Update(now, message) {
					switch c := command.(type) {
					case lessor.ReadShardRows:
						read := lessor.ShardRowsRead{}
						for _, name := range c.Shards {
							if name != shardName {
								read.Rows = append(read.Rows, provider.Row{Table: committer.TableShards, Key: name})
								continue
							}
							reads++
							// The first reads fail.
							if reads <= failures {
								read.Failed = append(read.Failed, name)
								continue
							}
							row, _ := json.Marshal(encoder.ShardRow{Shard: name, Owner: test.owner, Incarnation: "old", Epoch: 1})
							read.Rows = append(read.Rows, provider.Row{Table: committer.TableShards, Key: name, Version: 3, Value: row})
						}
						send(read)
					case lessor.ClaimShards:
						for _, claim := range c.Claims {
							claimed = claimed || claim.Row.Shard == shardName
						}
						send(lessor.ClaimFinished{})
					}
				}
			}
			send(lessor.HostsChanged{Live: live})
			for end := now.Add(8 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
				send(lessor.LeaseRenewed{SentAt: now, Incarnation: "new", Past: test.past})
				send(lessor.Tick{})
			}
			if claimed != test.want {
				t.Errorf("claimed = %v after %d reads, want %v", claimed, reads, test.want)
			}
			if want := failures + 1; test.past != nil && reads != want {
				t.Errorf("the shard was read %d times, want %d", reads, want)
			}
			if test.past == nil && reads != 0 {
				t.Errorf("the shard was read %d times by a host that never owned one", reads)
			}
		})
	}
}

// Guards against a daemon that reports another host as the owner of a shard that it
// has claimed and is still loading.
func TestOwnerWhileLoading(t *testing.T) {
	self := lessor.Host{Name: "a", FailureDomain: "e", Region: "r"}
	preferred := lessor.Host{Name: "b", FailureDomain: "d", Region: "r"}
	state := lessor.New(lessor.Options{
		Self: self, Domains: []lessor.Domain{{Name: "d", Region: "r"}}, ShardsPerDomain: 1, Lease: 6 * time.Second,
		CheckInterval: time.Minute, ReadsPerSec: 1e6, Seed: 1,
	})
	name := lessor.ShardName("d", 0)
	now := time.Unix(1_700_000_000, 0)
	loading := false
	var send func(lessor.Message)
	send = func(message lessor.Message) {
		for _, command := range state.Update(now, message) {
			switch command.(type) {
			case lessor.ReadShardRows:
				row, _ := json.Marshal(encoder.ShardRow{Shard: name, Owner: "a", Incarnation: "old", Epoch: 1})
				send(lessor.ShardRowsRead{Rows: []provider.Row{{Table: committer.TableShards, Key: name, Version: 3, Value: row}}})
			case lessor.ClaimShards:
				send(lessor.ClaimFinished{Shards: []string{name}, Kind: provider.KindNone})
			case lessor.LoadShard:
				loading = true
			}
		}
	}
	send(lessor.HostsChanged{Live: []lessor.Host{self, preferred}})
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		send(lessor.LeaseRenewed{SentAt: now, Incarnation: "new", Past: []encoder.LogRange{{Host: "a", Incarnation: "old"}}})
		send(lessor.Tick{})
	}
	host, epoch, known := state.Owner(name)
	if !loading || host != "a" || epoch != 2 || !known {
		t.Errorf("loading = %v, owner %s at epoch %d, known = %v; want a at epoch 2", loading, host, epoch, known)
	}
}
