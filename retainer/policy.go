package retainer

import "time"

// Action is what to do with a program's cache during a pause.
type Action int

const (
	// Leave leaves the cache to the eviction order of the engine.
	Leave Action = iota
	// Keep holds the cache for Decision.Hold.
	Keep
	// Export writes the cache to the object store and then releases it.
	Export
	// Drop releases the cache at once.
	Drop
)

var actionNames = [...]string{"leave", "keep", "export", "drop"}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }

// Pause describes a program that starts to wait for a tool.
type Pause struct {
	Program string
	Tool    string
	// Tokens is the length of the program's cached history.
	Tokens int
	// EvictionAge is the age at which the target evicts a cache that is not held.
	EvictionAge time.Duration
	// PrefillPerSec is the number of tokens that the target recomputes in a second.
	PrefillPerSec float64
	// ExportSeconds is the time to export the cache and to import it again.
	ExportSeconds float64
}

// Decision is an action with the time for which the cache is held.
type Decision struct {
	Action Action
	Hold   time.Duration
}

// NoRetention leaves every cache to the engine.
type NoRetention struct{}

// Decide returns Leave.
func (NoRetention) Decide(time.Time, Pause) Decision { return Decision{} }

// Limits bound which caches are held, and for how long.
type Limits struct {
	// MaxHold bounds the time of a hold, so that a program that never returns does not occupy
	// memory.
	MaxHold time.Duration
	// DropFactor is the ratio of a tool's median pause to the eviction age above which the
	// cache is released at once.
	DropFactor float64
	// MinTokens is the length of the history below which the cache is left to the engine,
	// because an order would cost more than it saves.
	MinTokens int
}

// DefaultLimits returns limits that hold a cache for at most a minute.
func DefaultLimits() Limits {
	return Limits{MaxHold: 60 * time.Second, DropFactor: 2, MinTokens: 1_024}
}

// PausePolicy decides by the expected length of the pause. All caches cost about the same
// prefill for each block, so memory is best given to the programs that return first. A cache
// is held if its program is expected back within the eviction age of the target, and
// exported (if that takes less time than recomputing) or dropped if the program is expected
// much later.
type PausePolicy struct {
	pauses *PauseStats
	limits Limits
}

// NewPausePolicy returns a policy that takes the expected pauses from the given statistics.
func NewPausePolicy(pauses *PauseStats, limits Limits) *PausePolicy {
	return &PausePolicy{pauses: pauses, limits: limits}
}

// Decide returns what to do with the cache of a program that starts to wait.
func (p *PausePolicy) Decide(_ time.Time, pause Pause) Decision {
	if pause.Tokens < p.limits.MinTokens || pause.EvictionAge <= 0 {
		return Decision{}
	}
	median, known := p.pauses.Quantile(pause.Tool, 0.5)
	if !known {
		return Decision{}
	}
	p90, _ := p.pauses.Quantile(pause.Tool, 0.9)
	if float64(median) > p.limits.DropFactor*float64(pause.EvictionAge) {
		recompute := float64(pause.Tokens) / pause.PrefillPerSec
		if pause.ExportSeconds > 0 && pause.ExportSeconds < recompute {
			return Decision{Action: Export}
		}
		return Decision{Action: Drop}
	}
	// A cache that would survive until the program returns need not be held.
	if p90 <= pause.EvictionAge/2 || median > pause.EvictionAge {
		return Decision{}
	}
	return Decision{Action: Keep, Hold: min(p90, p.limits.MaxHold)}
}

// Orphans returns the programs in held that are not live, in the given order.
func Orphans(held []string, live func(program string) bool) []string {
	var orphans []string
	for _, program := range held {
		if !live(program) {
			orphans = append(orphans, program)
		}
	}
	return orphans
}
