package limiter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// siteQuotas are quotas like those of a site: a few large workspaces, and many small ones.
func siteQuotas(count int) []Quota {
	var quotas []Quota
	for i := range count {
		rate := 2.0
		switch {
		case i < 3:
			rate = 400 / float64(i+1)
		case i < 12:
			rate = 60
		case i < 30:
			rate = 12
		}
		quotas = append(quotas, Quota{Workspace: fmt.Sprint("w-", i), RatePerSecond: rate, Burst: rate})
	}
	return quotas
}

// runFleet runs a fleet of the given size in a bubble until the scenario returns.
func runFleet(t *testing.T, seed uint64, domains, perDomain, regions int, scenario func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, t, seed, domains, perDomain, regions)
		scenario(f)
		time.Sleep(time.Second)
		for _, d := range f.daemons {
			d.kill()
		}
		cancel()
		f.tasks.Wait()
		// Requests that are under way end with their timeouts.
		time.Sleep(10 * time.Second)
	})
}

// startAll starts all daemons within a time.
func (f *fleet) startAll(within time.Duration, quotas []Quota) {
	for _, d := range f.daemons {
		f.tasks.Go(func() {
			time.Sleep(time.Duration(d.random.Int64N(int64(within) + 1)))
			d.start(quotas)
		})
	}
}

// Guards against calls within the quota that are rejected, and against a limit that is exceeded, in a fleet
// of the size of a site, from the first second on.
func TestFleet(t *testing.T) {
	const duration = 30 * time.Second
	quotas := siteQuotas(80)
	tests := []struct {
		name string
		// share is the share of the quota that callers use, random makes them arrive at random times.
		share  float64
		random bool
		// disturb is run beside the load.
		disturb func(f *fleet)
		// allowed is the share of calls that may be rejected.
		allowed float64
	}{
		{name: "95 % of the quota", share: 0.95},
		{name: "usual rate at random times", share: 1 / 1.6, random: true},
		{name: "store away", share: 1 / 1.6, random: true, disturb: func(f *fleet) {
			time.Sleep(8 * time.Second)
			f.store.SetDown(true)
			time.Sleep(10 * time.Second)
			f.store.SetDown(false)
		}},
		{name: "third of the daemons restarts", share: 1 / 1.6, random: true, disturb: func(f *fleet) {
			time.Sleep(10 * time.Second)
			for i, d := range f.daemons {
				if i%3 == 0 {
					d.kill()
				}
			}
			time.Sleep(2 * time.Second)
			for i, d := range f.daemons {
				if i%3 == 0 {
					d.start(quotas)
				}
			}
		}, allowed: 0.01},
		{name: "daemons removed", share: 1 / 1.6, random: true, disturb: func(f *fleet) {
			time.Sleep(10 * time.Second)
			for i, d := range f.daemons {
				if i%20 == 0 {
					d.kill()
				}
			}
		}, allowed: 0.01},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, 1, 6, 13, 2, func(f *fleet) {
				f.startAll(100*time.Millisecond, quotas)
				if test.disturb != nil {
					f.tasks.Go(func() { test.disturb(f) })
				}
				time.Sleep(120 * time.Millisecond)
				for i, q := range quotas {
					f.run(load{workspace: q.Workspace, rate: q.RatePerSecond * test.share, random: test.random, choose: f.anyDaemon}, duration, uint64(i))
				}
				time.Sleep(duration)
				f.checkBound(quotas, 0)
				calls, rejected, examples := f.rejections(0)
				t.Logf("%d calls, %d rejected, wait %v at 50 %%, %v at 99 %%, %d store calls", calls, rejected, f.percentile(0.5), f.percentile(0.99), f.storeCalls)
				t.Log(f.operations, f.perSecond)
				perSecond := map[string]int{}
				for w, list := range f.rejected {
					perSecond[fmt.Sprint("class ", f.asked[w]/600)] += len(list)
					for _, r := range list {
						perSecond[fmt.Sprint(int(r.at/time.Second)/3*3, " ", r.reason)]++
					}
				}
				t.Log(perSecond)
				late := map[string]int{}
				for w, list := range f.rejected {
					for _, r := range list {
						if r.at > 9*time.Second {
							late[w]++
						}
					}
				}
				t.Log(late)
				for _, w := range []string{"w-5", "w-12"} {
					for w2, n := range late {
						if n > 20 {
							w = w2
						}
					}
					row := f.store.Get(groupOf(w).key())
					t.Log(w, string(row.Value))
				}
				if float64(rejected) > test.allowed*float64(calls) {
					t.Errorf("%d of %d calls rejected: %q", rejected, calls, examples)
				}
			})
		})
	}
}

var _ = rand.IntN
