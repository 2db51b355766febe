package assembler

import (
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/relayer"
)

// metricsFlushInterval is the interval at which metrics are passed to the reporter.
const metricsFlushInterval = 2 * time.Second

// metrics holds the daemon's metrics. Tags are limited to values of low cardinality, such
// as routes, statuses and reasons, and never hold callers or programs.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

func newMetrics(s Settings) *metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "dogwoodweir", Tags: map[string]string{"host": s.Host, "failure_domain": s.FailureDomain},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator, OmitCardinalityMetrics: true,
	}, metricsFlushInterval)
	return &metrics{scope: scope, handler: reporter.HTTPHandler()}
}

// recordCall records one call of a caller.
func (m *metrics) recordCall(route, status, reason string, took, firstEvent time.Duration) {
	m.scope.Tagged(map[string]string{"route": route, "status": status, "reason": reason}).Counter("calls").Inc(1)
	scope := m.scope.Tagged(map[string]string{"route": route})
	scope.Histogram("call_seconds", latencyBuckets).RecordDuration(took)
	if firstEvent > 0 {
		scope.Histogram("first_event_seconds", latencyBuckets).RecordDuration(firstEvent)
	}
}

// recordStoreCall records one request to the store. The time of feed requests is not
// recorded, since they wait for changes.
func (m *metrics) recordStoreCall(c relayer.CallRecord) {
	scope := m.scope.Tagged(map[string]string{"operation": c.Operation, "way": c.Mode.String(), "kind": c.Kind.String()})
	scope.Counter("store_calls").Inc(1)
	scope.Counter("store_bytes").Inc(int64(c.Bytes))
	switch c.Operation {
	case "feed", "feedForPeer", messenger.MethodStoreFeed:
	default:
		scope.Histogram("store_seconds", latencyBuckets).RecordDuration(c.Took)
	}
}

// setFeedAge records the time since the store last responded to the feed of a table.
func (m *metrics) setFeedAge(table string, age time.Duration) {
	m.scope.Tagged(map[string]string{"table": table}).Gauge("feed_age_seconds").Update(age.Seconds())
}

// countClosedConnections records connections of callers that were closed to stay within the limits.
func (m *metrics) countClosedConnections(reason string, n int64) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("caller_connections_closed").Inc(n)
}

func (m *metrics) setGauge(name string, value float64) { m.scope.Gauge(name).Update(value) }
