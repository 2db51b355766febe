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
	// AtMostOnce requests run at most once for each attempt of the caller.
	AtMostOnce RepeatPolicy = iota
	// Repeatable requests may run any number of times.
	Repeatable
)

// Split sends a share of a route's requests to a service.
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
	// Streaming answers are series of events.
	Streaming bool
	// Resumable streams may go on at another target after their last event.
	Resumable bool
	// KeepsHistory makes the scheduler keep what was said and prepend it to the
	// next turn's input.
	KeepsHistory bool
	// Retention is how long a turn can be continued.
	Retention time.Duration
	// Timeout bounds the time that a request is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is fully useful; for streams,
	// the time to the first event.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between events of a useful stream.
	MaxEventGap time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// MaxTargets bounds the targets that run one attempt of a caller.
	MaxTargets int
	// Affinity routes are faster at a target that has served the same object.
	Affinity bool
	Splits   []Split
}

// MayRepeat reports whether a request of the route may be sent again after its
// outcome became unknown and before any event reached the caller.
func (r *Route) MayRepeat() bool { return r.RepeatPolicy == Repeatable || r.Resumable }

// ChooseService returns the service for a request; the number, drawn evenly from all
// integers, chooses between the parts of a split.
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
	// Slots is the number of requests that run at once.
	Slots int
	// CacheTokens is the memory for prompts, in tokens.
	CacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one target from all daemons.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// CallerLimits bound what a caller may send and how long it may take.
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
	routes map[string][]Route
}

// NewConfiguration indexes routes and services.
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

// Routes returns all routes by host, longest prefix first.
func (c *Configuration) Routes() []Route {
	var all []Route
	for _, host := range slices.Sorted(maps.Keys(c.routes)) {
		all = append(all, c.routes[host]...)
	}
	return all
}

// Match returns the route with the longest prefix of the path, nil when there is
// none. The host may carry a port.
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
