package sequencer

import (
	"math"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// microPerUnit is the resolution of costs: sums of integers stay exact.
const microPerUnit = 1e6

// amount is what a call uses of a budget.
type amount struct {
	Tokens int   `json:"tokens,omitempty"`
	Turns  int   `json:"turns,omitempty"`
	Micro  int64 `json:"micro,omitempty"`
}

func (a amount) plus(b amount) amount {
	return amount{Tokens: a.Tokens + b.Tokens, Turns: a.Turns + b.Turns, Micro: a.Micro + b.Micro}
}

func (a amount) minus(b amount) amount {
	return amount{Tokens: a.Tokens - b.Tokens, Turns: a.Turns - b.Turns, Micro: a.Micro - b.Micro}
}

// within reports whether the amount fits a budget; a limit of 0 is none.
func (a amount) within(b encoder.Budget) bool {
	return (b.Tokens == 0 || a.Tokens <= b.Tokens) &&
		(b.Turns == 0 || a.Turns <= b.Turns) &&
		(b.Cost == 0 || a.Micro <= int64(math.Floor(b.Cost*microPerUnit)))
}

// account is the state of a root's budget.
type account struct {
	Used     amount `json:"used"`
	Reserved amount `json:"reserved"`
}

// charge settles the reservation of an interrupted attempt in full, but for its
// turn: the attempt may have run and may still run, and nobody will report it.
func (a *account) charge(c *call) {
	a.Reserved = a.Reserved.minus(c.Reserved)
	c.Reserved.Turns = 0
	a.Used = a.Used.plus(c.Reserved)
	c.Reserved = amount{}
}

func micro(cost float64) int64 { return int64(math.Ceil(cost * microPerUnit)) }

// bound is the most that a call can use.
func bound(r CallRequest) amount {
	a := amount{Micro: micro(r.MaxCost)}
	if r.Kind == KindModel {
		a.Turns, a.Tokens = 1, r.PromptTokens+r.MaxTokens
	}
	return a
}

// settled is what a finished call is charged: what it reported, or its whole
// reservation if it may have run without a report.
func settled(c *call, outcome Outcome, result Result) amount {
	if outcome == OutcomeNotRun {
		return amount{}
	}
	a := amount{Tokens: result.Usage.PromptTokens + result.Usage.CompletionTokens, Micro: micro(result.Cost)}
	if outcome == OutcomeUnknown && a == (amount{}) {
		a = c.Reserved
	}
	a.Turns = 0
	if c.Kind == KindModel && (outcome == OutcomeDone || !c.Repeatable) {
		a.Turns = 1
	}
	return a
}

// stepsPerTurn bounds the calls of a program that are no turns, so that a loop
// of plain calls ends too.
const stepsPerTurn = 8

// admitBudget reserves nothing; it reports why a call cannot have its bound. A
// program whose budget can never fit the call ends.
func (s *State) admitBudget(p *program, r CallRequest) refusal {
	if p.Limits.MaxTurns > 0 && (r.Kind == KindModel && p.Turns >= p.Limits.MaxTurns ||
		p.next() > stepsPerTurn*p.Limits.MaxTurns) {
		return refusal{code: CodeBudgetExceeded, text: "the program has used its turns", end: ReasonBudgetExceeded}
	}
	if p.Limits.MaxHistoryTokens > 0 && r.Kind == KindModel && r.PromptTokens+r.MaxTokens > p.Limits.MaxHistoryTokens {
		return refusal{code: CodeBudgetExceeded, text: "the history has reached its limit", end: ReasonBudgetExceeded}
	}
	root := p.root()
	if s.pastDeadline(root) {
		return refusal{code: CodeDeadlineExceeded, text: "the program's time is over", end: ReasonDeadlineExceeded}
	}
	want, a := bound(r), root.Account
	if c := p.call(p.next()); c != nil {
		a.charge(&call{Reserved: c.Reserved})
	}
	if s.hooks.skipReserve || a.Used.plus(a.Reserved).plus(want).within(root.Budget) {
		return refusal{}
	}
	if !a.Used.plus(want).within(root.Budget) {
		return refusal{code: CodeBudgetExceeded, text: "the call does not fit the rest of the budget", end: ReasonBudgetExceeded}
	}
	return refusal{code: CodeBudgetReserved, text: "other calls of the program have reserved the rest of the budget"}
}

func (s *State) pastDeadline(root *program) bool {
	limit := time.Duration(root.Budget.TimeMs) * time.Millisecond
	// A program that is about to be created has no time of creation yet.
	return limit > 0 && root.CreatedMs > 0 && s.now.Sub(time.UnixMilli(root.CreatedMs)) >= limit
}
