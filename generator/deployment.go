package generator

import "time"

// FailureDomain is a failure domain with its region and its share of the callers.
type FailureDomain struct {
	Name        string
	Region      string
	CallerShare float64
}

// Deployment describes the hosts, services and callers of one customer.
type Deployment struct {
	Name    string
	Domains []FailureDomain
	// Daemons is the number of entry hosts.
	Daemons int
	// ModelService names the model service. Runners is the number of its targets.
	ModelService string
	Runners      int
	// PlainService names the plain service. PlainInstances is the number of its targets.
	PlainService   string
	PlainInstances int
	// Clients is the number of clients. The first one is the busiest.
	Clients int
	// CallerLatency is the one-way latency between a caller and its daemon.
	CallerLatency time.Duration
	// CacheWeight and LinkWeight are the routing weights of the services.
	CacheWeight float64
	LinkWeight  float64
	// NonRepeatableShare is the share of plain calls that may run at most once.
	NonRepeatableShare float64
}

// Lichtbeeld returns the deployment of the photographers. Its weights favour cache hits.
func Lichtbeeld() Deployment {
	return Deployment{
		Name: "lichtbeeld",
		Domains: []FailureDomain{
			{Name: "nl-ams", Region: "nl", CallerShare: 0.4},
			{Name: "nl-ehv", Region: "nl", CallerShare: 0.35},
			{Name: "de-fra", Region: "de", CallerShare: 0.25},
		},
		Daemons: 9, ModelService: "drafter", Runners: 9, PlainService: "ledger", PlainInstances: 3, Clients: 12,
		CallerLatency: 3 * time.Millisecond, CacheWeight: 2, LinkWeight: 1, NonRepeatableShare: 0.4,
	}
}

// Wickramasinghe returns the deployment of the polishers. Its weights favour low latency.
func Wickramasinghe() Deployment {
	return Deployment{
		Name: "wickramasinghe",
		Domains: []FailureDomain{
			{Name: "moratuwa", Region: "western", CallerShare: 0.4},
			{Name: "colombo", Region: "western", CallerShare: 0.4},
			{Name: "kandy", Region: "central", CallerShare: 0.2},
		},
		Daemons: 9, ModelService: "quote-models", Runners: 12, PlainService: "workshop-app", PlainInstances: 5, Clients: 8,
		CallerLatency: time.Millisecond, CacheWeight: 1, LinkWeight: 1, NonRepeatableShare: 0.3,
	}
}
