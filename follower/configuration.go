package follower

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// RepeatPolicy says how often a request of a route may run.
type RepeatPolicy int

const (
	// AtMostOnce requests run at most once per call.
	AtMostOnce RepeatPolicy = iota
	// Repeatable requests may run any number of times.
	Repeatable
)

// Split sends a share of a route's requests to a service. The share is the weight divided by
// the sum of the weights of all splits of the route.
type Split struct {
	Service string
	Weight  int
}

// Route says how requests with a host and a path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// RepeatPolicy is Repeatable for requests without side effects.
	RepeatPolicy RepeatPolicy
	// Streaming routes respond with a stream of events.
	Streaming bool
	// Resumable streams may continue at another target after the last event received.
	Resumable bool
	// KeepsHistory makes the scheduler store the input and output of each turn and prepend
	// them to the input of the next turn.
	KeepsHistory bool
	// Retention is how long a turn can be continued.
	Retention time.Duration
	// Timeout bounds the time from a request's arrival to the end of its response.
	Timeout time.Duration
	// LatencyObjective is the time within which a response is fully useful; for streams, the
	// time to the first event.
	LatencyObjective time.Duration
	// MaxEventGap is the longest gap between events of a useful stream.
	MaxEventGap time.Duration
	// Priority is the route's priority; 0 is the most urgent.
	Priority int
	// MaxTargets bounds the number of targets that may run one call.
	MaxTargets int
	// Affinity routes are served faster by a target that has served the same object before.
	Affinity bool
	// Public routes serve calls without a key.
	Public bool
	Splits []Split
}

// MayRepeat reports whether a request of the route may be sent again after its outcome became
// unknown. A resumable stream then continues after the last event that the caller received; any other
// stream would join events of two runs.
func (r *Route) MayRepeat() bool {
	if r.Streaming {
		return r.Resumable
	}
	return r.RepeatPolicy == Repeatable
}

// ChooseService returns the service for a request. The number selects one of the splits; it
// must be uniformly distributed over all values.
func (r *Route) ChooseService(number uint64) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(number % uint64(total))
	for _, s := range r.Splits {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return ""
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// CacheTokens is the capacity of the prompt cache, in tokens.
	CacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the number of connections of all daemons to one target.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// CallerLimits bound the size of callers' requests and the time that callers may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one published version of routes, services and limits.
type Configuration struct {
	Version  int64
	Services map[string]Service
	Limits   CallerLimits
	// routes holds the routes of each host, longest prefix first.
	routes         map[string][]Route
	workspaces     []Workspace
	workspaceByKey map[KeyHash]*Workspace
}

// NewConfiguration returns a configuration with the given routes and services.
func NewConfiguration(version int64, routes []Route, services []Service, limits CallerLimits) *Configuration {
	c := &Configuration{
		Version: version, Services: make(map[string]Service, len(services)), Limits: limits,
		routes: map[string][]Route{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Routes returns all routes, ordered by host and then by prefix, longest prefix first.
func (c *Configuration) Routes() []Route {
	var all []Route
	for _, host := range slices.Sorted(maps.Keys(c.routes)) {
		all = append(all, c.routes[host]...)
	}
	return all
}

// HasEngines reports whether a service has model engines, whose turns have budgets.
func (c *Configuration) HasEngines() bool {
	for _, s := range c.Services {
		if s.Engine != nil {
			return true
		}
	}
	return false
}

// Match returns the route with the longest prefix of the path, or nil if there is none. The path is compared as it is,
// escapes included. The host may include a port.
func (c *Configuration) Match(host, path string) *Route {
	host = strings.ToLower(host)
	list := c.routes[host]
	if list == nil {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			list = c.routes[host[:i]]
		}
	}
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i]
		}
	}
	return nil
}
