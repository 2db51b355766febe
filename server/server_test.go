package server

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

// fakeCore answers every call with answer after the events.
type fakeCore struct {
	calls    []Call
	events   []Chunk
	pause    time.Duration
	answer   Response
	client   string
	proposal publisher.Proposal
	conflict int
}

func (f *fakeCore) RunCall(_ context.Context, call Call, emit func(Chunk)) Response {
	f.calls = append(f.calls, call)
	for _, event := range f.events {
		emit(event)
	}
	time.Sleep(f.pause)
	return f.answer
}

func (f *fakeCore) Program(_ context.Context, client, id string) (ProgramInfo, Response) {
	f.client = client
	if client != "" && client != "members" {
		return ProgramInfo{}, Response{Code: CodeNotFound}
	}
	return ProgramInfo{Program: id, Client: "members"}, Response{}
}

func (f *fakeCore) EndProgram(ctx context.Context, client, id string) (ProgramInfo, Response) {
	return f.Program(ctx, client, id)
}
func (f *fakeCore) Status() Status                                        { return Status{Host: "h"} }
func (f *fakeCore) Hosts() []HostInfo                                     { return nil }
func (f *fakeCore) Targets(string) []TargetInfo                           { return nil }
func (f *fakeCore) Services(context.Context) []ServiceInfo                { return nil }
func (f *fakeCore) Programs(context.Context, ProgramFilter) []ProgramInfo { return nil }
func (f *fakeCore) ConfigDocument(context.Context, int) (encoder.Document, error) {
	return encoder.Document{Version: 4}, nil
}

func (f *fakeCore) Publish(_ context.Context, proposal publisher.Proposal) (int, error) {
	f.proposal = proposal
	if f.conflict > 0 {
		f.conflict--
		return 0, publisher.NewError("publish", publisher.KindConflict, nil, &encoder.AuditRecord{Operator: "other"})
	}
	return 5, nil
}

func (f *fakeCore) AuditRecords(context.Context, int, int) ([]encoder.AuditRecord, error) {
	return nil, nil
}

func testKey(client, role, key string) parser.Key {
	sum := sha256.Sum256([]byte(key))
	return parser.Key{Client: client, Role: role, SHA256: hex.EncodeToString(sum[:])}
}

func newTestServer(core Daemon) *Server {
	return New(core, NewKeyring([]parser.Key{
		testKey("members", parser.RoleCaller, "member"), testKey("anna", parser.RoleOperator, "operator"),
		testKey("agency", parser.RoleCaller, "agency"),
	}), zap.NewNop())
}

func do(t *testing.T, s *Server, key, method, path, body string, headers map[string]string) (*http.Response, string) {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := s.app.Test(request, -1)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(data)
}

const chatBodyText = `{"model":"drafter/draft-7b","messages":[{"role":"user","content":"hi"}]}`

// Guards against requests that reach the core although they should be refused, and
// against refusals without the promised error body.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name, key, method, path, body string
		headers                       map[string]string
		status                        int
		code                          string
	}{
		{"no key", "", "POST", "/v1/chat/completions", chatBodyText, nil, 401, CodeUnauthorized},
		{"wrong key", "x", "POST", "/v1/chat/completions", chatBodyText, nil, 401, CodeUnauthorized},
		{"operator calls", "operator", "POST", "/v1/chat/completions", chatBodyText, nil, 403, CodeForbidden},
		{"caller operates", "member", "GET", "/admin/v1/status", "", nil, 403, CodeForbidden},
		{"not JSON", "member", "POST", "/v1/chat/completions", "{", nil, 400, CodeInvalidRequest},
		{"no messages", "member", "POST", "/v1/chat/completions", `{"model":"a"}`, nil, 400, CodeInvalidRequest},
		{"unknown role", "member", "POST", "/v1/chat/completions", `{"model":"a","messages":[{"role":"root","content":""}]}`, nil, 400, CodeInvalidRequest},
		{"step zero", "member", "POST", "/v1/chat/completions", chatBodyText, map[string]string{HeaderStep: "0"}, 400, CodeInvalidRequest},
		{"program with slash", "member", "POST", "/v1/chat/completions", chatBodyText, map[string]string{HeaderProgram: "../x"}, 400, CodeInvalidRequest},
		{"cost not a number", "member", "POST", "/v1/chat/completions", chatBodyText, map[string]string{HeaderBudgetCost: "NaN"}, 400, CodeInvalidRequest},
		{"long key", "member", "POST", "/v1/services/ledger/x", "", map[string]string{HeaderIdempotencyKey: strings.Repeat("k", 257)}, 400, CodeInvalidRequest},
		{"no such path", "member", "GET", "/v2", "", nil, 404, CodeNotFound},
		{"unknown action", "operator", "POST", "/admin/v1/config", `{"action":"delete"}`, nil, 400, CodeInvalidRequest},
		{"other client's program", "agency", "GET", "/v1/programs/nl-ams-1", "", nil, 404, CodeNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			core := &fakeCore{answer: Response{Outcome: OutcomeDone}}
			response, text := do(t, newTestServer(core), test.key, test.method, test.path, test.body, test.headers)
			var body errorBody
			if err := json.Unmarshal([]byte(text), &body); err != nil {
				t.Fatalf("%v: %s", err, text)
			}
			got := []any{response.StatusCode, body.Error.Code, body.Error.Outcome, len(core.calls)}
			if diff := cmp.Diff([]any{test.status, test.code, OutcomeNotRun, 0}, got); diff != "" {
				t.Errorf("status, code, outcome, calls (-want +got):\n%s%s", diff, text)
			}
		})
	}
}

// Guards against headers that are lost between the caller and the core.
func TestCallHeaders(t *testing.T) {
	core := &fakeCore{answer: Response{Outcome: OutcomeDone, Program: "nl-ams-1", Step: 3, Text: "yes"}}
	response, _ := do(t, newTestServer(core), "member", "POST", "/v1/chat/completions", chatBodyText, map[string]string{
		HeaderProgram: "nl-ams-1", HeaderStep: "3", HeaderIdempotencyKey: "k", HeaderDeadline: "900", HeaderBudgetTokens: "10",
		HeaderBudgetCost: "1.5", HeaderBudgetTurns: "2", HeaderEndProgram: "true",
	})
	want := Call{
		Client: "members", Service: "drafter", Model: "draft-7b", Kind: KindModel, Program: "nl-ams-1", Step: 3, IdempotencyKey: "k",
		RemainingMs: 900, Budget: Budget{Tokens: 10, Cost: 1.5, Turns: 2}, EndProgram: true, BodyBytes: len(chatBodyText),
		Messages: []provider.ChatMessage{{Role: "user", Content: "hi"}}, ID: core.calls[0].ID,
	}
	if diff := cmp.Diff([]Call{want}, core.calls); diff != "" {
		t.Errorf("call (-want +got):\n%s", diff)
	}
	got := []string{response.Header.Get(HeaderProgram), response.Header.Get(HeaderStep), response.Header.Get(HeaderOutcome), response.Header.Get(HeaderCallID)}
	if diff := cmp.Diff([]string{"nl-ams-1", "3", OutcomeDone, core.calls[0].ID}, got); diff != "" {
		t.Errorf("headers (-want +got):\n%s", diff)
	}
}

// Guards against streams that end without their outcome, against silent streams
// without heartbeats and against refusals that come with status 200.
func TestStreams(t *testing.T) {
	tests := []struct {
		name     string
		core     fakeCore
		status   int
		contains []string
	}{
		{"done", fakeCore{events: []Chunk{{Program: "nl-ams-1"}, {Text: "a\nb"}}, answer: Response{Outcome: OutcomeDone, Program: "nl-ams-1", Step: 1}},
			200, []string{`"content":"a\nb"`, `"outcome":"done"`, "data: [DONE]\n\n"}},
		{"refused", fakeCore{answer: Response{Outcome: OutcomeNotRun, Code: CodeOverloaded, RetryAfterMs: 1500}},
			429, []string{`"retryAfterMs":1500`}},
		{"slow", fakeCore{pause: 30 * time.Millisecond, answer: Response{Outcome: OutcomeUnknown, Code: "notDurable"}},
			200, []string{": heartbeat\n\n", `"outcome":"unknown"`, `"code":"notDurable"`, "data: [DONE]\n\n"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(&test.core)
			s.heartbeat = 10 * time.Millisecond
			response, text := do(t, s, "member", "POST", "/v1/chat/completions",
				`{"model":"drafter","stream":true,"messages":[{"role":"user","content":"hi"}]}`, nil)
			if response.StatusCode != test.status {
				t.Errorf("status %d, want %d", response.StatusCode, test.status)
			}
			for _, part := range test.contains {
				if !strings.Contains(text, part) {
					t.Errorf("missing %q in:\n%s", part, text)
				}
			}
		})
	}
}

// Guards against an operator who is named by the request and not by the key, and
// against drains that a lost race loses.
func TestDrain(t *testing.T) {
	core := &fakeCore{conflict: 2}
	response, text := do(t, newTestServer(core), "operator", "POST", "/admin/v1/drain", `{"host":"drafter-3","reason":"fan"}`, nil)
	if response.StatusCode != 200 || text != `{"version":5}` {
		t.Fatalf("status %d: %s", response.StatusCode, text)
	}
	got := []any{core.proposal.Operator, core.proposal.Action, core.proposal.From, publisher.Drained(core.proposal.Document)}
	if diff := cmp.Diff([]any{"anna", "drain", 4, []string{"drafter-3"}}, got); diff != "" {
		t.Errorf("proposal (-want +got):\n%s", diff)
	}
	core.conflict = maxDrainTries
	response, text = do(t, newTestServer(core), "operator", "POST", "/admin/v1/drain", `{"host":"drafter-3"}`, nil)
	if response.StatusCode != 409 || !strings.Contains(text, `"operator":"other"`) {
		t.Errorf("status %d: %s; want 409 with the winner", response.StatusCode, text)
	}
}

// Guards against a body over the limit that is read into memory or that ends the
// connection without an answer.
func TestBodyTooLarge(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	core := &fakeCore{}
	s := newTestServer(core)
	var group conc.WaitGroup
	group.Go(func() { _ = s.Serve(listener) })
	defer group.Wait()
	defer listener.CloseAll()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	// The answer comes although the body is never sent.
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer member\r\nContent-Length: %d\r\n\r\n", maxBodyBytes+1)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusRequestEntityTooLarge || len(core.calls) != 0 {
		t.Errorf("status %d after %d calls, want 413 after none", response.StatusCode, len(core.calls))
	}
}
