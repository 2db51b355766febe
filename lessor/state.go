package lessor

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// shardView is what the state knows of one shard.
type shardView struct {
	name    string
	hash    uint64
	domain  Domain
	state   string
	row     encoder.ShardRow
	version int64
	known   bool
	rank    int
	// receivedAt is when the row was received.
	receivedAt time.Time
	// reading is set while the row is being read; readAt is when to read it next.
	reading bool
	readAt  time.Time
	// freeSince is when the shard was first seen without an owner.
	freeSince time.Time
	loadAt    time.Time
	// claimed is the row of the claim in flight, to the target of a handover.
	claimed encoder.ShardRow
	to      string
	// invited is set when the row has to be read although others are preferred.
	invited bool
	// learned is the owner that another daemon has named.
	learned      string
	learnedEpoch int
}

// hostView is what the state knows of one other host.
type hostView struct {
	host Host
	hash uint64
	live bool
	// since is when the host became live.
	since time.Time
	// watched is the own turn among the watchers; Watchers means not watched.
	watched int
	// wanted marks an owner of a shard that this daemon cares for.
	wanted bool
	// urgent is set when this daemon ranks first for that shard.
	urgent  bool
	reading bool
	readAt  time.Time
	fencing bool

	known   bool
	row     encoder.LeaseRow
	version int64
	// seenAt is when the version was first received, lastAt when it was last
	// received.
	seenAt, lastAt time.Time
	// requestedAt is when the last read was requested, sentAt when the one was whose
	// result this is.
	requestedAt, sentAt time.Time
	// endedAt is when the lease was first seen to have ended.
	endedAt  time.Time
	excluded bool
	// restartedAt is when the host was last seen to have begun a new run.
	restartedAt time.Time
}

// State decides on the ownership of shards. It has no I/O.
type State struct {
	options Options
	random  *rand.Rand
	out     []Command

	incarnation string
	leaseUntil  time.Time
	valid       bool
	draining    bool
	drained     bool

	hosts   map[string]*hostView
	views   []*hostView
	places  places
	settled places
	// settleAt is when the next host settles.
	settleAt time.Time

	shards map[string]*shardView
	// cared lists, in a fixed order, the shards that are owned or for which this
	// daemon ranks among the first.
	order, cared []*shardView

	claiming   bool
	handoverAt time.Time
	// proposed is a host that should get a shard and whose lease is not known.
	proposed string
	// leasesFirst alternates, so that reads of leases and of shards share the budget.
	leasesFirst bool
	tokens      float64
	tokensAt    time.Time
}

// New returns a state that owns nothing.
func New(options Options) *State {
	options.fillDefaults()
	s := &State{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 2)),
		hosts:   map[string]*hostView{},
		shards:  map[string]*shardView{},
	}
	for _, domain := range options.Domains {
		for number := range options.ShardsPerDomain {
			name := ShardName(domain.Name, number)
			shard := &shardView{name: name, hash: xxhash.Sum64String(name), domain: domain, rank: claimRanks, state: shardChart.Initial()}
			s.shards[name] = shard
			s.order = append(s.order, shard)
		}
	}
	return s
}

// Update takes one message and returns the commands to execute.
func (s *State) Update(now time.Time, message Message) []Command {
	s.out = nil
	s.checkLease(now)
	switch m := message.(type) {
	case HostsChanged:
		s.hostsChanged(now, m.Live)
	case LeaseRowsRead:
		s.leasesRead(now, m)
	case ShardRowsRead:
		s.shardsRead(now, m)
	case LeaseRenewed:
		s.renewed(now, m)
	case LeaseLost:
		s.lost()
	case DrainRequested:
		s.draining = true
		s.recount(now)
	case FenceFinished:
		s.fenceFinished(now, m)
	case ClaimFinished:
		s.claimFinished(now, m)
	case ShardLoaded:
		s.shardLoaded(now, m)
	case ShardIdle:
		s.shardIdle(m.Shard)
	case HandoverFinished:
		s.handoverFinished(now, m)
	case HandoverReceived:
		s.handoverReceived(now, m.Shard)
	case OwnerLearned:
		s.ownerLearned(now, m)
	case Tick:
	}
	s.advance(now)
	return s.out
}

func (s *State) emit(command Command) { s.out = append(s.out, command) }

// advance starts whatever may be started now.
func (s *State) advance(now time.Time) {
	if !s.settleAt.IsZero() && !now.Before(s.settleAt) {
		s.settle(now)
	}
	if s.incarnation == "" {
		return
	}
	s.exclude(now)
	s.read(now)
	s.fence(now)
	if !s.valid {
		return
	}
	s.claim(now)
	s.load(now)
	s.rebalance(now)
	s.checkDrained()
}

// read reads the rows that are due, as far as the budget permits.
func (s *State) read(now time.Time) {
	s.leasesFirst = !s.leasesFirst
	if s.leasesFirst {
		s.readLeases(now)
	}
	if s.valid {
		s.readShards(now)
	}
	if !s.leasesFirst {
		s.readLeases(now)
	}
}

// renewed notes a renewal of the own lease, which may belong to a new incarnation.
func (s *State) renewed(now time.Time, m LeaseRenewed) {
	if m.Incarnation != s.incarnation && len(m.Past) > 0 {
		s.lookForOwn(now)
	}
	s.incarnation = m.Incarnation
	own := s.hostView(s.options.Self.Name)
	own.known, own.version = true, 1
	own.row = encoder.LeaseRow{Incarnation: m.Incarnation, State: committer.LeaseRowActive, Past: m.Past}
	until := m.SentAt.Add(committer.HolderLease(s.options.Lease, s.options.ClockRateError))
	if until.After(s.leaseUntil) {
		s.leaseUntil = until
	}
	s.checkLease(now)
}

// checkLease reports the lease's expiry and recovery.
func (s *State) checkLease(now time.Time) {
	valid := now.Before(s.leaseUntil)
	if valid == s.valid {
		return
	}
	s.valid = valid
	s.emit(LeaseChanged{Valid: valid})
}

// lost drops all shards after the own lease was fenced.
func (s *State) lost() {
	s.incarnation = ""
	s.leaseUntil = time.Time{}
	s.checkLease(time.Time{})
	s.claiming = false
	for _, shard := range s.cared {
		if shard.state != stateOther && shard.state != stateClaiming {
			s.emit(DropShard{Shard: shard.name})
		}
		shard.fire(eventLost)
		shard.known, shard.readAt = false, time.Time{}
	}
}

// Owner returns the owner of a shard and its epoch. known is false when the host is
// only the preferred owner; the host is empty when there is none.
func (s *State) Owner(name string) (host string, epoch int, known bool) {
	shard := s.shards[name]
	if shard == nil {
		return "", 0, false
	}
	switch shard.state {
	case stateLoading, stateOwned, stateDraining:
		// While it loads, its row already names this host.
		return s.options.Self.Name, shard.row.Epoch, true
	}
	if learned := s.hosts[shard.learned]; shard.learnedEpoch > shard.row.Epoch && learned != nil && learned.live {
		return shard.learned, shard.learnedEpoch, true
	}
	if shard.known && shard.row.Owner != s.options.Self.Name && !s.dead(shard) {
		return shard.row.Owner, shard.row.Epoch, true
	}
	_, first := rank(s.places.candidates(shard.domain), shard.hash, "", 0, "")
	return first, shard.row.Epoch, false
}

// Owned returns the shards that are loaded, in a fixed order.
func (s *State) Owned() []string {
	var names []string
	for _, shard := range s.cared {
		if shard.state == stateOwned || shard.state == stateDraining {
			names = append(names, shard.name)
		}
	}
	return names
}

// IsPreferred reports whether this daemon ranks first among all live ones for a key. Use
// it for work that one daemon should do and several may.
func (s *State) IsPreferred(key string) bool {
	position, _ := rank(s.places.all, xxhash.Sum64String(key), s.options.Self.Name, 1, "")
	return position == 0
}

// LeaseValid reports whether the own lease is valid at the time.
func (s *State) LeaseValid(now time.Time) bool { return now.Before(s.leaseUntil) }

// allow takes one read from the token bucket.
func (s *State) allow(now time.Time) bool {
	rate := s.options.ReadsPerSec / float64(max(1, len(s.places.all)))
	// Little is saved up: after a large failure all daemons read at the same time.
	burst := max(1, rate/4)
	if s.tokensAt.IsZero() {
		s.tokens = burst
	}
	s.tokens = min(burst, s.tokens+now.Sub(s.tokensAt).Seconds()*rate)
	s.tokensAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// jitter returns a time between half of the interval and one and a half of it.
func (s *State) jitter(interval time.Duration) time.Duration {
	return interval/2 + time.Duration(s.random.Int64N(int64(interval)))
}

// sortViews keeps the iteration over hosts in a fixed order.
func (s *State) sortViews() {
	s.views = slices.SortedFunc(maps.Values(s.hosts), func(a, b *hostView) int {
		return cmp.Compare(a.host.Name, b.host.Name)
	})
}
