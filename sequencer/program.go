package sequencer

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/tidwall/btree"
)

// shard is a shard that this daemon owns.
type shard struct {
	name         string
	epoch        int
	closing      bool
	attemptCount int
	programs     btree.Map[string, *program]
}

// durableState is the part of a program that snapshots store. Recorded changes are
// made only by apply.
type durableState struct {
	ID         string         `json:"id"`
	Client     string         `json:"client"`
	Workspace  string         `json:"workspace,omitempty"`
	Service    string         `json:"service,omitempty"`
	Parent     string         `json:"parent,omitempty"`
	ParentStep int            `json:"parentStep,omitempty"`
	Budget     encoder.Budget `json:"budget,omitzero"`
	Limits     encoder.Limits `json:"limits,omitzero"`
	IdleMs     int            `json:"idleMs,omitempty"`
	CreatedMs  int64          `json:"createdMs"`
	LastUsedMs int64          `json:"usedMs"`
	State      string         `json:"state"`
	Reason     string         `json:"reason,omitempty"`
	Sequence   int            `json:"sequence"`
	Turns      int            `json:"turns"`
	Tokens     int            `json:"tokens"`
	// FirstStep is the step of Calls[0]; the results of older calls have expired.
	FirstStep int     `json:"first"`
	Calls     []*call `json:"calls,omitempty"`
	// BudgetUsage covers the whole tree; only a root uses it.
	BudgetUsage budgetUsage `json:"account"`
	// HoldingTargets are the targets that may hold memory for the program, sorted by
	// name.
	HoldingTargets []string `json:"held,omitempty"`
	History        history  `json:"history"`
}

// program is a program with its durable and its volatile state.
type program struct {
	durableState
	shard *shard
	// The fields below are not stored.
	queued           *call
	pendingRecords   int
	children         []string
	releaseSentAt    time.Time
	cancelRequestIDs []string
	pendingSegment   *pendingSegment
}

// call is one step of a program. The exported fields are durable.
type call struct {
	Step           int     `json:"step"`
	IdempotencyKey string  `json:"key,omitempty"`
	Kind           string  `json:"kind"`
	Service        string  `json:"service"`
	State          string  `json:"state"`
	Repeatable     bool    `json:"repeatable,omitempty"`
	SupportsLookup bool    `json:"lookup,omitempty"`
	EndProgram     bool    `json:"end,omitempty"`
	Digest         uint64  `json:"digest"`
	BaseChain      uint64  `json:"base"`
	PromptChain    uint64  `json:"prompt"`
	Reserved       amount  `json:"reserved"`
	Outcome        Outcome `json:"outcome,omitempty"`
	Code           string  `json:"code,omitempty"`
	Result         Result  `json:"result,omitzero"`
	// ResponsePosition is the index of the response in the history plus 1, or 0 if
	// there is none.
	ResponsePosition int   `json:"textAt,omitempty"`
	KeyRetentionMs   int   `json:"keysMs,omitempty"`
	FinishedMs       int64 `json:"finishedMs,omitempty"`
	// MayHaveRun is set by an intent and cleared by the outcome notRun.
	MayHaveRun bool `json:"mayHaveRun,omitempty"`

	request             CallRequest
	messages            []provider.ChatMessage
	waiters             []string
	attempt             int
	expiresAt           time.Time
	cancelled           bool
	dispatched          bool
	intentDurable       bool
	durable             bool
	durabilityWaitStart time.Time
	expectedBytes       int
}

func (c *call) terminal() bool { return callChart.Terminal(c.State) }

func (c *call) inProgress() bool {
	return c.State == callIntent || c.State == callRunning || c.State == callSettling
}

// lastCall returns the call with the highest step, or nil if there is none.
func (p *program) lastCall() *call {
	if len(p.Calls) == 0 {
		return nil
	}
	return p.Calls[len(p.Calls)-1]
}

// nextStep returns the step that may start next: that of an open last call, or the
// one after it.
func (p *program) nextStep() int {
	if c := p.lastCall(); c != nil && c.State == callOpen {
		return c.Step
	}
	return p.FirstStep + len(p.Calls)
}

func (p *program) callByStep(step int) *call {
	if i := step - p.FirstStep; i >= 0 && i < len(p.Calls) {
		return p.Calls[i]
	}
	return nil
}

func (p *program) callByKey(key string) *call {
	for i := len(p.Calls) - 1; i >= 0; i-- {
		if p.Calls[i].IdempotencyKey == key {
			return p.Calls[i]
		}
	}
	return nil
}

// runningCall returns the last call if it is an intent or is being run or looked up,
// otherwise nil.
func (p *program) runningCall() *call {
	if c := p.lastCall(); c != nil && (c.State == callRunning || c.State == callIntent) {
		return c
	}
	return nil
}

func (p *program) ended() bool { return p.State == programEnded }

func (s *State) program(id string) *program {
	sh := s.shardOf(id)
	if sh == nil {
		return nil
	}
	p, _ := sh.programs.Get(id)
	return p
}

func (s *State) shardOf(program string) *shard {
	sh, _ := s.shards.Get(ShardOf(program, s.options.ShardsPerDomain))
	return sh
}

// root returns the root of the program's tree, which holds the budget and is in the
// same shard. It returns the program itself if the root is missing.
func (p *program) root() *program {
	if p.Parent == "" {
		return p
	}
	if root, ok := p.shard.programs.Get(RootOf(p.ID)); ok {
		return root
	}
	return p
}
