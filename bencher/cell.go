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

// Times bound a run. Programs that arrive from Warm to Until are measured;
// arrivals go on to Stop, so that the load does not fall while they finish.
type Times struct {
	Warm  time.Duration
	Until time.Duration
	Stop  time.Duration
	End   time.Duration
}

// FullTimes returns the times of the published figures.
func FullTimes() Times {
	return Times{Warm: 200 * time.Second, Until: 700 * time.Second, Stop: 1_200 * time.Second, End: 3_600 * time.Second}
}

// QuickTimes returns short times for tests.
func QuickTimes() Times {
	return Times{Warm: 30 * time.Second, Until: 120 * time.Second, Stop: 150 * time.Second, End: 900 * time.Second}
}

// Cell is one run.
type Cell struct {
	Deployment generator.Deployment
	Shape      generator.Shape
	Policy     scheduler.PolicyBuilder
	// Rate is in programs a second.
	Rate  float64
	Seed  uint64
	Fault Fault
	Times Times
	// MaxConcurrency and MaxQueue are the service's limits for each daemon.
	MaxConcurrency int
	MaxQueue       int
}

// Result is what a run measured.
type Result struct {
	Arrived   int
	Completed int
	// Refused programs gave up after refusals, Failed ones because the outcome of
	// a call that must not be repeated is unknown.
	Refused    int
	Failed     int
	Unfinished int
	Refusals   int
	// Median and P95 are over completed programs, in seconds.
	Median float64
	P95    float64
	// Wasted are the tokens that an engine had cached and that were computed again
	// in the window, LinkBytes those sent between regions, Calls the model calls
	// that began and Prefill the tokens computed.
	Wasted        int
	WastedPerCall float64
	LinkBytes     float64
	Calls         int
	Prefill       int
	HitShare      float64
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
	r.Median, r.P95 = quantile(latencies, 0.5), quantile(latencies, 0.95)
	r.Unfinished = r.Arrived - r.Completed - r.Refused - r.Failed
	if r.Calls > 0 {
		r.WastedPerCall = float64(r.Wasted) / float64(r.Calls)
	}
	if w.prompts > 0 {
		r.HitShare = 1 - float64(r.Prefill)/float64(w.prompts)
	}
	r.Goodput = float64(w.good) / (w.cell.Times.Until - w.cell.Times.Warm).Seconds()
	return r
}
