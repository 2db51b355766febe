package sequencer

import (
	"math"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// microPerUnit converts costs to integers, whose sums are exact.
const microPerUnit = 1e6

// amount is the part of a budget that one or more calls use or reserve.
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

// fits reports whether the amount is within a budget. A limit of 0 means no limit.
func (a amount) fits(b encoder.Budget) bool {
	return (b.Tokens == 0 || a.Tokens <= b.Tokens) &&
		(b.Turns == 0 || a.Turns <= b.Turns) &&
		(b.Cost == 0 || a.Micro <= int64(math.Floor(b.Cost*microPerUnit)))
}

// budgetUsage holds the used and reserved amounts of a root's budget.
type budgetUsage struct {
	Used     amount `json:"used"`
	Reserved amount `json:"reserved"`
}

// chargeReservation charges the whole reservation of an interrupted attempt, except
// for its turn, and clears it. The attempt may have run or may still run, and its
// usage will not be reported.
func (u *budgetUsage) chargeReservation(c *call) {
	u.Reserved = u.Reserved.minus(c.Reserved)
	c.Reserved.Turns = 0
	u.Used = u.Used.plus(c.Reserved)
	c.Reserved = amount{}
}

// toMicro converts a cost to millionths, rounded up.
func toMicro(cost float64) int64 { return int64(math.Ceil(cost * microPerUnit)) }

// maxAmount returns the upper bound of what a call can use.
func maxAmount(r CallRequest) amount {
	a := amount{Micro: toMicro(r.MaxCost)}
	if r.Kind == KindModel {
		a.Turns, a.Tokens = 1, r.PromptTokens+r.MaxTokens
	}
	return a
}

// settledAmount returns the amount to charge for a finished call: the reported
// usage, or the whole reservation if it may have run and reported none.
func settledAmount(c *call, outcome Outcome, result Result) amount {
	if outcome == OutcomeNotRun {
		return amount{}
	}
	a := amount{Tokens: result.Usage.PromptTokens + result.Usage.CompletionTokens, Micro: toMicro(result.Cost)}
	if outcome == OutcomeUnknown && a == (amount{}) {
		a = c.Reserved
	}
	a.Turns = 0
	if c.Kind == KindModel && (outcome == OutcomeDone || !c.Repeatable) {
		a.Turns = 1
	}
	return a
}

// stepsPerTurn limits a program's steps to this multiple of its turn limit, so that
// a loop of plain calls ends too.
const stepsPerTurn = 8

// checkBudget returns a rejection if the program's limits and budget do not allow
// the call's maximum amount. It reserves nothing. If the call can never fit, the
// rejection also ends the program.
func (s *State) checkBudget(p *program, r CallRequest) rejection {
	if p.Limits.MaxTurns > 0 && (r.Kind == KindModel && p.Turns >= p.Limits.MaxTurns ||
		p.nextStep() > stepsPerTurn*p.Limits.MaxTurns) {
		return rejection{code: CodeBudgetExceeded, message: "the program has used its turns", endReason: ReasonBudgetExceeded}
	}
	if p.Limits.MaxHistoryTokens > 0 && r.Kind == KindModel && r.PromptTokens+r.MaxTokens > p.Limits.MaxHistoryTokens {
		return rejection{code: CodeBudgetExceeded, message: "the history has reached its limit", endReason: ReasonBudgetExceeded}
	}
	root := p.root()
	if s.pastDeadline(root) {
		return rejection{code: CodeDeadlineExceeded, message: "the program's time is over", endReason: ReasonDeadlineExceeded}
	}
	want, usage := maxAmount(r), root.BudgetUsage
	if c := p.callByStep(p.nextStep()); c != nil {
		usage.chargeReservation(&call{Reserved: c.Reserved})
	}
	if s.testHooks.skipReserve || usage.Used.plus(usage.Reserved).plus(want).fits(root.Budget) {
		return rejection{}
	}
	if !usage.Used.plus(want).fits(root.Budget) {
		return rejection{code: CodeBudgetExceeded, message: "the call does not fit the rest of the budget", endReason: ReasonBudgetExceeded}
	}
	return rejection{code: CodeBudgetReserved, message: "other calls of the program have reserved the rest of the budget"}
}

func (s *State) pastDeadline(root *program) bool {
	limit := time.Duration(root.Budget.TimeMs) * time.Millisecond
	// A program that is about to be created has no creation time yet.
	return limit > 0 && root.CreatedMs > 0 && s.now.Sub(time.UnixMilli(root.CreatedMs)) >= limit
}
