package recoverer

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

type fixture struct {
	t       *testing.T
	tables  *emulator.TableStore
	objects *emulator.ObjectStore
	stores  committer.Stores
	loader  *Loader
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t:       t,
		tables:  emulator.NewTableStore(emulator.TableStoreOptions{}, emulator.NewFaults(1)),
		objects: emulator.NewObjectStore(emulator.NewFaults(1)),
	}
	f.stores = committer.Stores{Tables: f.tables.ForCaller("a"), Objects: f.objects.ForCaller("a")}
	f.loader = NewLoader(f.stores, rate.NewLimiter(rate.Inf, 1))
	return f
}

func (f *fixture) write(table, key string, value any) {
	f.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	f.apply(provider.Write{Table: table, Key: key, Value: data})
}

func (f *fixture) apply(write provider.Write) {
	f.t.Helper()
	if _, err := f.tables.Apply(provider.Transaction{Writes: []provider.Write{write}}); err != nil {
		f.t.Fatal(err)
	}
}

// fillLog writes log rows of the host's incarnation x, each with one record for each
// of two shards.
func (f *fixture) fillLog(host string, from, through int) {
	for sequence := from; sequence <= through; sequence++ {
		batch := encoder.Batch{Sequence: sequence}
		for _, shard := range []string{"s/1", "s/2"} {
			record := encoder.Record{Shard: shard, Body: fmt.Sprintf("%s%d", host, sequence)}
			if sequence == 3 {
				record.Body, record.Object = "", "records/"+host+"/x/3"
			}
			batch.Records = append(batch.Records, record)
		}
		f.write(committer.TableLog, committer.LogKey(host, "x", sequence), batch)
	}
	if err := f.stores.Objects.Put(f.t.Context(), "records/"+host+"/x/3", []byte(host+"3")); err != nil {
		f.t.Fatal(err)
	}
}

// Guards against a load that skips or repeats log rows, ignores the bounds of a range,
// or succeeds in spite of a missing or damaged row, object or snapshot.
func TestLoad(t *testing.T) {
	logs := []encoder.LogRange{{Host: "a", Incarnation: "x", After: 1, Through: 70}, {Host: "b", Incarnation: "x", After: 68}}
	tests := []struct {
		name   string
		damage func(f *fixture)
		want   Kind
	}{
		{"intact", func(*fixture) {}, 0},
		{"row missing", func(f *fixture) {
			f.apply(provider.Write{Table: committer.TableLog, Key: committer.LogKey("a", "x", 40), Delete: true})
		}, KindMissing},
		{"last row missing", func(f *fixture) {
			f.apply(provider.Write{Table: committer.TableLog, Key: committer.LogKey("a", "x", 70), Delete: true})
			f.apply(provider.Write{Table: committer.TableLog, Key: committer.LogKey("a", "x", 71), Delete: true})
		}, KindMissing},
		{"row damaged", func(f *fixture) {
			f.apply(provider.Write{Table: committer.TableLog, Key: committer.LogKey("a", "x", 40), Value: []byte(`{"records`)})
		}, KindDamaged},
		{"row of another sequence", func(f *fixture) {
			f.write(committer.TableLog, committer.LogKey("a", "x", 40), encoder.Batch{Sequence: 41})
		}, KindDamaged},
		{"object missing", func(f *fixture) { _ = f.stores.Objects.Delete(t.Context(), "records/a/x/3") }, KindMissing},
		{"snapshot missing", func(f *fixture) { _ = f.stores.Objects.Delete(t.Context(), "snapshots/s/1/1") }, KindMissing},
		{"snapshot damaged", func(f *fixture) { f.objects.Corrupt("snapshots/s/1/1", []byte("01234567snap")) }, KindDamaged},
		{"outage", func(f *fixture) { f.tables.Faults().SetOutage(true) }, KindUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.fillLog("a", 1, 71)
			f.fillLog("b", 1, 70)
			if err := f.loader.PutSnapshot(t.Context(), "snapshots/s/1/1", []byte("snap")); err != nil {
				t.Fatal(err)
			}
			test.damage(f)
			loaded, err := f.loader.Load(t.Context(), encoder.ShardRow{Shard: "s/1", Snapshot: "snapshots/s/1/1", Logs: logs})
			if test.want != 0 {
				var failure *Error
				if !errors.As(err, &failure) || failure.Kind() != test.want {
					t.Errorf("got %v, want %s", err, test.want)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			var got, want []string
			for _, record := range loaded.Records {
				got = append(got, record.Body)
			}
			for sequence := 2; sequence <= 70; sequence++ {
				want = append(want, fmt.Sprintf("a%d", sequence))
			}
			want = append(want, "b69", "b70")
			if diff := cmp.Diff(want, got); diff != "" || string(loaded.Snapshot) != "snap" {
				t.Errorf("snapshot %q, records (-want +got):\n%s", loaded.Snapshot, diff)
			}
		})
	}
}

// Guards against a collector that deletes the log of a live incarnation or one that a
// shard still needs, and against logs that are never deleted.
func TestCollect(t *testing.T) {
	f := newFixture(t)
	for _, host := range []string{"live", "used", "over", "gone"} {
		f.fillLog(host, 1, 150)
	}
	lease := func(host, incarnation, state string) {
		f.write(committer.TableLeases, host, encoder.LeaseRow{Host: host, Incarnation: incarnation, State: state})
	}
	lease("live", "x", committer.LeaseRowActive)
	lease("used", "x", committer.LeaseRowFenced)
	lease("over", "y", committer.LeaseRowActive)
	lease("gone", "x", committer.LeaseRowReleased)
	f.write(committer.TableShards, "s/1", encoder.ShardRow{Shard: "s/1", Logs: []encoder.LogRange{{Host: "used", Incarnation: "x"}}})
	collector := NewCollector(f.stores, rate.NewLimiter(rate.Inf, 1))
	deleted, err := collector.Collect(t.Context())
	if deleted != 2 || err != nil {
		t.Errorf("deleted %d logs (error %v), want 2", deleted, err)
	}
	for _, host := range []string{"live", "used", "over", "gone"} {
		left := len(f.tables.Rows(committer.TableLog, host+"/", "", 0)) + len(f.objects.Names("records/"+host+"/"))
		if kept := host == "live" || host == "used"; kept && left != 151 || !kept && left != 0 {
			t.Errorf("log of host %s: %d rows and objects are left", host, left)
		}
	}
}

// Guards against log rows that are trimmed although the replay of a shard needs them,
// against a log that grows without bound, and against snapshots that are never deleted
// or are deleted while a row names them.
func TestCheckpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := New(Options{MaxLogRows: 20, MinCheckpointInterval: time.Second})
		now := time.Unix(0, 0)
		positions := map[string]int{}
		snapshots := map[string]bool{}
		sequence, trimmed := 0, 0
		var execute func(commands []Command)
		send := func(message Message) { execute(state.Update(now, message)) }
		execute = func(commands []Command) {
			for _, command := range commands {
				switch c := command.(type) {
				case StoreSnapshot:
					name := SnapshotName(c.Shard, "i", 1, sequence)
					ok := rapid.IntRange(0, 9).Draw(t, "stored") > 0
					send(SnapshotStored{Shard: c.Shard, Name: name, Position: sequence, OK: ok})
				case WriteCheckpoint:
					ok := rapid.IntRange(0, 9).Draw(t, "written") > 0
					if ok {
						positions[c.Row.Shard] = c.Position
						snapshots[c.Row.Snapshot] = true
					}
					send(CheckpointFinished{Shard: c.Row.Shard, OK: ok})
				case DeleteSnapshot:
					if !snapshots[c.Name] {
						t.Fatalf("deleted the unknown snapshot %s", c.Name)
					}
					delete(snapshots, c.Name)
				case TrimLog:
					trimmed = c.Through
				}
				for shard, position := range positions {
					if position < trimmed {
						t.Fatalf("trimmed through %d, but %s is replayed from %d", trimmed, shard, position)
					}
				}
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Second)
			shard := fmt.Sprintf("s/%d", rapid.IntRange(0, 5).Draw(t, "shard"))
			_, owned := positions[shard]
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action == 0 && !owned:
				positions[shard] = sequence
				send(ShardClaimed{Row: encoder.ShardRow{Shard: shard}, Position: sequence})
				send(ShardLoaded{Shard: shard})
			case action == 1 && owned:
				send(ShardDraining{Shard: shard})
				delete(positions, shard)
				send(ShardRemoved{Shard: shard})
			case len(positions) > 0:
				sequence++
				send(LogAppended{Sequence: sequence, Bytes: 1})
			}
			if len(snapshots) > len(positions) {
				t.Fatalf("%d snapshots are stored for %d shards", len(snapshots), len(positions))
			}
		}
		for range 200 {
			now = now.Add(11 * time.Second)
			send(Tick{})
		}
		lowest := sequence
		for _, position := range positions {
			lowest = min(lowest, position)
		}
		if sequence-lowest >= 20 || lowest-trimmed > 20/handoverTrimDivisor {
			t.Fatalf("a replay covers %d to %d, but the log is trimmed only through %d", lowest, sequence, trimmed)
		}
	})
}
