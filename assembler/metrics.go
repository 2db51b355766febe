package assembler

import (
	"net/http"
	"strconv"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/dogwoodweir/dogwoodweir/allocator"
	"github.com/dogwoodweir/dogwoodweir/limiter"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
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

// quotaBuckets begin below a question within a failure domain and end above the longest wait.
var quotaBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 12)

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

// recordSession records one turn of a session whose last target is known.
func (m *metrics) recordSession(route string, moved bool) {
	scope := m.scope.Tagged(map[string]string{"route": route})
	scope.Counter("session_turns").Inc(1)
	if moved {
		scope.Counter("session_moves").Inc(1)
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

// quotaObserver returns an observer that records the figures of quotas.
func (m *metrics) quotaObserver() limiter.Observer {
	return limiter.Observer{
		Decision: func(workspace string, d *limiter.Decision, took time.Duration) {
			m.scope.Tagged(map[string]string{"workspace": workspace, "reason": d.Reason}).Counter("quota_decisions").Inc(1)
			m.scope.Histogram("quota_seconds", quotaBuckets).RecordDuration(took)
		},
		StoreCall: func(operation string, kind provider.Kind) {
			m.scope.Tagged(map[string]string{"operation": operation, "kind": kind.String()}).Counter("quota_store_calls").Inc(1)
		},
		Borrowed: func(tokens float64) {
			m.scope.Tagged(map[string]string{"lent": strconv.FormatBool(tokens > 0)}).Counter("quota_borrows").Inc(1)
		},
		NoticeSent: func(delivered bool) {
			m.scope.Tagged(map[string]string{"delivered": strconv.FormatBool(delivered)}).Counter("quota_notices").Inc(1)
		},
	}
}

// setFractions records the fractions of quotas that this daemon holds and the rest of their lease.
func (m *metrics) setFractions(fractions map[string]float64, lease time.Duration) {
	for workspace, fraction := range fractions {
		m.scope.Tagged(map[string]string{"workspace": workspace}).Gauge("quota_fraction").Update(fraction)
	}
	if len(fractions) > 0 {
		m.setGauge("quota_lease_seconds", lease.Seconds())
	}
}

// countPanic counts a panic of one of the daemon's loops.
func (m *metrics) countPanic(loop string) {
	m.scope.Tagged(map[string]string{"loop": loop}).Counter("panics").Inc(1)
}

// setFeedAge records the time since the store last responded to the feed of a table.
func (m *metrics) setFeedAge(table string, age time.Duration) {
	m.scope.Tagged(map[string]string{"table": table}).Gauge("feed_age_seconds").Update(age.Seconds())
}

// setOwnership records the partitions of budget rows that this daemon owns.
func (m *metrics) setOwnership(s allocator.Stats) {
	m.setGauge("budget_partitions_owned", float64(s.Owned))
	m.setGauge("budget_partitions_from_memory", float64(s.FromMemory))
	m.setGauge("budget_partitions_blocked", float64(s.Blocked))
	m.setGauge("budget_rows_unwritten", float64(s.Unwritten))
	m.setGauge("budget_memory_writes", float64(s.MemoryWrites))
	m.setGauge("budget_owner_requests", float64(s.Asked))
	m.setGauge("budget_owner_requests_unanswered", float64(s.Unanswered))
}

// countClosedConnections records connections of callers that were closed to stay within the limits.
func (m *metrics) countClosedConnections(reason string, n int64) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("caller_connections_closed").Inc(n)
}

func (m *metrics) setGauge(name string, value float64) { m.scope.Gauge(name).Update(value) }
