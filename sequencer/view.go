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
	// UsedTokens, UsedTurns and UsedCost count the whole tree of a root.
	UsedTokens     int        `json:"usedTokens"`
	UsedTurns      int        `json:"usedTurns"`
	UsedCost       float64    `json:"usedCost"`
	ReservedTokens int        `json:"reservedTokens"`
	HoldingTargets []string   `json:"held,omitempty"`
	CreatedAt      time.Time  `json:"createdAt"`
	LastUsedAt     time.Time  `json:"lastUsedAt"`
	Calls          []CallView `json:"calls,omitempty"`
	// Children are the sub-agents in order of the step that started them.
	Children []ChildView `json:"children,omitempty"`
}

// CallView describes one call.
type CallView struct {
	Step           int     `json:"step"`
	IdempotencyKey string  `json:"key,omitempty"`
	Service        string  `json:"service"`
	State          string  `json:"state"`
	Outcome        Outcome `json:"outcome,omitempty"`
	Code           string  `json:"code,omitempty"`
}

// ChildView places a sub-agent's result at the step that started it.
type ChildView struct {
	ID     string `json:"id"`
	Step   int    `json:"step"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	Result string `json:"result,omitempty"`
}

// Program describes one program.
func (s *State) Program(id string) (ProgramView, bool) {
	p := s.program(id)
	if p == nil {
		return ProgramView{}, false
	}
	root := p.root()
	v := ProgramView{
		ID: p.ID, Client: p.Client, Workspace: p.Workspace, Parent: p.Parent, ParentStep: p.ParentStep,
		State: p.State, Reason: p.Reason, Turns: p.Turns, Tokens: p.Tokens, Messages: p.History.Count,
		Budget: root.Budget, UsedTokens: root.Account.Used.Tokens, UsedTurns: root.Account.Used.Turns,
		UsedCost: float64(root.Account.Used.Micro) / microPerUnit, ReservedTokens: root.Account.Reserved.Tokens,
		HoldingTargets: slices.Clone(p.Held), CreatedAt: time.UnixMilli(p.CreatedMs), LastUsedAt: time.UnixMilli(p.UsedMs),
	}
	for _, c := range p.Calls {
		v.Calls = append(v.Calls, CallView{
			Step: c.Step, IdempotencyKey: c.Key, Service: c.Service, State: c.State, Outcome: c.Outcome, Code: c.Code,
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
		if c := child.last(); c != nil && c.TextAt > 0 && c.durable {
			v.Result, _, _ = child.History.locate(c.TextAt - 1)
		}
		views = append(views, v)
	}
	slices.SortStableFunc(views, func(a, b ChildView) int { return cmp.Compare(a.Step, b.Step) })
	return views
}

// LiveProgramIDs returns the ids of at most limit programs after the given id, in
// order within each shard, that have not ended.
func (s *State) LiveProgramIDs(limit int) []string {
	var ids []string
	s.each(func(p *program) {
		if !p.ended() && len(ids) < limit {
			ids = append(ids, p.ID)
		}
	})
	return ids
}

// IsLive reports whether a program of an owned shard has not ended, and whether
// its shard is owned at all.
func (s *State) IsLive(id string) (live, owned bool) {
	p := s.program(id)
	return p != nil && !p.ended(), s.shardOf(id) != nil
}

// Counts are figures for metrics.
type Counts struct {
	Shards         int
	Programs       int
	LivePrograms   int
	OpenRequests   int
	PendingRecords int
	PendingBytes   int
	// StaleResults counts results of attempts that nobody waited for any more.
	StaleResults int
}

// Counts returns the current figures.
func (s *State) Counts() Counts {
	n := Counts{
		Shards: s.shards.Len(), OpenRequests: len(s.requests), PendingRecords: s.pendingRecords,
		PendingBytes: s.pendingBytes, StaleResults: s.stale,
	}
	s.each(func(p *program) {
		n.Programs++
		if !p.ended() {
			n.LivePrograms++
		}
	})
	return n
}
