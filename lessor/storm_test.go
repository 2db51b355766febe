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
	// peaks are the most transactions and reads within one second.
	writes, reads int64
	// claims is the number of writes for the takeover, without renewals.
	takeoverWrites int64
}

// loseDomain stops all hosts of the first of five domains, after all have started.
func loseDomain(hosts, shards int) (storm, error) {
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
	quiet := w.tables.Counters().Commits
	w.run(w.now + 10*time.Second)
	renewals := float64(w.tables.Counters().Commits-quiet) / 10 / float64(5*hosts)
	for _, d := range w.daemons[:hosts] {
		d.down, d.downAt = true, w.now
	}
	var result storm
	lost, first := w.now, w.tables.Counters()
	for before := first; w.owned() < 5*shards; {
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
	all := w.tables.Counters().Commits - first.Commits
	result.takeoverWrites = all - int64(renewals*result.seconds*float64(4*hosts))
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
	result, err := loseDomain(7, 82)
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

// BenchmarkDomainLoss reports the cost of the loss of a failure domain at full scale.
func BenchmarkDomainLoss(b *testing.B) {
	for b.Loop() {
		result, err := loseDomain(70, 820)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(result.seconds, "takeover-s")
		b.ReportMetric(float64(result.writes), "peak-writes/s")
		b.ReportMetric(float64(result.reads), "peak-reads/s")
		b.ReportMetric(float64(result.takeoverWrites), "takeover-writes")
	}
}
