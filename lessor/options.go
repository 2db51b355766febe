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

// maxShardsPerClaim limits the shards that one claim writes in a transaction.
const maxShardsPerClaim = 64

// claimersPerShard is the number of hosts that monitor a shard without an owner.
const claimersPerShard = 2

// nonWatcherSlots is the number of delay slots, after those of the watchers, over
// which other hosts spread their attempts to fence a lease.
const nonWatcherSlots = 8

// secondClaimDelay is the time for which the second-ranked host leaves a shard without
// an owner to the first-ranked one. It covers several commits at full scale.
const secondClaimDelay = 2 * time.Second

// Domain is a failure domain.
type Domain struct{ Name, Region string }

// Options configures a State. Zero values select the defaults.
type Options struct {
	// Self is this daemon's host.
	Self Host
	// Domains lists all failure domains; each has ShardsPerDomain shards.
	Domains         []Domain
	ShardsPerDomain int
	// Lease is the duration of a lease. Lease and ClockRateError, the largest relative
	// error of a clock's rate, must be the same on all daemons.
	Lease          time.Duration
	ClockRateError float64
	// ReadsPerSec is the read budget of all daemons together.
	ReadsPerSec float64
	// StabilizationPeriod is how long a host must be live before shards are handed
	// over to it.
	StabilizationPeriod time.Duration
	// HandoverInterval is the shortest time between two handovers for rebalancing.
	HandoverInterval time.Duration
	// CheckInterval is the mean interval at which a daemon reads the row of a shard
	// for which it ranks first. Rows of other shards are read a quarter as often.
	CheckInterval time.Duration
	// FenceStagger is the delay between the attempts of successive watchers to fence
	// an expired lease.
	FenceStagger time.Duration
	// WatchersPerLease is the number of hosts that watch each lease.
	WatchersPerLease int
	// Seed determines the jitter of the reads.
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
