package prioritizer

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// Call holds what a policy needs to know about a call.
type Call struct {
	// Program is the root of a tree of sub-agents, which share its attained service.
	Program string
	Client  string
	// Deadline is zero when the call has none.
	Deadline time.Time
	// ServiceSeconds is the estimated service time.
	ServiceSeconds float64
	// ProgramStarted is set if the call's program has run before.
	ProgramStarted bool
}

// FIFO orders calls by their arrival.
type FIFO struct{}

// Decide returns the time of arrival.
func (FIFO) Decide(now time.Time, _ Call) time.Time { return now }

// Charge does nothing: the order of arrival does not depend on attained service.
func (FIFO) Charge(time.Time, string, string, float64) {}

// End does nothing.
func (FIFO) End(string) {}

// Weights set how far a priority may differ from the time of arrival.
type Weights struct {
	// AttainedAdvance is the advance for each doubling of a program's attained service above
	// one second, MaxAttainedAdvance its upper bound. Programs with much attained service go
	// first because they hold the most memory, which is freed when they end.
	AttainedAdvance    time.Duration
	MaxAttainedAdvance time.Duration
	// FairnessDelay is the delay for each second of service that a client attained above its
	// equal share, MaxFairnessDelay its upper bound.
	FairnessDelay    time.Duration
	MaxFairnessDelay time.Duration
	// StartedAdvance is the advance of calls of started programs over calls of new ones.
	StartedAdvance time.Duration
	// DeadlineSlack is the time that is left free before a deadline.
	DeadlineSlack time.Duration
}

// DefaultWeights returns the weights of the scheduler's standard policy.
func DefaultWeights() Weights {
	return Weights{
		AttainedAdvance: 8 * time.Second, MaxAttainedAdvance: 60 * time.Second,
		FairnessDelay: time.Second, MaxFairnessDelay: 30 * time.Second,
		StartedAdvance: 8 * time.Second, DeadlineSlack: time.Second,
	}
}

// OvertakeWindow returns the time after a call's arrival within which other calls must
// arrive to be able to overtake it.
func (w Weights) OvertakeWindow() time.Duration {
	return w.MaxAttainedAdvance + w.MaxFairnessDelay + w.StartedAdvance
}

// usage is the service that a client attained, with exponential decay.
type usage struct {
	seconds   float64
	updatedAt time.Time
}

// clientHalfLife is the half-life of a client's attained service. A client that was busy an
// hour ago must not be held back now.
const clientHalfLife = 60 * time.Second

// maxPrograms bounds the programs that are tracked. The least recently used are evicted first.
const maxPrograms = 65_536

// AttainedService orders calls by the attained service of the whole program, with fairness
// between clients and with deadlines.
type AttainedService struct {
	weights  Weights
	programs *lru.LRU[string, float64]
	clients  *lru.LRU[string, usage]
	total    usage
}

// NewAttainedService returns the policy without any attained service.
func NewAttainedService(weights Weights) *AttainedService {
	a := &AttainedService{weights: weights}
	// NewLRU fails only for sizes below 1.
	a.programs, _ = lru.NewLRU[string, float64](maxPrograms, nil)
	a.clients, _ = lru.NewLRU[string, usage](maxClients, nil)
	return a
}

// maxClients bounds the clients that are tracked.
const maxClients = 4_096

// Decide returns the priority of a call.
func (a *AttainedService) Decide(now time.Time, call Call) time.Time {
	priority := now
	if call.ProgramStarted {
		priority = priority.Add(-a.weights.StartedAdvance)
	}
	if attained, ok := a.programs.Peek(call.Program); ok && attained > 1 {
		advance := time.Duration(math.Log2(attained) * float64(a.weights.AttainedAdvance))
		priority = priority.Add(-min(advance, a.weights.MaxAttainedAdvance))
	}
	excess := a.excessSeconds(now, call.Client)
	priority = priority.Add(min(time.Duration(excess*float64(a.weights.FairnessDelay)), a.weights.MaxFairnessDelay))
	if !call.Deadline.IsZero() {
		latest := call.Deadline.Add(-a.weights.DeadlineSlack - time.Duration(call.ServiceSeconds*float64(time.Second)))
		earliest := now.Add(-a.weights.StartedAdvance - a.weights.MaxAttainedAdvance)
		if latest.Before(earliest) {
			latest = earliest
		}
		if latest.Before(priority) {
			priority = latest
		}
	}
	return priority
}

// excessSeconds returns the seconds of service that a client attained above its equal share.
func (a *AttainedService) excessSeconds(now time.Time, client string) float64 {
	own, ok := a.clients.Peek(client)
	if !ok || a.clients.Len() < 2 {
		return 0
	}
	share := decayed(a.total, now) / float64(a.clients.Len())
	return math.Max(0, decayed(own, now)-share)
}

func decayed(u usage, now time.Time) float64 {
	return u.seconds * math.Exp2(-now.Sub(u.updatedAt).Seconds()/clientHalfLife.Seconds())
}

// Charge adds seconds of service to a program and its client.
func (a *AttainedService) Charge(now time.Time, program, client string, seconds float64) {
	previous, _ := a.programs.Get(program)
	a.programs.Add(program, previous+seconds)
	own, _ := a.clients.Get(client)
	a.clients.Add(client, usage{seconds: decayed(own, now) + seconds, updatedAt: now})
	a.total = usage{seconds: decayed(a.total, now) + seconds, updatedAt: now}
}

// End removes the attained service of a program.
func (a *AttainedService) End(program string) { a.programs.Remove(program) }
