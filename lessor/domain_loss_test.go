package lessor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/lessor"
)

// takeoverCost is the cost of a takeover after the loss of hosts.
type takeoverCost struct {
	// seconds is the time until all shards were owned again.
	seconds float64
	// peakWrites and peakReads are the largest numbers of transactions and reads
	// within one second.
	peakWrites, peakReads int64
	// takeoverWrites is the number of transactions that fence a lease or write shard
	// rows.
	takeoverWrites int
}

// loseHosts stops hosts of the first of five failure domains after all shards are
// owned, and measures the takeover.
func loseHosts(hosts, shards, lose int) (takeoverCost, error) {
	var domains []lessor.Domain
	for i := range 5 {
		domains = append(domains, lessor.Domain{Name: fmt.Sprintf("d%d", i), Region: fmt.Sprintf("r%d", i/3)})
	}
	s := newSimulationOf(1, noMutation, domains, hosts, shards, float64(hosts)/70)
	s.idle = true
	for s.run(10 * time.Second); s.owned() < 5*shards; s.run(s.now + time.Second) {
		if s.now > 5*time.Minute {
			return takeoverCost{}, fmt.Errorf("only %d shards are owned after the start", s.owned())
		}
	}
	s.run(s.now + 20*time.Second)
	for _, d := range s.daemons[:lose] {
		d.down, d.downAt = true, s.now
	}
	var result takeoverCost
	lost, takeovers := s.now, s.takeovers
	for before := s.tables.Counters(); s.owned() < 5*shards; {
		if s.now > lost+5*time.Minute {
			return result, fmt.Errorf("only %d shards are owned five minutes after the loss", s.owned())
		}
		s.run(s.now + time.Second)
		after := s.tables.Counters()
		result.peakWrites = max(result.peakWrites, after.Commits+after.Conflicts-before.Commits-before.Conflicts)
		result.peakReads = max(result.peakReads, after.Reads-before.Reads)
		before = after
	}
	result.seconds = (s.now - lost).Seconds()
	result.takeoverWrites = s.takeovers - takeovers
	return result, nil
}

// owned returns the number of shards that live daemons own.
func (s *simulation) owned() int {
	owned := map[string]bool{}
	for _, d := range s.daemons {
		if d.down {
			continue
		}
		for _, shard := range d.lessor.Owned() {
			owned[shard] = true
		}
	}
	return len(owned)
}

// Guards against a takeover that overloads the store, or that leaves shards without an
// owner, when a whole failure domain is lost. The limits are the platform's budgets,
// scaled to a tenth of the daemons.
func TestDomainLoss(t *testing.T) {
	result, err := loseHosts(7, 82, 7)
	if err != nil {
		t.Fatal(err)
	}
	if result.peakReads > 2_000/10 || result.peakWrites > 400/10 {
		t.Errorf("%d reads and %d writes in one second, want at most 200 and 40", result.peakReads, result.peakWrites)
	}
	if result.seconds > 30 {
		t.Errorf("shards were without an owner for %v s", result.seconds)
	}
	t.Logf("%+v", result)
}

// Guards against shards that move back and forth with a flapping host, and against
// hosts that never get shards: a joining host gets its shards when it has been live
// for a while, and not before.
func TestFlappingHostMovesNoShards(t *testing.T) {
	s := newSimulation(1, 4, noMutation)
	joining := s.daemons[3]
	joining.down = true
	s.run(40 * time.Second)
	joining.start()
	settled := s.takeovers
	for i := range 20 {
		joining.flapping = i%2 == 0
		s.run(s.now + 2*time.Second)
	}
	if moved := s.takeovers - settled; moved != 0 || len(joining.lessor.Owned()) != 0 {
		t.Errorf("%d transactions while the host flapped; it owns %v", moved, joining.lessor.Owned())
	}
	joining.flapping = false
	s.run(s.now + time.Minute)
	owned := joining.lessor.Owned()
	if len(owned) == 0 {
		t.Error("a host that has been live for a minute owns no shards")
	}
	moved := s.takeovers
	for i := range 20 {
		joining.flapping = i%2 == 0
		s.run(s.now + 2*time.Second)
	}
	if s.takeovers != moved || len(s.violations) > 0 {
		t.Errorf("%d transactions while an owner flapped: %v", s.takeovers-moved, s.violations)
	}
}

// BenchmarkTakeover measures the loss of hosts at full scale: 350 daemons and 4,100
// shards.
func BenchmarkTakeover(b *testing.B) {
	for _, lose := range []int{1, 70} {
		b.Run(fmt.Sprintf("hosts=%d", lose), func(b *testing.B) {
			for b.Loop() {
				result, err := loseHosts(70, 820, lose)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(result.seconds, "takeover-s")
				b.ReportMetric(float64(result.peakWrites), "peak-writes/s")
				b.ReportMetric(float64(result.peakReads), "peak-reads/s")
				b.ReportMetric(float64(result.takeoverWrites), "takeover-writes")
			}
		})
	}
}
