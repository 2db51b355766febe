package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// breakingEngine breaks each of the first streams after some tokens more than the
// one before.
type breakingEngine struct {
	provider.Engine
	breaks  int64
	streams atomic.Int64
	skips   chan int
}

func (e *breakingEngine) Generate(ctx context.Context, request provider.GenerateRequest, emit func(provider.Chunk) error) error {
	n := e.streams.Add(1)
	e.skips <- request.SkipTokens
	return e.Engine.Generate(ctx, request, func(chunk provider.Chunk) error {
		if n <= e.breaks && chunk.Sequence >= int(5*n) {
			return provider.NewError("engine.generate", provider.KindUnknown, eris.New("broken by the test"))
		}
		return emit(chunk)
	})
}

// Guards against a stream with a gap or a repeat after an engine has failed, and
// against a recorded answer that differs from what was streamed.
func TestStreamResumesAtAnotherAttempt(t *testing.T) {
	b := newBed(t)
	engine := &breakingEngine{Engine: b.engine, breaks: 2, skips: make(chan int, 8)}
	b.target = engine
	_, url := b.start("ams-1")
	body := `{"model":"drafter","max_tokens":40,"stream":true,"messages":[{"role":"user","content":"go on"}]}`
	response, events := b.post(url+"/v1/chat/completions", body, server.HeaderIdempotencyKey, "start")
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d: %s", response.StatusCode, events)
	}
	streamed := streamText(t, events)
	want := emulator.ResponseDigest([]provider.ChatMessage{{Role: "user", Content: "go on"}})
	if words := strings.Fields(streamed); len(words) < 20 || words[0] != want {
		t.Errorf("streamed %q, want at least 20 words that start with %s", streamed, want)
	}
	close(engine.skips)
	var skips []int
	for skip := range engine.skips {
		skips = append(skips, skip)
	}
	if diff := cmp.Diff([]int{0, 5, 10}, skips); diff != "" {
		t.Errorf("tokens skipped by each attempt (-want +got):\n%s", diff)
	}
	// The same step again returns what is recorded.
	response, text := b.post(url+"/v1/chat/completions", strings.Replace(body, "true", "false", 1), server.HeaderIdempotencyKey, "start",
		server.HeaderProgram, response.Header.Get(server.HeaderProgram), server.HeaderStep, strconv.Itoa(1))
	var c struct {
		Choices []struct{ Message provider.ChatMessage }
	}
	if err := json.Unmarshal([]byte(text), &c); err != nil || len(c.Choices) != 1 {
		t.Fatalf("status %d: %s", response.StatusCode, text)
	}
	if diff := cmp.Diff(streamed, c.Choices[0].Message.Content); diff != "" {
		t.Errorf("recorded answer (-streamed +recorded):\n%s", diff)
	}
}

// Guards against answers that a relay repeats, shortens or mixes when a stream
// begins anew at another owner.
func TestRelay(t *testing.T) {
	tests := []struct {
		name   string
		pieces [][]string
		answer string
		want   string
		code   string
	}{
		{"one stream", [][]string{{"a", "bc"}}, "abc", "abc", ""},
		{"again in other pieces", [][]string{{"ab"}, {"a", "bcd"}}, "abcd", "abcd", ""},
		{"shorter the second time", [][]string{{"abc"}, {"a"}}, "abcd", "abcd", ""},
		{"nothing streamed", nil, "abc", "abc", ""},
		{"differs", [][]string{{"ab"}, {"ax"}}, "axy", "ab", codeStreamDiverged},
		{"recorded differs", [][]string{{"ab"}}, "xyz", "ab", codeStreamDiverged},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			r := &relay{emit: func(e server.Chunk) { out.WriteString(e.Text) }}
			for _, pieces := range test.pieces {
				r.restart()
				for _, piece := range pieces {
					r.add(server.Chunk{Text: piece})
				}
			}
			answer := r.finish(server.Response{Outcome: server.OutcomeDone, Text: test.answer})
			if diff := cmp.Diff([]string{test.want, test.code}, []string{out.String(), answer.Code}); diff != "" {
				t.Errorf("text and code (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against equal hashes for different prompts and different ones for equal
// prefixes.
func TestBlockChain(t *testing.T) {
	history := []provider.ChatMessage{{Role: "user", Content: strings.Repeat("words ", 200)}}
	longer := append(append([]provider.ChatMessage(nil), history...), provider.ChatMessage{Role: "assistant", Content: strings.Repeat("x", 600)})
	short, long := blockChain("m", "", history), blockChain("m", "", longer)
	if diff := cmp.Diff(short, long[:len(short)]); diff != "" || len(long) <= len(short) {
		t.Errorf("the longer prompt does not extend the shorter one (-short +long):\n%s", diff)
	}
	other := blockChain("m", "adapter", history)
	if other[0] == short[0] {
		t.Error("prompts for another adapter have the same hash")
	}
}
