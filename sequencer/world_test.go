package sequencer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// world plays callers, targets, the store and successive owners of one shard. It
// checks the promises from outside, by what targets ran and callers were told.
type world struct {
	intn     func(n int) int
	now      time.Time
	hooks    hooks
	current  *owner
	zombies  []*owner
	orphans  []DispatchAttempt
	shard    string
	epoch    int
	snapshot []byte
	log      []encoder.Record
	objects  map[string][]provider.ChatMessage
	programs []string
	sent     []CallRequest
	serial   int
	faults   []Violation
	finished map[string]Outcome // durable outcomes by call
	ran      map[string]int     // executions of calls that cannot be repeated
	told     map[string]string  // text that callers were told is done, by call
	started  map[string]bool    // attempts whose start is durable
	consumed map[string]int     // tokens by attempt
	held     map[string]bool    // program of which the engine holds memory
	healed   bool
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
	worldTokens = 4_000 // budget of a root
	worldTurns  = 12
)

func newWorld(intn func(int) int, h hooks) *world {
	w := &world{
		intn: intn, now: time.Unix(1_700_000_000, 0), hooks: h, objects: map[string][]provider.ChatMessage{},
		finished: map[string]Outcome{}, ran: map[string]int{}, told: map[string]string{}, held: map[string]bool{},
		started: map[string]bool{}, consumed: map[string]int{},
	}
	root := NewProgramID("nl-ams", [16]byte{1})
	w.programs = []string{root, NewChildID(root, [16]byte{2}), NewChildID(root, [16]byte{3})}
	w.shard = ShardOf(root, 1)
	w.newOwner()
	return w
}

func (w *world) fail(invariant Invariant, format string, args ...any) {
	w.faults = append(w.faults, Violation{Invariant: invariant, Detail: "seen from outside: " + fmt.Sprintf(format, args...)})
}

func (w *world) newOwner() {
	w.epoch++
	o := &owner{open: map[string]CallRequest{}, lease: true, store: true}
	o.state = New(Options{ShardsPerDomain: 1, MaxTailBytes: 256, CallTimeout: 20 * time.Second, EndedProgramRetention: time.Hour},
		func(v Violation) { w.faults = append(w.faults, v) })
	o.state.hooks = w.hooks
	w.current = o
	w.update(o, ShardAcquired{Shard: w.shard, Epoch: w.epoch, Snapshot: w.snapshot, Records: slices.Clone(w.log)})
}

func (w *world) update(o *owner, m Message) {
	for _, command := range o.state.Update(w.now, m) {
		switch c := command.(type) {
		case AppendRecords:
			o.pending = append(o.pending, c)
		case DispatchAttempt:
			w.dispatched(o, c)
		case Response:
			w.answered(o, c)
		case ReleaseMemory:
			w.released(o, c)
		case StoreSegment:
			w.objects[c.Name] = c.Messages
			w.update(o, SegmentStored{Program: c.Program, Name: c.Name})
		}
	}
}

func (w *world) dispatched(o *owner, d DispatchAttempt) {
	o.running = append(o.running, d)
	program, step, _ := splitCallID(d.CallID)
	if previous := CallID(program, step-1); step > 1 && o.lease && o.store {
		if outcome, ok := w.finished[previous]; !ok || outcome == OutcomeNotRun {
			w.fail(InvariantOrder, "%s runs before %s is durable", d.CallID, previous)
		}
	}
	messages := []provider.ChatMessage{}
	for _, name := range d.Segments {
		messages = append(messages, w.objects[name]...)
	}
	messages = append(messages, d.Request.Messages...)
	for i, m := range messages {
		if !strings.HasPrefix(m.Content, program+"|") {
			w.fail(InvariantHistory, "message %d of %s is %q", i, d.CallID, m.Content)
		}
	}
	recorded := w.recorded(o.state.program(program))
	if d.Request.Kind == KindModel && (len(messages) <= len(recorded) || !slices.Equal(recorded, messages[:len(recorded)])) {
		w.fail(InvariantHistory, "%s is sent %d messages that do not continue the %d recorded", d.CallID, len(messages), len(recorded))
	}
}

// checkBudget adds what engines computed for attempts that the log knows. What a
// paused owner starts without the store cannot be known to the next one.
func (w *world) checkBudget() {
	total := 0
	for attempt, tokens := range w.consumed {
		if w.started[attempt] {
			total += tokens
		}
	}
	if total > worldTokens {
		w.fail(InvariantBudget, "%d tokens used of %d", total, worldTokens)
	}
}

func (w *world) answered(o *owner, a Response) {
	r, ok := o.open[a.RequestID]
	if !ok {
		w.fail(InvariantResponses, "request %s is answered twice or by another owner", a.RequestID)
		return
	}
	delete(o.open, a.RequestID)
	id := CallID(a.Program, a.Step)
	switch {
	case a.Program != r.Program || r.Step != 0 && r.Step != a.Step:
		w.fail(InvariantResponses, "request for %s/%d gets %s", r.Program, r.Step, id)
	case a.Outcome == OutcomeDone:
		w.answeredDone(id, a)
	case a.Outcome == OutcomeNotRun && !r.Repeatable && w.ran[id] > 0 && o == w.current && o.lease && o.store &&
		a.Code != CodeStepConflict:
		w.fail(InvariantNotRun, "%s ran and is answered as not run (%s)", id, a.Code)
	}
}

func (w *world) answeredDone(id string, a Response) {
	text := a.Result.Text
	if a.Segment != "" {
		text = w.objects[a.Segment][a.Offset].Content
	}
	if a.Result.Invoke != nil {
		text = string(a.Result.Invoke.Body)
	}
	if !strings.HasPrefix(text, a.Program+"|") || w.finished[id] != OutcomeDone {
		w.fail(InvariantDurability, "%s is answered with %q, durable outcome %q", id, text, w.finished[id])
	}
	if before, told := w.told[id]; told && before != text {
		w.fail(InvariantResponses, "%s is answered with %q and %q", id, before, text)
	}
	w.told[id] = text
}

func (w *world) released(o *owner, c ReleaseMemory) {
	if !w.healed && w.intn(3) == 0 {
		return // the order is lost
	}
	delete(w.held, c.Program)
	for _, target := range c.Targets {
		w.update(o, ReleaseConfirmed{Program: c.Program, Target: target})
	}
}

// request draws a new call or a variation of an earlier one.
func (w *world) request() CallRequest {
	w.serial++
	id := fmt.Sprintf("request-%d", w.serial)
	if len(w.sent) > 0 && w.intn(3) == 0 {
		r := w.sent[len(w.sent)-1-w.intn(min(len(w.sent), 6))]
		r.ID = id
		return r
	}
	program := w.programs[w.intn(len(w.programs))]
	r := CallRequest{
		ID: id, Client: "c", Service: "s", Program: program, NewProgram: true, Kind: KindModel, Repeatable: true,
		PromptTokens: 100, MaxTokens: 100 + 400*w.intn(3), Budget: encoder.Budget{Tokens: worldTokens, Turns: worldTurns},
	}
	if program != w.programs[0] {
		r.ParentProgram = w.programs[0]
	}
	if p := w.current.state.program(program); p != nil && w.intn(4) > 0 {
		r.Step = p.next() + w.intn(2)*w.intn(2)
		if c := p.running(); c != nil {
			r.Step = c.Step + 1
		}
	}
	if w.intn(3) == 0 {
		r.Kind, r.Repeatable = KindPlain, false
		r.Invoke = provider.InvokeRequest{Method: "POST", Path: "/payouts", Body: []byte(id)}
		if w.intn(2) == 0 {
			r.IdempotencyKey = id
		}
		return r
	}
	r.Append = w.intn(2) == 0
	if !r.Append {
		r.Messages, r.Workspace = w.history(program)
	}
	r.Messages = append(r.Messages, provider.ChatMessage{Role: "user", Content: program + "|" + id})
	return r
}

// foreign marks a request with the history of another program. It is only sent
// to an owner that has the right one: the first history is up to the caller.
const foreign = "foreign"

// history returns what a caller believes the history to be: sometimes too short
// or that of another program.
func (w *world) history(program string) (messages []provider.ChatMessage, mark string) {
	p := w.current.state.program(program)
	if p == nil || p.History.Count == 0 {
		return nil, ""
	}
	if w.intn(6) == 0 {
		if q := w.current.state.program(w.programs[w.intn(len(w.programs))]); q != nil && q != p {
			return w.recorded(q), foreign
		}
	}
	messages = w.recorded(p)
	if w.intn(8) == 0 {
		messages = messages[:len(messages)-1]
	}
	return messages, ""
}

// recorded returns a program's history from segments and tail.
func (w *world) recorded(p *program) []provider.ChatMessage {
	var messages []provider.ChatMessage
	for _, name := range p.History.segmentNames() {
		messages = append(messages, w.objects[name]...)
	}
	return append(messages, p.History.Tail...)
}

// durable makes records part of the log.
func (w *world) durable(records []encoder.Record) {
	for _, r := range records {
		w.log = append(w.log, r)
		body, err := decodeBody(r.Kind, r.Body)
		if err != nil {
			w.fail(InvariantHistory, "record cannot be decoded: %v", err)
		}
		if b, ok := body.(finishedBody); ok {
			w.finished[CallID(r.Program, b.Step)] = b.Outcome
		}
		if b, ok := body.(startedBody); ok {
			w.started[AttemptID(CallID(r.Program, b.Step), b.Attempt)] = true
		}
	}
}

// finish lets a target complete an attempt, which counts as having run unless
// the target refused it, and tells an owner.
func (w *world) finish(o *owner, d DispatchAttempt) {
	program, _, _ := splitCallID(d.CallID)
	m := AttemptFinished{CallID: d.CallID, Attempt: d.Attempt, Outcome: OutcomeDone}
	m.Result.AttemptID = AttemptID(d.CallID, d.Attempt)
	switch w.intn(6) {
	case 0:
		m.Outcome, m.Code = OutcomeNotRun, "refused"
	case 1:
		m.Outcome, m.Code = OutcomeUnknown, CodeTimeout
	}
	if m.Outcome != OutcomeNotRun && !d.Request.Repeatable {
		w.ran[d.CallID]++
		if w.ran[d.CallID] > 1 {
			w.fail(InvariantAtMostOnce, "%s ran %d times", d.CallID, w.ran[d.CallID])
		}
	}
	if m.Outcome != OutcomeNotRun && d.Request.Kind == KindModel {
		w.held[program] = true
		m.Result.Targets = []string{"runner"}
	}
	if m.Outcome != OutcomeNotRun && d.Request.Kind == KindModel {
		w.consumed[m.Result.AttemptID] = 90 + d.Request.MaxTokens - w.intn(50)
	}
	if m.Outcome == OutcomeDone {
		text := fmt.Sprintf("%s|%s", program, m.Result.AttemptID)
		if d.Request.Kind == KindModel {
			m.Result.Text = text
			m.Result.Usage = provider.Usage{PromptTokens: 90, CompletionTokens: w.consumed[m.Result.AttemptID] - 90}
		} else {
			m.Result.Invoke = &provider.InvokeResult{Status: 200, Body: []byte(text)}
		}
	}
	w.update(o, m)
	w.checkBudget()
}
