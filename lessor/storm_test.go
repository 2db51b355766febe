package lessor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/lessor"
)

// storm is what the loss of a failure domain costs.
type storm struct {
	// seconds until all shards were owned again.
	seconds float64
	// writes and reads are the most transactions and reads within one second.
	writes, reads int64
	// takeoverWrites counts the transactions that fence a lease or write shard rows.
	takeoverWrites int
}

// loseHosts stops hosts of the first of five domains, after all have started.
func loseHosts(hosts, shards, lose int) (storm, error) {
	var domains []lessor.Domain
	for i := range 5 {
		domains = append(domains, lessor.Domain{Name: fmt.Sprintf("d%d", i), Region: fmt.Sprintf("r%d", i/3)})
	}
	w := newWorldOf(1, intact, domains, hosts, shards, float64(hosts)/70)
	w.idle = true
	for w.run(10 * time.Second); w.owned() < 5*shards; w.run(w.now + time.Second) {
		if w.now > 5*time.Minute {
			return storm{}, fmt.Errorf("only %d shards are owned after the start", w.owned())
		}
	}
	w.run(w.now + 20*time.Second)
	for _, d := range w.daemons[:lose] {
		d.down, d.downAt = true, w.now
	}
	var result storm
	lost, takeovers := w.now, w.takeovers
	for before := w.tables.Counters(); w.owned() < 5*shards; {
		if w.now > lost+5*time.Minute {
			return result, fmt.Errorf("only %d shards are owned five minutes after the loss", w.owned())
		}
		w.run(w.now + time.Second)
		after := w.tables.Counters()
		result.writes = max(result.writes, after.Commits+after.Conflicts-before.Commits-before.Conflicts)
		result.reads = max(result.reads, after.Reads-before.Reads)
		before = after
	}
	result.seconds = (w.now - lost).Seconds()
	result.takeoverWrites = w.takeovers - takeovers
	return result, nil
}

// owned returns how many shards are served by live daemons.
func (w *world) owned() int {
	owned := map[string]bool{}
	for _, d := range w.daemons {
		if d.down {
			continue
		}
		for _, shard := range d.lessor.Owned() {
			owned[shard] = true
		}
	}
	return len(owned)
}

// Guards against a takeover that floods the store, or that leaves shards without an
// owner, when a whole failure domain is lost. The budgets are those of the platform,
// scaled to a tenth of the daemons.
func TestDomainLoss(t *testing.T) {
	result, err := loseHosts(7, 82, 7)
	if err != nil {
		t.Fatal(err)
	}
	if result.reads > 2_000/10 || result.writes > 400/10 {
		t.Errorf("%d reads and %d writes in one second at a tenth of the scale", result.reads, result.writes)
	}
	if result.seconds > 30 {
		t.Errorf("shards were without an owner for %v s", result.seconds)
	}
	t.Logf("%+v", result)
}

// Guards against shards that move to and fro with a host that flaps, and against hosts
// that never get shards: a host that joins gets its shards when it has been live for a
// while, and not before.
func TestFlappingHostMovesNothing(t *testing.T) {
	w := newWorld(1, 4, intact)
	joining := w.daemons[3]
	joining.down = true
	w.run(40 * time.Second)
	joining.start()
	settled := w.takeovers
	for i := range 20 {
		joining.flap = i%2 == 0
		w.run(w.now + 2*time.Second)
	}
	if moved := w.takeovers - settled; moved != 0 || len(joining.lessor.Owned()) != 0 {
		t.Errorf("%d transactions while the host flapped; it owns %v", moved, joining.lessor.Owned())
	}
	joining.flap = false
	w.run(w.now + time.Minute)
	owned := joining.lessor.Owned()
	if len(owned) == 0 {
		t.Error("a host that is live for a minute owns nothing")
	}
	moved := w.takeovers
	for i := range 20 {
		joining.flap = i%2 == 0
		w.run(w.now + 2*time.Second)
	}
	if w.takeovers != moved || len(w.violations) > 0 {
		t.Errorf("%d transactions while an owner flapped: %v", w.takeovers-moved, w.violations)
	}
}

// BenchmarkTakeover reports the cost of the loss of hosts at full scale: 350 daemons and
// 4,100 shards.
func BenchmarkTakeover(b *testing.B) {
	for _, lose := range []int{1, 70} {
		b.Run(fmt.Sprintf("hosts=%d", lose), func(b *testing.B) {
			for b.Loop() {
				result, err := loseHosts(70, 820, lose)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(result.seconds, "takeover-s")
				b.ReportMetric(float64(result.writes), "peak-writes/s")
				b.ReportMetric(float64(result.reads), "peak-reads/s")
				b.ReportMetric(float64(result.takeoverWrites), "takeover-writes")
			}
		})
	}
}
