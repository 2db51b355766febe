package sequencer

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// ProgramView describes a program to callers and operators.
type ProgramView struct {
	ID         string         `json:"id"`
	Client     string         `json:"client"`
	Workspace  string         `json:"workspace,omitempty"`
	Parent     string         `json:"parent,omitempty"`
	ParentStep int            `json:"parentStep,omitempty"`
	State      string         `json:"state"`
	Reason     string         `json:"reason,omitempty"`
	Turns      int            `json:"turns"`
	Tokens     int            `json:"tokens"`
	Messages   int            `json:"messages"`
	Budget     encoder.Budget `json:"budget,omitzero"`
	// UsedTokens, UsedTurns and UsedCost are the totals of the root's whole tree.
	UsedTokens     int        `json:"usedTokens"`
	UsedTurns      int        `json:"usedTurns"`
	UsedCost       float64    `json:"usedCost"`
	ReservedTokens int        `json:"reservedTokens"`
	HoldingTargets []string   `json:"held,omitempty"`
	CreatedAt      time.Time  `json:"createdAt"`
	LastUsedAt     time.Time  `json:"lastUsedAt"`
	Calls          []CallView `json:"calls,omitempty"`
	// Children are the sub-agents, ordered by the step that started them.
	Children []ChildView `json:"children,omitempty"`
}

// CallView describes one call of a program.
type CallView struct {
	Step           int     `json:"step"`
	IdempotencyKey string  `json:"key,omitempty"`
	Service        string  `json:"service"`
	State          string  `json:"state"`
	Outcome        Outcome `json:"outcome,omitempty"`
	Code           string  `json:"code,omitempty"`
}

// ChildView describes a sub-agent, with its result and the step that started it.
type ChildView struct {
	ID     string `json:"id"`
	Step   int    `json:"step"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	Result string `json:"result,omitempty"`
}

// Program returns the view of a program, or false if no owned shard has it.
func (s *State) Program(id string) (ProgramView, bool) {
	p := s.program(id)
	if p == nil {
		return ProgramView{}, false
	}
	root := p.root()
	v := ProgramView{
		ID: p.ID, Client: p.Client, Workspace: p.Workspace, Parent: p.Parent, ParentStep: p.ParentStep,
		State: p.State, Reason: p.Reason, Turns: p.Turns, Tokens: p.Tokens, Messages: p.History.MessageCount,
		Budget: root.Budget, UsedTokens: root.BudgetUsage.Used.Tokens, UsedTurns: root.BudgetUsage.Used.Turns,
		UsedCost: float64(root.BudgetUsage.Used.Micro) / microPerUnit, ReservedTokens: root.BudgetUsage.Reserved.Tokens,
		HoldingTargets: slices.Clone(p.HoldingTargets), CreatedAt: time.UnixMilli(p.CreatedMs), LastUsedAt: time.UnixMilli(p.LastUsedMs),
	}
	for _, c := range p.Calls {
		v.Calls = append(v.Calls, CallView{
			Step: c.Step, IdempotencyKey: c.IdempotencyKey, Service: c.Service, State: c.State, Outcome: c.Outcome, Code: c.Code,
		})
	}
	v.Children = childViews(p)
	return v, true
}

func childViews(p *program) []ChildView {
	var views []ChildView
	for _, id := range p.children {
		child, ok := p.shard.programs.Get(id)
		if !ok {
			continue
		}
		v := ChildView{ID: id, Step: child.ParentStep, State: child.State, Reason: child.Reason}
		if c := child.lastCall(); c != nil && c.ResponsePosition > 0 && c.durable {
			v.Result, _, _ = child.History.locate(c.ResponsePosition - 1)
		}
		views = append(views, v)
	}
	slices.SortStableFunc(views, func(a, b ChildView) int { return cmp.Compare(a.Step, b.Step) })
	return views
}

// LiveProgramIDs returns the ids of at most limit programs that have not ended,
// ordered by shard and id.
func (s *State) LiveProgramIDs(limit int) []string {
	var ids []string
	s.eachProgram(func(p *program) {
		if !p.ended() && len(ids) < limit {
			ids = append(ids, p.ID)
		}
	})
	return ids
}

// IsLive reports whether a program exists and has not ended, and whether its shard is
// owned.
func (s *State) IsLive(id string) (live, owned bool) {
	p := s.program(id)
	return p != nil && !p.ended(), s.shardOf(id) != nil
}

// Counts holds the figures for metrics.
type Counts struct {
	Shards         int
	Programs       int
	LivePrograms   int
	OpenRequests   int
	PendingRecords int
	PendingBytes   int
	// StaleResults counts results of attempts that were no longer expected.
	StaleResults int
}

// Counts returns the current figures.
func (s *State) Counts() Counts {
	n := Counts{
		Shards: s.shards.Len(), OpenRequests: len(s.openRequests), PendingRecords: s.pendingRecords,
		PendingBytes: s.pendingBytes, StaleResults: s.staleResults,
	}
	s.eachProgram(func(p *program) {
		n.Programs++
		if !p.ended() {
			n.LivePrograms++
		}
	})
	return n
}
