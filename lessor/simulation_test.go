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

// mutation disables one mechanism, to show that the checks detect it.
type mutation int

const (
	noMutation mutation = iota
	// noCondition writes without the conditions on row versions.
	noCondition
	// noReadBack treats a lost response as a success.
	noReadBack
	// noLeaseWait fences leases that are still valid.
	noLeaseWait
	// noReplay loads shards without the newest log range.
	noReplay
	// noExpiry lets holders act after the end of their lease.
	noExpiry
)

const (
	storeTimeout   = 2 * time.Second
	detectionDelay = 3 * time.Second
	clockError     = 0.01
)

// event is a function to run at an instant of the simulation's clock.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// simulation runs several daemons against one store in virtual time.
type simulation struct {
	mutation     mutation
	random       *rand.Rand
	now          time.Duration
	events       []event
	lastSequence int
	tables       *emulator.TableStore
	objects      *emulator.ObjectStore
	daemons      []*daemon
	// acknowledged has the records of each shard that were reported as durable.
	acknowledged map[string][]string
	// owners mirrors the store's shard rows, as "host/incarnation".
	owners map[string]string
	outage bool
	// takeovers counts the transactions that fence a lease or write shard rows.
	takeovers           int
	lossRate, delayRate float64
	loads               int
	violations          []string
	domains             []lessor.Domain
	shards              int
	// idle daemons write no records, for simulations at full scale.
	idle bool
	// writesPerSec and readsPerSec are the budgets of all daemons; 0 means the
	// defaults.
	writesPerSec, readsPerSec float64
}

// daemon is a simulated daemon: a committer, a lessor and, in place of a sequencer,
// the list of records of each shard.
type daemon struct {
	simulation *simulation
	name       string
	domain     lessor.Domain
	// process counts the starts of the process; a lost lease changes only the
	// incarnation.
	process, incarnation int
	clockRate            float64
	committer            *committer.State
	lessor               *lessor.State
	down                 bool
	downAt               time.Duration
	pausedAt             time.Duration
	pausedUntil          time.Duration
	// isolated daemons get no requests through to the store; flapping ones are not
	// live for the others.
	isolated, flapping bool
	live               []lessor.Host
	delayed            []func()
	shards             map[string][]string
	waiting            map[committer.Ticket]func(kind provider.Kind, sequence int)
	ticket             committer.Ticket
	nextTick           time.Duration
	draining           map[string]bool
	// inHandover has the records of the shards whose handover is not finished.
	inHandover map[string][]string
}

func newSimulation(seed uint64, count int, mutation mutation) *simulation {
	return newSimulationOf(seed, mutation, []lessor.Domain{{Name: "a", Region: "r"}}, count, 6, 1)
}

// newSimulationOf returns a simulation with a number of hosts and of shards in each
// failure domain.
func newSimulationOf(seed uint64, mutation mutation, domains []lessor.Domain, hosts, shards int, scale float64) *simulation {
	s := &simulation{
		mutation: mutation, random: rand.New(rand.NewPCG(seed, 3)), domains: domains, shards: shards,
		writesPerSec: scale * committer.DefaultWritesPerSec, readsPerSec: scale * lessor.DefaultReadsPerSec,
		tables:       emulator.NewTableStore(emulator.TableStoreOptions{}, emulator.NewFaults(seed)),
		objects:      emulator.NewObjectStore(emulator.NewFaults(seed)),
		acknowledged: map[string][]string{}, owners: map[string]string{},
	}
	s.tables.Observe(s.observe)
	for _, domain := range domains {
		for range hosts {
			d := &daemon{
				simulation: s, domain: domain, name: fmt.Sprintf("host-%d", len(s.daemons)),
				clockRate: 1 + (s.random.Float64()-0.5)*clockError,
			}
			s.daemons = append(s.daemons, d)
		}
	}
	for _, d := range s.daemons {
		d.start()
	}
	s.after(0, s.tick)
	return s
}

// after schedules run at a time relative to now.
func (s *simulation) after(wait time.Duration, run func()) {
	s.lastSequence++
	e := event{s.now + wait, s.lastSequence, run}
	at, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
	})
	s.events = slices.Insert(s.events, at, e)
}

// run processes events up to a time or the first violation.
func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until && len(s.violations) == 0 {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.run()
	}
	s.now = until
}

func (s *simulation) reportViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// observe checks that only the owner of a shard writes its records.
func (s *simulation) observe(transaction provider.Transaction, _ provider.CommitResult) {
	if t := transaction.Writes; t[0].Table == committer.TableShards || len(t) > 1 && t[1].Table == committer.TableShards ||
		strings.Contains(string(t[0].Value), `"fencedBy"`) {
		s.takeovers++
	}
	for _, write := range transaction.Writes {
		switch {
		case write.Table == committer.TableShards:
			var row encoder.ShardRow
			_ = json.Unmarshal(write.Value, &row)
			s.owners[row.Shard] = row.Owner + "/" + row.Incarnation
		case write.Table == committer.TableLog && !write.Delete:
			batch, _ := committer.DecodeBatch(write.Value)
			writer := write.Key[:strings.LastIndexByte(write.Key, '/')]
			for _, record := range batch.Records {
				if owner := s.owners[record.Shard]; owner != writer {
					s.reportViolation("%s wrote a record of %s, which %s owns", writer, record.Shard, owner)
				}
			}
		}
	}
}

// tick sends ticks to the daemons, generates load and updates the daemons' live hosts.
func (s *simulation) tick() {
	for _, d := range s.daemons {
		if d.down {
			continue
		}
		d.deliver(func() {
			d.toLessor(lessor.Tick{})
			if !s.idle {
				d.actAsOwner()
			}
		})
		if s.now%time.Second == 0 {
			d.deliver(d.updateLiveHosts)
		}
	}
	s.after(125*time.Millisecond, s.tick)
}

// updateLiveHosts sends the live hosts to the lessor when they have changed.
func (d *daemon) updateLiveHosts() {
	if live := d.simulation.liveHosts(d); !slices.Equal(live, d.live) {
		d.live = live
		d.toLessor(lessor.HostsChanged{Live: live})
	}
}

// liveHosts returns the hosts that a daemon sees as live. A stopped host is missing
// once detectionDelay has passed, a paused one during the last detectionDelay of its
// pause.
func (s *simulation) liveHosts(self *daemon) []lessor.Host {
	var hosts []lessor.Host
	for _, d := range s.daemons {
		unreachable := d.down && s.now > d.downAt+detectionDelay || d.flapping || s.now < d.pausedUntil && s.now > d.pausedAt+detectionDelay
		if d == self || !unreachable {
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
	d.inHandover = map[string][]string{}
	d.waiting = map[committer.Ticket]func(provider.Kind, int){}
	seed := uint64(d.incarnation)
	// The limit is low, so that many records are stored as objects.
	d.committer = committer.New(committer.Options{Host: d.name, Incarnation: d.incarnationName(), Seed: seed, MaxRecordBytes: 40, WritesPerSec: d.simulation.writesPerSec})
	options := lessor.Options{
		Self: d.host(), Domains: d.simulation.domains, ShardsPerDomain: d.simulation.shards, ReadsPerSec: d.simulation.readsPerSec,
		Lease: committer.DefaultLease, ClockRateError: clockError, StabilizationPeriod: 5 * time.Second, Seed: seed,
	}
	if d.simulation.mutation == noLeaseWait {
		options.ClockRateError = -0.7
	}
	d.lessor = lessor.New(options)
	d.toCommitter(committer.LiveHostsChanged{Hosts: len(d.simulation.daemons)})
}

func (d *daemon) host() lessor.Host {
	return lessor.Host{Name: d.name, FailureDomain: d.domain.Name, Region: d.domain.Region}
}

func (d *daemon) incarnationName() string { return fmt.Sprintf("%s-%d", d.name, d.incarnation) }

func (d *daemon) now() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(d.simulation.now) * d.clockRate))
}

// deliver calls run now, or at the end of the daemon's pause. It drops run when the
// process has ended.
func (d *daemon) deliver(run func()) {
	if d.down {
		return
	}
	if d.simulation.now < d.pausedUntil {
		if len(d.delayed) == 0 {
			d.simulation.after(d.pausedUntil-d.simulation.now, d.resume)
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

// deliverAfter delivers the response to a request after a delay, unless the process
// that sent the request has ended.
func (d *daemon) deliverAfter(wait time.Duration, run func()) {
	process := d.process
	d.simulation.after(wait, func() {
		if d.process == process {
			d.deliver(run)
		}
	})
}

// request simulates a request over an unreliable network. It calls reply with KindNone
// if the response arrives within storeTimeout, with KindUnavailable during an outage
// and with KindUnknown otherwise.
func (d *daemon) request(effect func(), reply func(kind provider.Kind)) {
	s := d.simulation
	if s.outage {
		d.deliverAfter(time.Millisecond, func() { reply(provider.KindUnavailable) })
		return
	}
	requestDelay := time.Millisecond + time.Duration(s.random.Int64N(int64(4*time.Millisecond)))
	if s.random.Float64() < s.delayRate {
		requestDelay += time.Duration(s.random.Int64N(int64(20 * time.Second)))
	}
	if !d.isolated && s.random.Float64() >= s.lossRate {
		s.after(requestDelay, effect)
		if roundTrip := 2 * requestDelay; roundTrip < storeTimeout && s.random.Float64() >= s.lossRate {
			d.deliverAfter(roundTrip, func() { reply(provider.KindNone) })
			return
		}
	}
	d.deliverAfter(storeTimeout, func() { reply(provider.KindUnknown) })
}

// commit sends a transaction to the store.
func (d *daemon) commit(transaction provider.Transaction, finished func(provider.CommitResult, provider.Kind)) {
	if d.simulation.mutation == noCondition {
		transaction.Conditions = nil
	}
	var result provider.CommitResult
	var err error
	d.request(func() { result, err = d.simulation.tables.Apply(transaction) }, func(kind provider.Kind) {
		if kind == provider.KindNone {
			kind = provider.KindOf(err)
		}
		if kind == provider.KindUnknown && d.simulation.mutation == noReadBack {
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
			d.request(func() { row = d.simulation.tables.Get(committer.TableLeases, d.name) }, func(kind provider.Kind) {
				d.toCommitter(committer.LeaseRowRead{Row: row, Kind: kind})
			})
		case committer.PutObject:
			d.request(func() { _ = d.simulation.objects.ForCaller(d.name).Put(context.Background(), c.Name, c.Value) },
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
			incarnation := d.incarnationName()
			d.deliverAfter(0, func() { d.toCommitter(committer.Restarted{Incarnation: incarnation}) })
		}
	}
	d.scheduleTick()
}

// scheduleTick schedules the committer's next tick.
func (d *daemon) scheduleTick() {
	next := d.committer.Next()
	if next.IsZero() {
		return
	}
	at := time.Duration(float64(next.Sub(time.Unix(0, 0)))/d.clockRate) + time.Microsecond
	if at = max(at, d.simulation.now); d.nextTick > d.simulation.now && d.nextTick <= at {
		return
	}
	d.nextTick = at
	d.deliverAfter(at-d.simulation.now, func() { d.nextTick = 0; d.toCommitter(committer.Tick{}) })
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

// loader returns a loader that reads without faults; the caller simulates the time for
// reading.
func (d *daemon) loader() *recoverer.Loader {
	stores := committer.Stores{Tables: d.simulation.tables.ForCaller(d.name), Objects: d.simulation.objects.ForCaller(d.name)}
	return recoverer.NewLoader(stores, rate.NewLimiter(rate.Inf, 1))
}
