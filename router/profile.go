package router

import "time"

// Profile holds the properties of an engine and of the network that load reports do not give.
type Profile struct {
	// PrefillPerSec is the prefill rate in tokens, used until a load report gives one.
	PrefillPerSec float64
	// A token takes DecodeBaseSeconds plus DecodeSecondsPerSequence for each sequence in the
	// batch.
	DecodeBaseSeconds        float64
	DecodeSecondsPerSequence float64
	// PrefillChunkTokens is the number of prompt tokens that one iteration of the batch prefills.
	PrefillChunkTokens float64
	// PlainCallSeconds is the initial estimate for a call of a plain service.
	PlainCallSeconds float64
	// ResponseTokens is the initial estimate for the length of a response.
	ResponseTokens float64
	// MaxBatch is used until a load report gives MaxConcurrency.
	MaxBatch int
	// BytesPerToken is the size of a token in the prompt text, KVBytesPerToken its size in the
	// KV cache.
	BytesPerToken   float64
	KVBytesPerToken float64
	// LinkBytesPerSec is the rate of the link between regions, LocalBytesPerSec that of the
	// network within a region.
	LinkBytesPerSec  float64
	LocalBytesPerSec float64
	// DomainLatency and RegionLatency are one-way latencies.
	DomainLatency time.Duration
	RegionLatency time.Duration
}

// DefaultProfile returns the profile of the users' deployments: an 8-billion parameter model
// on an edge accelerator and a link of 30 Mbit/s between regions.
func DefaultProfile() Profile {
	return Profile{
		PrefillPerSec: 8_000, DecodeBaseSeconds: 0.016, DecodeSecondsPerSequence: 0.0008,
		PrefillChunkTokens: 256, PlainCallSeconds: 0.2, ResponseTokens: 150, MaxBatch: 24,
		BytesPerToken: 4, KVBytesPerToken: 65_536,
		LinkBytesPerSec: 3.75e6, LocalBytesPerSec: 125e6,
		DomainLatency: time.Millisecond, RegionLatency: 8 * time.Millisecond,
	}
}

// Weights are factors on the cost of the two billed resources.
type Weights struct {
	// Cache scales the cost of each second of prefill that is computed again.
	Cache float64
	// Link scales the cost of each megabyte sent between regions.
	Link float64
}

// DefaultWeights returns the weights of a service that does not set any.
func DefaultWeights() Weights { return Weights{Cache: 1, Link: 1} }
