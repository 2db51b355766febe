package sequencer

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/tidwall/btree"
)

// shard is one owned shard.
type shard struct {
	name     string
	epoch    int
	closing  bool
	attempts int
	programs btree.Map[string, *program]
}

// image is the durable part of a program; a snapshot is the images of a shard.
// Only apply changes it.
type image struct {
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
	UsedMs     int64          `json:"usedMs"`
	State      string         `json:"state"`
	Reason     string         `json:"reason,omitempty"`
	Sequence   int            `json:"sequence"`
	Turns      int            `json:"turns"`
	Tokens     int            `json:"tokens"`
	// First is the step of Calls[0]; older calls are no longer answered.
	First int     `json:"first"`
	Calls []*call `json:"calls,omitempty"`
	// Account is the budget of the whole tree; only a root uses it.
	Account account `json:"account"`
	// Held are the targets that may hold memory, in order of name.
	Held    []string `json:"held,omitempty"`
	History history  `json:"history"`
}

type program struct {
	image
	shard *shard
	// Volatile part.
	queued     *call
	pending    int
	children   []string
	releasedAt time.Time
	enders     []string
	segment    *pendingSegment
}

// call is one step. The exported fields are durable.
type call struct {
	Step       int     `json:"step"`
	Key        string  `json:"key,omitempty"`
	Kind       string  `json:"kind"`
	Service    string  `json:"service"`
	State      string  `json:"state"`
	Repeatable bool    `json:"repeatable,omitempty"`
	Lookup     bool    `json:"lookup,omitempty"`
	End        bool    `json:"end,omitempty"`
	Digest     uint64  `json:"digest"`
	Base       uint64  `json:"base"`
	Prompt     uint64  `json:"prompt"`
	Reserved   amount  `json:"reserved"`
	Outcome    Outcome `json:"outcome,omitempty"`
	Code       string  `json:"code,omitempty"`
	Result     Result  `json:"result,omitzero"`
	// TextAt is the index of the response in the history plus 1; 0 for none.
	TextAt     int   `json:"textAt,omitempty"`
	KeysMs     int   `json:"keysMs,omitempty"`
	FinishedMs int64 `json:"finishedMs,omitempty"`
	// MayHaveRun is set by an intent and cleared by the outcome notRun.
	MayHaveRun bool `json:"mayHaveRun,omitempty"`

	request       CallRequest
	messages      []provider.ChatMessage
	waiters       []string
	attempt       int
	expires       time.Time
	cancelled     bool
	sent          bool
	intentDurable bool
	durable       bool
	settledAt     time.Time
	expected      int
}

func (c *call) terminal() bool { return callChart.Terminal(c.State) }

func (c *call) inProgress() bool {
	return c.State == callIntent || c.State == callRunning || c.State == callSettling
}

// last returns the call with the highest step, nil before the first.
func (p *program) last() *call {
	if len(p.Calls) == 0 {
		return nil
	}
	return p.Calls[len(p.Calls)-1]
}

// next returns the step that may start next: that of an open call, or one more
// than the last.
func (p *program) next() int {
	if c := p.last(); c != nil && c.State == callOpen {
		return c.Step
	}
	return p.First + len(p.Calls)
}

func (p *program) call(step int) *call {
	if i := step - p.First; i >= 0 && i < len(p.Calls) {
		return p.Calls[i]
	}
	return nil
}

func (p *program) callByKey(key string) *call {
	for i := len(p.Calls) - 1; i >= 0; i-- {
		if p.Calls[i].Key == key {
			return p.Calls[i]
		}
	}
	return nil
}

// running returns the call that is being run or looked up, or nil.
func (p *program) running() *call {
	if c := p.last(); c != nil && (c.State == callRunning || c.State == callIntent) {
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

// root returns the program that holds the budget; a root's tree lives in its
// shard.
func (p *program) root() *program {
	if p.Parent == "" {
		return p
	}
	if root, ok := p.shard.programs.Get(RootOf(p.ID)); ok {
		return root
	}
	return p
}
