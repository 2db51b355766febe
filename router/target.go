package router

import (
	"slices"
	"time"
)

// State is the state of a target as this daemon sees it.
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

// ParseState returns the state with the given name, StateUnreachable for any other text,
// so that a target in an unknown state gets no calls.
func ParseState(name string) State {
	if i := slices.Index(stateNames[:], name); i >= 0 {
		return State(i)
	}
	return StateUnreachable
}

// Accepts reports whether a target in this state takes new calls.
func (s State) Accepts() bool {
	return s == StateWarming || s == StateReady || s == StateDegraded
}

// Target is a back end that serves the calls of one service. Since is the time at which it
// entered its state.
type Target struct {
	Name          string
	Address       string
	Service       string
	FailureDomain string
	Region        string
	State         State
	Since         time.Time
}

// Location is the failure domain and the region of a daemon.
type Location struct {
	Domain string
	Region string
}

// Request holds what a policy needs to know about a call.
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
	// Exclude lists the names of targets that must not be chosen.
	Exclude []string
	// Blocked reports whether a target must not be used now, for example after failures. If it
	// is nil, no target is blocked.
	Blocked func(*Node) bool
	// HasSlot reports whether a target has a free slot. If it is nil, all targets have one.
	HasSlot func(*Node) bool
}

// Choice is the decision for one call.
type Choice struct {
	// Node is the chosen target, nil if no target can be used now.
	Node    *Node
	Service string
	// TotalSeconds is the estimated time to the end of the call at this target.
	TotalSeconds float64
	// WaitSeconds and PrefillSeconds are the parts of TotalSeconds before the first token.
	WaitSeconds    float64
	PrefillSeconds float64
	// SecondsPerToken is the estimated time of one token of the response.
	SecondsPerToken float64
	// CachedTokens and UncachedTokens are the estimated shares of the prompt.
	CachedTokens   int
	UncachedTokens int
	// Cost is the value that the policy minimises.
	Cost float64
	// Full is set if the chosen target has no free slot and the call should wait for it.
	Full bool
	// ImportObject names the exported KV cache that takes less time to import than to
	// recompute, empty for none.
	ImportObject string
}
