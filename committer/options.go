package committer

import "time"

// Names of the tables.
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

// maxPast bounds the earlier incarnations that a lease row lists. Their shards are
// taken over and checkpointed within minutes; a host restarts once or twice a day.
const maxPast = 8

// maxShardRows bounds the shard rows that requests of owned shards share.
const maxShardRows = 64

// maxTrimRows bounds the log rows that one transaction deletes.
const maxTrimRows = 200

// Options configures a State. Zero values mean the defaults.
type Options struct {
	Host          string
	Address       string
	FailureDomain string
	Region        string
	// Incarnation names this run of the daemon; it must be new.
	Incarnation string
	// Lease is the duration of the lease, ClockRateError the largest relative
	// difference between the rates of two clocks.
	Lease          time.Duration
	ClockRateError float64
	// WritesPerSec is the transaction budget of all daemons together.
	WritesPerSec float64
	// MaxBatchBytes bounds one transaction; a record over MaxRecordBytes is stored
	// as an object.
	MaxBatchBytes  int
	MaxRecordBytes int
	// MaxPendingRecords and MaxPendingBytes bound what is not yet committed.
	MaxPendingRecords int
	MaxPendingBytes   int
	// InitialBackoff is the first and MaxBackoff the longest pause after a failed request.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// Seed determines the jitter of the pauses.
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

// HolderLease is how long a holder may act, measured on its own clock from before
// it sent the renewal.
func HolderLease(lease time.Duration, clockRateError float64) time.Duration {
	return time.Duration(float64(lease) * (1 - clockRateError))
}

// ClaimerLease is how long a claimer must have seen a lease row unchanged, measured
// on its own clock from when it received the row.
func ClaimerLease(lease time.Duration, clockRateError float64) time.Duration {
	return time.Duration(float64(lease) * (1 + clockRateError))
}
