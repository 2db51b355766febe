package registrar

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// Table lists the daemons by their hosts.
	Table = "daemons"
	// listInterval is the interval at which the list is read, firstListAfter the time
	// after the start at which the others have registered too.
	listInterval   = 10 * time.Second
	firstListAfter = 1500 * time.Millisecond
	// renewEvery counts readings of the list between two renewals of the own entry.
	renewEvery = 6
	// lifetime is how long an entry is believed without a renewal.
	lifetime = 3 * renewEvery * listInterval
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// retryAfter is the pause after a failed call.
	retryAfter = time.Second
	// refreshInterval bounds how often the list is read for a daemon that it lacks. It is
	// far below the time between a daemon's entry and its first calls.
	refreshInterval = 200 * time.Millisecond
)

// Entry is a daemon of the list.
type Entry struct {
	Host    string
	Address string
	Domain  string
	Region  string
}

// Registrar keeps the own entry and the list of the others.
type Registrar struct {
	store provider.RowStore
	own   Entry
	log   *zap.Logger
	peers atomic.Pointer[[]Entry]

	// reading holds one token while the list is being read; it guards readAt, the time of
	// the last reading.
	reading chan struct{}
	readAt  time.Time
}

// New returns a registrar that knows no other daemon yet.
func New(store provider.RowStore, own Entry, log *zap.Logger) *Registrar {
	r := &Registrar{store: store, own: own, log: log, reading: make(chan struct{}, 1)}
	r.peers.Store(&[]Entry{})
	return r
}

// Peers returns the other daemons: those of the own failure domain first, then those of
// the own region.
func (r *Registrar) Peers() []messenger.Peer { return peersOf(*r.peers.Load()) }

// RegionPeers returns the other daemons of the own region, nearest first.
func (r *Registrar) RegionPeers() []messenger.Peer {
	entries := *r.peers.Load()
	if i := slices.IndexFunc(entries, func(e Entry) bool { return e.Region != r.own.Region }); i >= 0 {
		entries = entries[:i]
	}
	return peersOf(entries)
}

func peersOf(entries []Entry) []messenger.Peer {
	peers := make([]messenger.Peer, len(entries))
	for i, e := range entries {
		peers[i] = messenger.Peer{Host: e.Host, Address: e.Address}
	}
	return peers
}

// Run keeps the list until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	round := 0
	for {
		pause := listInterval
		if round == 0 {
			pause = firstListAfter
		}
		if err := r.step(ctx, round); err != nil {
			r.log.Warn("list of daemons", zap.Int("round", round), zap.Error(err))
			pause = retryAfter
		} else {
			round++
		}
		select {
		case <-ctx.Done():
			r.leave()
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
	}
}

func (r *Registrar) step(ctx context.Context, round int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if round%renewEvery == 0 {
		if err := r.renew(ctx); err != nil {
			return err
		}
	}
	return r.read(ctx, 0)
}

// Refresh reads the list unless it was read just now: a daemon that has started since is
// not on it.
func (r *Registrar) Refresh(ctx context.Context) error { return r.read(ctx, refreshInterval) }

// read reads the list unless it is younger than the age.
func (r *Registrar) read(ctx context.Context, age time.Duration) error {
	select {
	case r.reading <- struct{}{}:
		defer func() { <-r.reading }()
	case <-ctx.Done():
		return ctx.Err()
	}
	asked := time.Now()
	if !r.readAt.IsZero() && asked.Sub(r.readAt) < age {
		return nil
	}
	page, err := r.store.Range(ctx, provider.RowRange{Table: Table})
	if err != nil {
		return err
	}
	r.readAt = asked
	r.adopt(asked, page.Rows)
	return nil
}

func (r *Registrar) key() provider.RowKey { return provider.RowKey{Table: Table, Key: r.own.Host} }

func (r *Registrar) renew(ctx context.Context) error {
	value, err := json.Marshal(encoder.PeerEntry{
		Address: r.own.Address, Domain: r.own.Domain, Region: r.own.Region, ExpiresAt: int(time.Now().Add(lifetime).Unix()),
	})
	if err != nil {
		return err
	}
	_, err = r.store.Apply(ctx, provider.RowTransaction{Writes: []provider.RowWrite{{RowKey: r.key(), Value: value}}})
	return err
}

// leave removes the own entry. If it fails, the entry expires.
func (r *Registrar) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout/2)
	defer cancel()
	if _, err := r.store.Apply(ctx, provider.RowTransaction{Deletes: []provider.RowKey{r.key()}}); err != nil {
		r.log.Warn("own entry not removed", zap.Error(err))
	}
}

func (r *Registrar) adopt(now time.Time, rows []provider.VersionedRow) {
	entries := make([]Entry, 0, len(rows))
	for i := range rows {
		var e encoder.PeerEntry
		if err := json.Unmarshal(rows[i].Value, &e); err != nil || e.Address == "" {
			r.log.Warn("entry of a daemon ignored", zap.String("host", rows[i].Key), zap.Error(err))
			continue
		}
		if rows[i].Key == r.own.Host || int64(e.ExpiresAt) <= now.Unix() {
			continue
		}
		entries = append(entries, Entry{Host: rows[i].Key, Address: e.Address, Domain: e.Domain, Region: e.Region})
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(r.distance(a), r.distance(b)), cmp.Compare(a.Host, b.Host))
	})
	if before := len(*r.peers.Load()); before != len(entries) {
		r.log.Info("daemons listed", zap.Int("others", len(entries)), zap.Int("before", before))
	}
	r.peers.Store(&entries)
}

func (r *Registrar) distance(e Entry) int {
	switch {
	case e.Domain == r.own.Domain:
		return 0
	case e.Region == r.own.Region:
		return 1
	}
	return 2
}
