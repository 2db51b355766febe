package admitter

import (
	"math"
	"time"
)

// Request is a call that asks to be accepted.
type Request struct {
	// NewProgram is set for the first call of a program.
	NewProgram bool
	// Queued is the number of calls that wait in this daemon for the service.
	Queued int
	// ActivePrograms is the number of programs of the service under way here.
	ActivePrograms int
	// EstimatedWait is the estimated queueing time.
	EstimatedWait time.Duration
	// ServiceSeconds is the estimated service time.
	ServiceSeconds float64
	// Deadline is zero when the call has none.
	Deadline time.Time
}

// Decision is what becomes of a call. Code is empty when it is accepted.
type Decision struct {
	Code       string
	RetryAfter time.Duration
}

// Codes of refusals.
const (
	CodeQueueFull        = "queueFull"
	CodeOverloaded       = "overloaded"
	CodeDeadlineExceeded = "deadlineExceeded"
	CodeRateLimited      = "rateLimited"
	CodeNoTarget         = "noTarget"
	// CodeOutcomeUnknown ends a call that may have run and is not sent again.
	CodeOutcomeUnknown = "outcomeUnknown"
)

// StaticShedder accepts calls up to a queue limit; new programs up to half of it.
type StaticShedder struct{ MaxQueue int }

// Decide implements the baseline.
func (s StaticShedder) Decide(_ time.Time, r Request) Decision {
	limit := s.MaxQueue
	if r.NewProgram {
		limit /= 2
	}
	if r.Queued >= limit {
		return Decision{Code: CodeQueueFull, RetryAfter: max(time.Second, r.EstimatedWait)}
	}
	return Decision{}
}

// Observe does nothing: the limit is static.
func (s StaticShedder) Observe(time.Time, Sample) {}

// Sample is what one finished call says about overload.
type Sample struct {
	// QueueTime is the time in the queues of the daemon and of the target.
	QueueTime time.Duration
	// ActivePrograms is the number of programs under way.
	ActivePrograms int
}

// SheddingOptions configure adaptive shedding.
type SheddingOptions struct {
	MaxQueue int
	// WaitThreshold is the queueing time above which the limit of programs falls.
	WaitThreshold    time.Duration
	MinPrograms      float64
	MaxPrograms      float64
	InitialPrograms  float64
	DecreaseFactor   float64
	DecreaseInterval time.Duration
}

// DefaultSheddingOptions returns the measured options.
func DefaultSheddingOptions(maxQueue int) SheddingOptions {
	return SheddingOptions{
		MaxQueue: maxQueue, WaitThreshold: 3 * time.Second, MinPrograms: 4,
		MaxPrograms: 4_096, InitialPrograms: 4_096, DecreaseFactor: 0.95, DecreaseInterval: 2 * time.Second,
	}
}

// AdaptiveShedder limits the programs under way. The limit adapts to queueing time, so
// that new programs are refused before those under way slow each other down.
type AdaptiveShedder struct {
	options SheddingOptions
	limit   float64
	waited  float64
	fell    time.Time
}

// NewAdaptiveShedder returns adaptive shedding for one service.
func NewAdaptiveShedder(options SheddingOptions) *AdaptiveShedder {
	return &AdaptiveShedder{options: options, limit: options.InitialPrograms}
}

// Limit returns the number of programs that may be under way.
func (s *AdaptiveShedder) Limit() float64 { return s.limit }

// Decide accepts or refuses a call before it is sent.
func (s *AdaptiveShedder) Decide(now time.Time, r Request) Decision {
	if !r.Deadline.IsZero() {
		need := time.Duration(r.ServiceSeconds * float64(time.Second))
		if now.Add(need).After(r.Deadline) {
			return Decision{Code: CodeDeadlineExceeded}
		}
	}
	if r.Queued >= s.options.MaxQueue {
		return Decision{Code: CodeQueueFull, RetryAfter: max(time.Second, r.EstimatedWait)}
	}
	if r.NewProgram && float64(r.ActivePrograms) >= s.limit {
		return Decision{Code: CodeOverloaded, RetryAfter: max(2*time.Second, r.EstimatedWait)}
	}
	return Decision{}
}

// minIncrease is the rise of the limit for one call that did not wait: at 23 calls
// a second a daemon's limit rises by 43 programs a minute.
const minIncrease = 1.0 / 32

// sampleGain is the weight of one call in the smoothed queueing time.
const sampleGain = 0.05

// Observe adapts the limit.
func (s *AdaptiveShedder) Observe(now time.Time, sample Sample) {
	s.waited += sampleGain * (sample.QueueTime.Seconds() - s.waited)
	if s.waited > s.options.WaitThreshold.Seconds() {
		if now.Sub(s.fell) >= s.options.DecreaseInterval {
			// Programs in use, not the limit, are what the signal was about.
			s.limit = math.Min(s.limit, math.Max(float64(sample.ActivePrograms), s.options.MinPrograms))
			s.limit = math.Max(s.options.MinPrograms, s.limit*s.options.DecreaseFactor)
			s.fell = now
		}
		return
	}
	if float64(sample.ActivePrograms) >= 0.9*s.limit {
		s.limit = math.Min(s.options.MaxPrograms, s.limit+math.Max(2/s.limit, minIncrease))
	}
}
