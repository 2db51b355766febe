package prioritizer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/prioritizer"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against starvation: a call may be overtaken only by calls that arrive within the
// overtake window, whatever service was charged to any program or client.
func TestOvertakingIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := prioritizer.DefaultWeights()
		policy := prioritizer.NewAttainedService(weights)
		now := start
		for range rapid.IntRange(0, 100).Draw(t, "charges") {
			now = now.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "ms")) * time.Millisecond)
			policy.Charge(now, fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "program")),
				fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "client")), rapid.Float64Range(0, 500).Draw(t, "seconds"))
		}
		draw := func() prioritizer.Call {
			call := prioritizer.Call{
				Program: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "program")),
				Client:  fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "client")), ProgramStarted: rapid.Bool().Draw(t, "programStarted"),
			}
			if rapid.Bool().Draw(t, "deadline") {
				call.Deadline = now.Add(time.Duration(rapid.IntRange(-10, 100).Draw(t, "due")) * time.Second)
			}
			return call
		}
		waiting := policy.Decide(now, draw())
		late := now.Add(weights.OvertakeWindow() + time.Millisecond)
		if priority := policy.Decide(late, draw()); !waiting.Before(priority) {
			t.Fatalf("a call that arrives %v later has priority %v, want a later one than %v", late.Sub(now), priority, waiting)
		}
	})
}

// Guards against a client that gets all of the service: with two clients that always have
// calls waiting, the one with ten times the calls gets at most 0.75 of it.
func TestClientsShareService(t *testing.T) {
	policy := prioritizer.NewAttainedService(prioritizer.DefaultWeights())
	type waiting struct {
		client, program string
		priority        time.Time
	}
	var queue []waiting
	served := map[string]float64{}
	now := start
	program := 0
	add := func(client string) {
		program++
		name := fmt.Sprint(client, program)
		queue = append(queue, waiting{client, name, policy.Decide(now, prioritizer.Call{Program: name, Client: client})})
	}
	for range 40 {
		add("busy")
	}
	for range 4 {
		add("quiet")
	}
	for range 600 {
		best := 0
		for i := range queue {
			if queue[i].priority.Before(queue[best].priority) {
				best = i
			}
		}
		next := queue[best]
		queue = append(queue[:best], queue[best+1:]...)
		now = now.Add(200 * time.Millisecond)
		policy.Charge(now, next.program, next.client, 0.2)
		policy.End(next.program)
		served[next.client] += 0.2
		add(next.client)
	}
	if share := served["busy"] / (served["busy"] + served["quiet"]); share > 0.75 {
		t.Fatalf("the busy client got %.2f of the service, want at most 0.75", share)
	}
}
