package limiter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// history is a random history of a small fleet: what happens at which time.
type history struct {
	seed    uint64
	domains int
	size    int
	regions int
	quotas  []Quota
	// share is the load as a multiple of the quota, delay that of the validity of a permit for which calls
	// wait before they reach a target.
	share  float64
	delay  float64
	events []event
	// lossRate is the share of transactions whose response is lost, lateRate the share of these that take
	// effect late.
	lossRate float64
}

// event is a fault or a change.
type event struct {
	at     time.Duration
	kind   string
	daemon int
	length time.Duration
}

// historyLength leaves time for leases to end and for fractions to be freed.
const historyLength = 45 * time.Second

func drawHistory(t *rapid.T) history {
	h := history{
		seed: rapid.Uint64().Draw(t, "seed"), domains: rapid.IntRange(1, 4).Draw(t, "domains"), size: rapid.IntRange(1, 4).Draw(t, "perDomain"),
		share: rapid.Float64Range(0.5, 4).Draw(t, "share"), delay: rapid.Float64Range(0, 0.95).Draw(t, "delay"),
		lossRate: rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss"),
	}
	h.regions = rapid.IntRange(1, min(2, h.domains)).Draw(t, "regions")
	for i := range rapid.IntRange(1, 3).Draw(t, "workspaces") {
		rate := rapid.SampledFrom([]float64{0.5, 2, 10, 60}).Draw(t, "rate")
		h.quotas = append(h.quotas, Quota{Workspace: fmt.Sprint("w-", i), RatePerSecond: rate, Burst: rate * rapid.Float64Range(0, 2).Draw(t, "burst")})
	}
	kinds := []string{"kill", "restart", "freeze", "cut", "cutStore", "storeAway", "move", "stop", "killAll"}
	for range rapid.IntRange(0, 14).Draw(t, "events") {
		h.events = append(h.events, event{
			at:     time.Duration(rapid.IntRange(0, int(historyLength/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
			kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			daemon: rapid.IntRange(0, h.domains*h.size-1).Draw(t, "daemon"),
			length: time.Duration(rapid.IntRange(100, 25000).Draw(t, "length")) * time.Millisecond,
		})
	}
	return h
}

// cutSet holds the links that are cut, by domain, until a time.
type cutSet map[string]time.Time

func (c cutSet) cut(a, b string) bool {
	now := time.Now()
	if a == b {
		return false
	}
	if a == "store" || b == "store" {
		return now.Before(c["store-"+a]) || now.Before(c["store-"+b])
	}
	return now.Before(c[a]) || now.Before(c[b])
}

// apply makes an event happen. The caller holds no mutex.
func (f *fleet) apply(e event, cuts cutSet, quotas []Quota, only *int) {
	d := f.daemons[e.daemon]
	switch e.kind {
	case "kill":
		d.kill()
	case "restart":
		d.kill()
		// The earlier process has ended before the next one starts.
		time.Sleep(min(e.length, 2*time.Second))
		d.mutex.Lock()
		alive := d.alive
		d.frozenUntil = time.Time{}
		d.mutex.Unlock()
		if !alive {
			d.start(quotas)
		}
	case "freeze":
		d.freeze(e.length)
	case "cut", "cutStore":
		name := d.entry.Domain
		if e.kind == "cutStore" {
			name = "store-" + name
		}
		f.mutex.Lock()
		cuts[name] = time.Now().Add(e.length)
		f.mutex.Unlock()
	case "storeAway":
		f.store.SetDown(true)
		time.Sleep(e.length)
		f.store.SetDown(false)
	case "move":
		f.mutex.Lock()
		*only = e.daemon / max(1, len(f.daemons)/len(f.domains))
		f.mutex.Unlock()
	case "stop":
		d.mutex.Lock()
		limiter, alive := d.limiter, d.alive
		d.mutex.Unlock()
		if alive {
			ctx, cancel := context.WithTimeout(f.ctx, 500*time.Millisecond)
			limiter.ReturnFractions(ctx)
			cancel()
			d.kill()
		}
	case "killAll":
		for _, d := range f.daemons {
			d.kill()
		}
		time.Sleep(min(e.length, time.Second))
		for _, d := range f.daemons {
			d.mutex.Lock()
			alive := d.alive
			d.frozenUntil = time.Time{}
			d.mutex.Unlock()
			if !alive {
				d.start(quotas)
			}
		}
	}
}

// play runs a history and returns the fleet.
func play(ctx context.Context, t testing.TB, h history) *fleet {
	f := newFleet(ctx, t, h.seed, h.domains, h.size, h.regions)
	cuts := cutSet{}
	f.cut = func(a, b string) bool {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return cuts.cut(a, b)
	}
	faults := rand.New(rand.NewPCG(h.seed, 11))
	f.storeFault = func() storeFault {
		if faults.Float64() >= h.lossRate {
			return storeFault{}
		}
		return storeFault{lost: true, delay: time.Duration(faults.IntN(6000)) * time.Millisecond}
	}
	only := -1
	f.startAll(200*time.Millisecond, h.quotas)
	time.Sleep(300 * time.Millisecond)
	for _, e := range h.events {
		f.tasks.Go(func() {
			time.Sleep(e.at)
			f.apply(e, cuts, h.quotas, &only)
		})
	}
	perDomain := len(f.daemons) / len(f.domains)
	choose := func(random *rand.Rand) *fleetDaemon {
		f.mutex.Lock()
		domain := only
		f.mutex.Unlock()
		if domain < 0 {
			return f.daemons[random.IntN(len(f.daemons))]
		}
		return f.daemons[domain*perDomain+random.IntN(perDomain)]
	}
	for i, q := range h.quotas {
		f.run(load{workspace: q.Workspace, rate: q.RatePerSecond * h.share, random: true, choose: choose, delay: h.delay}, historyLength, h.seed+uint64(i))
	}
	time.Sleep(historyLength)
	return f
}

// checkHistory plays a history and checks every window of it.
func checkHistory(t *testing.T, h history, fail func(format string, args ...any)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := play(ctx, t, h)
		time.Sleep(time.Second)
		for _, d := range f.daemons {
			d.kill()
		}
		cancel()
		// The longest fault ends.
		time.Sleep(40 * time.Second)
		f.tasks.Wait()
		time.Sleep(10 * time.Second)
		for _, q := range h.quotas {
			n, at := most(f.sent[q.Workspace])
			if n > bound(q) {
				fail("%d calls of workspace %s in the 5 s before %v, want at most %d", n, q.Workspace, at, bound(q))
			}
			t.Logf("workspace %s: at most %d calls in a window, bound %d", q.Workspace, n, bound(q))
		}
	})
}

// Guards against more calls in a window than the quota allows, whatever fails: processes that are killed,
// restarted, frozen and resumed, links that are cut, a store that is away, and writes without a response that
// take effect seconds later.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checkHistory(t, drawHistory(rt), rt.Errorf)
	})
}

// Guards against fractions that are used by two daemons at once after the faults that let others free them.
func TestWindowBoundAfterFault(t *testing.T) {
	quotas := []Quota{{"w-0", 60, 20}, {"w-1", 10, 5}, {"w-2", 60, 0}}
	all := func(kind string, daemons []int, at, length time.Duration) []event {
		var events []event
		for _, d := range daemons {
			events = append(events, event{at: at, kind: kind, daemon: d, length: length})
		}
		return events
	}
	tests := []struct {
		name   string
		events []event
		loss   float64
	}{
		{name: "no fault"},
		{name: "half of the daemons frozen beyond their leases", events: all("freeze", []int{0, 1, 2, 3, 4, 5}, 5*time.Second, 21*time.Second)},
		{name: "frozen at different times", events: append(all("freeze", []int{0, 1, 2}, 4*time.Second, 19*time.Second), all("freeze", []int{6, 7, 8}, 16*time.Second, 20*time.Second)...)},
		{name: "two domains without the store", events: all("cutStore", []int{0, 3}, 5*time.Second, 30*time.Second)},
		{name: "two domains cut off and without the store", events: append(all("cutStore", []int{0, 3}, 5*time.Second, 30*time.Second), all("cut", []int{0, 3}, 5*time.Second, 30*time.Second)...)},
		{name: "domain cut off", events: all("cut", []int{0}, 5*time.Second, 30*time.Second)},
		{name: "all killed twice", events: append(all("killAll", []int{0}, 8*time.Second, time.Second), all("killAll", []int{0}, 11*time.Second, 500*time.Millisecond)...)},
		{name: "daemons restarted one after the other", events: append(all("restart", []int{0, 1, 2, 3}, 8*time.Second, 100*time.Millisecond), all("restart", []int{4, 5, 6, 7}, 10*time.Second, 100*time.Millisecond)...)},
		{name: "callers move", events: append(all("move", []int{0}, 8*time.Second, 0), all("move", []int{5}, 18*time.Second, 0)...)},
		{name: "planned stops", events: append(all("stop", []int{0, 1, 2, 3, 4}, 8*time.Second, 0), all("restart", []int{0, 1, 2, 3, 4}, 9*time.Second, 100*time.Millisecond)...)},
		{name: "lost responses", loss: 0.3, events: append(all("move", []int{0}, 10*time.Second, 0), all("move", []int{5}, 14*time.Second, 0)...)},
		{name: "store away", events: all("storeAway", []int{0}, 6*time.Second, 25*time.Second)},
	}
	for _, test := range tests {
		for _, delay := range []float64{0, 0.95} {
			t.Run(fmt.Sprintf("%s, delay %v", test.name, delay), func(t *testing.T) {
				checkHistory(t, history{
					seed: 5, domains: 4, size: 3, regions: 2, quotas: quotas, share: 3, delay: delay, events: test.events, lossRate: test.loss,
				}, t.Errorf)
			})
		}
	}
}
