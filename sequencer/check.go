package sequencer

import "fmt"

// Invariant names a guarantee of section 1.2 of the design.
type Invariant string

// Invariants that this package checks.
const (
	InvariantOrder      Invariant = "order"
	InvariantHistory    Invariant = "history"
	InvariantBudget     Invariant = "budget"
	InvariantMemory     Invariant = "memory"
	InvariantResponses  Invariant = "answers"
	InvariantNotRun     Invariant = "notRun"
	InvariantAtMostOnce Invariant = "atMostOnce"
	InvariantDurability Invariant = "durable"
	InvariantPending    Invariant = "pending"
	InvariantChart      Invariant = "chart"
)

// Violation is a broken invariant.
type Violation struct {
	Invariant Invariant
	Program   string
	Step      int
	Detail    string
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: program %q step %d: %s", v.Invariant, v.Program, v.Step, v.Detail)
}

func (s *State) reportViolation(invariant Invariant, p *program, step int, detail string) {
	v := Violation{Invariant: invariant, Step: step, Detail: detail}
	if p != nil {
		v.Program = p.ID
	}
	if s.report != nil {
		s.report(v)
	}
}

// checkInvariants checks the programs that the update touched and the limit on
// pending records.
func (s *State) checkInvariants() {
	for _, p := range s.touched {
		if !p.History.isContiguous() {
			s.reportViolation(InvariantHistory, p, 0, "segments and tail do not cover the history")
		}
		root := p.root()
		if !root.BudgetUsage.Used.plus(root.BudgetUsage.Reserved).fits(root.Budget) {
			s.reportViolation(InvariantBudget, p, 0, fmt.Sprintf("used %+v and reserved %+v exceed %+v",
				root.BudgetUsage.Used, root.BudgetUsage.Reserved, root.Budget))
		}
		if p.ended() && p.runningCall() == nil && len(p.HoldingTargets) > 0 && p.releaseSentAt.IsZero() {
			s.reportViolation(InvariantMemory, p, 0, "no release was sent for the memory of an ended program")
		}
	}
	if s.pendingRecords > s.options.MaxPendingRecords+recordsPerCall*len(s.touched) {
		s.reportViolation(InvariantPending, nil, 0, fmt.Sprintf("%d records wait for the store", s.pendingRecords))
	}
}

// checkDispatch checks that a dispatch keeps the order of calls, follows a durable
// intent and happens at most once.
func (s *State) checkDispatch(p *program, c *call) {
	for _, earlier := range p.Calls {
		if earlier.Step >= c.Step {
			break
		}
		overlap := s.mayWaitForStore() && earlier.State == callSettling && earlier.Outcome == OutcomeDone && earlier.Repeatable
		if !overlap && !(earlier.terminal() && earlier.durable) {
			s.reportViolation(InvariantOrder, p, c.Step, fmt.Sprintf("dispatched while step %d is %s", earlier.Step, earlier.State))
		}
	}
	if c.dispatched {
		s.reportViolation(InvariantAtMostOnce, p, c.Step, "the attempt is dispatched twice")
	}
	if !c.Repeatable && (!c.intentDurable || !s.leaseValid) {
		s.reportViolation(InvariantAtMostOnce, p, c.Step, "dispatched without a durable intent under a valid lease")
	}
}

// checkResponse checks that a response belongs to its request and that its outcome
// agrees with the state of the call.
func (s *State) checkResponse(open openRequest, resp Response) {
	p := s.program(open.program)
	c := open.call
	if p == nil || c == nil {
		return
	}
	if resp.Program != open.program || resp.Step != c.Step {
		s.reportViolation(InvariantResponses, p, c.Step, "request "+resp.RequestID+" gets the response of another call")
	}
	if resp.Outcome == OutcomeNotRun && c.dispatched && c.Outcome != OutcomeNotRun {
		s.reportViolation(InvariantNotRun, p, c.Step, "the response says not run, but the call was dispatched")
	}
	if resp.Outcome != OutcomeUnknown && !c.durable {
		s.reportViolation(InvariantDurability, p, c.Step, "outcome "+string(resp.Outcome)+" is answered before it is durable")
	}
}
