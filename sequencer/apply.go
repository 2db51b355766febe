package sequencer

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// apply changes the durable part of a program by one record.
func (s *State) apply(p *program, kind string, body any) error {
	switch b := body.(type) {
	case createdBody:
		p.Client, p.Workspace, p.Service, p.Parent, p.ParentStep = b.Client, b.Workspace, b.Service, b.Parent, b.ParentStep
		p.Budget, p.Limits, p.IdleMs, p.CreatedMs, p.UsedMs = b.Budget, b.Limits, b.IdleMs, b.AtMs, b.AtMs
		return nil
	case startedBody:
		return s.applyStarted(p, b)
	case finishedBody:
		return s.applyFinished(p, b)
	case endedBody:
		return s.applyEnded(p, b)
	case releasedBody:
		p.Held = slices.DeleteFunc(p.Held, func(target string) bool { return target == b.Target })
		return nil
	case segmentBody:
		return p.History.drop(b)
	}
	return fmt.Errorf("record kind %q is not known", kind)
}

// applyEnded also gives back what a call reserved that an earlier owner left
// unfinished and that nobody has retried.
func (s *State) applyEnded(p *program, b endedBody) error {
	p.Reason, p.UsedMs = b.Reason, b.AtMs
	s.fireProgram(p, eventEnd)
	s.closeLast(p)
	return nil
}

// closeLast closes an open call of an ended program.
func (s *State) closeLast(p *program) {
	if c := p.last(); c != nil && c.State == callOpen {
		p.root().Account.charge(c)
		s.fire(p, c, eventClose)
	}
}

func (s *State) applyStarted(p *program, b startedBody) error {
	c := p.call(b.Step)
	if c != nil && c.State == callRunning && c.Repeatable {
		// An earlier owner found the call interrupted and started it again.
		s.fire(p, c, eventInterrupt)
	}
	switch {
	case c == nil && b.Step == p.First+len(p.Calls):
		c = &call{Step: b.Step, State: callChart.Initial()}
		p.Calls = append(p.Calls, c)
	case c == nil || c.State != callOpen:
		return fmt.Errorf("step %d cannot start", b.Step)
	}
	root := p.root()
	root.Account.charge(c)
	root.Account.Reserved = root.Account.Reserved.plus(b.Reserved)
	c.Key, c.Kind, c.Service, c.Repeatable, c.Lookup, c.End = b.Key, b.Kind, b.Service, b.Repeatable, b.Lookup, b.End
	c.Digest, c.Base, c.Prompt, c.Reserved, c.KeysMs = b.Digest, b.Base, b.Prompt, b.Reserved, b.KeysMs
	c.Outcome, c.Code, c.Result, c.TextAt, c.FinishedMs = "", "", Result{}, 0, 0
	c.MayHaveRun = !b.Repeatable
	p.UsedMs = b.AtMs
	if b.Repeatable {
		s.fire(p, c, eventDispatch)
	} else {
		s.fire(p, c, eventIntend)
	}
	s.fireProgram(p, eventCallStarted)
	return nil
}

func (s *State) applyFinished(p *program, b finishedBody) error {
	c := p.call(b.Step)
	if c == nil || c.State != callRunning && c.State != callIntent {
		return fmt.Errorf("step %d cannot finish", b.Step)
	}
	root := p.root()
	root.Account.Reserved = root.Account.Reserved.minus(c.Reserved)
	root.Account.Used = root.Account.Used.plus(b.Settled)
	c.Reserved, c.Outcome, c.Code, c.Result, c.FinishedMs = amount{}, b.Outcome, b.Code, b.Result, b.AtMs
	if c.Kind == KindModel {
		c.Result.Text = ""
	}
	p.UsedMs = b.AtMs
	if b.Outcome == OutcomeNotRun {
		c.MayHaveRun = false
	}
	for _, target := range b.Result.Targets {
		if i, found := slices.BinarySearch(p.Held, target); !found {
			p.Held = slices.Insert(p.Held, i, target)
		}
	}
	s.fire(p, c, eventSettle)
	if b.Outcome == OutcomeDone && c.Kind == KindModel {
		return s.addTurn(p, c, b)
	}
	return nil
}

func (s *State) addTurn(p *program, c *call, b finishedBody) error {
	if b.Base != p.History.Chain || extend(p.History.Chain, b.Messages) != c.Prompt {
		s.violate(InvariantHistory, p, c.Step, "a turn does not continue the recorded history")
	}
	p.Turns++
	p.Tokens = b.Result.Usage.PromptTokens + b.Result.Usage.CompletionTokens
	p.History.add(b.Messages...)
	p.History.add(provider.ChatMessage{Role: "assistant", Content: b.Result.Text})
	c.TextAt = p.History.Count
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
	return nil, fmt.Errorf("record kind %q is not known", kind)
}

func decodeAs[T any](text string) (any, error) {
	var body T
	err := json.Unmarshal([]byte(text), &body)
	return body, err
}

// replay applies a durable record to a shard that is being acquired.
func (s *State) replay(sh *shard, r encoder.Record, fromSnapshot bool) error {
	body, err := decodeBody(r.Kind, r.Body)
	if err != nil {
		return err
	}
	p, ok := sh.programs.Get(r.Program)
	if !ok {
		if r.Kind != recordCreated {
			if fromSnapshot {
				// The program had been forgotten when the snapshot was taken.
				return nil
			}
			return fmt.Errorf("record %q of a program without a beginning", r.Kind)
		}
		p = &program{shard: sh, image: image{ID: r.Program, First: 1, State: programChart.Initial()}}
		sh.programs.Set(p.ID, p)
	}
	if r.Sequence <= p.Sequence {
		return nil
	}
	if r.Sequence != p.Sequence+1 {
		return fmt.Errorf("record %d follows record %d", r.Sequence, p.Sequence)
	}
	if err := s.apply(p, r.Kind, body); err != nil {
		return err
	}
	p.Sequence = r.Sequence
	if finished, ok := body.(finishedBody); ok {
		if c := p.call(finished.Step); c != nil {
			s.conclude(p, c)
		}
	}
	return nil
}
