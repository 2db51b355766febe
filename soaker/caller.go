package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// caller runs programs and single calls one after the other and checks the responses.
type caller struct {
	testbed      *testbed
	random       *rand.Rand
	client       *client
	name         string
	serial       int        // number of the last program or invoice
	openPrograms []*program // programs that the caller has not ended
}

// program is the state of a program at its caller.
type program struct {
	label    string // identifies the program in its messages
	id       string // empty until the first response
	rootID   string
	parentID string
	step     int // last completed step
	budget   int // in tokens, 0 for none
	history  []provider.ChatMessage
	ended    bool
}

const (
	maxResponseTokens = 24
	// stepTimeout is how long a caller repeats one step.
	stepTimeout = 20 * time.Second
)

// run runs programs and invoices until ctx is done.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.serial++
		if c.random.IntN(4) == 0 {
			c.runInvoice(ctx, nil)
			continue
		}
		p := &program{label: fmt.Sprintf("%s-%d", c.name, c.serial)}
		if c.random.IntN(3) == 0 {
			p.budget = 500 + c.random.IntN(2500)
		}
		c.runSteps(ctx, p, 2+c.random.IntN(5))
		c.finishProgram(ctx, p)
	}
}

// runSteps runs steps of a program and stops early if one fails.
func (c *caller) runSteps(ctx context.Context, p *program, turns int) {
	for turn := range turns {
		last := turn == turns-1 && c.random.IntN(2) == 0 && p.parentID == ""
		switch {
		case p.id != "" && c.random.IntN(4) == 0:
			if !c.runInvoice(ctx, p) {
				return
			}
		case !c.runTurn(ctx, p, last):
			return
		}
		if p.parentID == "" && !p.ended && c.random.IntN(5) == 0 {
			c.runSubAgents(ctx, p)
		}
	}
}

// runSubAgents runs two sub-agents concurrently on the budget of their parent.
func (c *caller) runSubAgents(ctx context.Context, p *program) {
	var group conc.WaitGroup
	for n := range 2 {
		name := fmt.Sprintf("%s.%d.%d", p.label, p.step, n)
		subCaller := &caller{testbed: c.testbed, client: c.client, name: name, random: rand.New(rand.NewPCG(c.random.Uint64(), 1))}
		subAgent := &program{label: name, parentID: p.id, rootID: p.rootID, budget: p.budget}
		group.Go(func() { subCaller.runSteps(ctx, subAgent, 2) })
	}
	group.Wait()
}

// runTurn runs the next model call of a program and checks the response. It reports whether
// the turn completed. If last is set, the turn also ends the program.
func (c *caller) runTurn(ctx context.Context, p *program, last bool) bool {
	user := provider.ChatMessage{
		Role: "user", Content: messageContent(p.label, len(p.history)/2+1, strings.Repeat("note ", c.random.IntN(40))),
	}
	messages := append(append([]provider.ChatMessage(nil), p.history...), user)
	body := map[string]any{"model": modelServiceName, "max_tokens": maxResponseTokens, "messages": messages}
	if c.random.IntN(2) == 0 {
		body["append"], body["messages"] = true, []provider.ChatMessage{user}
	}
	data, _ := json.Marshal(body)
	var headers map[string]string
	if last {
		headers = map[string]string{"Dogwoodweir-End": "true"}
	}
	r, ok := c.runStep(ctx, p, "/v1/chat/completions", headers, data, nil)
	if !ok {
		return false
	}
	var completion struct {
		Choices []struct{ Message provider.ChatMessage }
		Usage   struct {
			CompletionTokens int `json:"completion_tokens"`
			TotalTokens      int `json:"total_tokens"`
		}
	}
	err := json.Unmarshal(r.body, &completion)
	valid := err == nil && len(completion.Choices) == 1
	c.testbed.tally.Check(checkResponse, valid, "response of %s cannot be decoded: %v", r.program, err)
	if !valid {
		return false
	}
	text := completion.Choices[0].Message.Content
	words := strings.Fields(text)
	c.testbed.tally.Check(checkResponse, len(words) > 0 && words[0] == emulator.ResponseDigest(messages),
		"%s step %d got the response to another request", r.program, r.step)
	c.testbed.tally.Check(checkResponse, len(words) == completion.Usage.CompletionTokens,
		"%s step %d got %d of %d tokens", r.program, r.step, len(words), completion.Usage.CompletionTokens)
	c.acceptResponse(p, r)
	assistant := provider.ChatMessage{Role: "assistant", Content: text}
	p.history = append(p.history, user, assistant)
	c.testbed.inspector.recordTurn(p, user, assistant, completion.Usage.TotalTokens)
	if last {
		p.ended = true
		c.testbed.inspector.recordProgramEnd(p.id)
	}
	if c.random.IntN(5) == 0 {
		c.repeatCompletedStep(ctx, p, "/v1/chat/completions", headers, data, text)
	}
	return true
}

// repeatCompletedStep repeats a completed step. If the repetition succeeds, its response must
// be the recorded one.
func (c *caller) repeatCompletedStep(ctx context.Context, p *program, path string, headers map[string]string, data []byte, text string) {
	r := c.client.send(ctx, c.randomHost(), "POST", path, c.requestHeaders(p, p.step, headers), data)
	c.testbed.tally.Count("repeats of done steps", 1)
	if r.outcome != "done" {
		return
	}
	quoted, _ := json.Marshal(text)
	c.testbed.tally.Check(checkResponse, strings.Contains(string(r.body), string(quoted)) || string(r.body) == text,
		"a repeat of %s step %d got a different response", p.id, p.step)
}

// acceptResponse checks that a response belongs to the program's next step and advances the
// program.
func (c *caller) acceptResponse(p *program, r response) {
	c.testbed.tally.Check(checkResponse, p.id == "" || r.program == p.id, "%s got a response of program %s", p.id, r.program)
	c.testbed.tally.Check(checkResponse, r.step == p.step+1, "%s step %d got the response to step %d", p.id, p.step+1, r.step)
	if p.id == "" {
		c.setProgramID(p, r.program)
	}
	p.step++
}

// setProgramID sets the ID of a new program.
func (c *caller) setProgramID(p *program, id string) {
	p.id = id
	if p.rootID == "" {
		p.rootID = id
	}
	c.testbed.tally.Count("programs", 1)
}

func (c *caller) randomHost() *host { return c.testbed.hosts[c.random.IntN(len(c.testbed.hosts))] }

// requestHeaders returns the headers of a step, with the extra headers. The program may be nil.
func (c *caller) requestHeaders(p *program, step int, extra map[string]string) map[string]string {
	headers := map[string]string{}
	if p != nil {
		if p.id != "" {
			headers["Dogwoodweir-Program"] = p.id
			headers["Dogwoodweir-Step"] = strconv.Itoa(step)
		} else if p.parentID != "" {
			headers["Dogwoodweir-Parent"] = p.parentID
		}
		if p.budget > 0 {
			headers["Dogwoodweir-Budget-Tokens"] = strconv.Itoa(p.budget)
		}
	}
	for name, value := range extra {
		headers[name] = value
	}
	return headers
}

// historyErrorCodes are error codes that a caller with correct steps and history gets only if
// the system has lost or mixed up acknowledged turns.
var historyErrorCodes = map[string]bool{"historyMismatch": true, "stepOutOfOrder": true, "programNotFound": true, "stepConflict": true}

// finalErrorCodes are error codes that end a program for its caller, so the step is not repeated.
var finalErrorCodes = map[string]bool{"budgetExceeded": true, "programEnded": true, "deadlineExceeded": true, "invalidRequest": true}

// runStep sends the next step of a program, or a single call if p is nil, to random hosts until
// it is done. It reports false if the response has a final or history error code, the response
// to the first step of a new program is lost, onResponse returns false, stepTimeout has passed
// or ctx is done. onResponse may be nil.
func (c *caller) runStep(ctx context.Context, p *program, path string, extra map[string]string, data []byte, onResponse func(response) bool) (response, bool) {
	step := 0
	if p != nil {
		step = p.step + 1
	}
	headers := c.requestHeaders(p, step, extra)
	for deadline := time.Now().Add(stepTimeout); ctx.Err() == nil && time.Now().Before(deadline); {
		r := c.client.send(ctx, c.randomHost(), "POST", path, headers, data)
		c.testbed.tally.Count("calls", 1)
		c.testbed.tally.Count("outcome "+outcomeLabel(r), 1)
		if onResponse != nil && !onResponse(r) {
			return r, false
		}
		if r.outcome == "done" {
			return r, true
		}
		if p != nil && p.id == "" && !r.lost() && r.program != "" && r.outcome == "unknown" {
			// The program may have been created, so the step is repeated in it.
			c.setProgramID(p, r.program)
			headers = c.requestHeaders(p, step, extra)
		}
		started := p != nil && p.step > 0
		c.testbed.tally.Check(checkHistory, !started || !historyErrorCodes[r.code], "%s: %s: %s", headers["Dogwoodweir-Program"], r.code, r.message)
		if r.lost() && p != nil && p.id == "" || finalErrorCodes[r.code] || historyErrorCodes[r.code] {
			break
		}
		emulator.Sleep(ctx, time.Duration(50+c.random.IntN(150))*time.Millisecond)
	}
	c.testbed.tally.Count("steps given up", 1)
	return response{}, false
}

// outcomeLabel returns the name under which the report counts a response.
func outcomeLabel(r response) string {
	if r.lost() {
		return "lost"
	}
	if r.code == "" {
		return r.outcome
	}
	return r.outcome + " " + r.code
}

// runInvoice runs a call that must not run twice and checks that the number of its runs agrees
// with the outcomes of the responses. The call belongs to a program, or only has an idempotency
// key if p is nil. It reports whether the call completed.
func (c *caller) runInvoice(ctx context.Context, p *program) bool {
	c.serial++
	key := fmt.Sprintf("%s-invoice-%d", c.name, c.serial)
	data := []byte(`{"invoice":"` + key + `"}`)
	extra := map[string]string{"Idempotency-Key": key, "Content-Type": "application/json"}
	uncertain, uncertainCount := false, 0
	abandon := c.random.IntN(2) == 0
	path := "/v1/services/" + plainServiceName + "/invoices"
	r, ok := c.runStep(ctx, p, path, extra, data, func(r response) bool {
		if r.lost() || r.outcome == "unknown" {
			uncertain = true
			uncertainCount++
			return uncertainCount < 8
		}
		if r.outcome == "notRun" && !uncertain {
			runs := c.testbed.inspector.runCount(string(data))
			c.testbed.tally.Check(checkNotRun, runs == 0, "%s was rejected as not run (%s) but ran %d times", key, r.code, runs)
			if abandon {
				c.testbed.addFinalCheck(func() {
					runs := c.testbed.inspector.runCount(string(data))
					c.testbed.tally.Check(checkNotRun, runs == 0, "%s was rejected as not run (%s) but ran %d times by the end", key, r.code, runs)
				})
				return false
			}
		}
		return true
	})
	if !ok {
		return false
	}
	runs := c.testbed.inspector.runCount(string(data))
	c.testbed.tally.Check(checkAtMostOnce, runs == 1, "%s is done but ran %d times", key, runs)
	var result emulator.ServiceResponse
	err := json.Unmarshal(r.body, &result)
	c.testbed.tally.Check(checkResponse, err == nil && result.Digest == emulator.BodyDigest(data), "%s got the response %s", key, r.body)
	if p == nil {
		p = &program{}
	}
	c.acceptResponse(p, r)
	if c.random.IntN(3) == 0 {
		c.repeatCompletedStep(ctx, p, path, extra, data, string(r.body))
	}
	return true
}

// finishProgram ends a program or leaves it open until the end of the run.
func (c *caller) finishProgram(ctx context.Context, p *program) {
	if p.id == "" || p.ended {
		return
	}
	if c.random.IntN(3) == 0 || c.endProgram(ctx, p).status != 200 {
		c.openPrograms = append(c.openPrograms, p)
	}
}

// endProgram asks a random host to end a program. Status 200 acknowledges the end.
func (c *caller) endProgram(ctx context.Context, p *program) response {
	r := c.client.send(ctx, c.randomHost(), "DELETE", "/v1/programs/"+p.id, nil, nil)
	if r.status == 200 {
		c.testbed.tally.Count("programs ended", 1)
		c.testbed.inspector.recordProgramEnd(p.id)
	}
	return r
}

// endOpenPrograms ends the caller's open programs. It repeats failed requests until the
// deadline.
func (c *caller) endOpenPrograms(ctx context.Context, deadline time.Time) {
	for _, p := range c.openPrograms {
		r := c.endProgram(ctx, p)
		for r.status != 200 && time.Now().Before(deadline) {
			emulator.Sleep(ctx, 100*time.Millisecond)
			r = c.endProgram(ctx, p)
		}
		c.testbed.tally.Check(checkHistory, r.status == 200, "%s cannot be ended after the end of all faults: status %d, code %s: %s",
			p.id, r.status, r.code, r.message)
	}
}
