package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/lessor"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/recoverer"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
)

// ownerMessage is a message to the loop of an ownership.
type ownerMessage interface{ isOwnerMessage() }

type ownerTick struct{}

// lessorMessage is for the lessor as it is.
type lessorMessage struct{ message lessor.Message }

// committed is a report of the committer.
type committed struct{ command committer.Command }

// appended notes what a ticket adds to the log.
type appended struct {
	shards []string
	bytes  int
}

// restart continues under a new incarnation: the program loop has given up all
// shards of the old one.
type restart struct{}

func (ownerTick) isOwnerMessage()     {}
func (lessorMessage) isOwnerMessage() {}
func (committed) isOwnerMessage()     {}
func (appended) isOwnerMessage()      {}
func (restart) isOwnerMessage()       {}

// Periods and bounds of an ownership.
const (
	ownerTickEvery = 100 * time.Millisecond
	collectEvery   = 10 * time.Minute
	// committerRoom is the factor between the bounds of the committer and those of
	// the sequencer, which refuses calls first: a ticket must never be refused.
	committerRoom = 4
	// replayShare is the part of the store's reads that replays may use: one in so
	// many, shared by all live daemons. maxReadBurst bounds what is saved up.
	replayShare  = 2
	maxReadBurst = 8
	// readTimeout bounds a request of the ownership to the store.
	readTimeout = 3 * time.Second
)

// ownership is the Owner over the table service. A loop of its own owns the states
// of lessor and recoverer; the committer's runner has another one.
type ownership struct {
	d           *Daemon
	port        ProgramPort
	loop        *Loop[ownerMessage]
	recoverer   *recoverer.State
	runner      *committer.Runner
	loader      *recoverer.Loader
	collector   *recoverer.Collector
	incarnation string
	// waiting has what follows the internal tickets.
	waiting  map[committer.Ticket]func(kind provider.Kind, sequence int)
	draining map[string]bool
	// kept has the shards that are being handed over, as they were taken from the
	// program loop.
	kept      map[string]sequencer.ShardAcquired
	limit     *rate.Limiter
	collectAt time.Time
	released  chan struct{}

	// mu guards lessor, which traffic reads to route.
	mu     sync.Mutex
	lessor *lessor.State

	ticket         atomic.Int64
	storeReachable atomic.Bool
	shards         atomic.Int64
}

func newOwner(d *Daemon) Owner {
	settings := d.settings
	milliseconds := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	stores := committer.Stores{Tables: boundedTables{d.platform.Tables}, Objects: d.platform.Objects}
	limit := rate.NewLimiter(rate.Limit(settings.Store.ReadsPerSec/replayShare), maxReadBurst)
	o := &ownership{
		d: d, port: d, loop: NewLoop[ownerMessage](), incarnation: d.incarnation,
		recoverer: recoverer.New(recoverer.Options{}), loader: recoverer.NewLoader(stores, limit),
		collector: recoverer.NewCollector(stores, limit),
		waiting:   map[committer.Ticket]func(provider.Kind, int){}, draining: map[string]bool{},
		kept: map[string]sequencer.ShardAcquired{}, limit: limit,
		released: make(chan struct{}),
	}
	options := lessor.Options{
		Self:            lessor.Host{Name: settings.Host, FailureDomain: settings.FailureDomain, Region: settings.Region, Incarnation: d.incarnation},
		ShardsPerDomain: settings.ShardsPerDomain, Lease: milliseconds(settings.Timing.LeaseDurationMs),
		ClockRateError: committer.DefaultClockRateError, ReadsPerSec: settings.Store.ReadsPerSec, Seed: d.seed,
	}
	for _, domain := range settings.Domains {
		options.Domains = append(options.Domains, lessor.Domain{Name: domain.Name, Region: domain.Region})
	}
	o.lessor = lessor.New(options)
	o.storeReachable.Store(true)
	o.runner = committer.NewRunner(committer.New(committer.Options{
		Host: settings.Host, Address: settings.PeerAddress, FailureDomain: settings.FailureDomain, Region: settings.Region,
		Incarnation: d.incarnation, Lease: milliseconds(settings.Timing.LeaseDurationMs), WritesPerSec: settings.Store.WritesPerSec,
		MaxPendingRecords: committerRoom * settings.Store.MaxPendingRecords,
		MaxPendingBytes:   committerRoom * settings.Store.MaxPendingBytes, Seed: d.seed,
	}), stores, d.platform.Clock, o.deliver)
	return o
}

// Run owns shards until the context ends or a drain is complete.
func (o *ownership) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group conc.WaitGroup
	group.Go(func() {
		o.runner.Run(ctx)
		close(o.released)
	})
	group.Go(func() { o.d.tick(ctx, ownerTickEvery, func() { o.loop.Post(ownerTick{}) }) })
	group.Go(func() { o.loop.Run(ctx, o.handle) })
	select {
	case <-ctx.Done():
	case <-o.released:
	}
	cancel()
	group.Wait()
}

// Append makes the records of a ticket durable.
func (o *ownership) Append(ticket uint64, records []encoder.Record) {
	var note appended
	for i := range records {
		note.bytes += len(records[i].Body)
		if n := len(note.shards); n == 0 || note.shards[n-1] != records[i].Shard {
			note.shards = append(note.shards, records[i].Shard)
		}
	}
	o.loop.Post(note)
	err := o.runner.Append(committer.AppendRequested{Ticket: committer.Ticket(ticket), Records: records})
	if err != nil {
		o.d.logger.Error("records were refused by the committer", zap.Error(err))
		o.port.Deliver(sequencer.RecordsDropped{Ticket: ticket})
	}
}

// LeaseValid reports whether the lease is held now.
func (o *ownership) LeaseValid() bool { return o.runner.LeaseValid() }

// Owner returns the owner of a shard, or the host that should own it: that host
// answers with the owner that it knows.
func (o *ownership) Owner(shard string) (string, int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	host, epoch, _ := o.lessor.Owner(shard)
	return host, epoch, host != ""
}

// Owned returns the epochs of the shards that are loaded.
func (o *ownership) Owned() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := map[string]int{}
	for _, shard := range o.lessor.Owned() {
		_, owned[shard], _ = o.lessor.Owner(shard)
	}
	return owned
}

// HostsChanged gives the daemons that are live.
func (o *ownership) HostsChanged(hosts []OwnerHost) {
	var live []lessor.Host
	for _, h := range hosts {
		live = append(live, lessor.Host{
			Name: h.Name, FailureDomain: h.FailureDomain, Region: h.Region, Incarnation: h.Incarnation, Leaving: h.Leaving,
		})
	}
	o.runner.Send(committer.LiveHostsChanged{Hosts: len(live)})
	o.limit.SetLimit(rate.Limit(o.d.settings.Store.ReadsPerSec / replayShare / float64(max(1, len(live)))))
	o.loop.Post(lessorMessage{lessor.HostsChanged{Live: live}})
}

// ShardHandedOver says that another daemon has handed a shard to this one.
func (o *ownership) ShardHandedOver(shard string, _ int) {
	o.loop.Post(lessorMessage{lessor.HandoverReceived{Shard: shard}})
}

// OwnerLearned says whom another daemon takes to be the owner of a shard.
func (o *ownership) OwnerLearned(shard, host string, epoch int) {
	o.loop.Post(lessorMessage{lessor.OwnerLearned{Shard: shard, Owner: host, Epoch: epoch}})
}

// Drain hands all shards over and then releases the lease.
func (o *ownership) Drain() { o.loop.Post(lessorMessage{lessor.DrainRequested{}}) }

// Figures returns figures for status and metrics.
func (o *ownership) Figures() OwnerFigures {
	return OwnerFigures{
		Shards: int(o.shards.Load()), Backlog: o.runner.BacklogRatio(), StoreReachable: o.storeReachable.Load(),
	}
}

// deliver takes the reports of the committer, in its goroutine. Reports about the
// sequencer's tickets, which are positive, go to the program loop directly.
func (o *ownership) deliver(command committer.Command) {
	switch c := command.(type) {
	case committer.TicketCommitted:
		if c.Ticket > 0 {
			o.port.Deliver(sequencer.RecordsCommitted{Ticket: uint64(c.Ticket)})
		}
	case committer.TicketDropped:
		if c.Ticket > 0 {
			o.port.Deliver(sequencer.RecordsDropped{Ticket: uint64(c.Ticket)})
		}
	case committer.TicketRejected:
		if c.Ticket > 0 {
			o.d.logger.Error("records were refused by the committer", zap.Int64("ticket", int64(c.Ticket)))
			o.port.Deliver(sequencer.RecordsDropped{Ticket: uint64(c.Ticket)})
		}
	case committer.StoreHealthChanged:
		o.storeReachable.Store(c.Reachable)
		o.port.Deliver(sequencer.StoreReachabilityChanged{Reachable: c.Reachable})
	}
	o.loop.Post(committed{command})
}

func (o *ownership) handle(message ownerMessage) {
	switch m := message.(type) {
	case ownerTick:
		o.lease(lessor.Tick{})
		o.recover(recoverer.Tick{})
		o.checkIdle()
		o.collect()
	case lessorMessage:
		o.lease(m.message)
	case snapshotStored:
		if m.incarnation == o.incarnation {
			o.recover(m.message)
		}
	case committed:
		o.committed(m.command)
	case appended:
		o.recover(recoverer.LogAppended{Bytes: m.bytes})
		for _, shard := range m.shards {
			o.recover(recoverer.RecordsWritten{Shard: shard})
		}
	case shardRead:
		o.acquire(m)
	case shardTaken:
		o.storeHandOver(m)
	case handOverReady:
		o.writeHandOver(m)
	case restart:
		o.incarnation = o.d.newID()
		o.d.logger.Warn("continuing under a new incarnation", zap.String("incarnation", o.incarnation))
		o.runner.Send(committer.Restarted{Incarnation: o.incarnation})
	}
}

// committed handles a report of the committer in the loop.
func (o *ownership) committed(command committer.Command) {
	switch c := command.(type) {
	case committer.TicketCommitted:
		o.recover(recoverer.LogAppended{Sequence: c.Sequence})
		o.finish(c.Ticket, provider.KindNone, c.Sequence)
	case committer.TicketDropped:
		o.finish(c.Ticket, provider.KindFenced, 0)
	case committer.TicketRejected:
		o.finish(c.Ticket, c.Kind, 0)
	case committer.LeaseRenewed:
		o.lease(lessor.LeaseRenewed{SentAt: c.SentAt, Incarnation: c.Incarnation, Past: c.Past})
	case committer.LeaseLost:
		o.d.logger.Warn("the lease was taken by another daemon")
		// What is under way for the old incarnation must not reach the new one.
		o.incarnation = ""
		clear(o.draining)
		clear(o.kept)
		o.lease(lessor.LeaseLost{})
		o.recover(recoverer.LeaseLost{})
		// No record of a shard of the old incarnation may follow under the new one:
		// it starts when the program loop has dropped all of them.
		o.port.Query(func(*sequencer.State) { o.loop.Post(restart{}) })
	}
}

// request sends a request of the ownership's own to the committer; its tickets are
// negative. done is called in the loop.
func (o *ownership) request(r committer.AppendRequested, done func(kind provider.Kind, sequence int)) {
	r.Ticket = committer.Ticket(o.ticket.Add(-1))
	o.waiting[r.Ticket] = done
	if err := o.runner.Append(r); err != nil {
		o.finish(r.Ticket, provider.KindUnavailable, 0)
	}
}

func (o *ownership) finish(ticket committer.Ticket, kind provider.Kind, sequence int) {
	if done, ok := o.waiting[ticket]; ok {
		delete(o.waiting, ticket)
		done(kind, sequence)
	}
}

// collect deletes the logs of incarnations that nobody needs any more.
func (o *ownership) collect() {
	now := o.d.platform.Clock.Now()
	if o.collectAt.IsZero() {
		o.collectAt = now.Add(collectEvery)
	}
	if now.Before(o.collectAt) {
		return
	}
	o.collectAt = now.Add(collectEvery)
	o.mu.Lock()
	preferred := o.lessor.IsPreferred("collector")
	o.mu.Unlock()
	if !preferred {
		return
	}
	o.d.effect(func(ctx context.Context) {
		if n, err := o.collector.Collect(ctx); err != nil {
			o.d.logger.Info("collection of old logs failed", zap.Int("deleted", n), zap.Error(err))
		}
	})
}
