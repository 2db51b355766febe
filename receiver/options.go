package receiver

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/historian"
)

// Options configure a Receiver.
type Options struct {
	// DefaultTimeout applies to calls without a deadline.
	DefaultTimeout time.Duration
	// DefaultMaxTokens is the number of tokens reserved for turns that do not limit their output.
	DefaultMaxTokens int
	// MaxRejections is the number of attempts that targets may reject before the call is
	// rejected. It also bounds the repetitions of a call that may have run.
	MaxRejections int
	// ChainTimeout bounds the time for which a chain is read from the store.
	ChainTimeout time.Duration
	// CommitTimeout bounds the time for which the end of a stream waits for the store. The wait
	// ends earlier if the caller disconnects. CommitMargin is reserved before the
	// caller's deadline, so that a response that is aborted still ends before it.
	CommitTimeout time.Duration
	CommitMargin  time.Duration
	// CommitBytesPerSecond is the rate at which the wait grows with the size of a large turn.
	CommitBytesPerSecond int
	// StoreRetryAfter is the shortest retry delay, before jitter, after a rejection because of
	// the store.
	StoreRetryAfter time.Duration
	// TargetsRetryAfter is the retry delay after all targets that were tried have rejected the
	// call: their queues turn over within a fraction of a second.
	TargetsRetryAfter time.Duration
	// PeerRetryAfter is the retry delay for a caller that should go to another daemon.
	PeerRetryAfter time.Duration
	// ContendedRetryAfter is the retry delay while another daemon may return tokens that
	// the program needs.
	ContendedRetryAfter time.Duration
	// StartRetryAfter is the retry delay at a daemon that has no configuration yet.
	StartRetryAfter time.Duration
	// MaxConfigurationAge is the age of the configuration from which a call without a route may be
	// for a route that this daemon does not know yet, 0 for never.
	MaxConfigurationAge time.Duration
	// MaxKeyAge is the age of the configuration from which calls that need a key are rejected, since
	// the key may have been removed, 0 for never.
	MaxKeyAge time.Duration
	// FirstEventTimeoutFactor and MinFirstEventTimeout determine the timeout for the first
	// event of a stream that may be repeated: a multiple of the expected time, and at least the
	// minimum.
	FirstEventTimeoutFactor float64
	MinFirstEventTimeout    time.Duration
	// MemoryBytes bounds the memory of all request bodies together, and that of all responses.
	// SmallBodyBytes bounds that of bodies of up to 32 KB, and SmallResponseBytes that of such responses.
	MemoryBytes        int64
	SmallBodyBytes     int64
	SmallResponseBytes int64
	// Pace bounds how slowly callers may send bodies.
	Pace PaceLimits
	// UnreadBodyTimeout bounds the time for which the rest of the body of a rejected call is read.
	UnreadBodyTimeout time.Duration
	// ResponseMargin is the time after the deadline of a call in which its caller may read the rest of the
	// response.
	ResponseMargin time.Duration
	// MemoryWait is how long a call may wait for memory before it is rejected.
	MemoryWait time.Duration
	// MemoryRetryAfter is the retry delay after such a rejection.
	MemoryRetryAfter time.Duration
	// MaxBodyBytes bounds the request body while the configuration sets no limit.
	MaxBodyBytes int
	// MaxBufferedResponseBytes is the size up to which a plain response is read completely
	// before it is forwarded.
	MaxBufferedResponseBytes int64
	// MaxResponseBytes bounds the body of a plain response and MaxStreamBytes the events of a
	// stream. A response that exceeds its bound is broken off.
	MaxResponseBytes int64
	MaxStreamBytes   int
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options {
	return Options{
		DefaultTimeout: 30 * time.Second, DefaultMaxTokens: 1024, MaxRejections: 4,
		ChainTimeout: 900 * time.Millisecond, CommitTimeout: 2200 * time.Millisecond,
		CommitMargin: 60 * time.Millisecond, CommitBytesPerSecond: 1 << 20,
		StoreRetryAfter: 300 * time.Millisecond, PeerRetryAfter: 60 * time.Millisecond,
		TargetsRetryAfter:   75 * time.Millisecond,
		ContendedRetryAfter: 250 * time.Millisecond,
		StartRetryAfter:     400 * time.Millisecond,
		MemoryBytes:         32 << 20,
		SmallBodyBytes:      20 << 20,
		SmallResponseBytes:  10 << 20,
		Pace: PaceLimits{
			// The platform closes connections that are idle for 15 s.
			MaxBodyStall: 15 * time.Second, BodyGrace: 15 * time.Second, MinBodyRate: 2 << 10, MaxBodyTime: time.Minute,
			EvictableAfter: time.Second,
		},
		UnreadBodyTimeout:       300 * time.Millisecond,
		ResponseMargin:          time.Second,
		MemoryWait:              400 * time.Millisecond,
		MemoryRetryAfter:        400 * time.Millisecond,
		FirstEventTimeoutFactor: 6, MinFirstEventTimeout: 700 * time.Millisecond,
		MaxBodyBytes: 4 << 20, MaxBufferedResponseBytes: 256 << 10,
		MaxResponseBytes: 16 << 20, MaxStreamBytes: 1 << 20,
	}
}

// commitTimeout returns the longest wait for the store at the end of a turn whose text has so many bytes.
func (o *Options) commitTimeout(textBytes int) time.Duration {
	if textBytes <= historian.PlainBytes {
		return o.CommitTimeout
	}
	return o.CommitTimeout + time.Duration(textBytes)*time.Second/time.Duration(o.CommitBytesPerSecond)
}
