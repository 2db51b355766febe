package receiver

import "time"

// Options configure a Receiver.
type Options struct {
	// DefaultTimeout applies to calls that name none.
	DefaultTimeout time.Duration
	// DefaultMaxTokens is reserved for turns that do not say how much they generate.
	DefaultMaxTokens int
	// MaxRejections is the number of targets that may refuse a call before it is refused.
	MaxRejections int
	// ChainTimeout bounds the time for which a chain is read from the store.
	ChainTimeout time.Duration
	// CommitTimeout bounds the time for which the end of a stream waits for the store;
	// callers leave a silent stream after two seconds. CommitMargin is kept before the
	// caller's deadline, so that the broken end still reaches it.
	CommitTimeout time.Duration
	CommitMargin  time.Duration
	// StoreRetryAfter is the earliest that a caller may come back after a refusal because
	// of the store.
	StoreRetryAfter time.Duration
	// TargetsRetryAfter is when a caller may come back after all targets that were tried
	// have refused its call: their queues turn over within a fraction of a second.
	TargetsRetryAfter time.Duration
	// PeerRetryAfter is when a caller may come back to another daemon.
	PeerRetryAfter time.Duration
	// ContendedRetryAfter is when a caller may come back while another daemon returns
	// tokens that its program needs.
	ContendedRetryAfter time.Duration
	// StartRetryAfter is when a caller may come back to a daemon that knows no
	// configuration yet.
	StartRetryAfter time.Duration
	// FirstEventTimeoutFactor and ShortestSilence bound the wait for the first event of a stream
	// that may be sent again: a multiple of what was expected, and at least so much.
	FirstEventTimeoutFactor float64
	MinFirstEventTimeout    time.Duration
	// MaxBodyBytes bounds a body before a configuration is known.
	MaxBodyBytes int
	// MaxBufferedResponseBytes is the size up to which a plain answer is read whole before it is
	// passed on.
	MaxBufferedResponseBytes int64
}

// DefaultOptions returns the options of a daemon.
func DefaultOptions() Options {
	return Options{
		DefaultTimeout: 30 * time.Second, DefaultMaxTokens: 1024, MaxRejections: 4,
		ChainTimeout: 900 * time.Millisecond, CommitTimeout: 2200 * time.Millisecond,
		CommitMargin:    60 * time.Millisecond,
		StoreRetryAfter: 300 * time.Millisecond, PeerRetryAfter: 60 * time.Millisecond,
		TargetsRetryAfter:       75 * time.Millisecond,
		ContendedRetryAfter:     250 * time.Millisecond,
		StartRetryAfter:         400 * time.Millisecond,
		FirstEventTimeoutFactor: 6, MinFirstEventTimeout: 700 * time.Millisecond,
		MaxBodyBytes: 4 << 20, MaxBufferedResponseBytes: 1 << 20,
	}
}
