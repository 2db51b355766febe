package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// chat runs one turn of a program and returns the program, the answer and the
// number of cached tokens.
func (b *bed) chat(url, program string, messages []provider.ChatMessage) (string, provider.ChatMessage, int) {
	b.t.Helper()
	body, err := json.Marshal(map[string]any{"model": "drafter", "max_tokens": 20, "messages": messages})
	if err != nil {
		b.t.Fatal(err)
	}
	var headers []string
	if program != "" {
		headers = []string{server.HeaderProgram, program}
	}
	response, text := b.post(url+"/v1/chat/completions", string(body), headers...)
	var answer struct {
		Choices []struct{ Message provider.ChatMessage }
		Usage   struct {
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		}
	}
	if err := json.Unmarshal([]byte(text), &answer); err != nil || response.StatusCode != http.StatusOK {
		b.t.Fatalf("status %d, %v: %s", response.StatusCode, err, text)
	}
	return response.Header.Get(server.HeaderProgram), answer.Choices[0].Message, answer.Usage.Details.Cached
}

// wait waits until a condition holds.
func (b *bed) wait(what string, within time.Duration, holds func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(within); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.t.Fatalf("%s: not within %v", what, within)
		}
	}
}

func ordersOf(engine *emulator.Engine, kind string) []provider.Order {
	return slices.DeleteFunc(engine.Orders(), func(o provider.Order) bool { return o.Kind != kind })
}

// Guards against an exported cache that the next target never imports or imports
// only after it has computed the prompt, against a call that fails because the
// exported cache is missing, and against orders about memory that an engine refuses
// because orders with fencing numbers were sent to it.
func TestImportBeforeGenerate(t *testing.T) {
	t.Parallel()
	for _, exported := range []bool{true, false} {
		t.Run(fmt.Sprintf("exported=%v", exported), func(t *testing.T) {
			t.Parallel()
			b := newBed(t)
			other := b.addEngine(emulator.EngineOptions{
				Name: "drafter-2", Models: []string{"quill"}, PrefillPerSec: 500, ChecksFencing: true,
				Objects: b.objects.ForCaller("drafter-2"),
			})
			if err := other.Order(t.Context(), provider.Order{Kind: "role", Role: "mixed", FencingNumber: 7 << 32}); err != nil {
				t.Fatal(err)
			}
			d, url := b.start("ams-1")
			messages := []provider.ChatMessage{{Role: "user", Content: strings.Repeat("The harbour at dusk. ", 200)}}
			program, answer, _ := b.chat(url, "", messages)
			object := "kv/" + program
			d.programs.Post(programQuery{func(p *programs) {
				p.scheduler.Fleet().RecordExport(program, object, "nl", 1_000)
				if exported {
					p.order(scheduler.SendOrder{
						Target: "drafter-1", Order: provider.Order{Kind: "export", Program: program, Object: object},
					})
				}
			}})
			b.wait("export", 5*time.Second, func() bool { return !exported || len(b.objects.Names("kv/")) == 1 })
			b.list("drafter-2", "drafter", false)
			b.list("drafter-1", "drafter", true)
			b.wait("report of the second engine", 5*time.Second, func() bool {
				ready, _ := ask(t.Context(), d, func(p *programs) bool {
					accepting := p.scheduler.Fleet().Accepting("drafter")
					return len(accepting) == 1 && accepting[0].Name() == "drafter-2" && d.fencingOf("drafter-2") > 0
				})
				return ready
			})
			messages = append(messages, answer, provider.ChatMessage{Role: "user", Content: "And a shorter one?"})
			_, _, cached := b.chat(url, program, messages)
			imports := ordersOf(other, "import")
			if exported && (cached < 900 || len(imports) != 1 || imports[0].Object != object) {
				t.Errorf("%d cached tokens after imports %v", cached, imports)
			}
			if !exported && (cached != 0 || len(imports) != 0) {
				t.Errorf("%d cached tokens after imports %v of a missing object", cached, imports)
			}
		})
	}
}

// Guards against a scheduler that is not told of first tokens: it would count the
// prompts of running calls as waiting and never adapt the concurrency of a target.
func TestFirstTokenReachesScheduler(t *testing.T) {
	b := newBed(t)
	// Reports are older than the call and cannot stand in for its first token.
	b.engine.SetFaults(emulator.EngineFaults{ReportLagMs: 600_000})
	d, url := b.start("ams-1")
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.post(url+"/v1/chat/completions", `{"model":"drafter","max_tokens":400,"messages":[{"role":"user","content":"A long draft."}]}`)
	}()
	defer func() { <-done }()
	b.wait("first token", 5*time.Second, func() bool {
		heard, _ := ask(t.Context(), d, func(p *programs) bool {
			node := p.scheduler.Fleet().Node("drafter-1")
			return node.InFlight() == 1 && node.WaitingTokens() == 0
		})
		return heard
	})
}

// Guards against new work for a target whose load report says that it leaves.
func TestReportOfLeavingStopsNewWork(t *testing.T) {
	b := newBed(t)
	d, _ := b.start("ams-1")
	b.engine.SetFaults(emulator.EngineFaults{Leaving: true})
	b.wait("leaving", 3*time.Second, func() bool {
		accepting, _ := ask(t.Context(), d, func(p *programs) int { return len(p.scheduler.Fleet().Accepting("drafter")) })
		return accepting == 0
	})
}

// Guards against a refusal that is taken for overload although the engine leaves.
func TestRefusalAsksForReport(t *testing.T) {
	b := newBed(t)
	d, _ := b.start("ams-1")
	b.engine.SetFaults(emulator.EngineFaults{Leaving: true})
	s := &send{d: d, target: "drafter-1", address: "drafter-1", id: "p/1#1.1", output: &output{}}
	s.request.Kind = sequencer.KindModel
	finished := s.run(t.Context())
	if provider.KindOf(finished.err) != provider.KindRefused || finished.report == nil || !finished.report.Leaving {
		t.Errorf("got error %v and report %+v, want a refusal and a report that says leaving", finished.err, finished.report)
	}
}
