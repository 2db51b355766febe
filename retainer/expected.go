package retainer

import "time"

// Action is what happens to a cache during a pause.
type Action int

const (
	// Leave gives the cache to the engine's own eviction order.
	Leave Action = iota
	// Keep holds the cache for Decision.Hold.
	Keep
	// Export writes the cache to the object store and then gives it up.
	Export
	// Drop releases the cache at once.
	Drop
)

var actionNames = [...]string{"leave", "keep", "export", "drop"}

// String returns the action's name.
func (a Action) String() string { return actionNames[a] }

// Pause describes a program that begins to wait for a tool.
type Pause struct {
	Program string
	Tool    string
	// Tokens is the length of the program's cached history.
	Tokens int
	// EvictionAge is how long the target keeps a cache that nobody holds.
	EvictionAge time.Duration
	// PrefillPerSec is the target's rate of recomputation.
	PrefillPerSec float64
	// ExportSeconds is the time to export and import the cache again.
	ExportSeconds float64
}

// Decision is an action with the time for which a cache is held.
type Decision struct {
	Action Action
	Hold   time.Duration
}

// NoRetention leaves every cache to the engine.
type NoRetention struct{}

// Decide returns Leave.
func (NoRetention) Decide(time.Time, Pause) Decision { return Decision{} }

// Limits bound what is held.
type Limits struct {
	// MaxHold bounds a hold, so that a program that never returns does not occupy
	// memory.
	MaxHold time.Duration
	// DropFactor is how many times the residence the median of a pause must be
	// before the cache is given up at once.
	DropFactor float64
	// MinTokens is the history below which no order is worth its message.
	MinTokens int
}

// DefaultLimits returns the measured limits.
func DefaultLimits() Limits {
	return Limits{MaxHold: 60 * time.Second, DropFactor: 2, MinTokens: 1_024}
}

// PausePolicy compares the expected cost of holding memory with recomputation. All
// caches cost about the same prefill for each block, so that memory is best given
// to the programs that return first: a cache is held when its program is expected
// back within the time for which the target's memory turns over, and given up
// when it is expected long after.
type PausePolicy struct {
	pauses *PauseStats
	limits Limits
}

// NewPausePolicy returns the policy.
func NewPausePolicy(pauses *PauseStats, limits Limits) *PausePolicy {
	return &PausePolicy{pauses: pauses, limits: limits}
}

// Decide returns what to do with the cache of a program that pauses.
func (e *PausePolicy) Decide(_ time.Time, p Pause) Decision {
	if p.Tokens < e.limits.MinTokens || p.EvictionAge <= 0 {
		return Decision{}
	}
	median, known := e.pauses.Quantile(p.Tool, 0.5)
	if !known {
		return Decision{}
	}
	late, _ := e.pauses.Quantile(p.Tool, 0.9)
	if float64(median) > e.limits.DropFactor*float64(p.EvictionAge) {
		recompute := float64(p.Tokens) / p.PrefillPerSec
		if p.ExportSeconds > 0 && p.ExportSeconds < recompute {
			return Decision{Action: Export}
		}
		return Decision{Action: Drop}
	}
	// A cache that would survive until the program returns needs no hold.
	if late <= p.EvictionAge/2 || median > p.EvictionAge {
		return Decision{}
	}
	return Decision{Action: Keep, Hold: min(late, e.limits.MaxHold)}
}

// Orphans returns the held programs that are not live, in the order given.
func Orphans(held []string, live func(program string) bool) []string {
	var orphans []string
	for _, program := range held {
		if !live(program) {
			orphans = append(orphans, program)
		}
	}
	return orphans
}
