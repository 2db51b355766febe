package scheduler

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/admitter"
	"github.com/dogwoodweir/dogwoodweir/prioritizer"
	"github.com/dogwoodweir/dogwoodweir/retainer"
	"github.com/dogwoodweir/dogwoodweir/router"
)

// Decider returns the decision D for a request R at the given time.
type Decider[R, D any] interface {
	Decide(now time.Time, request R) D
}

// Prioritizer gives each call a priority, which is a time: the call with the earliest
// one runs first. Charge records the seconds of service that a program of a client has
// used, and End removes the record of a program.
type Prioritizer interface {
	Decider[prioritizer.Call, time.Time]
	Charge(now time.Time, program, client string, seconds float64)
	End(program string)
}

// Shedder accepts or rejects calls and adapts to the samples of finished calls.
type Shedder interface {
	Decider[admitter.Request, admitter.Decision]
	Observe(now time.Time, sample admitter.Sample)
}

// Policy holds the mechanisms that make a scheduler's decisions.
type Policy struct {
	Name        string
	Router      Decider[*router.Request, router.Choice]
	Prioritizer Prioritizer
	Retention   Decider[retainer.Pause, retainer.Decision]
	// NewShedder returns the shedder of a service.
	NewShedder func(Service) Shedder
	// ConcurrencyOptions returns the options of the concurrency limit of each target of
	// a service.
	ConcurrencyOptions func(Service) admitter.ConcurrencyOptions
	// Breakers enables a circuit breaker for each target.
	Breakers bool
	// HedgeRatio is the share of calls that may be hedged. 0 turns hedging off.
	HedgeRatio float64
	// ReleaseEndedPrograms orders targets to release the KV cache of ended programs.
	ReleaseEndedPrograms bool
}

// Dependencies hold the scheduler's state that a policy may use.
type Dependencies struct {
	Fleet      *router.Fleet
	PauseStats *retainer.PauseStats
	Seed       uint64
}

// PolicyBuilder returns the policy of one scheduler.
type PolicyBuilder func(Dependencies) Policy

// Ablation turns off single mechanisms of the standard policy.
type Ablation struct {
	Routing               router.Options
	NoPrioritization      bool
	NoRelease             bool
	NoShedding            bool
	NoAdaptiveConcurrency bool
	NoBreakers            bool
	NoHedging             bool
}

// Standard returns the default policy. It does not hold or drop caches during pauses
// and only orders their release at the end of a program: an engine that evicts the
// least recently used blocks does as well (docs/measurements.md).
func Standard() PolicyBuilder { return Ablated("policy", Ablation{}) }

// Ablated returns the standard policy without the given mechanisms.
func Ablated(name string, off Ablation) PolicyBuilder {
	return func(d Dependencies) Policy {
		p := Policy{
			Name:        name,
			Router:      router.NewLowestCost(d.Fleet, router.DefaultWeights(), d.Seed, off.Routing),
			Prioritizer: prioritizer.NewAttainedService(prioritizer.DefaultWeights()),
			Retention:   retainer.NoRetention{},
			NewShedder: func(s Service) Shedder {
				return admitter.NewAdaptiveShedder(admitter.DefaultSheddingOptions(s.MaxQueue))
			},
			ConcurrencyOptions: func(s Service) admitter.ConcurrencyOptions {
				return admitter.DefaultConcurrencyOptions(s.MaxConcurrency)
			},
			Breakers: !off.NoBreakers, HedgeRatio: 0.02, ReleaseEndedPrograms: !off.NoRelease,
		}
		if off.NoPrioritization {
			p.Prioritizer = prioritizer.FIFO{}
		}
		if off.NoShedding {
			p.NewShedder = staticShedding
		}
		if off.NoAdaptiveConcurrency {
			p.ConcurrencyOptions = fixedConcurrency
		}
		if off.NoHedging {
			p.HedgeRatio = 0
		}
		return p
	}
}

// Retaining returns the standard policy with holds and drops of caches during pauses,
// for engines that do not evict the least recently used blocks first.
func Retaining() PolicyBuilder {
	return func(d Dependencies) Policy {
		p := Standard()(d)
		p.Name = "retaining"
		p.Retention = retainer.NewPausePolicy(d.PauseStats, retainer.DefaultLimits())
		return p
	}
}

func staticShedding(s Service) Shedder { return admitter.StaticShedder{MaxQueue: s.MaxQueue} }

func fixedConcurrency(s Service) admitter.ConcurrencyOptions {
	options := admitter.DefaultConcurrencyOptions(s.MaxConcurrency)
	options.Fixed = true
	return options
}

// Baseline returns a baseline policy for comparison: the given router with first-come,
// first-served order, no retention and static limits. It keeps the circuit breakers,
// because no operator runs without them.
func Baseline(name string, route func(Dependencies) Decider[*router.Request, router.Choice]) PolicyBuilder {
	return func(d Dependencies) Policy {
		return Policy{
			Name: name, Router: route(d), Prioritizer: prioritizer.FIFO{}, Retention: retainer.NoRetention{},
			NewShedder: staticShedding, ConcurrencyOptions: fixedConcurrency, Breakers: true,
		}
	}
}

// RoundRobin returns the baseline that sends calls to the targets in turn.
func RoundRobin() PolicyBuilder {
	return Baseline("roundRobin", func(d Dependencies) Decider[*router.Request, router.Choice] {
		return router.NewRoundRobin(d.Fleet, nil, d.Seed)
	})
}

// LeastLoaded returns the baseline that sends each call to the target with the fewest
// calls.
func LeastLoaded() PolicyBuilder {
	return Baseline("leastLoaded", func(d Dependencies) Decider[*router.Request, router.Choice] {
		return router.NewLeastLoaded(d.Fleet)
	})
}

// Affinity returns the baseline that sends all calls of a program to one target.
func Affinity() PolicyBuilder {
	return Baseline("affinity", func(d Dependencies) Decider[*router.Request, router.Choice] {
		return router.NewAffinity(d.Fleet)
	})
}
