package router

import (
	"slices"
	"time"
)

// State is a target's state as the daemon sees it.
type State int

// States of a target. Only StateWarming, StateReady and StateDegraded take calls.
const (
	StateJoining State = iota
	StateWarming
	StateReady
	StateDegraded
	StateUnreachable
	StateLeaving
	StateGone
)

var stateNames = [...]string{"joining", "warming", "ready", "degraded", "unreachable", "leaving", "gone"}

// String returns the state's name.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// ParseState returns the state with the given name and StateUnreachable for any
// other text, so that an unknown state gets no calls.
func ParseState(name string) State {
	if i := slices.Index(stateNames[:], name); i >= 0 {
		return State(i)
	}
	return StateUnreachable
}

// Accepts reports whether a target in this state may get new calls.
func (s State) Accepts() bool {
	return s == StateWarming || s == StateReady || s == StateDegraded
}

// Target is a back end that serves the calls of one service. Since is the time
// at which it entered its state.
type Target struct {
	Name          string
	Address       string
	Service       string
	FailureDomain string
	Region        string
	State         State
	Since         time.Time
}

// Location is where the daemon runs.
type Location struct {
	Domain string
	Region string
}

// Request is what a policy needs to know about a call.
type Request struct {
	Service string
	Program string
	// Root is the program at the top of a tree of sub-agents.
	Root         string
	Model        string
	Adapter      string
	Blocks       []uint64
	PromptTokens int
	MaxTokens    int
	// Plain is set for calls of plain services, which have no tokens.
	Plain bool
	// Exclude names targets that must not be chosen.
	Exclude []string
	// Blocked reports whether a target must not be used now, as after failures; nil
	// means that none is.
	Blocked func(*Node) bool
	// HasSlot reports whether a target has a free slot; nil means that all have.
	HasSlot func(*Node) bool
}

// Choice is the decision for one call.
type Choice struct {
	// Node is nil when no target may be used now.
	Node *Node
	// Service is the call's service.
	Service string
	// TotalSeconds is the estimated time to completion at this target.
	TotalSeconds float64
	// WaitSeconds and Prefill are the parts of Seconds before the first token.
	WaitSeconds    float64
	PrefillSeconds float64
	// SecondsPerToken is the estimated time of one token of the answer.
	SecondsPerToken float64
	// CachedTokens and Uncached are the estimated tokens of the prompt.
	CachedTokens   int
	UncachedTokens int
	// Cost is what the policy minimised.
	Cost float64
	// Full is set when the best target has no free slot: the call should wait.
	Full bool
	// ImportObject names an exported KV cache that is cheaper to import than to
	// recompute.
	ImportObject string
}
