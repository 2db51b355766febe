package prioritizer

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// Call is what a policy needs to know about a call.
type Call struct {
	// Program is the root of a tree of sub-agents: they share one account.
	Program string
	Client  string
	// Deadline is zero when the call has none.
	Deadline time.Time
	// ServiceSeconds is the estimated service time.
	ServiceSeconds float64
	// ProgramStarted is set for calls of programs that have run before.
	ProgramStarted bool
}

// FIFO ranks calls by their arrival.
type FIFO struct{}

// Decide returns the time of arrival.
func (FIFO) Decide(now time.Time, _ Call) time.Time { return now }

// Charge does nothing: arrival order needs no accounts.
func (FIFO) Charge(time.Time, string, string, float64) {}

// End does nothing.
func (FIFO) End(string) {}

// Weights set how far a rank may move away from the arrival.
type Weights struct {
	// AttainedAdvance is the advance for each doubling of a program's attained service
	// above one second, MaxAttained its bound. Programs with much attained service
	// go first because they hold the most memory: ending them frees it.
	AttainedAdvance    time.Duration
	MaxAttainedAdvance time.Duration
	// FairnessDelay is the delay for each second of service that a client attained
	// above its equal share, MaxFairness its bound.
	FairnessDelay    time.Duration
	MaxFairnessDelay time.Duration
	// StartedAdvance is the advance of calls of programs under way before new ones.
	StartedAdvance time.Duration
	// DeadlineSlack is kept before a deadline.
	DeadlineSlack time.Duration
}

// DefaultWeights returns the measured weights.
func DefaultWeights() Weights {
	return Weights{
		AttainedAdvance: 8 * time.Second, MaxAttainedAdvance: 60 * time.Second,
		FairnessDelay: time.Second, MaxFairnessDelay: 30 * time.Second,
		StartedAdvance: 8 * time.Second, DeadlineSlack: time.Second,
	}
}

// OvertakeWindow returns the longest time after a call's arrival within which an arriving
// call can still overtake it.
func (w Weights) OvertakeWindow() time.Duration {
	return w.MaxAttainedAdvance + w.MaxFairnessDelay + w.StartedAdvance
}

// account is the service that one client attained, decaying over time.
type account struct {
	seconds float64
	at      time.Time
}

// accountHalfLife is how fast attained service of a client is forgotten, so that
// a client that was busy an hour ago is not held back now.
const accountHalfLife = 60 * time.Second

// maxPrograms bounds the accounts of programs; the least recently used go first.
const maxPrograms = 65_536

// AttainedService ranks by attained service of the whole program, with fairness between
// clients and deadlines.
type AttainedService struct {
	weights  Weights
	programs *lru.LRU[string, float64]
	clients  *lru.LRU[string, account]
	total    account
}

// NewAttainedService returns the policy without accounts.
func NewAttainedService(weights Weights) *AttainedService {
	a := &AttainedService{weights: weights}
	// NewLRU fails only for sizes below 1.
	a.programs, _ = lru.NewLRU[string, float64](maxPrograms, nil)
	a.clients, _ = lru.NewLRU[string, account](maxClients, nil)
	return a
}

// maxClients bounds the accounts of clients.
const maxClients = 4_096

// Decide returns the call's rank.
func (a *AttainedService) Decide(now time.Time, call Call) time.Time {
	rank := now
	if call.ProgramStarted {
		rank = rank.Add(-a.weights.StartedAdvance)
	}
	if attained, ok := a.programs.Peek(call.Program); ok && attained > 1 {
		advance := time.Duration(math.Log2(attained) * float64(a.weights.AttainedAdvance))
		rank = rank.Add(-min(advance, a.weights.MaxAttainedAdvance))
	}
	excess := a.excess(now, call.Client)
	rank = rank.Add(min(time.Duration(excess*float64(a.weights.FairnessDelay)), a.weights.MaxFairnessDelay))
	if !call.Deadline.IsZero() {
		latest := call.Deadline.Add(-a.weights.DeadlineSlack - time.Duration(call.ServiceSeconds*float64(time.Second)))
		earliest := now.Add(-a.weights.StartedAdvance - a.weights.MaxAttainedAdvance)
		if latest.Before(earliest) {
			latest = earliest
		}
		if latest.Before(rank) {
			rank = latest
		}
	}
	return rank
}

// excess returns the seconds that a client attained above an equal share.
func (a *AttainedService) excess(now time.Time, client string) float64 {
	own, ok := a.clients.Peek(client)
	if !ok || a.clients.Len() < 2 {
		return 0
	}
	share := decayed(a.total, now) / float64(a.clients.Len())
	return math.Max(0, decayed(own, now)-share)
}

func decayed(acc account, now time.Time) float64 {
	return acc.seconds * math.Exp2(-now.Sub(acc.at).Seconds()/accountHalfLife.Seconds())
}

// Charge adds seconds of service to the accounts of a program and its client.
func (a *AttainedService) Charge(now time.Time, program, client string, seconds float64) {
	have, _ := a.programs.Get(program)
	a.programs.Add(program, have+seconds)
	own, _ := a.clients.Get(client)
	a.clients.Add(client, account{seconds: decayed(own, now) + seconds, at: now})
	a.total = account{seconds: decayed(a.total, now) + seconds, at: now}
}

// End drops the account of a program.
func (a *AttainedService) End(program string) { a.programs.Remove(program) }
