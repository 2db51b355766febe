package lessor_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/lessor"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/recoverer"
)

func (d *daemon) toLessor(message lessor.Message) {
	for _, command := range d.lessor.Update(d.now(), message) {
		switch c := command.(type) {
		case lessor.ReadLeaseRows:
			read(d, committer.TableLeases, c.Hosts, func(rows []provider.Row, failed []string) {
				d.toLessor(lessor.LeaseRowsRead{Rows: rows, Failed: failed})
			})
		case lessor.ReadShardRows:
			read(d, committer.TableShards, c.Shards, func(rows []provider.Row, failed []string) {
				d.toLessor(lessor.ShardRowsRead{Rows: rows, Failed: failed})
			})
		case lessor.FenceHost:
			value, _ := json.Marshal(c.Row)
			d.commit(provider.Transaction{
				Conditions: []provider.Condition{{Table: committer.TableLeases, Key: c.Host, Version: c.Version}},
				Writes:     []provider.Write{{Table: committer.TableLeases, Key: c.Host, Value: value}},
			}, func(_ provider.CommitResult, kind provider.Kind) {
				d.toLessor(lessor.FenceFinished{Host: c.Host, Kind: kind})
			})
		case lessor.ClaimShards:
			d.claim(c)
		case lessor.LoadShard:
			d.deliverAfter(10*time.Millisecond, func() { d.load(c) })
		case lessor.DrainShard:
			d.draining[c.Shard] = true
		case lessor.ResumeShard:
			delete(d.draining, c.Shard)
			if kept, ok := d.inHandover[c.Shard]; ok {
				d.shards[c.Shard] = kept
			}
		case lessor.HandOverShard:
			d.handOver(c)
		case lessor.DropShard:
			delete(d.shards, c.Shard)
			delete(d.inHandover, c.Shard)
			delete(d.draining, c.Shard)
		}
	}
}

func read(d *daemon, table string, keys []string, done func([]provider.Row, []string)) {
	var rows []provider.Row
	d.request(func() {
		for _, key := range keys {
			rows = append(rows, d.simulation.tables.Get(table, key))
		}
	}, func(kind provider.Kind) {
		if kind != provider.KindNone {
			done(nil, keys)
			return
		}
		done(rows, nil)
	})
}

func (d *daemon) claim(c lessor.ClaimShards) {
	var request committer.AppendRequested
	var names []string
	for _, claim := range c.Claims {
		names = append(names, claim.Row.Shard)
		request.Shards = append(request.Shards, committer.ShardWrite{Row: claim.Row, Version: claim.Version, AppendLogRange: true})
	}
	d.append(request, func(kind provider.Kind, _ int) {
		if kind != provider.KindFenced {
			d.toLessor(lessor.ClaimFinished{Shards: names, Kind: kind})
		}
	})
}

// load restores a shard and checks that it has all acknowledged records, each once and
// after its predecessor at the time of the write. A paused daemon may learn late that
// a record is durable, so the order of acknowledgements is not compared.
func (d *daemon) load(c lessor.LoadShard) {
	if d.simulation.mutation == noReplay && len(c.Row.Logs) > 0 {
		c.Row.Logs = c.Row.Logs[:len(c.Row.Logs)-1]
	}
	loaded, err := d.loader().Load(context.Background(), c.Row)
	if err != nil {
		d.simulation.reportViolation("%s failed to load %s: %v", d.name, c.Shard, err)
		return
	}
	var records []string
	_ = json.Unmarshal(loaded.Snapshot, &records)
	for _, record := range loaded.Records {
		previous := ""
		if len(records) > 0 {
			previous = records[len(records)-1]
		}
		name, expected, _ := strings.Cut(strings.TrimRight(record.Body, " "), "<")
		if expected != previous || slices.Contains(records, name) {
			d.simulation.reportViolation("%s: record %s follows %q instead of %q", c.Shard, name, previous, expected)
		}
		records = append(records, name)
	}
	for _, name := range d.simulation.acknowledged[c.Shard] {
		if !slices.Contains(records, name) {
			d.simulation.reportViolation("%s: acknowledged record %s is lost at %s", c.Shard, name, d.incarnationName())
			return
		}
	}
	d.simulation.loads++
	d.shards[c.Shard] = records
	d.toLessor(lessor.ShardLoaded{Shard: c.Shard, OK: true})
}

func (d *daemon) handOver(c lessor.HandOverShard) {
	snapshot, _ := json.Marshal(d.shards[c.Shard])
	d.inHandover[c.Shard] = d.shards[c.Shard]
	delete(d.shards, c.Shard)
	delete(d.draining, c.Shard)
	if d.simulation.random.IntN(4) == 0 {
		d.deliverAfter(time.Second, func() {
			d.toLessor(lessor.HandoverFinished{Shard: c.Shard, Kind: provider.KindUnavailable})
		})
		return
	}
	row := c.Row
	row.Snapshot = recoverer.SnapshotName(c.Shard, d.incarnationName(), row.Epoch, d.committer.Sequence())
	if err := d.loader().PutSnapshot(context.Background(), row.Snapshot, snapshot); err != nil {
		d.simulation.reportViolation("storing a snapshot: %v", err)
	}
	request := committer.AppendRequested{Shards: []committer.ShardWrite{{Row: row, Version: committer.AnyVersion}}}
	d.append(request, func(kind provider.Kind, _ int) {
		if kind != provider.KindFenced {
			delete(d.inHandover, c.Shard)
			d.toLessor(lessor.HandoverFinished{Shard: c.Shard, Kind: kind})
		}
	})
}

// actAsOwner acts as the owner of each shard that the daemon's lessor reports as
// owned, and checks that no other daemon can act as its owner at the same time.
func (d *daemon) actAsOwner() {
	for _, shard := range d.lessor.Owned() {
		if !d.mayAct() {
			return
		}
		for _, other := range d.simulation.daemons {
			if other != d && !other.down && d.simulation.now >= other.pausedUntil && other.mayAct() &&
				slices.Contains(other.lessor.Owned(), shard) {
				d.simulation.reportViolation("%s and %s both act as owner of %s", d.incarnationName(), other.incarnationName(), shard)
			}
		}
		records := d.shards[shard]
		switch {
		case d.draining[shard] && !slices.ContainsFunc(records, d.unacknowledged):
			d.toLessor(lessor.ShardIdle{Shard: shard})
		case !d.draining[shard] && d.simulation.random.IntN(3) == 0:
			d.write(shard, records)
		}
	}
}

func (d *daemon) mayAct() bool {
	return d.simulation.mutation == noExpiry || d.lessor.LeaseValid(d.now())
}

// unacknowledged reports whether the daemon's current incarnation wrote the record and
// has not been told that it is durable.
func (d *daemon) unacknowledged(record string) bool {
	return strings.HasPrefix(record, d.incarnationName()+":") && !slices.Contains(d.simulation.acknowledged[d.shardOf(record)], record)
}

func (d *daemon) shardOf(record string) string { return record[strings.IndexByte(record, '@')+1:] }

func (d *daemon) write(shard string, records []string) {
	name := fmt.Sprintf("%s:%d@%s", d.incarnationName(), d.ticket, shard)
	body := name + "<"
	if len(records) > 0 {
		body += records[len(records)-1]
	}
	if d.simulation.random.IntN(3) > 0 {
		body += strings.Repeat(" ", 20)
	}
	d.shards[shard] = append(records, name)
	request := committer.AppendRequested{Records: []encoder.Record{{Shard: shard, Program: "p", Body: body}}}
	d.append(request, func(kind provider.Kind, _ int) {
		if kind == provider.KindNone {
			d.simulation.acknowledged[shard] = append(d.simulation.acknowledged[shard], name)
		}
	})
}

// fault is one injected fault.
type fault struct {
	kind, host     int
	wait, duration time.Duration
}

// inject waits and then starts a fault: a paused process, a crash, a network
// partition, an outage of the store, a flapping host, or lost and late requests.
func (s *simulation) inject(f fault) {
	s.run(s.now + f.wait)
	d := s.daemons[f.host%len(s.daemons)]
	switch f.kind {
	case 0:
		d.pausedAt, d.pausedUntil = s.now, s.now+f.duration
	case 1:
		d.down, d.downAt = true, s.now
		s.after(f.duration, d.start)
	case 2:
		d.isolated = true
		s.after(f.duration, func() { d.isolated = false })
	case 3:
		s.outage = true
		s.after(f.duration, func() { s.outage = false })
	case 4:
		d.flapping = true
		s.after(f.duration, func() { d.flapping = false })
	case 5:
		s.lossRate, s.delayRate = 0.2, 0.1
		s.after(f.duration, func() { s.lossRate, s.delayRate = 0, 0 })
	}
}

// checkRecovery checks that every shard is owned again two minutes after the last
// fault.
func (s *simulation) checkRecovery() {
	s.run(s.now + 2*time.Minute)
	owned := map[string]bool{}
	for _, d := range s.daemons {
		for _, shard := range d.lessor.Owned() {
			owned[shard] = true
		}
	}
	if len(owned) != 6 && len(s.violations) == 0 {
		s.reportViolation("only %d of 6 shards are owned two minutes after the last fault", len(owned))
	}
}

// Guards against two owners that can both commit or act, against acknowledged records
// that a takeover loses, reorders or repeats, and against shards that stay without an
// owner. Pauses at any instant, crashes, network partitions, outages, flapping views
// of live hosts, lost responses and late requests occur in any combination.
func TestOwnership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), 4, noMutation)
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 0, 8).Draw(t, "faults")
		s.run(8 * time.Second)
		for _, f := range faults {
			s.inject(f)
		}
		s.checkRecovery()
		if len(s.violations) > 0 {
			t.Fatalf("%s", strings.Join(s.violations, "\n"))
		}
	})
}

func drawFault(t *rapid.T) fault {
	return fault{
		kind:     rapid.IntRange(0, 5).Draw(t, "kind"),
		host:     rapid.IntRange(0, 3).Draw(t, "host"),
		wait:     time.Duration(rapid.Int64Range(0, int64(9*time.Second)).Draw(t, "wait")),
		duration: time.Duration(rapid.Int64Range(int64(50*time.Millisecond), int64(25*time.Second)).Draw(t, "last")),
	}
}

// Guards against checks that cannot fail: each mechanism is disabled in turn, and the
// same faults must lead to a violation.
func TestOwnershipChecksDetectMutations(t *testing.T) {
	tests := []struct {
		name     string
		mutation mutation
		want     string
	}{
		{"no condition on versions", noCondition, "is lost"},
		{"no read-back", noReadBack, "is lost"},
		{"no wait for the lease", noLeaseWait, "both act"},
		{"no replay", noReplay, "is lost"},
		{"no expiry", noExpiry, "both act"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(60) {
				s := newSimulation(seed, 4, test.mutation)
				s.run(8 * time.Second)
				for i := range 8 {
					s.inject(fault{
						kind: (i*5 + int(seed)) % 6, host: i, wait: time.Duration(seed%7) * time.Second,
						duration: time.Duration(1+s.random.IntN(25)) * time.Second,
					})
				}
				s.checkRecovery()
				if len(s.violations) > 0 && strings.Contains(s.violations[0], test.want) {
					t.Logf("seed %d: %s", seed, s.violations[0])
					return
				}
			}
			t.Errorf("no violation %q in 60 runs", test.want)
		})
	}
}

// Guards against a simulation whose daemons notice a long pause only shortly before its end: they
// then take over later than real daemons do.
func TestPauseIsNoticedAfterDetectionDelay(t *testing.T) {
	s := newSimulation(1, 3, noMutation)
	s.run(time.Second)
	s.inject(fault{kind: 0, host: 1, duration: 20 * time.Second})
	others := func() int { return len(s.liveHosts(s.daemons[0])) }
	var got []int
	for _, wait := range []time.Duration{detectionDelay - time.Second, 2 * time.Second, 20 * time.Second} {
		s.run(s.now + wait)
		got = append(got, others())
	}
	if diff := cmp.Diff([]int{3, 2, 3}, got); diff != "" {
		t.Errorf("live hosts before and after the detection, and after the pause (-want +got):\n%s", diff)
	}
}
