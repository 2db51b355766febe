package parser

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
)

// Settings is the content of a daemon's settings file.
type Settings struct {
	// Host is the unique name of this host.
	Host string `json:"host"`
	// FailureDomain and Region are the location of the host.
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// CallerAddress is the listen address for callers and operators, PeerAddress
	// the one for peers, and MetricsAddress the one for metrics and health checks.
	// Each is an IP address and a port.
	CallerAddress  string `json:"callerAddress"`
	PeerAddress    string `json:"peerAddress"`
	MetricsAddress string `json:"metricsAddress"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `json:"platform"`
	// Domains lists all failure domains with their regions.
	Domains []Domain `json:"domains"`
	// ShardsPerDomain is the number of shards of each failure domain; it must be
	// the same on all daemons.
	ShardsPerDomain int `json:"shardsPerDomain,omitempty"`
	// Keys are the bearer keys of callers and operators.
	Keys []Key `json:"keys"`
	// TLS, when set, authenticates daemons to each other.
	TLS *TLS `json:"tls,omitempty"`
	// Store holds the limits of the platform's store.
	Store StoreLimits `json:"store,omitzero"`
	// Timing holds the daemon's intervals and timeouts.
	Timing Timing `json:"timing,omitzero"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"logLevel,omitempty"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Tables   string `json:"tables"`
	Objects  string `json:"objects"`
	HostList string `json:"hostList"`
	Weights  string `json:"weights,omitempty"`
	// Token is the bearer token for requests to the platform and for orders to
	// targets.
	Token string `json:"token,omitempty"`
}

// Domain is one failure domain.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Roles of keys.
const (
	RoleCaller   = "caller"
	RoleOperator = "operator"
)

// Key identifies a bearer key by its SHA-256 hash.
type Key struct {
	// Client owns the key; for operators it is the operator's name.
	Client string `json:"client"`
	// Role is "caller" or "operator".
	Role string `json:"role"`
	// SHA256 is the hash of the key in hexadecimal.
	SHA256 string `json:"sha256"`
}

// TLS holds the paths of PEM files.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// StoreLimits limits the use of the platform's store. The rates apply to all daemons
// together.
type StoreLimits struct {
	WritesPerSec float64 `json:"writesPerSec,omitempty"`
	ReadsPerSec  float64 `json:"readsPerSec,omitempty"`
	// LoadsPerSec is the rate at which models may be read from the weight store.
	LoadsPerSec float64 `json:"loadsPerSec,omitempty"`
	// MaxPendingRecords and MaxPendingBytes limit the records that one daemon holds
	// before they are committed.
	MaxPendingRecords int `json:"maxPendingRecords,omitempty"`
	MaxPendingBytes   int `json:"maxPendingBytes,omitempty"`
}

// Timing holds intervals and timeouts in milliseconds.
type Timing struct {
	LeaseDurationMs      int `json:"leaseMs,omitempty"`
	HeartbeatIntervalMs  int `json:"heartbeatMs,omitempty"`
	ConfigPollIntervalMs int `json:"configPollMs,omitempty"`
	HostListIntervalMs   int `json:"hostListMs,omitempty"`
	// DrainTimeoutMs is the longest duration of a graceful shutdown.
	DrainTimeoutMs int `json:"drainMs,omitempty"`
	// DurabilityWaitMs is how long a call waits for its records to be committed.
	DurabilityWaitMs int `json:"durabilityWaitMs,omitempty"`
	// AuditIntervalMs is the interval at which targets are asked for which programs
	// they hold memory.
	AuditIntervalMs int `json:"auditMs,omitempty"`
}

// Defaults of the settings.
const (
	DefaultShardsPerDomain      = 32
	DefaultWritesPerSec         = 400
	DefaultReadsPerSec          = 1_500
	DefaultLoadsPerSec          = 2
	DefaultMaxPendingRecords    = 4_096
	DefaultMaxPendingBytes      = 16 << 20
	DefaultLeaseDurationMs      = 6_000
	DefaultHeartbeatIntervalMs  = 1_000
	DefaultConfigPollIntervalMs = 1_000
	DefaultHostListIntervalMs   = 1_000
	DefaultDrainTimeoutMs       = 130_000
	DefaultDurabilityWaitMs     = 10_000
	DefaultAuditIntervalMs      = 10_000
	DefaultLogLevel             = "info"
)

// LoadSettings reads and checks a settings file and fills in the defaults.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{operation: "settings", kind: KindUnreadable, file: path, cause: err}
	}
	return ParseSettings(path, data)
}

// ParseSettings parses and checks the settings in data and fills in the defaults.
// Errors name file as their source.
func ParseSettings(file string, data []byte) (Settings, error) {
	var settings Settings
	if err := decode("settings", file, data, &settings); err != nil {
		return Settings{}, err
	}
	settings.fillDefaults()
	if err := settings.check(file); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

func (s *Settings) fillDefaults() {
	setDefault(&s.ShardsPerDomain, DefaultShardsPerDomain)
	setDefault(&s.Store.WritesPerSec, DefaultWritesPerSec)
	setDefault(&s.Store.ReadsPerSec, DefaultReadsPerSec)
	setDefault(&s.Store.LoadsPerSec, DefaultLoadsPerSec)
	setDefault(&s.Store.MaxPendingRecords, DefaultMaxPendingRecords)
	setDefault(&s.Store.MaxPendingBytes, DefaultMaxPendingBytes)
	setDefault(&s.Timing.LeaseDurationMs, DefaultLeaseDurationMs)
	setDefault(&s.Timing.HeartbeatIntervalMs, DefaultHeartbeatIntervalMs)
	setDefault(&s.Timing.ConfigPollIntervalMs, DefaultConfigPollIntervalMs)
	setDefault(&s.Timing.HostListIntervalMs, DefaultHostListIntervalMs)
	setDefault(&s.Timing.DrainTimeoutMs, DefaultDrainTimeoutMs)
	setDefault(&s.Timing.DurabilityWaitMs, DefaultDurabilityWaitMs)
	setDefault(&s.Timing.AuditIntervalMs, DefaultAuditIntervalMs)
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
}

func (s *Settings) check(file string) error {
	fail := func(kind Kind, field, expected string) error {
		return &Error{operation: "settings", kind: kind, file: file, field: field, expected: expected}
	}
	if !namePattern.MatchString(s.Host) {
		return fail(KindRange, "host", "1 to 63 lower-case letters, digits and hyphens")
	}
	addresses := []struct{ field, value string }{
		{"callerAddress", s.CallerAddress},
		{"peerAddress", s.PeerAddress},
		{"metricsAddress", s.MetricsAddress},
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return fail(KindRange, address.field, "an IP address and a port, such as 127.0.0.1:7000")
		}
	}
	urls := []struct{ field, value string }{
		{"platform.tables", s.Platform.Tables},
		{"platform.objects", s.Platform.Objects},
		{"platform.hostList", s.Platform.HostList},
	}
	for _, url := range urls {
		if url.value == "" {
			return fail(KindMissing, url.field, "the base URL of the platform's service")
		}
	}
	if err := s.checkFailureDomains(fail); err != nil {
		return err
	}
	if err := s.checkKeys(fail); err != nil {
		return err
	}
	if s.ShardsPerDomain < 1 || s.ShardsPerDomain > 65_536 {
		return fail(KindRange, "shardsPerDomain", "1 to 65536")
	}
	if s.Timing.HeartbeatIntervalMs*3 > s.Timing.LeaseDurationMs {
		return fail(KindRange, "timing.heartbeatMs", "at most a third of timing.leaseMs")
	}
	if s.Store.WritesPerSec < 1 {
		return fail(KindRange, "store.writesPerSec", "at least 1")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
		return nil
	}
	return fail(KindRange, "logLevel", `"debug", "info", "warn" or "error"`)
}

func (s *Settings) checkFailureDomains(fail func(Kind, string, string) error) error {
	found := false
	seen := map[string]bool{}
	for i, domain := range s.Domains {
		if !namePattern.MatchString(domain.Name) || domain.Region == "" {
			return fail(KindRange, fmt.Sprintf("domains[%d]", i), "a name and a region")
		}
		if seen[domain.Name] {
			return fail(KindDuplicate, fmt.Sprintf("domains[%d].name", i), "each failure domain once")
		}
		seen[domain.Name] = true
		found = found || domain.Name == s.FailureDomain && domain.Region == s.Region
	}
	if !found {
		return fail(KindRange, "failureDomain", "a failure domain that is listed in domains with the host's region")
	}
	return nil
}

func (s *Settings) checkKeys(fail func(Kind, string, string) error) error {
	for i, key := range s.Keys {
		if key.Client == "" {
			return fail(KindMissing, fmt.Sprintf("keys[%d].client", i), "the client or operator that owns the key")
		}
		if key.Role != RoleCaller && key.Role != RoleOperator {
			return fail(KindRange, fmt.Sprintf("keys[%d].role", i), `"caller" or "operator"`)
		}
		if sum, err := hex.DecodeString(key.SHA256); err != nil || len(sum) != 32 {
			return fail(KindRange, fmt.Sprintf("keys[%d].sha256", i), "64 hexadecimal digits")
		}
	}
	return nil
}
