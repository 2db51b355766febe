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

// shardView is this daemon's view of one shard.
type shardView struct {
	name     string
	hash     uint64
	domain   Domain
	state    string
	row      encoder.ShardRow
	version  int64
	rowKnown bool
	rank     int
	// rowReceivedAt is when this version of the row was first received.
	rowReceivedAt time.Time
	// reading is set while the row is being read; nextReadAt is when to read it again.
	reading    bool
	nextReadAt time.Time
	// unownedSince is when the shard was first seen without an owner.
	unownedSince time.Time
	// nextLoadAt is when to load the claimed shard. It is zero while the load is in
	// progress.
	nextLoadAt time.Time
	// claimedRow is the row that the claim in progress writes.
	claimedRow encoder.ShardRow
	// newOwner is the host that the shard is being handed over to.
	newOwner string
	// readRequired is set when the row has to be read although this daemon does not
	// rank high enough to monitor the shard.
	readRequired bool
	// learnedOwner is the owner that another daemon has reported, at learnedEpoch.
	learnedOwner string
	learnedEpoch int
}

// hostView is this daemon's view of one host.
type hostView struct {
	host Host
	hash uint64
	live bool
	// liveSince is when the host became live.
	liveSince time.Time
	// watcherRank is this daemon's position among the watchers of the host's lease;
	// WatchersPerLease means that it does not watch the lease.
	watcherRank int
	// leaseNeeded is set when the host's lease decides whether a monitored shard has
	// an owner.
	leaseNeeded bool
	// urgent is set when this daemon ranks first for such a shard.
	urgent     bool
	reading    bool
	nextReadAt time.Time
	fencing    bool

	rowKnown bool
	row      encoder.LeaseRow
	version  int64
	// firstSeenAt is when this version of the row was first received, lastSeenAt when
	// it was last received.
	firstSeenAt, lastSeenAt time.Time
	// requestedAt is when the last read was requested, rowRequestedAt when the read
	// that returned the row was requested.
	requestedAt, rowRequestedAt time.Time
	// leaseEndedAt is when the lease was first seen to have ended.
	leaseEndedAt time.Time
	excluded     bool
	// restartedAt is when the host was last seen with a new incarnation.
	restartedAt time.Time
}

// State decides on the ownership of shards. It has no I/O.
type State struct {
	options  Options
	random   *rand.Rand
	commands []Command

	incarnation string
	leaseExpiry time.Time
	leaseValid  bool
	draining    bool
	drained     bool

	hosts       map[string]*hostView
	sortedHosts []*hostView
	// eligibleHosts are the live hosts that may own shards, stableHosts those among
	// them that have been live for StabilizationPeriod.
	eligibleHosts hostGroups
	stableHosts   hostGroups
	// nextStableAt is when the next host becomes stable.
	nextStableAt time.Time

	shards map[string]*shardView
	// allShards has the shards in a fixed order. monitored has those whose rows are
	// read, among them the shards that this daemon owns.
	allShards, monitored []*shardView

	claimInFlight  bool
	nextHandoverAt time.Time
	// handoverCandidate is a host that should get a shard and whose lease has not been
	// read lately.
	handoverCandidate string
	// leasesFirst alternates, so that reads of leases and of shards share the budget.
	leasesFirst     bool
	readTokens      float64
	tokensUpdatedAt time.Time
}

// New returns a state that owns no shards.
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
			shard := &shardView{name: name, hash: xxhash.Sum64String(name), domain: domain, rank: claimersPerShard, state: shardChart.Initial()}
			s.shards[name] = shard
			s.allShards = append(s.allShards, shard)
		}
	}
	return s
}

// Update processes one message and returns the commands to execute.
func (s *State) Update(now time.Time, message Message) []Command {
	s.commands = nil
	s.checkLease(now)
	switch m := message.(type) {
	case HostsChanged:
		s.setLiveHosts(now, m.Live)
	case LeaseRowsRead:
		s.recordLeaseRows(now, m)
	case ShardRowsRead:
		s.recordShardRows(now, m)
	case LeaseRenewed:
		s.recordRenewal(now, m)
	case LeaseLost:
		s.dropShards()
	case DrainRequested:
		s.draining = true
		s.updateRanks(now)
	case FenceFinished:
		s.finishFence(now, m)
	case ClaimFinished:
		s.finishClaim(now, m)
	case ShardLoaded:
		s.finishLoad(now, m)
	case ShardIdle:
		s.handOver(m.Shard)
	case HandoverFinished:
		s.finishHandover(now, m)
	case HandoverReceived:
		s.receiveShard(now, m.Shard)
	case OwnerLearned:
		s.recordOwner(now, m)
	case Tick:
	}
	s.advance(now)
	return s.commands
}

func (s *State) emit(command Command) { s.commands = append(s.commands, command) }

// advance starts all actions that are due.
func (s *State) advance(now time.Time) {
	if !s.nextStableAt.IsZero() && !now.Before(s.nextStableAt) {
		s.updateStable(now)
	}
	if s.incarnation == "" {
		return
	}
	s.updateExcluded(now)
	s.readDue(now)
	s.fenceExpired(now)
	if !s.leaseValid {
		return
	}
	s.claim(now)
	s.loadClaimed(now)
	s.rebalance(now)
	s.checkDrained()
}

// readDue reads the rows that are due, as far as the read budget permits.
func (s *State) readDue(now time.Time) {
	s.leasesFirst = !s.leasesFirst
	if s.leasesFirst {
		s.readLeases(now)
	}
	if s.leaseValid {
		s.readShards(now)
	}
	if !s.leasesFirst {
		s.readLeases(now)
	}
}

// recordRenewal records a renewal of this daemon's lease. The first renewal of an
// incarnation that follows earlier ones starts the search for shards that they owned.
func (s *State) recordRenewal(now time.Time, m LeaseRenewed) {
	if m.Incarnation != s.incarnation && len(m.Past) > 0 {
		s.findOwnShards(now)
	}
	s.incarnation = m.Incarnation
	own := s.hostView(s.options.Self.Name)
	own.rowKnown, own.version = true, 1
	own.row = encoder.LeaseRow{Incarnation: m.Incarnation, State: committer.LeaseRowActive, Past: m.Past}
	until := m.SentAt.Add(committer.HolderLease(s.options.Lease, s.options.ClockRateError))
	if until.After(s.leaseExpiry) {
		s.leaseExpiry = until
	}
	s.checkLease(now)
}

// checkLease emits LeaseChanged when this daemon's lease has expired or become valid.
func (s *State) checkLease(now time.Time) {
	valid := now.Before(s.leaseExpiry)
	if valid == s.leaseValid {
		return
	}
	s.leaseValid = valid
	s.emit(LeaseChanged{Valid: valid})
}

// dropShards drops all shards after this daemon's lease was fenced.
func (s *State) dropShards() {
	s.incarnation = ""
	s.leaseExpiry = time.Time{}
	s.checkLease(time.Time{})
	s.claimInFlight = false
	for _, shard := range s.monitored {
		if shard.state != stateOther && shard.state != stateClaiming {
			s.emit(DropShard{Shard: shard.name})
		}
		shard.fire(eventLost)
		shard.rowKnown, shard.nextReadAt = false, time.Time{}
	}
}

// Owner returns the owner of a shard and its epoch. known is false when the host is
// only the preferred owner; host is empty when there is no such host.
func (s *State) Owner(name string) (host string, epoch int, known bool) {
	shard := s.shards[name]
	if shard == nil {
		return "", 0, false
	}
	switch shard.state {
	case stateLoading, stateOwned, stateDraining:
		// While the shard loads, its row already names this host.
		return s.options.Self.Name, shard.row.Epoch, true
	}
	if learned := s.hosts[shard.learnedOwner]; shard.learnedEpoch > shard.row.Epoch && learned != nil && learned.live {
		return shard.learnedOwner, shard.learnedEpoch, true
	}
	if shard.rowKnown && shard.row.Owner != s.options.Self.Name && !s.ownerEnded(shard) {
		return shard.row.Owner, shard.row.Epoch, true
	}
	_, first := rank(s.eligibleHosts.candidates(shard.domain), shard.hash, "", 0, "")
	return first, shard.row.Epoch, false
}

// Owned returns the names of the loaded shards, in a fixed order.
func (s *State) Owned() []string {
	var names []string
	for _, shard := range s.monitored {
		if shard.state == stateOwned || shard.state == stateDraining {
			names = append(names, shard.name)
		}
	}
	return names
}

// IsPreferred reports whether this daemon ranks first among all live ones for a key.
// Use it for work that one daemon should do, but that several may do without harm.
func (s *State) IsPreferred(key string) bool {
	position, _ := rank(s.eligibleHosts.all, xxhash.Sum64String(key), s.options.Self.Name, 1, "")
	return position == 0
}

// LeaseValid reports whether this daemon's lease is valid at the time.
func (s *State) LeaseValid(now time.Time) bool { return now.Before(s.leaseExpiry) }

// takeReadToken takes a token for one read from the token bucket. It returns false
// when the bucket is empty.
func (s *State) takeReadToken(now time.Time) bool {
	rate := s.options.ReadsPerSec / float64(max(1, len(s.eligibleHosts.all)))
	// The burst is small, since after a large failure all daemons read at the same
	// time.
	burst := max(1, rate/4)
	if s.tokensUpdatedAt.IsZero() {
		s.readTokens = burst
	}
	s.readTokens = min(burst, s.readTokens+now.Sub(s.tokensUpdatedAt).Seconds()*rate)
	s.tokensUpdatedAt = now
	if s.readTokens < 1 {
		return false
	}
	s.readTokens--
	return true
}

// jitter returns a random duration between 0.5 and 1.5 times the interval.
func (s *State) jitter(interval time.Duration) time.Duration {
	return interval/2 + time.Duration(s.random.Int64N(int64(interval)))
}

// sortHosts rebuilds the list of hosts, whose fixed order makes runs reproducible.
func (s *State) sortHosts() {
	s.sortedHosts = slices.SortedFunc(maps.Values(s.hosts), func(a, b *hostView) int {
		return cmp.Compare(a.host.Name, b.host.Name)
	})
}
