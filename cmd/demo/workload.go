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

// user has the services and paths that a user's programs call.
type user struct {
	name, modelService, toolService string
	readPath, writePath             string
	firstPrompt                     string
}

var users = []user{
	{
		name: "lichtbeeld", modelService: "drafter", toolService: "ledger", readPath: "/balances?client=gallery", writePath: "/invoice-numbers",
		firstPrompt: "Read these shoot notes and draft an invoice for the gallery. ",
	},
	{
		name: "wickramasinghe", modelService: "quote-models", toolService: "workshop-app", readPath: "/visits?week=12", writePath: "/bookings",
		firstPrompt: "Recall the last talk with the hotel about the ballroom doors and prepare a quotation. ",
	},
}

// tally counts the programs of one user by their end, and has the latencies of those
// that completed.
type tally struct {
	completed, rejected, unknown, mixed, lost int
	latencies                                 []time.Duration
}

// workload runs the programs of both users.
type workload struct {
	layout  *layout
	options options
	// next is the number of requests sent, by which clients choose a daemon.
	next atomic.Int64

	mu            sync.Mutex
	tallies       map[string]*tally
	failureCounts map[string]int
	violations    []string
	// linkBytes are the bytes sent between regions, by service.
	linkBytes map[string]float64
}

func newWorkload(l *layout, o options) *workload {
	w := &workload{layout: l, options: o, tallies: map[string]*tally{}, failureCounts: map[string]int{}, linkBytes: map[string]float64{}}
	for _, u := range users {
		w.tallies[u.name] = &tally{}
	}
	return w
}

// addViolation records a guarantee that was violated.
func (w *workload) addViolation(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, values...))
}

// run starts the programs evenly over startWindow and waits for their ends.
func (w *workload) run(ctx context.Context) {
	var group conc.WaitGroup
	for i := range w.options.programs {
		u := users[i%len(users)]
		random := rand.New(rand.NewPCG(w.options.seed, uint64(i)))
		start := time.Duration(float64(startWindow) * float64(i) / float64(w.options.programs))
		group.Go(func() {
			emulator.Sleep(ctx, start)
			w.runProgram(ctx, u, i, random)
		})
	}
	group.Wait()
}

// agent is the caller's side of one program or of one of its sub-agents.
type agent struct {
	workload *workload
	client   *client
	user     user
	name     string
	random   *rand.Rand
	program  string
	parent   string
	step     int
	history  []provider.ChatMessage
}

// runProgram runs one program and counts its end.
func (w *workload) runProgram(ctx context.Context, u user, number int, random *rand.Rand) {
	started := time.Now()
	a := &agent{
		workload: w, user: u, name: fmt.Sprintf("%s-%d", u.name, number), random: random,
		client: &client{apiKey: callerKeys[u.name], daemons: w.layout.daemons, next: &w.next, http: http.DefaultClient},
	}
	callErr := a.run(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tallies[u.name]
	switch {
	case callErr == nil:
		t.completed++
		t.latencies = append(t.latencies, time.Since(started))
		return
	case callErr.Code == "mixed" || callErr.Code == "historyMismatch" || callErr.Code == "stepConflict":
		t.mixed++
	case callErr.Code == "programNotFound" || callErr.Code == "stepOutOfOrder":
		t.lost++
	case callErr.Outcome == server.OutcomeUnknown:
		t.unknown++
	default:
		t.rejected++
	}
	w.failureCounts[callErr.Code]++
	if callErr.Code != "connection" {
		w.failureCounts["  "+callErr.Error()]++
	}
}

// run makes three to seven turns, with calls of tools or sub-agents between them.
func (a *agent) run(ctx context.Context) *callError {
	turns := 3 + a.random.IntN(5)
	message := provider.ChatMessage{Role: "user", Content: a.name + ": " + strings.Repeat(a.user.firstPrompt, 4+a.random.IntN(12))}
	for turn := range turns {
		if callErr := a.turn(ctx, message, turn == turns-1); callErr != nil {
			return callErr
		}
		if turn == turns-1 {
			return nil
		}
		emulator.Sleep(ctx, time.Duration(50+a.random.IntN(400))*time.Millisecond)
		switch kind := a.random.IntN(10); {
		case kind < 4:
			content, callErr := a.callTool(ctx, http.MethodGet, a.user.readPath, "")
			if callErr != nil {
				return callErr
			}
			message = provider.ChatMessage{Role: "tool", Content: content}
		case kind < 8:
			content, callErr := a.callTool(ctx, http.MethodPost, a.user.writePath, fmt.Sprintf("write-%d", turn))
			if callErr != nil {
				return callErr
			}
			message = provider.ChatMessage{Role: "tool", Content: content}
		default:
			content, callErr := a.runSubAgents(ctx, turn)
			if callErr != nil {
				return callErr
			}
			message = provider.ChatMessage{Role: "user", Content: content}
		}
	}
	return nil
}

// turn makes one model call and checks that the response belongs to the complete history
// of this program.
func (a *agent) turn(ctx context.Context, message provider.ChatMessage, last bool) *callError {
	a.step++
	stream := a.random.IntN(2) == 0
	history := append(append([]provider.ChatMessage(nil), a.history...), message)
	r := request{
		method: http.MethodPost, path: chatPath, program: a.program, step: a.step, endProgram: last, stream: stream,
		body: map[string]any{
			"model": a.user.modelService, "append": true, "stream": stream, "max_tokens": 30 + a.random.IntN(80),
			"messages": []provider.ChatMessage{message},
		},
	}
	if a.program == "" {
		// The first call has an idempotency key, so that a retry gets the same program.
		r.parent, r.idempotencyKey = a.parent, "start-"+a.name
	}
	result, callErr := a.client.call(ctx, r)
	if callErr != nil {
		return callErr
	}
	want := emulator.ResponseDigest(history)
	if got, _, _ := strings.Cut(result.text, " "); got != want {
		return &callError{Code: "mixed", Outcome: server.OutcomeDone, Message: "the response does not match the history of this program"}
	}
	a.program = result.program
	a.history = append(history, provider.ChatMessage{Role: "assistant", Content: result.text})
	return nil
}

// callTool calls the user's plain service as a step of the program and returns the body
// of the response.
func (a *agent) callTool(ctx context.Context, method, path, key string) (string, *callError) {
	a.step++
	body := map[string]string{"program": a.program, "key": key}
	result, callErr := a.client.call(ctx, request{
		method: method, path: "/v1/services/" + a.user.toolService + path, program: a.program, step: a.step, idempotencyKey: key, body: body,
	})
	if callErr != nil {
		return "", callErr
	}
	return string(result.body), nil
}

// runSubAgents runs two sub-agents at the same time and returns their last responses,
// joined.
func (a *agent) runSubAgents(ctx context.Context, turn int) (string, *callError) {
	results := make([]string, 2)
	callErrs := make([]*callError, 2)
	var group conc.WaitGroup
	for i := range results {
		child := &agent{
			workload: a.workload, client: a.client, user: a.user, parent: a.program, name: fmt.Sprintf("%s-%d-%d", a.name, turn, i),
			random: rand.New(rand.NewPCG(a.random.Uint64(), uint64(i))),
		}
		group.Go(func() {
			turns := 1 + i
			for n := range turns {
				message := provider.ChatMessage{Role: "user", Content: child.name + ": look this up, part " + fmt.Sprint(n)}
				if callErrs[i] = child.turn(ctx, message, n == turns-1); callErrs[i] != nil {
					return
				}
			}
			results[i] = child.history[len(child.history)-1].Content
		})
	}
	group.Wait()
	for _, callErr := range callErrs {
		if callErr != nil {
			return "", callErr
		}
	}
	return strings.Join(results, "\n"), nil
}
