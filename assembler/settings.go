package assembler

import "time"

// Settings are what a daemon learns from its host.
type Settings struct {
	// Host names the daemon's host.
	Host          string
	FailureDomain string
	Region        string
	// RegionByDomain has the region of each failure domain.
	RegionByDomain map[string]string
	// CallerAddress, ReadyAddress and ControlAddress are listened on.
	CallerAddress    string
	ReadinessAddress string
	ControlAddress   string
	// PeerAddress is for other daemons.
	PeerAddress string
	// MetricsPort serves metrics on the callers' IP address; 0 for none.
	MetricsPort int
	// MemoryLimitBytes is the limit of the process.
	MemoryLimitBytes int64
	// GracePeriod is the time between the request to stop and the end of the process.
	GracePeriod time.Duration
	// ShutdownDelay is how long a daemon that is to stop takes new connections.
	ShutdownDelay time.Duration
	Store         StoreSettings
}

// StoreSettings describe the platform's store.
type StoreSettings struct {
	Address string
	// MaxRowBytes is the largest value of a row.
	MaxRowBytes int
}
