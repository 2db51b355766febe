package sequencer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// simulation simulates the callers, targets, store and successive owners of one
// shard. It checks the guarantees from outside, by the calls that targets ran and the
// responses that callers got.
type simulation struct {
	intn             func(n int) int
	now              time.Time
	hooks            hooks
	currentOwner     *owner
	pausedOwners     []*owner
	orphanedAttempts []DispatchAttempt
	shard            string
	epoch            int
	snapshot         []byte
	log              []encoder.Record
	objects          map[string][]provider.ChatMessage
	programs         []string
	sentRequests     []CallRequest
	requestCount     int
	violations       []Violation
	durableOutcomes  map[string]Outcome // durable outcomes by call
	executions       map[string]int     // executions of calls that cannot be repeated
	doneTexts        map[string]string  // text of responses with OutcomeDone, by call
	durableStarts    map[string]bool    // attempts whose start is durable
	attemptTokens    map[string]int     // tokens that engines used, by attempt
	heldMemory       map[string]bool    // programs for which the engine holds memory
	faultFree        bool
}

type owner struct {
	state   *State
	pending []AppendRecords
	running []DispatchAttempt
	open    map[string]CallRequest
	lease   bool
	store   bool
	fenced  bool
}

const (
	rootTokens = 4_000 // budget of a root
	rootTurns  = 12
)

func newSimulation(intn func(int) int, h hooks) *simulation {
	s := &simulation{
		intn: intn, now: time.Unix(1_700_000_000, 0), hooks: h, objects: map[string][]provider.ChatMessage{},
		durableOutcomes: map[string]Outcome{}, executions: map[string]int{}, doneTexts: map[string]string{}, heldMemory: map[string]bool{},
		durableStarts: map[string]bool{}, attemptTokens: map[string]int{},
	}
	root := NewProgramID("nl-ams", [16]byte{1})
	s.programs = []string{root, NewChildID(root, [16]byte{2}), NewChildID(root, [16]byte{3})}
	s.shard = ShardOf(root, 1)
	s.newOwner()
	return s
}

func (s *simulation) recordViolation(invariant Invariant, format string, args ...any) {
	s.violations = append(s.violations, Violation{Invariant: invariant, Detail: "seen from outside: " + fmt.Sprintf(format, args...)})
}

func (s *simulation) newOwner() {
	s.epoch++
	o := &owner{open: map[string]CallRequest{}, lease: true, store: true}
	o.state = New(Options{ShardsPerDomain: 1, MaxTailBytes: 256, CallTimeout: 20 * time.Second, EndedProgramRetention: time.Hour},
		func(v Violation) { s.violations = append(s.violations, v) })
	o.state.testHooks = s.hooks
	s.currentOwner = o
	s.update(o, ShardAcquired{Shard: s.shard, Epoch: s.epoch, Snapshot: s.snapshot, Records: slices.Clone(s.log)})
}

func (s *simulation) update(o *owner, m Message) {
	for _, command := range o.state.Update(s.now, m) {
		switch c := command.(type) {
		case AppendRecords:
			o.pending = append(o.pending, c)
		case DispatchAttempt:
			s.handleDispatch(o, c)
		case Response:
			s.handleResponse(o, c)
		case ReleaseMemory:
			s.handleRelease(o, c)
		case StoreSegment:
			s.objects[c.Name] = c.Messages
			s.update(o, SegmentStored{Program: c.Program, Name: c.Name})
		}
	}
}

func (s *simulation) handleDispatch(o *owner, d DispatchAttempt) {
	o.running = append(o.running, d)
	program, step, _ := splitCallID(d.CallID)
	if previous := CallID(program, step-1); step > 1 && o.lease && o.store {
		if outcome, ok := s.durableOutcomes[previous]; !ok || outcome == OutcomeNotRun {
			s.recordViolation(InvariantOrder, "%s runs before %s is durable", d.CallID, previous)
		}
	}
	messages := []provider.ChatMessage{}
	for _, name := range d.Segments {
		messages = append(messages, s.objects[name]...)
	}
	messages = append(messages, d.Request.Messages...)
	for i, m := range messages {
		if !strings.HasPrefix(m.Content, program+"|") {
			s.recordViolation(InvariantHistory, "message %d of %s is %q", i, d.CallID, m.Content)
		}
	}
	recorded := s.recordedHistory(o.state.program(program))
	if d.Request.Kind == KindModel && (len(messages) <= len(recorded) || !slices.Equal(recorded, messages[:len(recorded)])) {
		s.recordViolation(InvariantHistory, "%s is sent %d messages that do not continue the %d recorded", d.CallID, len(messages), len(recorded))
	}
}

// checkBudget checks the tokens that engines used for attempts whose start is in the
// log. Attempts that a paused owner starts without the store are left out, since the
// next owner cannot know of them.
func (s *simulation) checkBudget() {
	total := 0
	for attempt, tokens := range s.attemptTokens {
		if s.durableStarts[attempt] {
			total += tokens
		}
	}
	if total > rootTokens {
		s.recordViolation(InvariantBudget, "%d tokens used of %d", total, rootTokens)
	}
}

func (s *simulation) handleResponse(o *owner, a Response) {
	r, ok := o.open[a.RequestID]
	if !ok {
		s.recordViolation(InvariantResponses, "request %s is answered twice or by another owner", a.RequestID)
		return
	}
	delete(o.open, a.RequestID)
	id := CallID(a.Program, a.Step)
	switch {
	case a.Program != r.Program || r.Step != 0 && r.Step != a.Step:
		s.recordViolation(InvariantResponses, "request for %s/%d gets %s", r.Program, r.Step, id)
	case a.Outcome == OutcomeDone:
		s.checkDoneResponse(id, a)
	case a.Outcome == OutcomeNotRun && !r.Repeatable && s.executions[id] > 0 && o == s.currentOwner && o.lease && o.store &&
		a.Code != CodeStepConflict:
		s.recordViolation(InvariantNotRun, "%s ran and is answered as not run (%s)", id, a.Code)
	}
}

func (s *simulation) checkDoneResponse(id string, a Response) {
	text := a.Result.Text
	if a.Segment != "" {
		text = s.objects[a.Segment][a.Offset].Content
	}
	if a.Result.Invoke != nil {
		text = string(a.Result.Invoke.Body)
	}
	if !strings.HasPrefix(text, a.Program+"|") || s.durableOutcomes[id] != OutcomeDone {
		s.recordViolation(InvariantDurability, "%s is answered with %q, durable outcome %q", id, text, s.durableOutcomes[id])
	}
	if before, told := s.doneTexts[id]; told && before != text {
		s.recordViolation(InvariantResponses, "%s is answered with %q and %q", id, before, text)
	}
	s.doneTexts[id] = text
}

func (s *simulation) handleRelease(o *owner, c ReleaseMemory) {
	if !s.faultFree && s.intn(3) == 0 {
		return // the release is lost
	}
	delete(s.heldMemory, c.Program)
	for _, target := range c.Targets {
		s.update(o, ReleaseConfirmed{Program: c.Program, Target: target})
	}
}

// drawRequest draws a new request or a repetition of an earlier one.
func (s *simulation) drawRequest() CallRequest {
	s.requestCount++
	id := fmt.Sprintf("request-%d", s.requestCount)
	if len(s.sentRequests) > 0 && s.intn(3) == 0 {
		r := s.sentRequests[len(s.sentRequests)-1-s.intn(min(len(s.sentRequests), 6))]
		r.ID = id
		return r
	}
	program := s.programs[s.intn(len(s.programs))]
	r := CallRequest{
		ID: id, Client: "c", Service: "s", Program: program, NewProgram: true, Kind: KindModel, Repeatable: true,
		PromptTokens: 100, MaxTokens: 100 + 400*s.intn(3), Budget: encoder.Budget{Tokens: rootTokens, Turns: rootTurns},
	}
	if program != s.programs[0] {
		r.ParentProgram = s.programs[0]
	}
	if p := s.currentOwner.state.program(program); p != nil && s.intn(4) > 0 {
		r.Step = p.nextStep() + s.intn(2)*s.intn(2)
		if c := p.runningCall(); c != nil {
			r.Step = c.Step + 1
		}
	}
	if s.intn(3) == 0 {
		r.Kind, r.Repeatable = KindPlain, false
		r.Invoke = provider.InvokeRequest{Method: "POST", Path: "/payouts", Body: []byte(id)}
		if s.intn(2) == 0 {
			r.IdempotencyKey = id
		}
		return r
	}
	r.Append = s.intn(2) == 0
	if !r.Append {
		r.Messages, r.Workspace = s.drawHistory(program)
	}
	r.Messages = append(r.Messages, provider.ChatMessage{Role: "user", Content: program + "|" + id})
	return r
}

// foreignHistory marks a request with the history of another program. It is sent only
// to an owner that has recorded the program's history, since an owner without one
// accepts any history.
const foreignHistory = "foreign"

// drawHistory returns the history that a caller sends: the recorded one, one that is
// too short, or that of another program with the mark foreignHistory.
func (s *simulation) drawHistory(program string) (messages []provider.ChatMessage, mark string) {
	p := s.currentOwner.state.program(program)
	if p == nil || p.History.MessageCount == 0 {
		return nil, ""
	}
	if s.intn(6) == 0 {
		if q := s.currentOwner.state.program(s.programs[s.intn(len(s.programs))]); q != nil && q != p {
			return s.recordedHistory(q), foreignHistory
		}
	}
	messages = s.recordedHistory(p)
	if s.intn(8) == 0 {
		messages = messages[:len(messages)-1]
	}
	return messages, ""
}

// recordedHistory returns a program's messages from its segments and tail.
func (s *simulation) recordedHistory(p *program) []provider.ChatMessage {
	var messages []provider.ChatMessage
	for _, name := range p.History.segmentNames() {
		messages = append(messages, s.objects[name]...)
	}
	return append(messages, p.History.Tail...)
}

// makeDurable adds records to the log and notes the outcomes and starts in them.
func (s *simulation) makeDurable(records []encoder.Record) {
	for _, r := range records {
		s.log = append(s.log, r)
		body, err := decodeBody(r.Kind, r.Body)
		if err != nil {
			s.recordViolation(InvariantHistory, "record cannot be decoded: %v", err)
		}
		if b, ok := body.(finishedBody); ok {
			s.durableOutcomes[CallID(r.Program, b.Step)] = b.Outcome
		}
		if b, ok := body.(startedBody); ok {
			s.durableStarts[AttemptID(CallID(r.Program, b.Step), b.Attempt)] = true
		}
	}
}

// finishAttempt finishes an attempt with a random outcome and reports it to an owner.
// The attempt counts as run unless the target rejected it.
func (s *simulation) finishAttempt(o *owner, d DispatchAttempt) {
	program, _, _ := splitCallID(d.CallID)
	m := AttemptFinished{CallID: d.CallID, Attempt: d.Attempt, Outcome: OutcomeDone}
	m.Result.AttemptID = AttemptID(d.CallID, d.Attempt)
	switch s.intn(6) {
	case 0:
		m.Outcome, m.Code = OutcomeNotRun, "refused"
	case 1:
		m.Outcome, m.Code = OutcomeUnknown, CodeTimeout
	}
	if m.Outcome != OutcomeNotRun && !d.Request.Repeatable {
		s.executions[d.CallID]++
		if s.executions[d.CallID] > 1 {
			s.recordViolation(InvariantAtMostOnce, "%s ran %d times", d.CallID, s.executions[d.CallID])
		}
	}
	if m.Outcome != OutcomeNotRun && d.Request.Kind == KindModel {
		s.heldMemory[program] = true
		m.Result.Targets = []string{"runner"}
	}
	if m.Outcome != OutcomeNotRun && d.Request.Kind == KindModel {
		s.attemptTokens[m.Result.AttemptID] = 90 + d.Request.MaxTokens - s.intn(50)
	}
	if m.Outcome == OutcomeDone {
		text := fmt.Sprintf("%s|%s", program, m.Result.AttemptID)
		if d.Request.Kind == KindModel {
			m.Result.Text = text
			m.Result.Usage = provider.Usage{PromptTokens: 90, CompletionTokens: s.attemptTokens[m.Result.AttemptID] - 90}
		} else {
			m.Result.Invoke = &provider.InvokeResult{Status: 200, Body: []byte(text)}
		}
	}
	s.update(o, m)
	s.checkBudget()
}
