package committer

import "time"

// Names of the store's tables.
const (
	TableLeases = "leases"
	TableShards = "shards"
	TableLog    = "log"
)

// States of a lease row.
const (
	LeaseRowActive   = "active"
	LeaseRowReleased = "released"
	LeaseRowFenced   = "fenced"
)

// Defaults of Options.
const (
	DefaultLease             = 6 * time.Second
	DefaultClockRateError    = 0.01
	DefaultWritesPerSec      = 400
	DefaultMaxBatchBytes     = 256 << 10
	DefaultMaxRecordBytes    = 64 << 10
	DefaultMaxPendingRecords = 4_096
	DefaultMaxPendingBytes   = 16 << 20
	DefaultInitialBackoff    = 50 * time.Millisecond
	DefaultMaxBackoff        = 2 * time.Second
)

// maxPast bounds the earlier incarnations that a lease row lists. Their logs are
// needed only for the minutes until their shards are taken over and checkpointed,
// and a host restarts once or twice a day.
const maxPast = 8

// maxShardRows limits the shard rows of requests for owned shards that share a transaction. A request
// with more rows has a transaction of its own.
const maxShardRows = 64

// maxTrimRows bounds the log rows that one transaction deletes.
const maxTrimRows = 200

// Options configures a State. Zero values of fields with a default mean the default.
type Options struct {
	Host          string
	Address       string
	FailureDomain string
	Region        string
	// Incarnation identifies this run of the daemon; no earlier run may have used it.
	Incarnation string
	// Lease is the duration of the lease. ClockRateError is the largest relative
	// difference between the rates of two clocks.
	Lease          time.Duration
	ClockRateError float64
	// WritesPerSec is the budget of transactions per second that all daemons share.
	WritesPerSec float64
	// MaxBatchBytes bounds the records of one transaction. The body of a record that
	// exceeds MaxRecordBytes is stored as an object.
	MaxBatchBytes  int
	MaxRecordBytes int
	// MaxPendingRecords and MaxPendingBytes bound the records that are not yet
	// committed.
	MaxPendingRecords int
	MaxPendingBytes   int
	// InitialBackoff is the mean backoff after the first failed request to the store.
	// It doubles with each further failure, up to MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// Seed determines the jitter of the backoff.
	Seed uint64
}

func orDefault[T int | float64 | time.Duration](value *T, byDefault T) {
	if *value == 0 {
		*value = byDefault
	}
}

func (o *Options) fillDefaults() {
	orDefault(&o.Lease, DefaultLease)
	orDefault(&o.ClockRateError, DefaultClockRateError)
	orDefault(&o.WritesPerSec, DefaultWritesPerSec)
	orDefault(&o.MaxBatchBytes, DefaultMaxBatchBytes)
	orDefault(&o.MaxRecordBytes, DefaultMaxRecordBytes)
	orDefault(&o.MaxPendingRecords, DefaultMaxPendingRecords)
	orDefault(&o.MaxPendingBytes, DefaultMaxPendingBytes)
	orDefault(&o.InitialBackoff, DefaultInitialBackoff)
	orDefault(&o.MaxBackoff, DefaultMaxBackoff)
}

// HolderLease returns how long a holder may act on its lease. The holder measures it
// on its own clock from the time before it sent the renewal.
func HolderLease(lease time.Duration, clockRateError float64) time.Duration {
	return time.Duration(float64(lease) * (1 - clockRateError))
}

// ClaimerLease returns how long a lease row must stay unchanged before a claimer may
// take it over. The claimer measures it on its own clock from when it received the
// row.
func ClaimerLease(lease time.Duration, clockRateError float64) time.Duration {
	return time.Duration(float64(lease) * (1 + clockRateError))
}
