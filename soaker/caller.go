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

// caller plays programs one after the other.
type caller struct {
	bed    *bed
	random *rand.Rand
	client *client
	name   string
	serial int
	open   []*dialogue // programs that the caller left without an end
}

// dialogue is a program as its caller sees it.
type dialogue struct {
	label   string
	program string
	root    string
	parent  string
	step    int
	budget  int
	told    []provider.ChatMessage
	over    bool
}

const (
	answerTokens = 24
	// patience is how long a caller repeats one step.
	patience = 20 * time.Second
)

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.serial++
		if c.random.IntN(4) == 0 {
			c.invoice(ctx, nil)
			continue
		}
		d := &dialogue{label: fmt.Sprintf("%s-%d", c.name, c.serial)}
		if c.random.IntN(3) == 0 {
			d.budget = 500 + c.random.IntN(2500)
		}
		c.play(ctx, d, 2+c.random.IntN(5))
		c.finish(ctx, d)
	}
}

// play runs the steps of a program until one fails for good.
func (c *caller) play(ctx context.Context, d *dialogue, turns int) {
	for turn := range turns {
		last := turn == turns-1 && c.random.IntN(2) == 0 && d.parent == ""
		switch {
		case d.program != "" && c.random.IntN(4) == 0:
			if !c.invoice(ctx, d) {
				return
			}
		case !c.turn(ctx, d, last):
			return
		}
		if d.parent == "" && !d.over && c.random.IntN(5) == 0 {
			c.children(ctx, d)
		}
	}
}

// children runs two sub-agents at once on the budget of their parent.
func (c *caller) children(ctx context.Context, d *dialogue) {
	var group conc.WaitGroup
	for n := range 2 {
		name := fmt.Sprintf("%s.%d.%d", d.label, d.step, n)
		child := &caller{bed: c.bed, client: c.client, name: name, random: rand.New(rand.NewPCG(c.random.Uint64(), 1))}
		sub := &dialogue{label: name, parent: d.program, root: d.root, budget: d.budget}
		group.Go(func() { child.play(ctx, sub, 2) })
	}
	group.Wait()
}

// turn runs the next model call of a program, repeating it until its outcome is
// known, and checks the answer.
func (c *caller) turn(ctx context.Context, d *dialogue, last bool) bool {
	user := provider.ChatMessage{
		Role: "user", Content: labelOf(d.label, len(d.told)/2+1, strings.Repeat("note ", c.random.IntN(40))),
	}
	complete := append(append([]provider.ChatMessage(nil), d.told...), user)
	body := map[string]any{"model": drafter, "max_tokens": answerTokens, "messages": complete}
	if c.random.IntN(2) == 0 {
		body["append"], body["messages"] = true, []provider.ChatMessage{user}
	}
	data, _ := json.Marshal(body)
	r, ok := c.repeat(ctx, d, last, "/v1/chat/completions", nil, data, nil)
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
	whole := err == nil && len(completion.Choices) == 1
	c.bed.tally.Check(checkAnswer, whole, "answer of %s cannot be read: %v", r.program, err)
	if !whole {
		return false
	}
	text := completion.Choices[0].Message.Content
	words := strings.Fields(text)
	c.bed.tally.Check(checkAnswer, len(words) > 0 && words[0] == emulator.ResponseDigest(complete),
		"%s step %d got the answer to another request", r.program, r.step)
	c.bed.tally.Check(checkAnswer, len(words) == completion.Usage.CompletionTokens,
		"%s step %d got %d of %d tokens", r.program, r.step, len(words), completion.Usage.CompletionTokens)
	c.accept(d, r)
	assistant := provider.ChatMessage{Role: "assistant", Content: text}
	d.told = append(d.told, user, assistant)
	c.bed.inspector.toldDone(d, user, assistant, completion.Usage.TotalTokens)
	if last {
		d.over = true
		c.bed.inspector.programEnded(d.program)
	}
	if c.random.IntN(5) == 0 {
		c.again(ctx, d, "/v1/chat/completions", nil, data, text)
	}
	return true
}

// again repeats a step that is done; a done answer must be the recorded one.
func (c *caller) again(ctx context.Context, d *dialogue, path string, headers map[string]string, data []byte, text string) {
	r := c.client.send(ctx, c.host(), "POST", path, c.headers(d, d.step, headers), data)
	c.bed.tally.Count("repeats of done steps", 1)
	if r.outcome != "done" {
		return
	}
	quoted, _ := json.Marshal(text)
	c.bed.tally.Check(checkAnswer, strings.Contains(string(r.body), string(quoted)) || string(r.body) == text,
		"a repeat of %s step %d got another answer", d.program, d.step)
}

func (c *caller) accept(d *dialogue, r reply) {
	c.bed.tally.Check(checkAnswer, d.program == "" || r.program == d.program, "%s got an answer of %s", d.program, r.program)
	c.bed.tally.Check(checkAnswer, r.step == d.step+1, "%s step %d got the answer to step %d", d.program, d.step+1, r.step)
	if d.program == "" {
		c.adopt(d, r.program)
	}
	d.step++
}

func (c *caller) adopt(d *dialogue, program string) {
	d.program = program
	if d.root == "" {
		d.root = program
	}
	c.bed.tally.Count("programs", 1)
}

func (c *caller) host() *host { return c.bed.machines[c.random.IntN(len(c.bed.machines))] }

func (c *caller) headers(d *dialogue, step int, extra map[string]string) map[string]string {
	headers := map[string]string{}
	if d != nil {
		if d.program != "" {
			headers["Dogwoodweir-Program"] = d.program
			headers["Dogwoodweir-Step"] = strconv.Itoa(step)
		} else if d.parent != "" {
			headers["Dogwoodweir-Parent"] = d.parent
		}
		if d.budget > 0 {
			headers["Dogwoodweir-Budget-Tokens"] = strconv.Itoa(d.budget)
		}
	}
	for name, value := range extra {
		headers[name] = value
	}
	return headers
}

// lostHistory are codes that a caller that keeps to its steps and history gets
// only if the system has lost or mixed what it acknowledged.
var lostHistory = map[string]bool{"historyMismatch": true, "stepOutOfOrder": true, "programNotFound": true, "stepConflict": true}

// finalCodes end a program for its caller.
var finalCodes = map[string]bool{"budgetExceeded": true, "programEnded": true, "deadlineExceeded": true, "invalidRequest": true}

// repeat sends a step until it is done, at any host. It gives up when the
// program is over, when a new program's first answer is lost, or after its
// patience. Each reply is shown to see first.
func (c *caller) repeat(ctx context.Context, d *dialogue, last bool, path string, extra map[string]string, data []byte, see func(reply) bool) (reply, bool) {
	step := 0
	if d != nil {
		step = d.step + 1
	}
	headers := c.headers(d, step, extra)
	if last {
		headers["Dogwoodweir-End"] = "true"
	}
	for limit := time.Now().Add(patience); ctx.Err() == nil && time.Now().Before(limit); {
		r := c.client.send(ctx, c.host(), "POST", path, headers, data)
		c.bed.tally.Count("calls", 1)
		c.bed.tally.Count("outcome "+outcomeOf(r), 1)
		if see != nil && !see(r) {
			return r, false
		}
		if r.outcome == "done" {
			return r, true
		}
		if d != nil && d.program == "" && !r.lost() && r.program != "" && r.outcome == "unknown" {
			// The program may exist; the step is repeated in it.
			c.adopt(d, r.program)
			headers = c.headers(d, step, extra)
		}
		known := d != nil && d.step > 0
		c.bed.tally.Check(checkHistory, !known || !lostHistory[r.code], "%s: %s: %s", headers["Dogwoodweir-Program"], r.code, r.message)
		if r.lost() && d != nil && d.program == "" || finalCodes[r.code] || lostHistory[r.code] {
			break
		}
		emulator.Sleep(ctx, time.Duration(50+c.random.IntN(150))*time.Millisecond)
	}
	c.bed.tally.Count("steps given up", 1)
	return reply{}, false
}

func outcomeOf(r reply) string {
	if r.lost() {
		return "lost"
	}
	if r.code == "" {
		return r.outcome
	}
	return r.outcome + " " + r.code
}

// invoice runs a call that may not be repeated, in a program or under its key
// alone, and checks that it ran as often as its outcomes say.
func (c *caller) invoice(ctx context.Context, d *dialogue) bool {
	c.serial++
	key := fmt.Sprintf("%s-invoice-%d", c.name, c.serial)
	data := []byte(`{"invoice":"` + key + `"}`)
	extra := map[string]string{"Idempotency-Key": key, "Content-Type": "application/json"}
	doubt, unknowns := false, 0
	giveUp := c.random.IntN(2) == 0
	path := "/v1/services/" + ledgerName + "/invoices"
	r, ok := c.repeat(ctx, d, false, path, extra, data, func(r reply) bool {
		if r.lost() || r.outcome == "unknown" {
			doubt = true
			unknowns++
			return unknowns < 8
		}
		if r.outcome == "notRun" && !doubt {
			runs := c.bed.inspector.runs(string(data))
			c.bed.tally.Check(checkNotRun, runs == 0, "%s was refused as not run (%s) and ran %d times", key, r.code, runs)
			if giveUp {
				c.bed.later(func() {
					runs := c.bed.inspector.runs(string(data))
					c.bed.tally.Check(checkNotRun, runs == 0, "%s was refused as not run (%s) and later ran %d times", key, r.code, runs)
				})
				return false
			}
		}
		return true
	})
	if !ok {
		return false
	}
	runs := c.bed.inspector.runs(string(data))
	c.bed.tally.Check(checkOnce, runs == 1, "%s is done and ran %d times", key, runs)
	var answer emulator.ServiceResponse
	err := json.Unmarshal(r.body, &answer)
	c.bed.tally.Check(checkAnswer, err == nil && answer.Digest == emulator.BodyDigest(data), "%s got the answer %s", key, r.body)
	if d == nil {
		d = &dialogue{}
	}
	c.accept(d, r)
	if c.random.IntN(3) == 0 {
		c.again(ctx, d, path, extra, data, string(r.body))
	}
	return true
}

// finish ends a program, or leaves it to the end of the run.
func (c *caller) finish(ctx context.Context, d *dialogue) {
	if d.program == "" || d.over {
		return
	}
	if c.random.IntN(3) == 0 || c.end(ctx, d).status != 200 {
		c.open = append(c.open, d)
	}
}

// end ends a program; status 200 acknowledges the end.
func (c *caller) end(ctx context.Context, d *dialogue) reply {
	r := c.client.send(ctx, c.host(), "DELETE", "/v1/programs/"+d.program, nil, nil)
	if r.status == 200 {
		c.bed.tally.Count("programs ended", 1)
		c.bed.inspector.programEnded(d.program)
	}
	return r
}

// endAll ends the programs that the caller left open, until the limit.
func (c *caller) endAll(ctx context.Context, limit time.Time) {
	for _, d := range c.open {
		r := c.end(ctx, d)
		for r.status != 200 && time.Now().Before(limit) {
			emulator.Sleep(ctx, 100*time.Millisecond)
			r = c.end(ctx, d)
		}
		c.bed.tally.Check(checkHistory, r.status == 200, "%s cannot be ended after everything has healed: %d %s %s",
			d.program, r.status, r.code, r.message)
	}
}
