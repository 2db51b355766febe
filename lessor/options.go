package lessor

import "time"

// Defaults of Options.
const (
	DefaultShardsPerDomain     = 32
	DefaultReadsPerSec         = 1_500
	DefaultStabilizationPeriod = 15 * time.Second
	DefaultHandoverInterval    = 500 * time.Millisecond
	DefaultCheckInterval       = 10 * time.Second
	DefaultFenceStagger        = 500 * time.Millisecond
	DefaultWatchersPerLease    = 3
)

// maxShardsPerClaim bounds the shards of one claim.
const maxShardsPerClaim = 64

// claimersPerShard is how many hosts care for a shard that has no owner.
const claimersPerShard = 2

// nonWatcherSlots is the number of turns over which hosts that are not watchers spread.
const nonWatcherSlots = 8

// secondClaimDelay is how long the second-ranked host leaves a shard without an
// owner to the first: several commits at full scale.
const secondClaimDelay = 2 * time.Second

// Domain is one failure domain.
type Domain struct{ Name, Region string }

// Options configures a State. Zero values mean the defaults.
type Options struct {
	// Self is this daemon's host.
	Self Host
	// Domains lists all failure domains; each has ShardsPerDomain shards.
	Domains         []Domain
	ShardsPerDomain int
	// Lease and ClockRateError must be the same on all daemons.
	Lease          time.Duration
	ClockRateError float64
	// ReadsPerSec is the read budget of all daemons together.
	ReadsPerSec float64
	// StabilizationPeriod is how long a host must be live before it gets shards of others;
	// HandoverEvery limits the handovers for rebalancing.
	StabilizationPeriod time.Duration
	HandoverInterval    time.Duration
	// CheckInterval is the interval at which the rows of preferred shards are read.
	CheckInterval time.Duration
	// FenceStagger is the pause between the turns of the watchers of an expired lease.
	FenceStagger time.Duration
	// WatchersPerLease is the number of hosts that watch each lease.
	WatchersPerLease int
	// Seed determines the jitter of the checks.
	Seed uint64
}

func orDefault[T int | float64 | time.Duration](value *T, byDefault T) {
	if *value == 0 {
		*value = byDefault
	}
}

func (o *Options) fillDefaults() {
	orDefault(&o.ShardsPerDomain, DefaultShardsPerDomain)
	orDefault(&o.ReadsPerSec, DefaultReadsPerSec)
	orDefault(&o.StabilizationPeriod, DefaultStabilizationPeriod)
	orDefault(&o.HandoverInterval, DefaultHandoverInterval)
	orDefault(&o.CheckInterval, DefaultCheckInterval)
	orDefault(&o.FenceStagger, DefaultFenceStagger)
	orDefault(&o.WatchersPerLease, DefaultWatchersPerLease)
}
