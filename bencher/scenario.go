package bencher

import (
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/generator"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

// Fault is the fault that a scenario injects.
type Fault string

// Faults that a scenario can inject.
const (
	Healthy Fault = "healthy"
	// SlowRunner makes one runner four times slower.
	SlowRunner Fault = "slowRunner"
	// DomainCut isolates the second failure domain for two minutes, or for a third of
	// the measured time if that is shorter.
	DomainCut Fault = "domainCut"
	// StaleReports delays every load report by two seconds.
	StaleReports Fault = "staleReports"
	// LostEvents drops a third of the cache events and delays the others to two
	// seconds.
	LostEvents Fault = "lostEvents"
	// RareReports omits load reports from responses and polls each engine only every
	// twelve seconds.
	RareReports Fault = "rareReports"
	// FailingRunner makes one runner fail every call quickly, so that it appears idle.
	FailingRunner Fault = "failingRunner"
	// SilentRunner makes one runner and one instance of the plain service accept
	// calls without a response for a third of the measured time.
	SilentRunner Fault = "silentRunner"
)

// Faults returns the faults of the main table, the healthy case first.
func Faults() []Fault { return []Fault{Healthy, SlowRunner, DomainCut, StaleReports, LostEvents} }

// Timeline has the phases of a run, from its start. Programs that arrive from
// MeasureFrom to MeasureUntil are measured. Arrivals continue until ArriveUntil, so that
// the load does not fall while the measured programs finish. The run stops at End at
// the latest.
type Timeline struct {
	MeasureFrom  time.Duration
	MeasureUntil time.Duration
	ArriveUntil  time.Duration
	End          time.Duration
}

// FullTimeline returns the timeline of the published figures.
func FullTimeline() Timeline {
	return Timeline{MeasureFrom: 200 * time.Second, MeasureUntil: 700 * time.Second, ArriveUntil: 1_200 * time.Second, End: 3_600 * time.Second}
}

// QuickTimeline returns a short timeline for tests.
func QuickTimeline() Timeline {
	return Timeline{MeasureFrom: 30 * time.Second, MeasureUntil: 120 * time.Second, ArriveUntil: 150 * time.Second, End: 900 * time.Second}
}

// Scenario has the inputs of one run.
type Scenario struct {
	Deployment generator.Deployment
	Shape      generator.Shape
	Policy     scheduler.PolicyBuilder
	// Rate is the arrival rate in programs a second.
	Rate     float64
	Seed     uint64
	Fault    Fault
	Timeline Timeline
	// MaxConcurrency and MaxQueue are the service's limits for each daemon.
	MaxConcurrency int
	MaxQueue       int
}

// Result has the figures of one run.
type Result struct {
	// Arrived counts the measured programs, Completed those that made all their turns.
	Arrived   int
	Completed int
	// Rejected programs were abandoned after too many rejections in a row, Failed ones
	// because the outcome of a call that must not be repeated is unknown.
	Rejected   int
	Failed     int
	Unfinished int
	// Rejections counts the rejected calls of all programs.
	Rejections int
	// MedianLatency and P95Latency are over completed programs, in seconds.
	MedianLatency float64
	P95Latency    float64
	// The following figures are of the measured time: WastedTokens are prompt tokens that
	// an engine had computed before and that were computed again, LinkBytes the bytes
	// sent between regions, Calls the model calls that began at an engine, and
	// PrefillTokens the prompt tokens computed.
	WastedTokens        int
	WastedTokensPerCall float64
	LinkBytes           float64
	Calls               int
	PrefillTokens       int
	CacheHitRatio       float64
	// Goodput is the rate, in model calls a second, of the calls of completed programs
	// that ended in the measured time.
	Goodput float64
	Retries int
	Hedges  int
}

// quantile returns a quantile of sorted values, or 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// summarize derives the result from the counts of a run.
func summarize(s *simulation) Result {
	r := s.result
	latencies := s.latencies
	slices.Sort(latencies)
	r.MedianLatency, r.P95Latency = quantile(latencies, 0.5), quantile(latencies, 0.95)
	r.Unfinished = r.Arrived - r.Completed - r.Rejected - r.Failed
	if r.Calls > 0 {
		r.WastedTokensPerCall = float64(r.WastedTokens) / float64(r.Calls)
	}
	if s.promptTokens > 0 {
		r.CacheHitRatio = 1 - float64(r.PrefillTokens)/float64(s.promptTokens)
	}
	r.Goodput = float64(s.goodCalls) / (s.scenario.Timeline.MeasureUntil - s.scenario.Timeline.MeasureFrom).Seconds()
	return r
}
