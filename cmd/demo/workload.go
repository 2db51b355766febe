package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// user has what a user's programs call.
type user struct {
	name, model, tools string
	read, write        string
	opening            string
}

var users = []user{
	{
		name: "lichtbeeld", model: "drafter", tools: "ledger", read: "/balances?client=gallery", write: "/invoice-numbers",
		opening: "Read these shoot notes and draft an invoice for the gallery. ",
	},
	{
		name: "wickramasinghe", model: "quote-models", tools: "workshop-app", read: "/visits?week=12", write: "/bookings",
		opening: "Recall the last talk with the hotel about the ballroom doors and prepare a quotation. ",
	},
}

// tally counts the programs of one user.
type tally struct {
	completed, refused, unknown, mixed, lost int
	latencies                                []time.Duration
}

// workload runs the programs of both users.
type workload struct {
	layout  *layout
	options options
	next    atomic.Int64

	mu       sync.Mutex
	tallies  map[string]*tally
	failures map[string]int
	promises []string
	metrics  map[string]float64
}

func newWorkload(l *layout, o options) *workload {
	w := &workload{layout: l, options: o, tallies: map[string]*tally{}, failures: map[string]int{}, metrics: map[string]float64{}}
	for _, u := range users {
		w.tallies[u.name] = &tally{}
	}
	return w
}

// broken notes a promise that was not kept.
func (w *workload) broken(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.promises = append(w.promises, fmt.Sprintf(format, values...))
}

func (w *workload) run(ctx context.Context) {
	var group conc.WaitGroup
	for i := range w.options.programs {
		u := users[i%len(users)]
		random := rand.New(rand.NewPCG(w.options.seed, uint64(i)))
		start := time.Duration(float64(startOver) * float64(i) / float64(w.options.programs))
		group.Go(func() {
			emulator.Sleep(ctx, start)
			w.runProgram(ctx, u, i, random)
		})
	}
	group.Wait()
}

// agent is one program, or one sub-agent of it, as its caller sees it.
type agent struct {
	w       *workload
	c       *client
	u       user
	name    string
	random  *rand.Rand
	program string
	parent  string
	step    int
	history []provider.ChatMessage
}

func (w *workload) runProgram(ctx context.Context, u user, number int, random *rand.Rand) {
	started := time.Now()
	a := &agent{
		w: w, u: u, name: fmt.Sprintf("%s-%d", u.name, number), random: random,
		c: &client{key: callerKeys[u.name], daemons: w.layout.daemons, next: &w.next, http: http.DefaultClient},
	}
	f := a.run(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tallies[u.name]
	switch {
	case f == nil:
		t.completed++
		t.latencies = append(t.latencies, time.Since(started))
		return
	case f.Code == "mixed" || f.Code == "historyMismatch" || f.Code == "stepConflict":
		t.mixed++
	case f.Code == "programNotFound" || f.Code == "stepOutOfOrder":
		t.lost++
	case f.Outcome == server.OutcomeUnknown:
		t.unknown++
	default:
		t.refused++
	}
	w.failures[f.Code]++
	if f.Code != "connection" {
		w.failures["  "+f.Error()]++
	}
}

// run makes three to seven turns with tools between them.
func (a *agent) run(ctx context.Context) *failure {
	turns := 3 + a.random.IntN(5)
	message := provider.ChatMessage{Role: "user", Content: a.name + ": " + strings.Repeat(a.u.opening, 4+a.random.IntN(12))}
	for turn := range turns {
		if f := a.turn(ctx, message, turn == turns-1); f != nil {
			return f
		}
		if turn == turns-1 {
			return nil
		}
		emulator.Sleep(ctx, time.Duration(50+a.random.IntN(400))*time.Millisecond)
		switch kind := a.random.IntN(10); {
		case kind < 4:
			content, f := a.tool(ctx, http.MethodGet, a.u.read, "")
			if f != nil {
				return f
			}
			message = provider.ChatMessage{Role: "tool", Content: content}
		case kind < 8:
			content, f := a.tool(ctx, http.MethodPost, a.u.write, fmt.Sprintf("write-%d", turn))
			if f != nil {
				return f
			}
			message = provider.ChatMessage{Role: "tool", Content: content}
		default:
			content, f := a.delegate(ctx, turn)
			if f != nil {
				return f
			}
			message = provider.ChatMessage{Role: "user", Content: content}
		}
	}
	return nil
}

// turn makes one model call and checks that the answer is to the program's own
// complete history.
func (a *agent) turn(ctx context.Context, message provider.ChatMessage, last bool) *failure {
	a.step++
	stream := a.random.IntN(2) == 0
	history := append(append([]provider.ChatMessage(nil), a.history...), message)
	r := request{
		method: http.MethodPost, path: chatPath, program: a.program, step: a.step, end: last, stream: stream,
		body: map[string]any{
			"model": a.u.model, "append": true, "stream": stream, "max_tokens": 30 + a.random.IntN(80),
			"messages": []provider.ChatMessage{message},
		},
	}
	if a.program == "" {
		// The first call has a key, so that its repetition finds the same program.
		r.parent, r.key = a.parent, "start-"+a.name
	}
	answer, f := a.c.call(ctx, r)
	if f != nil {
		return f
	}
	want := emulator.ResponseDigest(history)
	if got, _, _ := strings.Cut(answer.text, " "); got != want {
		return &failure{Code: "mixed", Outcome: server.OutcomeDone, Message: "the answer is not to this program's history"}
	}
	a.program = answer.program
	a.history = append(history, provider.ChatMessage{Role: "assistant", Content: answer.text})
	return nil
}

// tool calls the user's plain service as a step of the program.
func (a *agent) tool(ctx context.Context, method, path, key string) (string, *failure) {
	a.step++
	body := map[string]string{"program": a.program, "key": key}
	answer, f := a.c.call(ctx, request{
		method: method, path: "/v1/services/" + a.u.tools + path, program: a.program, step: a.step, key: key, body: body,
	})
	if f != nil {
		return "", f
	}
	return string(answer.body), nil
}

// delegate runs two sub-agents at the same time and joins their results.
func (a *agent) delegate(ctx context.Context, turn int) (string, *failure) {
	results := make([]string, 2)
	failures := make([]*failure, 2)
	var group conc.WaitGroup
	for i := range results {
		child := &agent{
			w: a.w, c: a.c, u: a.u, parent: a.program, name: fmt.Sprintf("%s-%d-%d", a.name, turn, i),
			random: rand.New(rand.NewPCG(a.random.Uint64(), uint64(i))),
		}
		group.Go(func() {
			turns := 1 + i
			for n := range turns {
				message := provider.ChatMessage{Role: "user", Content: child.name + ": look this up, part " + fmt.Sprint(n)}
				if failures[i] = child.turn(ctx, message, n == turns-1); failures[i] != nil {
					return
				}
			}
			results[i] = child.history[len(child.history)-1].Content
		})
	}
	group.Wait()
	for _, f := range failures {
		if f != nil {
			return "", f
		}
	}
	return strings.Join(results, "\n"), nil
}
