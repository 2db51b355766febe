package sequencer

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rejection says why a request does not run; the zero value accepts it. If end is
// set the program ends with that reason.
type rejection struct {
	code, message, endReason string
}

func (s *State) callArrived(r CallRequest) {
	if _, open := s.openRequests[r.ID]; open {
		return
	}
	s.openRequests[r.ID] = openRequest{program: r.Program}
	if f := s.accept(r); f.code != "" {
		s.reject(r.ID, r.Program, r.Step, f)
	}
}

// needsValidLease are the codes of refusals that follow from what this owner knows
// of a program.
var needsValidLease = map[string]bool{
	CodeProgramNotFound: true, CodeStepOutOfOrder: true, CodeStepConflict: true, CodeHistoryMismatch: true,
}

// reject answers that a request did not run. Without a valid lease a newer owner
// may know more, so what this one does not know is no answer.
func (s *State) reject(id, program string, step int, f rejection) {
	if !s.leaseValid && needsValidLease[f.code] {
		f = rejection{code: CodeNotOwner, message: "another host may own the program by now"}
	}
	s.respond(Response{RequestID: id, Program: program, Step: step, Outcome: OutcomeNotRun, Code: f.code, Message: f.message})
}

// accept answers, joins, queues or starts a call, or returns why it did not.
func (s *State) accept(r CallRequest) rejection {
	if f := validate(r); f.code != "" {
		return f
	}
	sh := s.shardOf(r.Program)
	if sh == nil {
		return rejection{code: CodeNotOwner, message: "this host does not own the program"}
	}
	p, known := sh.programs.Get(r.Program)
	if known {
		if p.Client != r.Client {
			return programNotFound
		}
		if handled, f := s.handleDuplicate(p, r); handled || f.code != "" {
			return f
		}
		if p.ended() {
			return rejection{code: CodeProgramEnded, message: "the program has ended: " + p.Reason}
		}
	}
	if sh.closing {
		return rejection{code: CodeOwnerChanging, message: "the program is moving to another host"}
	}
	if f := s.checkPendingLimits(r, known); f.code != "" {
		return f
	}
	if !known {
		var f rejection
		if p, f = s.prepareProgram(sh, r); f.code != "" {
			return f
		}
	}
	if current := p.lastCall(); current != nil && current.inProgress() && !s.mayOverlap(current) {
		return s.enqueue(p, r, current)
	}
	return s.begin(p, r, []string{r.ID})
}

var programNotFound = rejection{code: CodeProgramNotFound, message: "there is no such program"}

func validate(r CallRequest) rejection {
	switch {
	case r.Program == "" || DomainOf(r.Program) == "":
		return rejection{code: CodeInvalid, message: "the program's id has no failure domain"}
	case r.Kind != KindModel && r.Kind != KindPlain:
		return rejection{code: CodeInvalid, message: "the call's kind is not known"}
	case r.Step < 0 || r.MaxTokens < 0 || r.PromptTokens < 0 || r.MaxCost < 0:
		return rejection{code: CodeInvalid, message: "a number is negative"}
	case r.ParentProgram != "" && RootOf(r.ParentProgram) != RootOf(r.Program):
		return rejection{code: CodeInvalid, message: "the program's id does not belong to its parent"}
	case r.ParentProgram == "" && r.NewProgram && RootOf(r.Program) != r.Program:
		return rejection{code: CodeInvalid, message: "a sub-agent needs its parent"}
	}
	return rejection{}
}

// prepareProgram returns a new program that is not yet part of the shard.
func (s *State) prepareProgram(sh *shard, r CallRequest) (*program, rejection) {
	if !r.NewProgram {
		return nil, programNotFound
	}
	p := &program{shard: sh, durableState: durableState{ID: r.Program, Client: r.Client, FirstStep: 1, State: programChart.Initial()}}
	p.Limits = r.Limits
	if r.ParentProgram == "" {
		p.Budget = r.Budget
		return p, rejection{}
	}
	parent, ok := sh.programs.Get(r.ParentProgram)
	if !ok || parent.Client != r.Client {
		return nil, rejection{code: CodeProgramNotFound, message: "there is no such parent"}
	}
	if parent.ended() {
		return nil, rejection{code: CodeProgramEnded, message: "the parent has ended"}
	}
	p.Parent, p.ParentStep = r.ParentProgram, r.ParentStep
	if c := parent.lastCall(); p.ParentStep == 0 && c != nil {
		p.ParentStep = c.Step
	}
	return p, rejection{}
}

// createProgram records a prepared program and makes it part of its shard.
func (s *State) createProgram(p *program, r CallRequest) {
	p.shard.programs.Set(p.ID, p)
	s.addToParent(p)
	s.record(p, recordCreated, 0, createdBody{
		Client: r.Client, Workspace: r.Workspace, Service: r.Service, Parent: p.Parent, ParentStep: p.ParentStep,
		Budget: p.Budget, Limits: p.Limits, IdleMs: r.Retention.IdleMs, AtMs: s.now.UnixMilli(),
	})
}

// addToParent lists a sub-agent with its parent.
func (s *State) addToParent(p *program) {
	if parent, ok := p.shard.programs.Get(p.Parent); ok && p.Parent != "" {
		if i, found := slices.BinarySearch(parent.children, p.ID); !found {
			parent.children = slices.Insert(parent.children, i, p.ID)
		}
	}
}

// checkPendingLimits keeps the records that wait for the store within their bounds.
// Room for the results of running calls is kept free.
func (s *State) checkPendingLimits(r CallRequest, known bool) rejection {
	records, size := s.pendingRecords+s.expectedRecords, s.pendingBytes+s.expectedBytes
	full := records+recordsPerCall > s.options.MaxPendingRecords || size+expectedBytes(r) > s.options.MaxPendingBytes
	half := records > s.options.MaxPendingRecords/2 || size > s.options.MaxPendingBytes/2
	switch {
	case full, half && !known:
		return rejection{code: CodeStoreUnavailable, message: "too many records wait for the store"}
	case !r.Repeatable && s.mayWaitForStore() && !s.testHooks.skipIntent:
		return rejection{code: CodeStoreUnavailable, message: "a call that cannot be repeated needs the store"}
	}
	return rejection{}
}

const (
	// recordsPerCall is the most records that one call adds.
	recordsPerCall = 4
	// bytesPerToken is an upper estimate of the size of a token of text.
	bytesPerToken = 8
)

func expectedBytes(r CallRequest) int {
	return messageBytes(r.Messages) + bytesPerToken*r.MaxTokens + len(r.Invoke.Body) + 4*recordOverheadBytes
}

// mayOverlap reports whether the call after c may start before c is durable.
func (s *State) mayOverlap(c *call) bool {
	return s.testHooks.skipOrder ||
		s.mayWaitForStore() && c.State == callSettling && c.Outcome == OutcomeDone && c.Repeatable
}

// enqueue holds the next call until the current one is durable.
func (s *State) enqueue(p *program, r CallRequest, current *call) rejection {
	step := current.Step + 1
	switch {
	case r.Step != 0 && r.Step != step:
		return rejection{code: CodeStepOutOfOrder, message: "an earlier step has not been answered"}
	case p.queued != nil:
		return rejection{code: CodeCallInProgress, message: "the program already has a call that waits"}
	}
	r.Step = step
	c := &call{Step: step, IdempotencyKey: r.IdempotencyKey, Digest: digest(r), State: callChart.Initial(), request: r, waiters: []string{r.ID}}
	s.fire(p, c, eventWait)
	p.queued = c
	s.touch(p)
	return rejection{}
}

// startQueued starts the waiting call when its predecessor allows it.
func (s *State) startQueued(p *program) {
	c := p.queued
	if current := p.lastCall(); c == nil || current != nil && current.inProgress() && !s.mayOverlap(current) {
		return
	}
	p.queued = nil
	if p.shard.closing {
		s.rejectQueued(p, c, rejection{code: CodeOwnerChanging, message: "the program is moving to another host"})
		return
	}
	s.fire(p, c, eventReady)
	if f := s.begin(p, c.request, c.waiters); f.code != "" {
		s.rejectQueued(p, c, f)
	}
}

func (s *State) rejectQueued(p *program, c *call, f rejection) {
	s.fire(p, c, eventClose)
	for _, id := range c.waiters {
		s.reject(id, p.ID, c.Step, f)
	}
}

func (s *State) callerLeft(id string) {
	open, ok := s.openRequests[id]
	if !ok {
		return
	}
	delete(s.openRequests, id)
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
	p.cancelRequestIDs = slices.DeleteFunc(p.cancelRequestIDs, func(w string) bool { return w == id })
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
