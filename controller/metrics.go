package controller

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// flushEvery is the interval at which counters reach the reporter.
const flushEvery = time.Second

// metrics are the daemon's metrics. Tags have few values: services, outcomes and
// codes, never programs or callers.
type metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

func newMetrics(host, domain string) *metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "dogwoodweir", Tags: map[string]string{"host": host, "failure_domain": domain},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator, OmitCardinalityMetrics: true,
	}, flushEvery)
	return &metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 16)

// call counts one finished call of a caller.
func (m *metrics) call(service, outcome, code string, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{"service": service, "outcome": outcome, "code": code})
	scope.Counter("calls").Inc(1)
	m.scope.Tagged(map[string]string{"service": service}).Histogram("call_seconds", latencyBuckets).RecordDuration(took)
}

// firstToken records the time to the first token of a streamed answer.
func (m *metrics) firstToken(service string, took time.Duration) {
	m.scope.Tagged(map[string]string{"service": service}).Histogram("first_token_seconds", latencyBuckets).RecordDuration(took)
}

// link counts bytes that crossed from one region to another for a service.
func (m *metrics) link(service string, bytes int) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("link_bytes").Inc(int64(bytes))
}

func (m *metrics) count(name string, n int) { m.scope.Counter(name).Inc(int64(n)) }

func (m *metrics) gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

func (m *metrics) close() { _ = m.closer.Close() }
