package sequencer

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rejection is the reason why a request does not run; the zero value means that it
// is accepted. If endReason is set, the program ends with that reason.
type rejection struct {
	code, message, endReason string
}

func (s *State) callArrived(r CallRequest) {
	if _, open := s.openRequests[r.ID]; open {
		return
	}
	s.openRequests[r.ID] = openRequest{program: r.Program}
	if rej := s.accept(r); rej.code != "" {
		s.reject(r.ID, r.Program, r.Step, rej)
	}
}

// needsValidLease holds the rejection codes that depend on the owner's state of a
// program, which may be outdated without a valid lease.
var needsValidLease = map[string]bool{
	CodeProgramNotFound: true, CodeStepOutOfOrder: true, CodeStepConflict: true, CodeHistoryMismatch: true,
}

// reject responds that a request did not run. Without a valid lease a newer owner
// may have later state, so a code that depends on this owner's state is replaced by
// CodeNotOwner.
func (s *State) reject(id, program string, step int, rej rejection) {
	if !s.leaseValid && needsValidLease[rej.code] {
		rej = rejection{code: CodeNotOwner, message: "another host may own the program by now"}
	}
	s.respond(Response{RequestID: id, Program: program, Step: step, Outcome: OutcomeNotRun, Code: rej.code, Message: rej.message})
}

// accept responds to a request, adds it to a call in progress, queues it or starts
// its call. Otherwise it returns the reason for the rejection.
func (s *State) accept(r CallRequest) rejection {
	if rej := validate(r); rej.code != "" {
		return rej
	}
	sh := s.shardOf(r.Program)
	if sh == nil {
		return rejection{code: CodeNotOwner, message: "this host does not own the program"}
	}
	p, exists := sh.programs.Get(r.Program)
	if exists {
		if p.Client != r.Client {
			return programNotFound
		}
		if handled, rej := s.handleDuplicate(p, r); handled || rej.code != "" {
			return rej
		}
		if p.ended() {
			return rejection{code: CodeProgramEnded, message: "the program has ended: " + p.Reason}
		}
	}
	if sh.closing {
		return rejection{code: CodeOwnerChanging, message: "the program is moving to another host"}
	}
	if rej := s.checkPendingLimits(r, exists); rej.code != "" {
		return rej
	}
	if !exists {
		var rej rejection
		if p, rej = s.prepareProgram(sh, r); rej.code != "" {
			return rej
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

// prepareProgram returns a new program that is not yet part of the shard, or the
// reason why the request cannot create one.
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

// createProgram adds a prepared program to its shard and records its creation.
func (s *State) createProgram(p *program, r CallRequest) {
	p.shard.programs.Set(p.ID, p)
	s.addToParent(p)
	s.record(p, recordCreated, 0, createdBody{
		Client: r.Client, Workspace: r.Workspace, Service: r.Service, Parent: p.Parent, ParentStep: p.ParentStep,
		Budget: p.Budget, Limits: p.Limits, IdleMs: r.Retention.IdleMs, AtMs: s.now.UnixMilli(),
	})
}

// addToParent adds a sub-agent to the children of its parent.
func (s *State) addToParent(p *program) {
	if parent, ok := p.shard.programs.Get(p.Parent); ok && p.Parent != "" {
		if i, found := slices.BinarySearch(parent.children, p.ID); !found {
			parent.children = slices.Insert(parent.children, i, p.ID)
		}
	}
}

// checkPendingLimits rejects a request that would exceed the limits on records that
// wait for the store. The expected results of running calls count too. Above half
// of a limit, new programs are rejected. A call that cannot be repeated is rejected
// while records may have to wait for the store.
func (s *State) checkPendingLimits(r CallRequest, exists bool) rejection {
	records, size := s.pendingRecords+s.expectedRecords, s.pendingBytes+s.expectedBytes
	full := records+recordsPerCall > s.options.MaxPendingRecords || size+expectedBytes(r) > s.options.MaxPendingBytes
	half := records > s.options.MaxPendingRecords/2 || size > s.options.MaxPendingBytes/2
	switch {
	case full, half && !exists:
		return rejection{code: CodeStoreUnavailable, message: "too many records wait for the store"}
	case !r.Repeatable && s.mayWaitForStore() && !s.testHooks.skipIntent:
		return rejection{code: CodeStoreUnavailable, message: "a call that cannot be repeated needs the store"}
	}
	return rejection{}
}

const (
	// recordsPerCall is the maximum number of records that one call adds.
	recordsPerCall = 4
	// bytesPerToken is an upper estimate of the size of one token of text.
	bytesPerToken = 8
)

// expectedBytes estimates the size of the records that a call adds.
func expectedBytes(r CallRequest) int {
	return messageBytes(r.Messages) + bytesPerToken*r.MaxTokens + len(r.Invoke.Body) + 4*recordOverheadBytes
}

// mayOverlap reports whether the call after c may start before c is durable.
func (s *State) mayOverlap(c *call) bool {
	return s.testHooks.skipOrder ||
		s.mayWaitForStore() && c.State == callSettling && c.Outcome == OutcomeDone && c.Repeatable
}

// enqueue queues the program's next call until the current one is durable. It
// returns a rejection if another call is queued already or the step is wrong.
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

// startQueued starts the queued call unless the call before it is in progress and
// they may not overlap.
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
	if rej := s.begin(p, c.request, c.waiters); rej.code != "" {
		s.rejectQueued(p, c, rej)
	}
}

func (s *State) rejectQueued(p *program, c *call, rej rejection) {
	s.fire(p, c, eventClose)
	for _, id := range c.waiters {
		s.reject(id, p.ID, c.Step, rej)
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
	remove := func(c *call) { c.waiters = slices.DeleteFunc(c.waiters, func(w string) bool { return w == id }) }
	for _, c := range p.Calls {
		remove(c)
	}
	if p.queued != nil {
		remove(p.queued)
	}
	p.cancelRequestIDs = slices.DeleteFunc(p.cancelRequestIDs, func(w string) bool { return w == id })
}

// digest returns a hash of a request's content without its messages.
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
