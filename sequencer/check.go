package sequencer

import "fmt"

// Invariant names one of the promises of section 1.2 of the design.
type Invariant string

// Invariants that this package asserts.
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

func (s *State) violate(invariant Invariant, p *program, step int, detail string) {
	v := Violation{Invariant: invariant, Step: step, Detail: detail}
	if p != nil {
		v.Program = p.ID
	}
	if s.report != nil {
		s.report(v)
	}
}

// check asserts the invariants on the programs that the update touched.
func (s *State) check() {
	for _, p := range s.touched {
		if !p.History.whole() {
			s.violate(InvariantHistory, p, 0, "segments and tail do not cover the history")
		}
		root := p.root()
		if !root.Account.Used.plus(root.Account.Reserved).within(root.Budget) {
			s.violate(InvariantBudget, p, 0, fmt.Sprintf("used %+v and reserved %+v exceed %+v",
				root.Account.Used, root.Account.Reserved, root.Budget))
		}
		if p.ended() && p.running() == nil && len(p.Held) > 0 && p.releasedAt.IsZero() {
			s.violate(InvariantMemory, p, 0, "an ended program has memory that nobody was told to release")
		}
	}
	if s.pendingRecords > s.options.MaxPendingRecords+recordsPerCall*len(s.touched) {
		s.violate(InvariantPending, nil, 0, fmt.Sprintf("%d records wait for the store", s.pendingRecords))
	}
}

// checkDispatch asserts order, durability of intents and at-most-once.
func (s *State) checkDispatch(p *program, c *call) {
	for _, earlier := range p.Calls {
		if earlier.Step >= c.Step {
			break
		}
		overlap := s.provisional() && earlier.State == callSettling && earlier.Outcome == OutcomeDone && earlier.Repeatable
		if !overlap && !(earlier.terminal() && earlier.durable) {
			s.violate(InvariantOrder, p, c.Step, fmt.Sprintf("dispatched while step %d is %s", earlier.Step, earlier.State))
		}
	}
	if c.sent {
		s.violate(InvariantAtMostOnce, p, c.Step, "an attempt is dispatched twice")
	}
	if !c.Repeatable && (!c.intentDurable || !s.lease) {
		s.violate(InvariantAtMostOnce, p, c.Step, "dispatched without a durable intent under a valid lease")
	}
}

// checkAnswer asserts that an answer belongs to its request and is allowed.
func (s *State) checkAnswer(open arrival, a Response) {
	p := s.program(open.program)
	c := open.call
	if p == nil || c == nil {
		return
	}
	if a.Program != open.program || a.Step != c.Step {
		s.violate(InvariantResponses, p, c.Step, "request "+a.RequestID+" gets the answer of another call")
	}
	if a.Outcome == OutcomeNotRun && c.sent && c.Outcome != OutcomeNotRun {
		s.violate(InvariantNotRun, p, c.Step, "a call that was dispatched is answered as not run")
	}
	if a.Outcome != OutcomeUnknown && !c.durable {
		s.violate(InvariantDurability, p, c.Step, "outcome "+string(a.Outcome)+" is answered before it is durable")
	}
}
