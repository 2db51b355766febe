package server

import (
	"context"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

// Status describes a daemon to operators.
type Status struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	Incarnation   string `json:"incarnation"`
	// State is "starting", "ready" or "leaving".
	State          string `json:"state"`
	ConfigVersion  int    `json:"configVersion"`
	StoreReachable bool   `json:"storeReachable"`
	LeaseValid     bool   `json:"leaseValid"`
	Shards         int    `json:"shards"`
	Programs       int    `json:"programs"`
	InFlight       int    `json:"inFlight"`
	PendingRecords int    `json:"pendingRecords"`
	Hosts          int    `json:"hosts"`
	Targets        int    `json:"targets"`
}

// HostInfo describes a host as a daemon sees it.
type HostInfo struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	Address       string `json:"address"`
	State         string `json:"state"`
	ConfigVersion int    `json:"configVersion"`
	LastSeenMs    int64  `json:"lastSeenMs"`
}

// TargetInfo describes a target as a daemon sees it.
type TargetInfo struct {
	Target        string   `json:"target"`
	Service       string   `json:"service"`
	FailureDomain string   `json:"failureDomain"`
	Region        string   `json:"region"`
	Address       string   `json:"address"`
	State         string   `json:"state"`
	Running       int      `json:"running"`
	Waiting       int      `json:"waiting"`
	InFlight      int      `json:"inFlight"`
	Models        []string `json:"models"`
}

// ServiceInfo describes a service of the active configuration and its load on a daemon.
type ServiceInfo struct {
	Name          string `json:"name"`
	Kind          string `json:"kind"`
	Workspace     string `json:"workspace"`
	ConfigVersion int    `json:"configVersion"`
	Targets       int    `json:"targets"`
	Programs      int    `json:"programs"`
	InFlight      int    `json:"inFlight"`
	Queued        int    `json:"queued"`
}

// CallInfo describes one call of a program.
type CallInfo struct {
	Step             int    `json:"step"`
	Service          string `json:"service"`
	Kind             string `json:"kind"`
	State            string `json:"state,omitempty"`
	Outcome          string `json:"outcome"`
	Code             string `json:"code,omitempty"`
	Target           string `json:"target,omitempty"`
	LatencyMs        int64  `json:"latencyMs,omitempty"`
	PromptTokens     int    `json:"promptTokens"`
	CachedTokens     int    `json:"cachedTokens"`
	CompletionTokens int    `json:"completionTokens"`
}

// ProgramInfo describes a program.
type ProgramInfo struct {
	Program    string     `json:"program"`
	Client     string     `json:"client"`
	Workspace  string     `json:"workspace"`
	Parent     string     `json:"parent,omitempty"`
	State      string     `json:"state"`
	Reason     string     `json:"reason,omitempty"`
	Turns      int        `json:"turns"`
	Tokens     int        `json:"tokens"`
	Cost       float64    `json:"cost"`
	Owner      string     `json:"owner"`
	StartedAt  string     `json:"startedAt,omitempty"`
	LastCallAt string     `json:"lastCallAt,omitempty"`
	Calls      []CallInfo `json:"calls,omitempty"`
}

// ProgramFilter selects programs. An empty field matches all programs, and a Limit of
// 0 sets no limit.
type ProgramFilter struct {
	Client string
	State  string
	Limit  int
}

// Admin holds the operations that are open to operators only.
type Admin interface {
	Status() Status
	Hosts() []HostInfo
	// Targets lists the targets of a service, or of all services for "".
	Targets(service string) []TargetInfo
	Services(ctx context.Context) []ServiceInfo
	Programs(ctx context.Context, filter ProgramFilter) []ProgramInfo
	// ConfigDocument returns a version of the configuration, or the current one for -1.
	ConfigDocument(ctx context.Context, version int) (encoder.Document, error)
	// Publish stores a new version of the configuration and returns its number.
	Publish(ctx context.Context, proposal publisher.Proposal) (int, error)
	// AuditRecords returns at most limit records of versions above after, oldest first.
	AuditRecords(ctx context.Context, after, limit int) ([]encoder.AuditRecord, error)
}
