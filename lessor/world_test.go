package lessor_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/lessor"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/recoverer"
)

// mutation switches one mechanism off, to show that the checks notice.
type mutation int

const (
	intact mutation = iota
	// noCondition writes without the conditions on row versions.
	noCondition
	// noReadBack takes a lost answer for success.
	noReadBack
	// noLeaseWait fences leases that are still in force.
	noLeaseWait
	// noReplay loads shards without the newest log range.
	noReplay
	// noExpiry lets holders ignore the end of their lease.
	noExpiry
)

const (
	storeTimeout = 2 * time.Second
	detectAfter  = 3 * time.Second
	clockError   = 0.01
)

// event is something that happens at a time of the world's clock.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// world runs several daemons against one store in virtual time.
type world struct {
	mutation mutation
	random   *rand.Rand
	now      time.Duration
	events   []event
	order    int
	tables   *emulator.TableStore
	objects  *emulator.ObjectStore
	daemons  []*daemon
	// acknowledged has the records of each shard that were reported as durable.
	acknowledged map[string][]string
	// owners mirrors the store's shard rows, as "host/incarnation".
	owners map[string]string
	outage bool
	// takeovers counts the transactions that fence a lease or write shard rows.
	takeovers  int
	lose, late float64
	loads      int
	violations []string
	domains    []lessor.Domain
	shards     int
	// idle daemons write no records, for runs at scale.
	idle bool
	// writes and reads are the budgets of all daemons; 0 means the defaults.
	writes, reads float64
}

// daemon is one simulated daemon: committer, lessor and a list of records for each
// shard in place of the sequencer.
type daemon struct {
	world  *world
	name   string
	domain lessor.Domain
	// process counts the starts; a lost lease changes only the incarnation.
	process, incarnation int
	rate                 float64
	committer            *committer.State
	lessor               *lessor.State
	down                 bool
	downAt               time.Duration
	pausedUntil          time.Duration
	cut, flap            bool
	live                 []lessor.Host
	delayed              []func()
	shards               map[string][]string
	waiting              map[committer.Ticket]func(kind provider.Kind, sequence int)
	ticket               committer.Ticket
	nextTick             time.Duration
	draining             map[string]bool
	// kept has shards whose handover is not finished.
	kept map[string][]string
}

func newWorld(seed uint64, count int, mutation mutation) *world {
	return newWorldOf(seed, mutation, []lessor.Domain{{Name: "a", Region: "r"}}, count, 6, 1)
}

// newWorldOf returns a world with a number of hosts and of shards in each domain.
func newWorldOf(seed uint64, mutation mutation, domains []lessor.Domain, hosts, shards int, scale float64) *world {
	w := &world{
		mutation: mutation, random: rand.New(rand.NewPCG(seed, 3)), domains: domains, shards: shards,
		writes: scale * committer.DefaultWritesPerSec, reads: scale * lessor.DefaultReadsPerSec,
		tables:       emulator.NewTableStore(emulator.TableStoreOptions{}, emulator.NewFaults(seed)),
		objects:      emulator.NewObjectStore(emulator.NewFaults(seed)),
		acknowledged: map[string][]string{}, owners: map[string]string{},
	}
	w.tables.Observe(w.observe)
	for _, domain := range domains {
		for range hosts {
			d := &daemon{
				world: w, domain: domain, name: fmt.Sprintf("host-%d", len(w.daemons)),
				rate: 1 + (w.random.Float64()-0.5)*clockError,
			}
			w.daemons = append(w.daemons, d)
		}
	}
	for _, d := range w.daemons {
		d.start()
	}
	w.after(0, w.tick)
	return w
}

func (w *world) after(wait time.Duration, run func()) {
	w.order++
	e := event{w.now + wait, w.order, run}
	at, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	w.events = slices.Insert(w.events, at, e)
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until && len(w.violations) == 0 {
		e := w.events[0]
		w.events = w.events[1:]
		w.now = e.at
		e.run()
	}
	w.now = until
}

func (w *world) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// observe checks that only the owner of a shard writes records of it.
func (w *world) observe(transaction provider.Transaction, _ provider.CommitResult) {
	if t := transaction.Writes; t[0].Table == committer.TableShards || len(t) > 1 && t[1].Table == committer.TableShards ||
		strings.Contains(string(t[0].Value), `"fencedBy"`) {
		w.takeovers++
	}
	for _, write := range transaction.Writes {
		switch {
		case write.Table == committer.TableShards:
			var row encoder.ShardRow
			_ = json.Unmarshal(write.Value, &row)
			w.owners[row.Shard] = row.Owner + "/" + row.Incarnation
		case write.Table == committer.TableLog && !write.Delete:
			batch, _ := committer.DecodeBatch(write.Value)
			writer := write.Key[:strings.LastIndexByte(write.Key, '/')]
			for _, record := range batch.Records {
				if owner := w.owners[record.Shard]; owner != writer {
					w.violation("%s wrote a record of %s, which %s owns", writer, record.Shard, owner)
				}
			}
		}
	}
}

// tick drives the daemons' clocks and load, and their view of live hosts.
func (w *world) tick() {
	for _, d := range w.daemons {
		if d.down {
			continue
		}
		d.deliver(func() {
			d.toLessor(lessor.Tick{})
			if !w.idle {
				d.work()
			}
		})
		if w.now%time.Second == 0 {
			d.deliver(d.view)
		}
	}
	w.after(125*time.Millisecond, w.tick)
}

// view tells the lessor of the live hosts when they have changed.
func (d *daemon) view() {
	if live := d.world.live(d); !slices.Equal(live, d.live) {
		d.live = live
		d.toLessor(lessor.HostsChanged{Live: live})
	}
}

func (w *world) live(self *daemon) []lessor.Host {
	var hosts []lessor.Host
	for _, d := range w.daemons {
		silent := d.down && w.now > d.downAt+detectAfter || d.flap || d.pausedUntil > 0 && w.now < d.pausedUntil && w.now > d.pausedUntil-detectAfter
		if d == self || !silent {
			hosts = append(hosts, d.host())
		}
	}
	return hosts
}

// start begins a new incarnation of the daemon.
func (d *daemon) start() {
	d.process++
	d.incarnation++
	d.nextTick = 0
	d.down, d.pausedUntil, d.delayed = false, 0, nil
	d.shards, d.draining = map[string][]string{}, map[string]bool{}
	d.live = nil
	d.kept = map[string][]string{}
	d.waiting = map[committer.Ticket]func(provider.Kind, int){}
	seed := uint64(d.incarnation)
	// A third of the messages are large, so that objects are part of the log.
	d.committer = committer.New(committer.Options{Host: d.name, Incarnation: d.run(), Seed: seed, MaxRecordBytes: 40, WritesPerSec: d.world.writes})
	options := lessor.Options{
		Self: d.host(), Domains: d.world.domains, ShardsPerDomain: d.world.shards, ReadsPerSec: d.world.reads,
		Lease: committer.DefaultLease, ClockRateError: clockError, StabilizationPeriod: 5 * time.Second, Seed: seed,
	}
	if d.world.mutation == noLeaseWait {
		options.ClockRateError = -0.7
	}
	d.lessor = lessor.New(options)
	d.toCommitter(committer.LiveHostsChanged{Hosts: len(d.world.daemons)})
}

func (d *daemon) host() lessor.Host {
	return lessor.Host{Name: d.name, FailureDomain: d.domain.Name, Region: d.domain.Region}
}

func (d *daemon) run() string { return fmt.Sprintf("%s-%d", d.name, d.incarnation) }

func (d *daemon) now() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(d.world.now) * d.rate))
}

// deliver runs now, or when the daemon's pause ends, unless the process has ended.
func (d *daemon) deliver(run func()) {
	if d.down {
		return
	}
	if d.world.now < d.pausedUntil {
		if len(d.delayed) == 0 {
			d.world.after(d.pausedUntil-d.world.now, d.resume)
		}
		d.delayed = append(d.delayed, run)
		return
	}
	run()
}

func (d *daemon) resume() {
	delayed := d.delayed
	d.delayed = nil
	for _, run := range delayed {
		d.deliver(run)
	}
}

// later delivers the answer of a request to the process that sent it.
func (d *daemon) later(wait time.Duration, run func()) {
	process := d.process
	d.world.after(wait, func() {
		if d.process == process {
			d.deliver(run)
		}
	})
}

// request sends a request through the faulty network. reply is called with whether
// the answer arrived in time.
func (d *daemon) request(effect func(), reply func(kind provider.Kind)) {
	w := d.world
	if w.outage {
		d.later(time.Millisecond, func() { reply(provider.KindUnavailable) })
		return
	}
	there := time.Millisecond + time.Duration(w.random.Int64N(int64(4*time.Millisecond)))
	if w.random.Float64() < w.late {
		there += time.Duration(w.random.Int64N(int64(20 * time.Second)))
	}
	if !d.cut && w.random.Float64() >= w.lose {
		w.after(there, effect)
		if back := 2 * there; back < storeTimeout && w.random.Float64() >= w.lose {
			d.later(back, func() { reply(provider.KindNone) })
			return
		}
	}
	d.later(storeTimeout, func() { reply(provider.KindUnknown) })
}

// commit sends a transaction.
func (d *daemon) commit(transaction provider.Transaction, finished func(provider.CommitResult, provider.Kind)) {
	if d.world.mutation == noCondition {
		transaction.Conditions = nil
	}
	var result provider.CommitResult
	var err error
	d.request(func() { result, err = d.world.tables.Apply(transaction) }, func(kind provider.Kind) {
		if kind == provider.KindNone {
			kind = provider.KindOf(err)
		}
		if kind == provider.KindUnknown && d.world.mutation == noReadBack {
			kind = provider.KindNone
			result.Versions = make([]int64, len(transaction.Writes))
			result.Versions[0] = transaction.Conditions[0].Version + 1
		}
		finished(result, kind)
	})
}

func (d *daemon) toCommitter(message committer.Message) {
	if d.down {
		return
	}
	for _, command := range d.committer.Update(d.now(), message) {
		switch c := command.(type) {
		case committer.CommitTransaction:
			d.commit(c.Transaction, func(result provider.CommitResult, kind provider.Kind) {
				d.toCommitter(committer.CommitFinished{ID: c.Transaction.ID, Kind: kind, Versions: result.Versions})
			})
		case committer.ReadLeaseRow:
			var row provider.Row
			d.request(func() { row = d.world.tables.Get(committer.TableLeases, d.name) }, func(kind provider.Kind) {
				d.toCommitter(committer.LeaseRowRead{Row: row, Kind: kind})
			})
		case committer.PutObject:
			d.request(func() { _ = d.world.objects.ForCaller(d.name).Put(context.Background(), c.Name, c.Value) },
				func(kind provider.Kind) { d.toCommitter(committer.PutFinished{Name: c.Name, Kind: kind}) })
		case committer.TicketCommitted:
			d.finish(c.Ticket, provider.KindNone, c.Sequence)
		case committer.TicketDropped:
			d.finish(c.Ticket, provider.KindFenced, 0)
		case committer.TicketRejected:
			d.finish(c.Ticket, c.Kind, 0)
		case committer.LeaseRenewed:
			d.toLessor(lessor.LeaseRenewed{SentAt: c.SentAt, Incarnation: c.Incarnation, Past: c.Past})
		case committer.LeaseLost:
			d.toLessor(lessor.LeaseLost{})
			d.incarnation++
			incarnation := d.run()
			d.later(0, func() { d.toCommitter(committer.Restarted{Incarnation: incarnation}) })
		}
	}
	d.arm()
}

// arm schedules the committer's next tick.
func (d *daemon) arm() {
	next := d.committer.Next()
	if next.IsZero() {
		return
	}
	at := time.Duration(float64(next.Sub(time.Unix(0, 0)))/d.rate) + time.Microsecond
	if at = max(at, d.world.now); d.nextTick > d.world.now && d.nextTick <= at {
		return
	}
	d.nextTick = at
	d.later(at-d.world.now, func() { d.nextTick = 0; d.toCommitter(committer.Tick{}) })
}

func (d *daemon) append(request committer.AppendRequested, done func(kind provider.Kind, sequence int)) {
	d.ticket++
	request.Ticket = d.ticket
	d.waiting[d.ticket] = done
	d.toCommitter(request)
}

func (d *daemon) finish(ticket committer.Ticket, kind provider.Kind, sequence int) {
	done := d.waiting[ticket]
	delete(d.waiting, ticket)
	done(kind, sequence)
}

// loader reads without faults; time for reading is simulated by the caller.
func (d *daemon) loader() *recoverer.Loader {
	stores := committer.Stores{Tables: d.world.tables.ForCaller(d.name), Objects: d.world.objects.ForCaller(d.name)}
	return recoverer.NewLoader(stores, rate.NewLimiter(rate.Inf, 1))
}
