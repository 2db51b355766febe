package loader_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/loader"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against loads above the weight store's rate limit, fencing numbers that do not
// increase, two orders at once for one target, orders too soon after a takeover, and
// models that are unloaded before MinResidence while demand changes at random.
func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := loader.DefaultOptions()
		s := loader.New(options)
		var targets []loader.Target
		for i := range 6 {
			targets = append(targets, loader.Target{Name: fmt.Sprintf("t%d", i), Epoch: 1, ChecksFencing: i%2 == 0, Slots: 1})
		}
		now := start
		s.Update(now, loader.TargetsChanged{Targets: targets})
		s.Update(now, loader.ModelsChanged{Models: []loader.Model{{Name: "a", MinReplicas: 1}, {Name: "b", MinReplicas: 1}}})
		loaded := map[string][]string{}
		loadedAt := map[string]time.Time{}
		loads, lastFencingNumber := 0, map[string]int64{}
		noOrdersUntil := map[string]time.Time{}
		for _, target := range targets {
			noOrdersUntil[target.Name] = start.Add(options.OrderExpiry)
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			now = now.Add(time.Second)
			model := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")
			s.Update(now, loader.DemandObserved{Model: model, Seconds: rapid.Float64Range(0, 6).Draw(t, "seconds")})
			if rapid.IntRange(0, 40).Draw(t, "takeover") == 0 {
				// Shards change their owners one at a time, so only some targets get a new epoch.
				first := rapid.IntRange(0, len(targets)-1).Draw(t, "first")
				for i := first; i < len(targets); i++ {
					targets[i].Epoch++
					noOrdersUntil[targets[i].Name] = now.Add(options.OrderExpiry)
				}
				s.Update(now, loader.TargetsChanged{Targets: targets})
			}
			for _, target := range targets {
				s.Update(now, loader.ReportReceived{Report: provider.LoadReport{Target: target.Name, Models: loaded[target.Name]}})
			}
			ordered := map[string]bool{}
			for _, c := range s.Update(now, loader.Tick{}) {
				o := c.(loader.SendOrder)
				if o.Order.FencingNumber <= lastFencingNumber[o.Target] {
					t.Fatalf("fencing number %d for %s is not above the last one, %d", o.Order.FencingNumber, o.Target, lastFencingNumber[o.Target])
				}
				lastFencingNumber[o.Target] = o.Order.FencingNumber
				var index int
				fmt.Sscanf(o.Target, "t%d", &index)
				if epoch := o.Order.FencingNumber >> 32; epoch != targets[index].Epoch {
					t.Fatalf("order to %s under epoch %d, want %d", o.Target, epoch, targets[index].Epoch)
				}
				if !targets[index].ChecksFencing && now.Before(noOrdersUntil[o.Target]) {
					t.Fatalf("order to %s, which does not check fencing numbers, %v too soon after a takeover",
						o.Target, noOrdersUntil[o.Target].Sub(now))
				}
				if ordered[o.Target] {
					t.Fatalf("two orders at once for %s", o.Target)
				}
				ordered[o.Target] = true
				if o.Order.Kind == "load" {
					loads++
					loaded[o.Target] = []string{o.Order.Model}
					loadedAt[o.Target] = now
				} else {
					if age := now.Sub(loadedAt[o.Target]); age < options.MinResidence {
						t.Fatalf("%s unloads %s after %v, before MinResidence", o.Target, o.Order.Model, age)
					}
					loaded[o.Target] = nil
				}
				s.Update(now, loader.OrderFinished{Target: o.Target, Order: o.Order})
			}
			if limit := options.LoadsPerSec*now.Sub(start).Seconds() + float64(options.Burst); float64(loads) > limit+1e-6 {
				t.Fatalf("%d loads in %v, at most %.1f", loads, now.Sub(start), limit)
			}
		}
	})
}

// Guards against a model that needs replicas but is never loaded.
func TestMinReplicasAreReached(t *testing.T) {
	s := loader.New(loader.DefaultOptions())
	s.Update(start, loader.TargetsChanged{Targets: []loader.Target{{Name: "t0", ChecksFencing: true, Slots: 1}, {Name: "t1", ChecksFencing: true, Slots: 1}}})
	s.Update(start, loader.ModelsChanged{Models: []loader.Model{{Name: "a", MinReplicas: 1}, {Name: "b", MinReplicas: 1}}})
	s.Update(start, loader.ReportReceived{Report: provider.LoadReport{Target: "t0"}})
	s.Update(start, loader.ReportReceived{Report: provider.LoadReport{Target: "t1"}})
	loaded := map[string]bool{}
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		for _, c := range s.Update(now, loader.Tick{}) {
			o := c.(loader.SendOrder)
			loaded[o.Order.Model] = true
			s.Update(now, loader.OrderFinished{Target: o.Target, Order: o.Order})
		}
	}
	if !loaded["a"] || !loaded["b"] {
		t.Fatalf("loaded %v, want a and b", loaded)
	}
}

// Guards against an order in progress that counts as a replica of models that it does not load: they
// waited for its end.
func TestOrderCountsForItsModelOnly(t *testing.T) {
	s := loader.New(loader.DefaultOptions())
	s.Update(start, loader.TargetsChanged{Targets: []loader.Target{{Name: "t0", ChecksFencing: true, Slots: 1}, {Name: "t1", ChecksFencing: true, Slots: 1}}})
	s.Update(start, loader.ModelsChanged{Models: []loader.Model{{Name: "a", MinReplicas: 1}, {Name: "b", MinReplicas: 1}}})
	s.Update(start, loader.ReportReceived{Report: provider.LoadReport{Target: "t0"}})
	s.Update(start, loader.ReportReceived{Report: provider.LoadReport{Target: "t1"}})
	var ordered []string
	for range 2 {
		for _, c := range s.Update(start, loader.Tick{}) {
			o := c.(loader.SendOrder)
			ordered = append(ordered, o.Order.Kind+" "+o.Order.Model+" on "+o.Target)
		}
	}
	if diff := cmp.Diff([]string{"load a on t0", "load b on t1"}, ordered); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
}

// Guards against further unloads while an order in progress makes room for the wanted replica.
func TestOneUnloadForOneReplica(t *testing.T) {
	s := loader.New(loader.DefaultOptions())
	s.Update(start, loader.TargetsChanged{Targets: []loader.Target{{Name: "t0", ChecksFencing: true, Slots: 1}, {Name: "t1", ChecksFencing: true, Slots: 1}}})
	s.Update(start, loader.ModelsChanged{Models: []loader.Model{{Name: "a", MinReplicas: 1}, {Name: "b", MinReplicas: 0}}})
	for _, name := range []string{"t0", "t1"} {
		s.Update(start, loader.ReportReceived{Report: provider.LoadReport{Target: name, Models: []string{"b"}}})
	}
	orders := 0
	for range 3 {
		orders += len(s.Update(start.Add(time.Hour), loader.Tick{}))
	}
	if orders != 1 {
		t.Errorf("%d orders for one replica, want 1", orders)
	}
}

// Guards against loads at the previous rate after the issuer's share has become smaller.
func TestRateChangeLimitsLoads(t *testing.T) {
	options := loader.DefaultOptions()
	s := loader.New(options)
	var targets []loader.Target
	for i := range 20 {
		targets = append(targets, loader.Target{Name: fmt.Sprintf("t%d", i), ChecksFencing: true, Slots: 1})
	}
	s.Update(start, loader.TargetsChanged{Targets: targets})
	s.Update(start, loader.ModelsChanged{Models: []loader.Model{{Name: "a", MinReplicas: 20}}})
	s.Update(start, loader.RateChanged{LoadsPerSec: 0.01})
	for _, target := range targets {
		s.Update(start, loader.ReportReceived{Report: provider.LoadReport{Target: target.Name}})
	}
	loads := 0
	for i := range 100 {
		loads += len(s.Update(start.Add(time.Duration(i)*time.Second), loader.Tick{}))
	}
	if limit := options.Burst + 1; loads > limit {
		t.Errorf("%d loads in 100 s, at most %d", loads, limit)
	}
}
