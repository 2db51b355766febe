package assembler

import "time"

// Settings holds what a daemon process is started with, as its host provides it.
type Settings struct {
	// Host is the name of the daemon's host.
	Host          string
	FailureDomain string
	Region        string
	// RegionByDomain maps each failure domain to its region.
	RegionByDomain map[string]string
	// CallerAddress is the listening address for callers.
	CallerAddress string
	// ReadinessAddress is the listening address for the readiness check.
	ReadinessAddress string
	// ControlAddress is read from the settings; no listener uses it.
	ControlAddress string
	// PeerAddress is the listening address for other daemons.
	PeerAddress string
	// MetricsPort is the port of the metrics on the IP address of CallerAddress; 0 disables
	// them.
	MetricsPort int
	// MemoryLimitBytes is the memory limit of the process.
	MemoryLimitBytes int64
	// MaxDescriptors is the number of file descriptors of the host, 0 if unknown.
	MaxDescriptors int
	// GracePeriod is the longest time from the request to stop to the end of the process.
	GracePeriod time.Duration
	// ConfigurationBound is the time within which a published configuration has to be in force, 0 for
	// no bound.
	ConfigurationBound time.Duration
	// RevocationBound is the time without a confirmed configuration after which no key is accepted, 0
	// for no bound.
	RevocationBound time.Duration
	// ShareLoad makes the daemon place calls by the load that the daemons of its failure domain report to
	// each other. All of them should use the same value.
	ShareLoad bool
	// OwnSecondRows lets owners grant the second half of a budget while the store is unavailable. All
	// daemons must use the same value.
	OwnSecondRows bool
	// ShutdownDelay is how long a stopping daemon still accepts new connections.
	ShutdownDelay time.Duration
	Store         StoreSettings
}

// StoreSettings describes the platform's store.
type StoreSettings struct {
	// Address is the host and port of the store.
	Address string
	// MaxRowBytes is the size limit of a row's value.
	MaxRowBytes int
}
