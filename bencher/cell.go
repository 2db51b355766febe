package bencher

import (
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/generator"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
)

// Fault is what goes wrong in a cell.
type Fault string

// Faults of the cells.
const (
	Healthy Fault = "healthy"
	// SlowRunner makes one runner four times slower.
	SlowRunner Fault = "slowRunner"
	// DomainCut cuts the second failure domain off for two minutes.
	DomainCut Fault = "domainCut"
	// StaleReports delays every load report by two seconds.
	StaleReports Fault = "staleReports"
	// LostEvents drops a third of the cache events and delays the others by two
	// seconds.
	LostEvents Fault = "lostEvents"
	// RareReports leaves load reports out of the answers; each target is polled every
	// twelve seconds only.
	RareReports Fault = "rareReports"
	// FailingRunner makes one runner fail every call at once, so that it looks idle.
	FailingRunner Fault = "failingRunner"
	// SilentRunner makes one runner and one instance of the plain service accept
	// calls and answer nothing for a while.
	SilentRunner Fault = "silentRunner"
)

// Faults returns the faults of the main table, the healthy case first.
func Faults() []Fault { return []Fault{Healthy, SlowRunner, DomainCut, StaleReports, LostEvents} }

// Timeline bounds a run. Programs that arrive from MeasureFrom to MeasureUntil are measured;
// arrivals go on to ArriveUntil, so that the load does not fall while they finish.
type Timeline struct {
	MeasureFrom  time.Duration
	MeasureUntil time.Duration
	ArriveUntil  time.Duration
	End          time.Duration
}

// FullTimeline returns the times of the published figures.
func FullTimeline() Timeline {
	return Timeline{MeasureFrom: 200 * time.Second, MeasureUntil: 700 * time.Second, ArriveUntil: 1_200 * time.Second, End: 3_600 * time.Second}
}

// QuickTimeline returns short times for tests.
func QuickTimeline() Timeline {
	return Timeline{MeasureFrom: 30 * time.Second, MeasureUntil: 120 * time.Second, ArriveUntil: 150 * time.Second, End: 900 * time.Second}
}

// Scenario is one run.
type Scenario struct {
	Deployment generator.Deployment
	Shape      generator.Shape
	Policy     scheduler.PolicyBuilder
	// Rate is in programs a second.
	Rate     float64
	Seed     uint64
	Fault    Fault
	Timeline Timeline
	// MaxConcurrency and MaxQueue are the service's limits for each daemon.
	MaxConcurrency int
	MaxQueue       int
}

// Result is what a run measured.
type Result struct {
	Arrived   int
	Completed int
	// Rejected programs gave up after refusals, Failed ones because the outcome of
	// a call that must not be repeated is unknown.
	Rejected   int
	Failed     int
	Unfinished int
	Rejections int
	// MedianLatency and P95 are over completed programs, in seconds.
	MedianLatency float64
	P95Latency    float64
	// WastedTokens are the tokens that an engine had cached and that were computed again
	// in the window, LinkBytes those sent between regions, Calls the model calls
	// that began and Prefill the tokens computed.
	WastedTokens        int
	WastedTokensPerCall float64
	LinkBytes           float64
	Calls               int
	PrefillTokens       int
	CacheHitRatio       float64
	// Goodput is the model calls that ended in the window, of programs that
	// completed, for each second.
	Goodput float64
	Retries int
	Hedges  int
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func summarize(w *world) Result {
	r := w.result
	latencies := w.latencies
	slices.Sort(latencies)
	r.MedianLatency, r.P95Latency = quantile(latencies, 0.5), quantile(latencies, 0.95)
	r.Unfinished = r.Arrived - r.Completed - r.Rejected - r.Failed
	if r.Calls > 0 {
		r.WastedTokensPerCall = float64(r.WastedTokens) / float64(r.Calls)
	}
	if w.prompts > 0 {
		r.CacheHitRatio = 1 - float64(r.PrefillTokens)/float64(w.prompts)
	}
	r.Goodput = float64(w.good) / (w.cell.Timeline.MeasureUntil - w.cell.Timeline.MeasureFrom).Seconds()
	return r
}
