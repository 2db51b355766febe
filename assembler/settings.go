package assembler

import "time"

// Settings are what a daemon learns from its host.
type Settings struct {
	// Host names the daemon's host.
	Host   string
	Domain string
	Region string
	// Regions has the region of each failure domain.
	Regions map[string]string
	// CallerAddress, ReadyAddress and ControlAddress are listened on.
	CallerAddress  string
	ReadyAddress   string
	ControlAddress string
	// PeerAddress is for other daemons.
	PeerAddress string
	// MetricsPort serves metrics on the callers' IP address; 0 for none.
	MetricsPort int
	// MemoryBytes is the limit of the process.
	MemoryBytes int64
	// Grace is the time between the request to stop and the end of the process.
	Grace time.Duration
	// Linger is how long a daemon that is to stop takes new connections.
	Linger time.Duration
	Store  StoreSettings
}

// StoreSettings describe the platform's store.
type StoreSettings struct {
	Address string
	// RowBytes is the largest value of a row.
	RowBytes int
}
