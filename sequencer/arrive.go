package sequencer

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// refusal says why a request does not run; the zero value accepts it. If end is
// set the program ends with that reason.
type refusal struct {
	code, text, end string
}

func (s *State) callArrived(r CallRequest) {
	if _, open := s.requests[r.ID]; open {
		return
	}
	s.requests[r.ID] = arrival{program: r.Program}
	if f := s.accept(r); f.code != "" {
		s.refuse(r.ID, r.Program, r.Step, f)
	}
}

// fromKnowledge are the codes of refusals that follow from what this owner knows
// of a program.
var fromKnowledge = map[string]bool{
	CodeProgramNotFound: true, CodeStepOutOfOrder: true, CodeStepConflict: true, CodeHistoryMismatch: true,
}

// refuse answers that a request did not run. Without a valid lease a newer owner
// may know more, so what this one does not know is no answer.
func (s *State) refuse(id, program string, step int, f refusal) {
	if !s.lease && fromKnowledge[f.code] {
		f = refusal{code: CodeNotOwner, text: "another host may own the program by now"}
	}
	s.answer(Response{RequestID: id, Program: program, Step: step, Outcome: OutcomeNotRun, Code: f.code, Message: f.text})
}

// accept answers, joins, queues or starts a call, or returns why it did not.
func (s *State) accept(r CallRequest) refusal {
	if f := validate(r); f.code != "" {
		return f
	}
	sh := s.shardOf(r.Program)
	if sh == nil {
		return refusal{code: CodeNotOwner, text: "this host does not own the program"}
	}
	p, known := sh.programs.Get(r.Program)
	if known {
		if p.Client != r.Client {
			return notFound
		}
		if handled, f := s.duplicate(p, r); handled || f.code != "" {
			return f
		}
		if p.ended() {
			return refusal{code: CodeProgramEnded, text: "the program has ended: " + p.Reason}
		}
	}
	if sh.closing {
		return refusal{code: CodeOwnerChanging, text: "the program is moving to another host"}
	}
	if f := s.admitPending(r, known); f.code != "" {
		return f
	}
	if !known {
		var f refusal
		if p, f = s.prepare(sh, r); f.code != "" {
			return f
		}
	}
	if current := p.last(); current != nil && current.inProgress() && !s.mayOverlap(current) {
		return s.enqueue(p, r, current)
	}
	return s.begin(p, r, []string{r.ID})
}

var notFound = refusal{code: CodeProgramNotFound, text: "there is no such program"}

func validate(r CallRequest) refusal {
	switch {
	case r.Program == "" || DomainOf(r.Program) == "":
		return refusal{code: CodeInvalid, text: "the program's id has no failure domain"}
	case r.Kind != KindModel && r.Kind != KindPlain:
		return refusal{code: CodeInvalid, text: "the call's kind is not known"}
	case r.Step < 0 || r.MaxTokens < 0 || r.PromptTokens < 0 || r.MaxCost < 0:
		return refusal{code: CodeInvalid, text: "a number is negative"}
	case r.ParentProgram != "" && RootOf(r.ParentProgram) != RootOf(r.Program):
		return refusal{code: CodeInvalid, text: "the program's id does not belong to its parent"}
	case r.ParentProgram == "" && r.NewProgram && RootOf(r.Program) != r.Program:
		return refusal{code: CodeInvalid, text: "a sub-agent needs its parent"}
	}
	return refusal{}
}

// prepare returns a new program that is not yet part of the shard.
func (s *State) prepare(sh *shard, r CallRequest) (*program, refusal) {
	if !r.NewProgram {
		return nil, notFound
	}
	p := &program{shard: sh, image: image{ID: r.Program, Client: r.Client, First: 1, State: programChart.Initial()}}
	p.Limits = r.Limits
	if r.ParentProgram == "" {
		p.Budget = r.Budget
		return p, refusal{}
	}
	parent, ok := sh.programs.Get(r.ParentProgram)
	if !ok || parent.Client != r.Client {
		return nil, refusal{code: CodeProgramNotFound, text: "there is no such parent"}
	}
	if parent.ended() {
		return nil, refusal{code: CodeProgramEnded, text: "the parent has ended"}
	}
	p.Parent, p.ParentStep = r.ParentProgram, r.ParentStep
	if c := parent.last(); p.ParentStep == 0 && c != nil {
		p.ParentStep = c.Step
	}
	return p, refusal{}
}

// create records a prepared program and makes it part of its shard.
func (s *State) create(p *program, r CallRequest) {
	p.shard.programs.Set(p.ID, p)
	s.adopt(p)
	s.record(p, recordCreated, 0, createdBody{
		Client: r.Client, Workspace: r.Workspace, Service: r.Service, Parent: p.Parent, ParentStep: p.ParentStep,
		Budget: p.Budget, Limits: p.Limits, IdleMs: r.Retention.IdleMs, AtMs: s.now.UnixMilli(),
	})
}

// adopt lists a sub-agent with its parent.
func (s *State) adopt(p *program) {
	if parent, ok := p.shard.programs.Get(p.Parent); ok && p.Parent != "" {
		if i, found := slices.BinarySearch(parent.children, p.ID); !found {
			parent.children = slices.Insert(parent.children, i, p.ID)
		}
	}
}

// admitPending keeps the records that wait for the store within their bounds.
// Room for the results of running calls is kept free.
func (s *State) admitPending(r CallRequest, known bool) refusal {
	records, size := s.pendingRecords+s.expectedRecords, s.pendingBytes+s.expectedBytes
	full := records+recordsPerCall > s.options.MaxPendingRecords || size+expectedSize(r) > s.options.MaxPendingBytes
	half := records > s.options.MaxPendingRecords/2 || size > s.options.MaxPendingBytes/2
	switch {
	case full, half && !known:
		return refusal{code: CodeStoreUnavailable, text: "too many records wait for the store"}
	case !r.Repeatable && s.provisional() && !s.hooks.skipIntent:
		return refusal{code: CodeStoreUnavailable, text: "a call that cannot be repeated needs the store"}
	}
	return refusal{}
}

const (
	// recordsPerCall is the most records that one call adds.
	recordsPerCall = 4
	// bytesPerToken is an upper estimate of the size of a token of text.
	bytesPerToken = 8
)

func expectedSize(r CallRequest) int {
	return messageBytes(r.Messages) + bytesPerToken*r.MaxTokens + len(r.Invoke.Body) + 4*recordOverhead
}

// mayOverlap reports whether the call after c may start before c is durable.
func (s *State) mayOverlap(c *call) bool {
	return s.hooks.skipOrder ||
		s.provisional() && c.State == callSettling && c.Outcome == OutcomeDone && c.Repeatable
}

// enqueue holds the next call until the current one is durable.
func (s *State) enqueue(p *program, r CallRequest, current *call) refusal {
	step := current.Step + 1
	switch {
	case r.Step != 0 && r.Step != step:
		return refusal{code: CodeStepOutOfOrder, text: "an earlier step has not been answered"}
	case p.queued != nil:
		return refusal{code: CodeCallInProgress, text: "the program already has a call that waits"}
	}
	r.Step = step
	c := &call{Step: step, Key: r.IdempotencyKey, Digest: digest(r), State: callChart.Initial(), request: r, waiters: []string{r.ID}}
	s.fire(p, c, eventWait)
	p.queued = c
	s.touch(p)
	return refusal{}
}

// startQueued starts the waiting call when its predecessor allows it.
func (s *State) startQueued(p *program) {
	c := p.queued
	if current := p.last(); c == nil || current != nil && current.inProgress() && !s.mayOverlap(current) {
		return
	}
	p.queued = nil
	if p.shard.closing {
		s.refuseQueued(p, c, refusal{code: CodeOwnerChanging, text: "the program is moving to another host"})
		return
	}
	s.fire(p, c, eventReady)
	if f := s.begin(p, c.request, c.waiters); f.code != "" {
		s.refuseQueued(p, c, f)
	}
}

func (s *State) refuseQueued(p *program, c *call, f refusal) {
	s.fire(p, c, eventClose)
	for _, id := range c.waiters {
		s.refuse(id, p.ID, c.Step, f)
	}
}

func (s *State) callerLeft(id string) {
	open, ok := s.requests[id]
	if !ok {
		return
	}
	delete(s.requests, id)
	p := s.program(open.program)
	if p == nil {
		return
	}
	leave := func(c *call) { c.waiters = slices.DeleteFunc(c.waiters, func(w string) bool { return w == id }) }
	for _, c := range p.Calls {
		leave(c)
	}
	if p.queued != nil {
		leave(p.queued)
	}
	p.enders = slices.DeleteFunc(p.enders, func(w string) bool { return w == id })
}

// digest identifies what a request asks for apart from its messages.
func digest(r CallRequest) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, field := range [...]string{r.Kind, r.Service, r.Model, r.Adapter, r.Invoke.Method, r.Invoke.Path} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Invoke.Body)
	return d.Sum64()
}
