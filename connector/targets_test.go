package connector

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

func serve(t *testing.T, app *fiber.App, closeServer func()) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() { _ = app.Listener(listener) })
	t.Cleanup(func() {
		closeServer()
		_ = app.ShutdownWithTimeout(time.Second)
		group.Wait()
	})
	return listener.Addr().String()
}

func generateRequest(attemptID string, skip int) provider.GenerateRequest {
	return provider.GenerateRequest{
		AttemptID: attemptID, Program: "p", Model: "m", MaxTokens: 30, PromptTokens: 10, SkipTokens: skip, Seed: 7,
		Messages: []provider.ChatMessage{{Role: "user", Content: "hi"}},
	}
}

// Guards against treating a broken stream as complete, against a rejection with an unknown
// outcome, and against waiting forever for an engine that hangs.
func TestGenerateOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		faults emulator.EngineFaults
		want   provider.Kind
	}{
		{"complete", emulator.EngineFaults{}, provider.KindNone},
		{"rejected", emulator.EngineFaults{RejectCalls: true}, provider.KindRefused},
		{"leaving", emulator.EngineFaults{Leaving: true}, provider.KindRefused},
		{"broken", emulator.EngineFaults{BreakAfter: 3}, provider.KindUnknown},
		{"hung", emulator.EngineFaults{Hang: true}, provider.KindUnknown},
		{"dead", emulator.EngineFaults{Dead: true}, provider.KindUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := emulator.NewEngine(emulator.EngineOptions{Name: "e", Models: []string{"m"}})
			address := serve(t, engine.Handler(), engine.Close)
			engine.SetFaults(test.faults)
			client := NewClient(Options{StallTimeout: 300 * time.Millisecond})
			defer client.Close()
			err := NewEngine(client, address).Generate(t.Context(), generateRequest("c", 0), func(provider.Chunk) error { return nil })
			if diff := cmp.Diff(test.want, provider.KindOf(err)); diff != "" {
				t.Errorf("kind (-want +got):\n%s%v", diff, err)
			}
		})
	}
	client := NewClient(Options{})
	defer client.Close()
	err := NewEngine(client, "127.0.0.1:1").Generate(t.Context(), generateRequest("c", 0), func(provider.Chunk) error { return nil })
	if provider.KindOf(err) != provider.KindUnavailable {
		t.Errorf("no listener: %v, want unavailable", err)
	}
}

// Guards against a gap or a repetition in a resumed stream.
func TestResume(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{Name: "e", Models: []string{"m"}})
	address := serve(t, engine.Handler(), engine.Close)
	client := NewClient(Options{})
	defer client.Close()
	text := func(attemptID string, skip int) string {
		var out strings.Builder
		err := NewEngine(client, address).Generate(t.Context(), generateRequest(attemptID, skip), func(c provider.Chunk) error {
			out.WriteString(c.Text)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	whole := text("a", 0)
	words := strings.SplitAfter(whole, " ")
	rest := text("b", 5)
	if want := " " + strings.Join(words[5:], ""); rest != want {
		t.Errorf("resumed after 5 tokens: %q, want %q", rest, want)
	}
}

// Guards against sending a request twice, which net/http does for some requests with an
// Idempotency-Key, and against reporting an unknown outcome as "not run".
func TestInvokeOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		faults emulator.ServiceFaults
		want   provider.Kind
		runs   int
	}{
		{"done", emulator.ServiceFaults{}, provider.KindNone, 1},
		{"rejected", emulator.ServiceFaults{RejectCalls: true}, provider.KindRefused, 0},
		{"response dropped", emulator.ServiceFaults{DropResponse: true}, provider.KindUnknown, 1},
		{"hung", emulator.ServiceFaults{Hang: true}, provider.KindUnknown, 1},
		{"stalled", emulator.ServiceFaults{Stall: true}, provider.KindUnknown, 0},
		{"dead", emulator.ServiceFaults{Dead: true}, provider.KindUnknown, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := emulator.NewLedger()
			service := emulator.NewService(emulator.ServiceOptions{Name: "s", LookupByKey: true}, ledger)
			address := serve(t, service.Handler(), service.Close)
			client := NewClient(Options{})
			defer client.Close()
			target := NewService(client, address)
			// The second request uses a connection that is already open.
			_, err := target.Invoke(t.Context(), provider.InvokeRequest{AttemptID: "warm", Method: "GET", Path: "/x"})
			if err != nil {
				t.Fatal(err)
			}
			service.SetFaults(test.faults)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err = target.Invoke(ctx, provider.InvokeRequest{AttemptID: "c", IdempotencyKey: "k", Method: "POST", Path: "/x"})
			got := []any{provider.KindOf(err), ledger.Runs()["k"]}
			if diff := cmp.Diff([]any{test.want, test.runs}, got); diff != "" {
				t.Errorf("kind and runs (-want +got):\n%s%v", diff, err)
			}
			service.SetFaults(emulator.ServiceFaults{})
			_, err = target.Lookup(t.Context(), "k")
			if found := err == nil; found != (test.runs == 1) {
				t.Errorf("lookup: %v after %d runs", err, test.runs)
			}
		})
	}
}
