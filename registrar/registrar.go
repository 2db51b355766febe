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
	// Table holds one entry per daemon, by host.
	Table = "daemons"
	// listInterval is the mean interval between rounds, in which a daemon reads the list or renews
	// its entry. startupInterval replaces it after the first round; daemons that started at the same time have registered by then.
	listInterval    = 10 * time.Second
	startupInterval = 1500 * time.Millisecond
	// emptyInterval replaces it while no other daemon is listed, in the first emptyRounds rounds: a
	// daemon that knows no peer cannot reach the store through one.
	emptyInterval = 200 * time.Millisecond
	emptyRounds   = 5
	// roundsPerRenewal is the number of rounds per renewal of this daemon's entry.
	roundsPerRenewal = 6
	// peersPerRound is the number of peers for which one more round passes between two reads of the
	// list, so that the bytes that a daemon reads in a second do not grow with their number.
	peersPerRound = 50
	// startupReads is the number of first rounds that all read the list.
	startupReads = 3
	// entryLifetime is how long an entry is valid without a renewal.
	entryLifetime = 3 * roundsPerRenewal * listInterval
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// retryDelay is the mean delay after a failed round.
	retryDelay = time.Second
	// minRefreshInterval limits how often the list is read to look up a daemon that is missing
	// from it. It is far below the time between a daemon's registration and its first calls.
	minRefreshInterval = 200 * time.Millisecond
)

// Entry describes a listed daemon.
type Entry struct {
	Host    string
	Address string
	Domain  string
	Region  string
}

// Registrar maintains this daemon's entry and a copy of the list of the other daemons.
type Registrar struct {
	store provider.RowStore
	own   Entry
	log   *zap.Logger
	peers atomic.Pointer[[]Entry]

	// readLock has room for one element, which a goroutine puts in before it reads the list
	// and takes out afterwards. It guards lastRead, the time of the last successful read.
	readLock chan struct{}
	lastRead time.Time
	listed   chan struct{}
}

// New returns a Registrar with an empty list.
func New(store provider.RowStore, own Entry, log *zap.Logger) *Registrar {
	r := &Registrar{store: store, own: own, log: log, readLock: make(chan struct{}, 1), listed: make(chan struct{})}
	r.peers.Store(&[]Entry{})
	return r
}

// Peers returns the other daemons, nearest first: those in this daemon's failure domain, those in
// this daemon's region, then all others.
func (r *Registrar) Peers() []messenger.Peer { return peersOf(*r.peers.Load()) }

// RegionPeers returns the other daemons in this daemon's region, nearest first.
func (r *Registrar) RegionPeers() []messenger.Peer { return peersOf(r.RegionEntries()) }

// Entries returns the entries of the other daemons, nearest first. Callers must not modify them. A list
// that has changed is another slice.
func (r *Registrar) Entries() []Entry { return *r.peers.Load() }

// RegionEntries returns the entries of the other daemons in this daemon's region, nearest first.
// Callers must not modify them.
func (r *Registrar) RegionEntries() []Entry {
	entries := *r.peers.Load()
	if i := slices.IndexFunc(entries, func(e Entry) bool { return e.Region != r.own.Region }); i >= 0 {
		return entries[:i]
	}
	return entries
}

// Listed returns a channel that is closed once the list has been read.
func (r *Registrar) Listed() <-chan struct{} { return r.listed }

func peersOf(entries []Entry) []messenger.Peer {
	peers := make([]messenger.Peer, len(entries))
	for i, e := range entries {
		peers[i] = messenger.Peer{Host: e.Host, Address: e.Address}
	}
	return peers
}

// Run registers the daemon, renews its entry and reads the list until the context ends. Then
// it removes the entry.
func (r *Registrar) Run(ctx context.Context) {
	round, starting := 0, true
	for {
		var delay time.Duration
		if err := r.runRound(ctx, round); err != nil {
			r.log.Warn("list of daemons", zap.Int("round", round), zap.Error(err))
			delay = retryDelay
		} else {
			round++
			delay, starting = r.nextDelay(round, starting)
		}
		select {
		case <-ctx.Done():
			r.deregister()
			return
		case <-time.After(delay/2 + rand.N(delay)):
		}
	}
}

// nextDelay returns the mean delay after so many rounds, and whether the daemon is still starting.
func (r *Registrar) nextDelay(rounds int, starting bool) (delay time.Duration, stillStarting bool) {
	switch {
	case !starting:
		return listInterval, false
	case len(*r.peers.Load()) == 0 && rounds < emptyRounds:
		return emptyInterval, true
	}
	return startupInterval, false
}

// runRound renews this daemon's entry and reads the list if these are due.
func (r *Registrar) runRound(ctx context.Context, round int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if round%roundsPerRenewal == 0 {
		if err := r.renewEntry(ctx); err != nil {
			return err
		}
	}
	if !r.readDue(round) {
		return nil
	}
	return r.read(ctx, 0)
}

// readDue reports whether the list is read in a round. The first rounds, in which daemons that
// start together find each other, all read it.
func (r *Registrar) readDue(round int) bool {
	interval := 1 + len(*r.peers.Load())/peersPerRound
	return round < startupReads || round%interval == 0
}

// Refresh reads the list unless it has just been read: a daemon that has started since the
// last read is missing from it.
func (r *Registrar) Refresh(ctx context.Context) error { return r.read(ctx, minRefreshInterval) }

// read reads the list unless the last read is more recent than maxAge.
func (r *Registrar) read(ctx context.Context, maxAge time.Duration) error {
	select {
	case r.readLock <- struct{}{}:
		defer func() { <-r.readLock }()
	case <-ctx.Done():
		return ctx.Err()
	}
	started := time.Now()
	if !r.lastRead.IsZero() && started.Sub(r.lastRead) < maxAge {
		return nil
	}
	page, err := provider.ReadAll(provider.RowRange{Table: Table}, provider.Ranges(ctx, r.store))
	if err != nil {
		return err
	}
	r.setPeers(started, page.Rows)
	if r.lastRead.IsZero() {
		close(r.listed)
	}
	r.lastRead = started
	return nil
}

func (r *Registrar) key() provider.RowKey { return provider.RowKey{Table: Table, Key: r.own.Host} }

func (r *Registrar) renewEntry(ctx context.Context) error {
	value, err := json.Marshal(encoder.PeerEntry{
		Address: r.own.Address, Domain: r.own.Domain, Region: r.own.Region, ExpiresAt: int(time.Now().Add(entryLifetime).Unix()),
	})
	if err != nil {
		return err
	}
	_, err = r.store.Apply(ctx, provider.RowTransaction{Writes: []provider.RowWrite{{RowKey: r.key(), Value: value}}})
	return err
}

// deregister removes this daemon's entry. If this fails, the entry expires.
func (r *Registrar) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout/2)
	defer cancel()
	if _, err := r.store.Apply(ctx, provider.RowTransaction{Deletes: []provider.RowKey{r.key()}}); err != nil {
		r.log.Warn("removing this daemon's entry failed; it will expire", zap.Error(err))
	}
}

// setPeers replaces the list of peers with the valid entries in the rows.
func (r *Registrar) setPeers(now time.Time, rows []provider.VersionedRow) {
	entries := make([]Entry, 0, len(rows))
	for i := range rows {
		var e encoder.PeerEntry
		if err := json.Unmarshal(rows[i].Value, &e); err != nil || e.Address == "" {
			r.log.Warn("unreadable entry of a daemon ignored", zap.String("host", rows[i].Key), zap.Error(err))
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
		r.log.Info("number of listed daemons changed", zap.Int("others", len(entries)), zap.Int("before", before))
	}
	r.peers.Store(&entries)
}

// distance returns 0 for entries in this daemon's failure domain, 1 for others in its region
// and 2 for all others.
func (r *Registrar) distance(e Entry) int {
	switch {
	case e.Domain == r.own.Domain:
		return 0
	case e.Region == r.own.Region:
		return 1
	}
	return 2
}
