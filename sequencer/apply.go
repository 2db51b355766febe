package sequencer

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// apply updates the durable state of a program with the body of one record. It
// returns an error if the record does not fit the state.
func (s *State) apply(p *program, kind string, body any) error {
	switch b := body.(type) {
	case createdBody:
		p.Client, p.Workspace, p.Service, p.Parent, p.ParentStep = b.Client, b.Workspace, b.Service, b.Parent, b.ParentStep
		p.Budget, p.Limits, p.IdleMs, p.CreatedMs, p.LastUsedMs = b.Budget, b.Limits, b.IdleMs, b.AtMs, b.AtMs
		return nil
	case startedBody:
		return s.applyStarted(p, b)
	case finishedBody:
		return s.applyFinished(p, b)
	case endedBody:
		return s.applyEnded(p, b)
	case releasedBody:
		p.HoldingTargets = slices.DeleteFunc(p.HoldingTargets, func(target string) bool { return target == b.Target })
		return nil
	case segmentBody:
		return p.History.removeStored(b)
	}
	return fmt.Errorf("unknown record kind %q", kind)
}

// applyEnded ends the program. It also settles the reservation of a call that an
// earlier owner left unfinished and that was not retried.
func (s *State) applyEnded(p *program, b endedBody) error {
	p.Reason, p.LastUsedMs = b.Reason, b.AtMs
	s.fireProgram(p, eventEnd)
	s.closeOpenCall(p)
	return nil
}

// closeOpenCall closes the last call of an ended program if it is open, and
// charges its reservation.
func (s *State) closeOpenCall(p *program) {
	if c := p.lastCall(); c != nil && c.State == callOpen {
		p.root().BudgetUsage.chargeReservation(c)
		s.fire(p, c, eventClose)
	}
}

func (s *State) applyStarted(p *program, b startedBody) error {
	c := p.callByStep(b.Step)
	if c != nil && c.State == callRunning && c.Repeatable {
		// An earlier owner found the call interrupted and restarted it.
		s.fire(p, c, eventInterrupt)
	}
	switch {
	case c == nil && b.Step == p.FirstStep+len(p.Calls):
		c = &call{Step: b.Step, State: callChart.Initial()}
		p.Calls = append(p.Calls, c)
	case c == nil || c.State != callOpen:
		return fmt.Errorf("apply started record: step %d cannot start", b.Step)
	}
	root := p.root()
	root.BudgetUsage.chargeReservation(c)
	root.BudgetUsage.Reserved = root.BudgetUsage.Reserved.plus(b.Reserved)
	c.IdempotencyKey, c.Kind, c.Service, c.Repeatable, c.SupportsLookup, c.EndProgram = b.IdempotencyKey, b.Kind, b.Service, b.Repeatable, b.SupportsLookup, b.EndProgram
	c.Digest, c.BaseChain, c.PromptChain, c.Reserved, c.KeyRetentionMs = b.Digest, b.BaseChain, b.PromptChain, b.Reserved, b.KeyRetentionMs
	c.Outcome, c.Code, c.Result, c.ResponsePosition, c.FinishedMs = "", "", Result{}, 0, 0
	c.MayHaveRun = !b.Repeatable
	p.LastUsedMs = b.AtMs
	if b.Repeatable {
		s.fire(p, c, eventDispatch)
	} else {
		s.fire(p, c, eventIntend)
	}
	s.fireProgram(p, eventCallStarted)
	return nil
}

func (s *State) applyFinished(p *program, b finishedBody) error {
	c := p.callByStep(b.Step)
	if c == nil || c.State != callRunning && c.State != callIntent {
		return fmt.Errorf("apply finished record: step %d is not in progress", b.Step)
	}
	root := p.root()
	root.BudgetUsage.Reserved = root.BudgetUsage.Reserved.minus(c.Reserved)
	root.BudgetUsage.Used = root.BudgetUsage.Used.plus(b.Settled)
	c.Reserved, c.Outcome, c.Code, c.Result, c.FinishedMs = amount{}, b.Outcome, b.Code, b.Result, b.AtMs
	if c.Kind == KindModel {
		c.Result.Text = ""
	}
	p.LastUsedMs = b.AtMs
	if b.Outcome == OutcomeNotRun {
		c.MayHaveRun = false
	}
	for _, target := range b.Result.Targets {
		if i, found := slices.BinarySearch(p.HoldingTargets, target); !found {
			p.HoldingTargets = slices.Insert(p.HoldingTargets, i, target)
		}
	}
	s.fire(p, c, eventSettle)
	if b.Outcome == OutcomeDone && c.Kind == KindModel {
		return s.addTurn(p, c, b)
	}
	return nil
}

func (s *State) addTurn(p *program, c *call, b finishedBody) error {
	if b.BaseChain != p.History.Chain || extendChain(p.History.Chain, b.Messages) != c.PromptChain {
		s.reportViolation(InvariantHistory, p, c.Step, "the turn does not continue the recorded history")
	}
	p.Turns++
	p.Tokens = b.Result.Usage.PromptTokens + b.Result.Usage.CompletionTokens
	p.History.add(b.Messages...)
	p.History.add(provider.ChatMessage{Role: "assistant", Content: b.Result.Text})
	c.ResponsePosition = p.History.MessageCount
	return nil
}

func decodeBody(kind, text string) (any, error) {
	switch kind {
	case recordCreated:
		return decodeAs[createdBody](text)
	case recordStarted, recordIntent:
		return decodeAs[startedBody](text)
	case recordFinished:
		return decodeAs[finishedBody](text)
	case recordEnded:
		return decodeAs[endedBody](text)
	case recordReleased:
		return decodeAs[releasedBody](text)
	case recordSegment:
		return decodeAs[segmentBody](text)
	}
	return nil, fmt.Errorf("unknown record kind %q", kind)
}

func decodeAs[T any](text string) (any, error) {
	var body T
	err := json.Unmarshal([]byte(text), &body)
	return body, err
}

// replay applies a durable record to a shard that is being acquired. Records that
// the program's state already contains are skipped.
func (s *State) replay(sh *shard, r encoder.Record, fromSnapshot bool) error {
	body, err := decodeBody(r.Kind, r.Body)
	if err != nil {
		return err
	}
	p, ok := sh.programs.Get(r.Program)
	if !ok {
		if r.Kind != recordCreated {
			if fromSnapshot {
				// The program had been deleted from the shard before the snapshot.
				return nil
			}
			return fmt.Errorf("replay record %q: the program has no created record", r.Kind)
		}
		p = &program{shard: sh, durableState: durableState{ID: r.Program, FirstStep: 1, State: programChart.Initial()}}
		sh.programs.Set(p.ID, p)
	}
	if r.Sequence <= p.Sequence {
		return nil
	}
	if r.Sequence != p.Sequence+1 {
		return fmt.Errorf("replay: record %d follows record %d", r.Sequence, p.Sequence)
	}
	if err := s.apply(p, r.Kind, body); err != nil {
		return err
	}
	p.Sequence = r.Sequence
	if finished, ok := body.(finishedBody); ok {
		if c := p.callByStep(finished.Step); c != nil {
			s.finalizeCall(p, c)
		}
	}
	return nil
}
