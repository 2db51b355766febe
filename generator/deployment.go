package generator

import "time"

// Domain is a failure domain with its region and the share of callers there.
type Domain struct {
	Name   string
	Region string
	Share  float64
}

// Deployment is one user's installation.
type Deployment struct {
	Name    string
	Domains []Domain
	// Daemons is the number of entry hosts.
	Daemons int
	// Model and Plain are the services, Runners and Instances their targets.
	Model     string
	Runners   int
	Plain     string
	Instances int
	// Clients share the deployment; the first one is the busiest.
	Clients int
	// CallerLatency is one-way.
	CallerLatency time.Duration
	// CacheWeight and LinkWeight are the service's weights.
	CacheWeight float64
	LinkWeight  float64
	// NonRepeatable is the share of plain calls that may run at most once.
	NonRepeatable float64
}

// Lichtbeeld returns the photographers' deployment, which weighs wasted cache.
func Lichtbeeld() Deployment {
	return Deployment{
		Name: "lichtbeeld",
		Domains: []Domain{
			{Name: "nl-ams", Region: "nl", Share: 0.4},
			{Name: "nl-ehv", Region: "nl", Share: 0.35},
			{Name: "de-fra", Region: "de", Share: 0.25},
		},
		Daemons: 9, Model: "drafter", Runners: 9, Plain: "ledger", Instances: 3, Clients: 12,
		CallerLatency: 3 * time.Millisecond, CacheWeight: 2, LinkWeight: 1, NonRepeatable: 0.4,
	}
}

// Wickramasinghe returns the polishers' deployment, which weighs latency.
func Wickramasinghe() Deployment {
	return Deployment{
		Name: "wickramasinghe",
		Domains: []Domain{
			{Name: "moratuwa", Region: "western", Share: 0.4},
			{Name: "colombo", Region: "western", Share: 0.4},
			{Name: "kandy", Region: "central", Share: 0.2},
		},
		Daemons: 9, Model: "quote-models", Runners: 12, Plain: "workshop-app", Instances: 5, Clients: 8,
		CallerLatency: time.Millisecond, CacheWeight: 1, LinkWeight: 1, NonRepeatable: 0.3,
	}
}
