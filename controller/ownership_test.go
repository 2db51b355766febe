package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// shortLease makes takeovers quick.
var shortLease = parser.Timing{LeaseDurationMs: 1500, HeartbeatIntervalMs: 300, HostListIntervalMs: 200, ConfigPollIntervalMs: 200, DurabilityWaitMs: 2000}

// conversation is one program as its caller sees it.
type conversation struct {
	program  string
	step     int
	messages []provider.ChatMessage
}

// say runs the next turn and reports whether it is done. The engine's answer starts
// with a digest of the whole history, so a lost or foreign turn shows.
func (b *bed) say(url string, c *conversation, content string) (bool, string) {
	b.t.Helper()
	message := provider.ChatMessage{Role: "user", Content: content}
	body, err := json.Marshal(map[string]any{
		"model": "drafter", "max_tokens": 30, "append": true, "messages": []provider.ChatMessage{message},
	})
	if err != nil {
		b.t.Fatal(err)
	}
	headers := []string{server.HeaderStep, fmt.Sprint(c.step + 1)}
	if c.program != "" {
		headers = append(headers, server.HeaderProgram, c.program)
	}
	response, text := b.post(url+"/v1/chat/completions", string(body), headers...)
	if c.program == "" {
		c.program = response.Header.Get(server.HeaderProgram)
	}
	if response.StatusCode != http.StatusOK {
		return false, text
	}
	var answer struct {
		Choices []struct{ Message provider.ChatMessage }
	}
	if err := json.Unmarshal([]byte(text), &answer); err != nil || len(answer.Choices) != 1 {
		b.t.Fatalf("%v: %s", err, text)
	}
	got := answer.Choices[0].Message
	if want := emulator.ResponseDigest(append(c.messages, message)); !strings.HasPrefix(got.Content, want) {
		b.t.Errorf("program %s step %d: the answer %.30q does not fit its history, want %s", c.program, c.step+1, got.Content, want)
	}
	c.messages = append(c.messages, message, got)
	c.step++
	return true, ""
}

// sayWithin repeats a turn until it is done and returns how long that took.
func (b *bed) sayWithin(limit time.Duration, url string, c *conversation, content string) time.Duration {
	b.t.Helper()
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		done, text := b.say(url, c, content)
		if done {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			b.t.Fatalf("program %s step %d is not done after %v: %s", c.program, c.step+1, limit, text)
		}
	}
}

// ownerOf returns the daemon that serves the program's shard.
func ownerOf(t *testing.T, program string, daemons map[string]*Daemon) string {
	t.Helper()
	for host, d := range daemons {
		if owner, _, known := d.owner.Owner(sequencer.ShardOf(program, d.settings.ShardsPerDomain)); known && owner == host {
			return host
		}
	}
	t.Fatalf("no daemon owns the shard of %s", program)
	return ""
}

// Guards against programs that are lost, or stay away, when the host of their owner
// fails without any farewell, once and then again.
func TestProgramsContinueAfterACrash(t *testing.T) {
	b := newBed(t)
	b.timing = shortLease
	daemons, urls := map[string]*Daemon{}, map[string]string{}
	for _, host := range []string{"ams-1", "ams-2", "ams-3"} {
		daemons[host], urls[host] = b.start(host)
	}
	conversations := make([]conversation, 6)
	for i := range conversations {
		b.sayWithin(10*time.Second, urls["ams-3"], &conversations[i], fmt.Sprintf("Quote for shoot %d.", i))
	}
	for range 2 {
		victim := ownerOf(t, conversations[0].program, daemons)
		daemons[victim].Kill()
		delete(daemons, victim)
		entry := slices.Sorted(maps.Keys(daemons))[0]
		var longest time.Duration
		for i := range conversations {
			longest = max(longest, b.sayWithin(10*time.Second, urls[entry], &conversations[i], fmt.Sprintf("And prints for %d?", i)))
		}
		t.Logf("after the crash of %s the slowest program continued at %s after %v", victim, entry, longest)
	}
}

// Guards against programs that are lost when all daemons stop at the same time: nothing
// acknowledged may exist only in their memory.
func TestProgramsSurviveARestartOfAllDaemons(t *testing.T) {
	tests := []struct {
		name string
		stop func(t *testing.T, d *Daemon)
	}{
		{"shutdown", func(t *testing.T, d *Daemon) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			if err := d.Shutdown(ctx); err != nil {
				t.Error(err)
			}
		}},
		{"crash", func(_ *testing.T, d *Daemon) { d.Kill() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBed(t)
			b.timing = shortLease
			first, url := b.start("ams-1")
			conversations := make([]conversation, 3)
			for i := range conversations {
				b.sayWithin(10*time.Second, url, &conversations[i], "Quote for the harbour shoot.")
			}
			test.stop(t, first)
			_, url = b.start("ams-1")
			for i := range conversations {
				took := b.sayWithin(10*time.Second, url, &conversations[i], "Add a print?")
				t.Logf("continued after %v", took)
			}
		})
	}
}

// gate holds a host's requests to the store back while it is closed, as if the
// process were paused, and lets them through late.
type gate struct {
	provider.TableStore
	mu     sync.Mutex
	closed chan struct{}
	late   []provider.Kind
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.closed)
	g.closed = nil
}

func (g *gate) pass() bool {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
	return closed != nil
}

// Commit sends the transaction when the gate is open, even after its caller has given
// up.
func (g *gate) Commit(ctx context.Context, transaction provider.Transaction) (provider.CommitResult, error) {
	late := g.pass()
	result, err := g.TableStore.Commit(context.WithoutCancel(ctx), transaction)
	if late && transaction.Writes[0].Table == committer.TableLeases {
		g.mu.Lock()
		g.late = append(g.late, provider.KindOf(err))
		g.mu.Unlock()
	}
	return result, err
}

// Read reads a row when the gate is open.
func (g *gate) Read(ctx context.Context, table, key string) (provider.Row, error) {
	g.pass()
	return g.TableStore.Read(ctx, table, key)
}

// Guards against a holder that was held up past its lease and then still writes or
// answers as owner, and against programs that are lost or forked by it.
func TestHolderHeldUpPastItsLease(t *testing.T) {
	b := newBed(t)
	b.timing = shortLease
	gates := map[string]*gate{}
	b.wrap = func(host string, tables provider.TableStore) provider.TableStore {
		gates[host] = &gate{TableStore: tables}
		return gates[host]
	}
	daemons, urls := map[string]*Daemon{}, map[string]string{}
	for _, host := range []string{"ams-1", "ams-2", "ams-3"} {
		daemons[host], urls[host] = b.start(host)
	}
	var c conversation
	b.sayWithin(10*time.Second, urls["ams-1"], &c, "Quote for the harbour shoot.")
	held := ownerOf(t, c.program, daemons)
	gates[held].close()
	// This turn reaches the held daemon: it must not be done there.
	forked := conversation{program: c.program, step: c.step, messages: c.messages}
	if done, _ := b.say(urls[held], &forked, "Add a print?"); done {
		t.Error("a turn was reported as done although its records were not durable")
	}
	time.Sleep(3 * time.Second)
	if daemons[held].owner.LeaseValid() {
		t.Error("the lease of the held daemon is still valid")
	}
	gates[held].open()
	took := b.sayWithin(15*time.Second, urls["ams-2"], &c, "Add an album?")
	t.Logf("the program continued %v after %s was released", took, held)
	for _, host := range []string{held, "ams-3"} {
		b.sayWithin(10*time.Second, urls[host], &c, "Thank you, "+host)
	}
	gates[held].mu.Lock()
	defer gates[held].mu.Unlock()
	if len(gates[held].late) == 0 || gates[held].late[0] != provider.KindConflict {
		t.Errorf("late writes of the fenced holder: %v, want conflict", gates[held].late)
	}
}
