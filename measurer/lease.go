package measurer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/lessor"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// LeaseSample is the load that shard ownership of a whole fleet puts on the store,
// simulated in virtual time. Renewals of leases are part of commits and not counted.
type LeaseSample struct {
	Hosts     int `json:"hosts"`
	Shards    int `json:"shards"`
	LostHosts int `json:"lostHosts"`
	// ColdStartSec is the time from the start of all daemons at once until every
	// shard has an owner, or the limit; ColdStartOwned is the number of shards owned by then.
	ColdStartSec   float64 `json:"coldStartSec"`
	ColdStartOwned int     `json:"coldOwned"`
	// The steady rates are means before the loss of hosts.
	SteadyReadsPerSec  float64 `json:"steadyReadsPerSec"`
	SteadyWritesPerSec float64 `json:"steadyWritesPerSec"`
	// The peak rates are those of the busiest second after the loss.
	PeakReadsPerSec  float64 `json:"peakReadsPerSec"`
	PeakWritesPerSec float64 `json:"peakWritesPerSec"`
	// TakeoverSec is the time from the loss until live hosts own every shard, including
	// detection, or the limit. OwnedAfter15Sec counts the shards that they own 15 s after
	// the loss, Unowned those that they do not own at the limit.
	TakeoverSec      float64 `json:"takeoverSec"`
	OwnedAfter15Sec  int     `json:"ownedAfter15Sec"`
	Unowned          int     `json:"unowned"`
	MicrosPerHostSec float64 `json:"microsPerSecAndHost"`
}

const (
	leaseStep           = 250 * time.Millisecond
	leaseRenewInterval  = 2 * time.Second
	leaseColdStartLimit = 120 * time.Second
	leaseWindow         = 20 * time.Second
	leaseTakeoverLimit  = 90 * time.Second
	// leaseDetectionDelay is the time that the detector needs to report the loss: one
	// round, three missed heartbeats and a probe.
	leaseDetectionDelay = 5 * time.Second
)

type leaseHost struct {
	host         lessor.Host
	state        *lessor.State
	alive        bool
	writeTokens  float64
	queuedWrites []func()
	version      int64
	fenced       bool
}

type leaseSimulation struct {
	now    time.Time
	hosts  []*leaseHost
	byName map[string]*leaseHost
	shards map[string]provider.Row
	owners map[string]string
	reads  int
	writes int
	busy   time.Duration
	live   []lessor.Host
}

// MeasureLeases simulates a fleet of five failure domains from its start until after the
// loss of the given number of hosts of one domain.
func MeasureLeases(hosts, shardsPerDomain, lose int) LeaseSample {
	w := newLeaseSimulation(hosts, shardsPerDomain)
	sample := LeaseSample{Hosts: hosts, Shards: 5 * shardsPerDomain, LostHosts: lose}
	for start := w.now; w.owned() < sample.Shards && sample.ColdStartSec < leaseColdStartLimit.Seconds(); {
		w.run(time.Second)
		sample.ColdStartSec = w.now.Sub(start).Seconds()
	}
	sample.ColdStartOwned = w.owned()
	w.run(leaseWindow)
	reads, writes, busy := w.reads, w.writes, w.busy
	w.run(leaseWindow)
	seconds := leaseWindow.Seconds()
	sample.SteadyReadsPerSec = float64(w.reads-reads) / seconds
	sample.SteadyWritesPerSec = float64(w.writes-writes) / seconds
	sample.MicrosPerHostSec = float64((w.busy - busy).Microseconds()) / seconds / float64(hosts)
	w.stopHosts(lose)
	lost := w.now
	for w.now.Sub(lost) < leaseTakeoverLimit {
		reads, writes = w.reads, w.writes
		w.run(time.Second)
		if w.now.Sub(lost) >= leaseDetectionDelay && len(w.live) == hosts {
			w.setLive()
		}
		sample.PeakReadsPerSec = max(sample.PeakReadsPerSec, float64(w.reads-reads))
		sample.PeakWritesPerSec = max(sample.PeakWritesPerSec, float64(w.writes-writes))
		owned := w.owned()
		if w.now.Sub(lost) <= 15*time.Second {
			sample.OwnedAfter15Sec = owned
		}
		if owned == sample.Shards {
			sample.TakeoverSec = w.now.Sub(lost).Seconds()
			return sample
		}
	}
	sample.TakeoverSec, sample.Unowned = leaseTakeoverLimit.Seconds(), sample.Shards-w.owned()
	return sample
}

func newLeaseSimulation(hosts, shardsPerDomain int) *leaseSimulation {
	w := &leaseSimulation{now: time.Unix(1_700_000_000, 0), byName: map[string]*leaseHost{},
		shards: map[string]provider.Row{}, owners: map[string]string{}}
	var domains []lessor.Domain
	for i := range 5 {
		domains = append(domains, lessor.Domain{Name: fmt.Sprintf("domain-%d", i), Region: fmt.Sprintf("region-%d", i/3)})
	}
	for i := range hosts {
		domain := domains[i%5]
		h := &leaseHost{alive: true, host: lessor.Host{
			Name: fmt.Sprintf("host-%03d", i), FailureDomain: domain.Name, Region: domain.Region, Incarnation: fmt.Sprint("run-", i),
		}}
		h.state = lessor.New(lessor.Options{Self: h.host, Domains: domains, ShardsPerDomain: shardsPerDomain,
			Lease: committer.DefaultLease, ClockRateError: committer.DefaultClockRateError, Seed: uint64(i)})
		w.hosts = append(w.hosts, h)
		w.byName[h.host.Name] = h
	}
	w.setLive()
	return w
}

func (w *leaseSimulation) setLive() {
	w.live = nil
	for _, h := range w.hosts {
		if h.alive {
			w.live = append(w.live, h.host)
		}
	}
	for _, h := range w.hosts {
		if h.alive {
			w.update(h, lessor.HostsChanged{Live: w.live})
		}
	}
}

func (w *leaseSimulation) stopHosts(count int) {
	for i := 0; count > 0 && i < len(w.hosts); i += 5 {
		w.hosts[i].alive = false
		count--
	}
}

func (w *leaseSimulation) owned() int {
	n := 0
	for _, owner := range w.owners {
		if w.byName[owner].alive {
			n++
		}
	}
	return n
}

func (w *leaseSimulation) run(d time.Duration) {
	// Each daemon may use an equal share of the store's write budget.
	share := float64(committer.DefaultWritesPerSec) / float64(len(w.hosts))
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(leaseStep)
		for i, h := range w.hosts {
			if !h.alive {
				continue
			}
			if w.now.Add(time.Duration(i)*leaseStep).UnixMilli()%leaseRenewInterval.Milliseconds() == 0 && !h.fenced {
				h.version++
				w.update(h, lessor.LeaseRenewed{SentAt: w.now, Incarnation: h.host.Incarnation})
			}
			h.writeTokens = min(max(1, share*leaseStep.Seconds()), h.writeTokens+share*leaseStep.Seconds())
			for h.writeTokens >= 1 && len(h.queuedWrites) > 0 {
				h.writeTokens--
				write := h.queuedWrites[0]
				h.queuedWrites = h.queuedWrites[1:]
				w.writes++
				write()
			}
			w.update(h, lessor.Tick{})
		}
	}
}

func (w *leaseSimulation) update(h *leaseHost, message lessor.Message) {
	started := time.Now()
	commands := h.state.Update(w.now, message)
	w.busy += time.Since(started)
	for _, command := range append([]lessor.Command(nil), commands...) {
		switch c := command.(type) {
		case lessor.ReadLeaseRows:
			w.update(h, w.readLeases(c.Hosts))
		case lessor.ReadShardRows:
			w.reads += len(c.Shards)
			var read lessor.ShardRowsRead
			for _, name := range c.Shards {
				row := w.shards[name]
				row.Table, row.Key = committer.TableShards, name
				read.Rows = append(read.Rows, row)
			}
			w.update(h, read)
		case lessor.LoadShard:
			w.update(h, lessor.ShardLoaded{Shard: c.Shard, OK: true})
		case lessor.DrainShard:
			w.update(h, lessor.ShardIdle{Shard: c.Shard})
		case lessor.FenceHost, lessor.ClaimShards, lessor.HandOverShard:
			h.queuedWrites = append(h.queuedWrites, func() { w.write(h, command) })
		}
	}
}

func (w *leaseSimulation) readLeases(hosts []string) lessor.LeaseRowsRead {
	w.reads += len(hosts)
	var read lessor.LeaseRowsRead
	for _, name := range hosts {
		h := w.byName[name]
		row := encoder.LeaseRow{Host: name, Incarnation: h.host.Incarnation, State: committer.LeaseRowActive,
			FailureDomain: h.host.FailureDomain, Region: h.host.Region}
		if h.fenced {
			row.State = committer.LeaseRowFenced
		}
		read.Rows = append(read.Rows, provider.Row{Table: committer.TableLeases, Key: name, Version: h.version, Value: encode(row)})
	}
	return read
}

func encode(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // Cannot happen: rows hold only text and numbers.
	}
	return data
}

func (w *leaseSimulation) write(h *leaseHost, command lessor.Command) {
	switch c := command.(type) {
	case lessor.FenceHost:
		other, kind := w.byName[c.Host], provider.KindConflict
		if other.version == c.Version && !other.fenced {
			other.version++
			other.fenced, kind = true, provider.KindNone
		}
		w.update(h, lessor.FenceFinished{Host: c.Host, Kind: kind})
	case lessor.ClaimShards:
		w.update(h, w.claim(c.Claims))
	case lessor.HandOverShard:
		w.put(c.Row)
		w.update(h, lessor.HandoverFinished{Shard: c.Shard, Kind: provider.KindNone})
		w.update(w.byName[c.To], lessor.HandoverReceived{Shard: c.Shard})
	}
}

// claim applies the claims as one transaction: when the version of any row differs,
// it writes nothing and returns a conflict.
func (w *leaseSimulation) claim(claims []lessor.Claim) lessor.ClaimFinished {
	finished := lessor.ClaimFinished{Kind: provider.KindNone}
	for _, claim := range claims {
		finished.Shards = append(finished.Shards, claim.Row.Shard)
		if w.shards[claim.Row.Shard].Version != claim.Version {
			finished.Kind = provider.KindConflict
		}
	}
	if finished.Kind == provider.KindNone {
		for _, claim := range claims {
			w.put(claim.Row)
		}
	}
	return finished
}

func (w *leaseSimulation) put(row encoder.ShardRow) {
	w.shards[row.Shard] = provider.Row{Version: w.shards[row.Shard].Version + 1, Value: encode(row)}
	w.owners[row.Shard] = row.Owner
}
