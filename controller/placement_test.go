package controller

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/detector"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/loader"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// modelService returns a service of one role with models that are kept on one
// target each.
func modelService(role string, checksFencing bool, models ...string) encoder.Service {
	service := encoder.Service{
		Name: role, Workspace: "lichtbeeld", Kind: "model", Targets: encoder.TargetSelector{ChecksFencing: checksFencing},
	}
	for _, name := range models {
		service.Models = append(service.Models, encoder.Model{Name: name, MinReplicas: 1})
	}
	parser.FillDefaults(&service)
	return service
}

// Guards against a configured model that no target loads, so that no call to it can
// run.
func TestPublishedModelIsLoaded(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	d, url := b.start("ams-1")
	b.publish(modelService("drafter", false, "quill", "sable"))
	call := `{"model":"drafter/sable","max_tokens":20,"messages":[{"role":"user","content":"A note."}]}`
	b.wait("load of the published model", 20*time.Second, func() bool { return len(ordersOf(b.engine, "load")) > 0 })
	b.wait("call to the published model", 5*time.Second, func() bool {
		response, _ := b.post(url+"/v1/chat/completions", call)
		return response.StatusCode == http.StatusOK
	})
	b.wait("model in the list of targets", 3*time.Second, func() bool {
		targets := d.Targets("drafter")
		return len(targets) == 1 && slices.Equal(targets[0].Models, []string{"quill", "sable"})
	})
	// A second load would come with the first report after the order.
	time.Sleep(3 * time.Second)
	if loads := ordersOf(b.engine, "load"); len(loads) != 1 || loads[0].Model != "sable" {
		t.Errorf("the engine got the orders %v, want one load of sable", loads)
	}
}

// arrival is an order that reached an engine.
type arrival struct {
	order provider.Order
	at    time.Time
}

// slowOrders is an engine whose orders may be under way for long, also when their
// issuer has stopped.
type slowOrders struct {
	*emulator.Engine
	mu sync.Mutex
	// hold keeps the orders that are sent from now on under way until it is closed.
	hold     chan struct{}
	sent     []provider.Order
	arrivals []arrival
}

func (s *slowOrders) Order(ctx context.Context, order provider.Order) error {
	s.mu.Lock()
	hold := s.hold
	s.sent = append(s.sent, order)
	s.mu.Unlock()
	result := make(chan error, 1)
	go func() {
		if hold != nil {
			<-hold
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.arrivals = append(s.arrivals, arrival{order: order, at: time.Now()})
		result <- s.Engine.Order(context.Background(), order)
	}()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return provider.NewError("engine.order", provider.KindUnknown, ctx.Err())
	}
}

func (s *slowOrders) setHold(hold chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = hold
}

func (s *slowOrders) counts() (sent, arrived int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent), len(s.arrivals)
}

// Guards against two issuers whose orders take turns at an engine. After a change of
// the issuer the numbers rise. An engine that checks numbers refuses an order of the
// old issuer that was under way, however late it arrives; at one that does not check
// them, an order that was under way until it expired arrives before the first order
// of the new issuer.
func TestIssuerChange(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(map[bool]string{true: "checks", false: "ignores"}[checks], func(t *testing.T) {
			t.Parallel()
			b := newBed(t)
			b.timing = shortLease
			engine := &slowOrders{Engine: emulator.NewEngine(emulator.EngineOptions{Name: "press-1", ChecksFencing: checks})}
			t.Cleanup(engine.Close)
			b.engines["press-1"] = engine
			b.list("press-1", "press", false)
			b.publish(modelService("press", checks, "ink"))
			first, _ := b.start("ams-1")
			b.wait("first load", 20*time.Second, func() bool { _, arrived := engine.counts(); return arrived == 1 })

			hold := make(chan struct{})
			engine.setHold(hold)
			b.publish(modelService("press", checks, "ink", "stale"))
			b.wait("order under way", 20*time.Second, func() bool { sent, _ := engine.counts(); return sent == 2 })
			underWay := time.Now()
			engine.setHold(nil)
			first.Kill()
			if !checks {
				// The order arrives at the last moment before it expires.
				time.AfterFunc(orderExpiry-200*time.Millisecond, func() { close(hold) })
			}
			b.publish(modelService("press", checks, "ink", "fresh"))
			b.start("ams-2")
			b.wait("order of the next issuer", 30*time.Second, func() bool {
				_, arrived := engine.counts()
				return arrived >= 2 && len(ordersOf(engine.Engine, "load")) >= 2 && engineHolds(engine.Engine, "fresh")
			})
			if checks {
				close(hold)
			}
			b.wait("order that was under way", orderExpiry, func() bool { _, arrived := engine.counts(); return arrived == 3 })
			engine.mu.Lock()
			sent, arrivals := slices.Clone(engine.sent), slices.Clone(engine.arrivals)
			engine.mu.Unlock()
			for _, a := range arrivals[1:] {
				t.Logf("load of %s with number %x arrived %v after the old issuer's last order",
					a.order.Model, a.order.FencingNumber, a.at.Sub(underWay))
			}
			if old, next := sent[1], sent[2]; next.FencingNumber <= old.FencingNumber || next.FencingNumber>>32 <= old.FencingNumber>>32 {
				t.Errorf("number %x of the next issuer after %x", next.FencingNumber, old.FencingNumber)
			}
			if n := engine.Counts().StaleOrders; n != 0 {
				t.Errorf("%d orders of the old issuer were obeyed after one of the next", n)
			}
			if checks && engineHolds(engine.Engine, "stale") {
				t.Error("an order of the old issuer was obeyed")
			}
		})
	}
}

func engineHolds(engine *emulator.Engine, model string) bool {
	report, err := engine.Report(context.Background())
	return err == nil && slices.Contains(report.Models, model)
}

// Guards against a replica that every daemon leaves to another one and against more
// replicas than are wanted.
func TestSharesOfAllDaemons(t *testing.T) {
	const daemons, targets = 350, 5_600
	usable := make([]detector.TargetView, targets)
	for i := range usable {
		usable[i] = detector.TargetView{Name: fmt.Sprintf("t%04d", i)}
	}
	for _, replicas := range []int{1, 40, targets} {
		total := 0
		var slowest time.Duration
		for daemon := range daemons {
			p := newPlacement(nil)
			for i := daemon; i < targets; i += daemons {
				p.issued[usable[i].Name] = usable[i]
			}
			started := time.Now()
			total += p.share(loader.Model{Name: "quill", MinReplicas: replicas}, usable)
			slowest = max(slowest, time.Since(started))
		}
		if total != replicas {
			t.Errorf("the daemons' shares add up to %d, want %d", total, replicas)
		}
		t.Logf("%d replicas: slowest share %v", replicas, slowest)
	}
}
