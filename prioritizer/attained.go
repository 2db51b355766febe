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
	// Seconds is the estimated service time.
	Seconds float64
	// UnderWay is set for calls of programs that have run before.
	UnderWay bool
}

// FirstCome ranks calls by their arrival.
type FirstCome struct{}

// Decide returns the time of arrival.
func (FirstCome) Decide(now time.Time, _ Call) time.Time { return now }

// Charge does nothing: arrival order needs no accounts.
func (FirstCome) Charge(time.Time, string, string, float64) {}

// End does nothing.
func (FirstCome) End(string) {}

// Weights set how far a rank may move away from the arrival.
type Weights struct {
	// Attained is the advance for each doubling of a program's attained service
	// above one second, MaxAttained its bound. Programs with much attained service
	// go first because they hold the most memory: ending them frees it.
	Attained    time.Duration
	MaxAttained time.Duration
	// Fairness is the delay for each second of service that a client attained
	// above its equal share, MaxFairness its bound.
	Fairness    time.Duration
	MaxFairness time.Duration
	// UnderWay is the advance of calls of programs under way before new ones.
	UnderWay time.Duration
	// Slack is kept before a deadline.
	Slack time.Duration
}

// DefaultWeights returns the measured weights.
func DefaultWeights() Weights {
	return Weights{
		Attained: 8 * time.Second, MaxAttained: 60 * time.Second,
		Fairness: time.Second, MaxFairness: 30 * time.Second,
		UnderWay: 8 * time.Second, Slack: time.Second,
	}
}

// Bound returns the longest time after a call's arrival within which an arriving
// call can still overtake it.
func (w Weights) Bound() time.Duration { return w.MaxAttained + w.MaxFairness + w.UnderWay }

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

// Attained ranks by attained service of the whole program, with fairness between
// clients and deadlines.
type Attained struct {
	weights  Weights
	programs *lru.LRU[string, float64]
	clients  *lru.LRU[string, account]
	total    account
}

// NewAttained returns the policy without accounts.
func NewAttained(weights Weights) *Attained {
	a := &Attained{weights: weights}
	// NewLRU fails only for sizes below 1.
	a.programs, _ = lru.NewLRU[string, float64](maxPrograms, nil)
	a.clients, _ = lru.NewLRU[string, account](maxClients, nil)
	return a
}

// maxClients bounds the accounts of clients.
const maxClients = 4_096

// Decide returns the call's rank.
func (a *Attained) Decide(now time.Time, call Call) time.Time {
	rank := now
	if call.UnderWay {
		rank = rank.Add(-a.weights.UnderWay)
	}
	if attained, ok := a.programs.Peek(call.Program); ok && attained > 1 {
		advance := time.Duration(math.Log2(attained) * float64(a.weights.Attained))
		rank = rank.Add(-min(advance, a.weights.MaxAttained))
	}
	excess := a.excess(now, call.Client)
	rank = rank.Add(min(time.Duration(excess*float64(a.weights.Fairness)), a.weights.MaxFairness))
	if !call.Deadline.IsZero() {
		latest := call.Deadline.Add(-a.weights.Slack - time.Duration(call.Seconds*float64(time.Second)))
		earliest := now.Add(-a.weights.UnderWay - a.weights.MaxAttained)
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
func (a *Attained) excess(now time.Time, client string) float64 {
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
func (a *Attained) Charge(now time.Time, program, client string, seconds float64) {
	have, _ := a.programs.Get(program)
	a.programs.Add(program, have+seconds)
	own, _ := a.clients.Get(client)
	a.clients.Add(client, account{seconds: decayed(own, now) + seconds, at: now})
	a.total = account{seconds: decayed(a.total, now) + seconds, at: now}
}

// End drops the account of a program.
func (a *Attained) End(program string) { a.programs.Remove(program) }
