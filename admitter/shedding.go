package admitter

import (
	"math"
	"time"
)

// Request is a call before its admission.
type Request struct {
	// NewProgram is set for the first call of a program.
	NewProgram bool
	// Queued is the number of calls that wait for the service in this daemon.
	Queued int
	// ActivePrograms is the number of started programs of the service in this daemon.
	ActivePrograms int
	// EstimatedWait is the estimated queueing time.
	EstimatedWait time.Duration
	// ServiceSeconds is the estimated service time.
	ServiceSeconds float64
	// Deadline is zero when the call has none.
	Deadline time.Time
}

// Decision is the result of admission. Code is empty if the call is accepted.
type Decision struct {
	Code       string
	RetryAfter time.Duration
}

// Codes of rejections.
const (
	CodeQueueFull        = "queueFull"
	CodeOverloaded       = "overloaded"
	CodeDeadlineExceeded = "deadlineExceeded"
	CodeRateLimited      = "rateLimited"
	CodeNoTarget         = "noTarget"
	// CodeOutcomeUnknown ends a call that may have run and is not sent again.
	CodeOutcomeUnknown = "outcomeUnknown"
)

// StaticShedder accepts calls up to a queue limit, and calls of new programs up to half of it.
type StaticShedder struct{ MaxQueue int }

// Decide accepts or rejects a call by the length of the queue.
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

// Sample is the measurement of one finished call.
type Sample struct {
	// QueueTime is the time that the call spent in the queues of the daemon and of the target.
	QueueTime time.Duration
	// ActivePrograms is the number of started programs.
	ActivePrograms int
}

// SheddingOptions configure an AdaptiveShedder.
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

// DefaultSheddingOptions returns the options of a service with the given queue limit.
func DefaultSheddingOptions(maxQueue int) SheddingOptions {
	return SheddingOptions{
		MaxQueue: maxQueue, WaitThreshold: 3 * time.Second, MinPrograms: 4,
		MaxPrograms: 4_096, InitialPrograms: 4_096, DecreaseFactor: 0.95, DecreaseInterval: 2 * time.Second,
	}
}

// AdaptiveShedder limits the number of started programs. The limit adapts to queueing time,
// so that new programs are rejected before they slow down those already started.
type AdaptiveShedder struct {
	options      SheddingOptions
	limit        float64
	queueSeconds float64
	decreasedAt  time.Time
}

// NewAdaptiveShedder returns the shedder of one service.
func NewAdaptiveShedder(options SheddingOptions) *AdaptiveShedder {
	return &AdaptiveShedder{options: options, limit: options.InitialPrograms}
}

// Limit returns the number of programs that may be started at the same time.
func (s *AdaptiveShedder) Limit() float64 { return s.limit }

// Decide accepts or rejects a call before it is sent.
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

// minIncrease is the smallest rise of the limit for one call that did not wait: at 23 calls
// per second, the limit of a daemon rises by at least 43 programs a minute.
const minIncrease = 1.0 / 32

// queueTimeSmoothing is the weight of one call in the smoothed queueing time.
const queueTimeSmoothing = 0.05

// Observe adapts the limit to the queueing time of one call.
func (s *AdaptiveShedder) Observe(now time.Time, sample Sample) {
	s.queueSeconds += queueTimeSmoothing * (sample.QueueTime.Seconds() - s.queueSeconds)
	if s.queueSeconds > s.options.WaitThreshold.Seconds() {
		if now.Sub(s.decreasedAt) >= s.options.DecreaseInterval {
			// The queueing time was caused by the active programs, which may be fewer than the limit.
			s.limit = math.Min(s.limit, math.Max(float64(sample.ActivePrograms), s.options.MinPrograms))
			s.limit = math.Max(s.options.MinPrograms, s.limit*s.options.DecreaseFactor)
			s.decreasedAt = now
		}
		return
	}
	if float64(sample.ActivePrograms) >= 0.9*s.limit {
		s.limit = math.Min(s.options.MaxPrograms, s.limit+math.Max(2/s.limit, minIncrease))
	}
}
