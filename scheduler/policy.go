package scheduler

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/admitter"
	"github.com/dogwoodweir/dogwoodweir/prioritizer"
	"github.com/dogwoodweir/dogwoodweir/retainer"
	"github.com/dogwoodweir/dogwoodweir/router"
)

// Decider is a policy: it answers a question of type Q at a time.
type Decider[Q, A any] interface {
	Decide(now time.Time, question Q) A
}

// Prioritizer ranks calls and keeps the accounts that the ranks depend on.
type Prioritizer interface {
	Decider[prioritizer.Call, time.Time]
	Charge(now time.Time, program, client string, seconds float64)
	End(program string)
}

// Shedder accepts or refuses calls and learns from those that finished.
type Shedder interface {
	Decider[admitter.Request, admitter.Decision]
	Observe(now time.Time, sample admitter.Sample)
}

// Policy is the set of decisions that a scheduler makes.
type Policy struct {
	Name        string
	Router      Decider[*router.Request, router.Choice]
	Prioritizer Prioritizer
	Retention   Decider[retainer.Pause, retainer.Decision]
	// NewShedder makes the shedder of one service.
	NewShedder func(Service) Shedder
	// ConcurrencyOptions gives the options of a target's limit.
	ConcurrencyOptions func(Service) admitter.ConcurrencyOptions
	// Breakers opens circuit breakers on failing targets.
	Breakers bool
	// HedgeRatio is the share of calls that may be sent a second time; 0 is none.
	HedgeRatio float64
	// ReleaseEndedPrograms gives up the memory of programs that ended.
	ReleaseEndedPrograms bool
}

// Dependencies are what a policy may refer to.
type Dependencies struct {
	Fleet  *router.Fleet
	Pauses *retainer.PauseStats
	Seed   uint64
}

// PolicyBuilder makes the policy of one scheduler.
type PolicyBuilder func(Dependencies) Policy

// Ablation turn single mechanisms of the standard policy off.
type Ablation struct {
	Routing               router.Options
	NoPrioritization      bool
	NoRelease             bool
	NoShedding            bool
	NoAdaptiveConcurrency bool
	NoBreakers            bool
	NoHedging             bool
}

// Standard returns the project's policy with every mechanism that pays. Holds and
// early drops during pauses do not (docs/measurements.md): an engine that evicts
// the least recently used blocks is as good, so that only release is ordered.
func Standard() PolicyBuilder { return Ablated("policy", Ablation{}) }

// Ablated returns the standard policy with some mechanisms turned off.
func Ablated(name string, off Ablation) PolicyBuilder {
	return func(parts Dependencies) Policy {
		p := Policy{
			Name:        name,
			Router:      router.NewLowestCost(parts.Fleet, router.DefaultWeights(), parts.Seed, off.Routing),
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

// Retaining returns the standard policy with holds and drops during pauses, for
// engines that do not evict the least recently used blocks first.
func Retaining() PolicyBuilder {
	return func(parts Dependencies) Policy {
		p := Standard()(parts)
		p.Name = "retaining"
		p.Retention = retainer.NewPausePolicy(parts.Pauses, retainer.DefaultLimits())
		return p
	}
}

func staticShedding(s Service) Shedder { return admitter.StaticShedder{MaxQueue: s.MaxQueue} }

func fixedConcurrency(s Service) admitter.ConcurrencyOptions {
	options := admitter.DefaultConcurrencyOptions(s.MaxConcurrency)
	options.Fixed = true
	return options
}

// Baseline returns a baseline around a router: first come first served, no
// retention, static limits. Circuit breakers stay, because no operator runs
// without them.
func Baseline(name string, route func(Dependencies) Decider[*router.Request, router.Choice]) PolicyBuilder {
	return func(parts Dependencies) Policy {
		return Policy{
			Name: name, Router: route(parts), Prioritizer: prioritizer.FIFO{}, Retention: retainer.NoRetention{},
			NewShedder: staticShedding, ConcurrencyOptions: fixedConcurrency, Breakers: true,
		}
	}
}

// RoundRobin returns the baseline that sends each call to the next target.
func RoundRobin() PolicyBuilder {
	return Baseline("roundRobin", func(p Dependencies) Decider[*router.Request, router.Choice] {
		return router.NewRoundRobin(p.Fleet, nil, p.Seed)
	})
}

// LeastLoaded returns the baseline that sends each call to the target with the
// fewest calls.
func LeastLoaded() PolicyBuilder {
	return Baseline("leastLoaded", func(p Dependencies) Decider[*router.Request, router.Choice] {
		return router.NewLeastLoaded(p.Fleet)
	})
}

// Affinity returns the baseline that sends the calls of a program to one target.
func Affinity() PolicyBuilder {
	return Baseline("affinity", func(p Dependencies) Decider[*router.Request, router.Choice] {
		return router.NewAffinity(p.Fleet)
	})
}
