package router

import "time"

// Profile describes an engine and the network as far as reports do not.
type Profile struct {
	// PrefillPerSec is used until a report gives a rate.
	PrefillPerSec float64
	// DecodeBaseSeconds and DecodeSlope give the seconds of one token: base plus slope
	// for each sequence in the batch.
	DecodeBaseSeconds        float64
	DecodeSecondsPerSequence float64
	// PrefillChunkTokens is the tokens of a prompt that one iteration of the batch adds.
	PrefillChunkTokens float64
	// PlainCallSeconds is the first guess for a call of a plain service.
	PlainCallSeconds float64
	// ResponseTokens is the first guess for the length of an answer.
	ResponseTokens float64
	// MaxBatch is used until a report gives MaxConcurrency.
	MaxBatch int
	// BytesPerToken is the size of prompt text, KVBytesPerToken of its cache.
	BytesPerToken   float64
	KVBytesPerToken float64
	// LinkBytesPerSec is the rate of the link between regions, LocalBytesPerSec
	// of the network inside one.
	LinkBytesPerSec  float64
	LocalBytesPerSec float64
	// DomainLatency and RegionLatency are one-way latencies.
	DomainLatency time.Duration
	RegionLatency time.Duration
}

// DefaultProfile returns the profile of the users' deployments: an 8-billion
// parameter model on an edge accelerator and a link of 30 Mbit/s between regions.
func DefaultProfile() Profile {
	return Profile{
		PrefillPerSec: 8_000, DecodeBaseSeconds: 0.016, DecodeSecondsPerSequence: 0.0008,
		PrefillChunkTokens: 256, PlainCallSeconds: 0.2, ResponseTokens: 150, MaxBatch: 24,
		BytesPerToken: 4, KVBytesPerToken: 65_536,
		LinkBytesPerSec: 3.75e6, LocalBytesPerSec: 125e6,
		DomainLatency: time.Millisecond, RegionLatency: 8 * time.Millisecond,
	}
}

// Weights set what the two billed resources are worth in seconds.
type Weights struct {
	// Cache is charged for each second of prefill that is computed again.
	Cache float64
	// Link is charged for each megabyte sent between regions.
	Link float64
}

// DefaultWeights returns the weights of a service that sets none.
func DefaultWeights() Weights { return Weights{Cache: 1, Link: 1} }
