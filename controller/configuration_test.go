package controller

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

// acceptedWithin bounds the time from a publish to its being in force everywhere.
const acceptedWithin = 3 * time.Second

// propose publishes a drain section through a daemon and cuts the store off in the
// moment in which it accepts the change.
func (b *bed) propose(d *Daemon, host string) int {
	b.t.Helper()
	current, err := d.ConfigDocument(b.t.Context(), -1)
	if err != nil {
		b.t.Fatal(err)
	}
	b.tables.Observe(func(transaction provider.Transaction, _ provider.CommitResult) {
		for _, write := range transaction.Writes {
			if write.Table == publisher.ConfigTable {
				b.tables.Faults().SetOutage(true)
			}
		}
	})
	version, err := d.Publish(b.t.Context(), publisher.Proposal{
		From: current.Version, Operator: "test", Action: publisher.ActionPublish,
		Document: publisher.WithDrain(current, host, "repair"),
	})
	if err != nil {
		b.t.Fatal(err)
	}
	b.tables.Observe(nil)
	return version
}

func (b *bed) waitVersion(within time.Duration, version int, daemons ...*Daemon) {
	b.t.Helper()
	deadline := time.Now().Add(within)
	for _, d := range daemons {
		for d.snapshot.Load().servedVersion() != version {
			if time.Now().After(deadline) {
				b.t.Fatalf("%s serves with version %d, want %d within %v",
					d.settings.Host, d.snapshot.Load().servedVersion(), version, within)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against a configuration that was accepted and does not reach the other
// daemons because the store fails right afterwards, and against a daemon that
// starts during the outage and serves without the answers of a majority.
func TestOutageAfterPublish(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	defer b.tables.Faults().Clear()
	first, _ := b.start("ams-1")
	second, _ := b.start("ams-2")
	third, _ := b.start("ams-3")
	version := b.propose(first, "ledger-9")
	started := time.Now()
	b.waitVersion(acceptedWithin, version, first, second, third)
	t.Logf("in force on all daemons after %v", time.Since(started))

	second.Kill()
	second, _ = b.start("ams-2")
	if got := second.snapshot.Load().version; got != version {
		t.Fatalf("the restarted daemon serves with version %d, want %d", got, version)
	}
	if !b.tables.Faults().Plan("test").Unavailable {
		t.Fatal("the outage ended before the daemon had started")
	}

	// With one answer out of three hosts there is no majority.
	second.Kill()
	third.Kill()
	second = b.launch("ams-2")
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if second.Ready() {
			t.Fatal("a daemon serves after it has heard from one of three hosts")
		}
	}
	b.tables.Faults().Clear()
	b.waitVersion(2*acceptedWithin, version, second)
}

// Guards against a return to an older version when the store answers one, as after
// a restore from a backup.
func TestOldVersionFromStore(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	d, _ := b.start("ams-1")
	old := b.tables.Get(publisher.ConfigTable, "head")
	version := b.propose(d, "ledger-9")
	b.tables.Faults().Clear()
	b.waitVersion(acceptedWithin, version, d)
	_, err := b.tables.Apply(provider.Transaction{Writes: []provider.Write{
		{Table: publisher.ConfigTable, Key: "head", Value: json.RawMessage(old.Value)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	polls := 0
	for end := time.Now().Add(10 * time.Second); polls < 2; time.Sleep(10 * time.Millisecond) {
		polls, _ = askControl(t.Context(), d, func(c *control) int { return c.distributor.StalePolls() })
		if got := d.snapshot.Load().servedVersion(); got != version {
			t.Fatalf("version %d is in force, want %d", got, version)
		}
		if time.Now().After(end) {
			t.Fatal("the old version was never read")
		}
	}
	drained, _ := askControl(t.Context(), d, func(c *control) []string { return publisher.Drained(c.document) })
	if len(drained) != 1 {
		t.Errorf("drained hosts are %v, want one", drained)
	}
}
