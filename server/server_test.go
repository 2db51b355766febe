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

// fakeDaemon emits chunks for every call and returns finalResponse after delay. Its
// next conflicts publications fail with a conflict.
type fakeDaemon struct {
	calls         []Call
	chunks        []Chunk
	delay         time.Duration
	finalResponse Response
	client        string
	proposal      publisher.Proposal
	conflicts     int
}

func (f *fakeDaemon) RunCall(_ context.Context, call Call, emit func(Chunk)) Response {
	f.calls = append(f.calls, call)
	for _, chunk := range f.chunks {
		emit(chunk)
	}
	time.Sleep(f.delay)
	return f.finalResponse
}

func (f *fakeDaemon) Program(_ context.Context, client, id string) (ProgramInfo, Response) {
	f.client = client
	if client != "" && client != "members" {
		return ProgramInfo{}, Response{Code: CodeNotFound}
	}
	return ProgramInfo{Program: id, Client: "members"}, Response{}
}

func (f *fakeDaemon) EndProgram(ctx context.Context, client, id string) (ProgramInfo, Response) {
	return f.Program(ctx, client, id)
}
func (f *fakeDaemon) Status() Status                                        { return Status{Host: "h"} }
func (f *fakeDaemon) Hosts() []HostInfo                                     { return nil }
func (f *fakeDaemon) Targets(string) []TargetInfo                           { return nil }
func (f *fakeDaemon) Services(context.Context) []ServiceInfo                { return nil }
func (f *fakeDaemon) Programs(context.Context, ProgramFilter) []ProgramInfo { return nil }
func (f *fakeDaemon) ConfigDocument(context.Context, int) (encoder.Document, error) {
	return encoder.Document{Version: 4}, nil
}

func (f *fakeDaemon) Publish(_ context.Context, proposal publisher.Proposal) (int, error) {
	f.proposal = proposal
	if f.conflicts > 0 {
		f.conflicts--
		return 0, publisher.NewError("publish", publisher.KindConflict, nil, &encoder.AuditRecord{Operator: "other"})
	}
	return 5, nil
}

func (f *fakeDaemon) AuditRecords(context.Context, int, int) ([]encoder.AuditRecord, error) {
	return nil, nil
}

func testKey(client, role, key string) parser.Key {
	sum := sha256.Sum256([]byte(key))
	return parser.Key{Client: client, Role: role, SHA256: hex.EncodeToString(sum[:])}
}

func newTestServer(daemon Daemon) *Server {
	return New(daemon, NewKeyring([]parser.Key{
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

// Guards against requests that reach the daemon although they should be rejected, and
// against rejections without an error body.
func TestRejectedRequests(t *testing.T) {
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
			daemon := &fakeDaemon{finalResponse: Response{Outcome: OutcomeDone}}
			response, text := do(t, newTestServer(daemon), test.key, test.method, test.path, test.body, test.headers)
			var body errorBody
			if err := json.Unmarshal([]byte(text), &body); err != nil {
				t.Fatalf("%v: %s", err, text)
			}
			got := []any{response.StatusCode, body.Error.Code, body.Error.Outcome, len(daemon.calls)}
			if diff := cmp.Diff([]any{test.status, test.code, OutcomeNotRun, 0}, got); diff != "" {
				t.Errorf("status, code, outcome, calls (-want +got):\n%s%s", diff, text)
			}
		})
	}
}

// Guards against an error that names another field than the one with the invalid value.
func TestErrorNamesField(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	tests := []struct {
		name, key, path, body string
		headers               map[string]string
		field                 string
	}{
		{"program", "member", "/v1/chat/completions", chatBodyText, map[string]string{HeaderProgram: "../x"}, HeaderProgram},
		{"parent", "member", "/v1/chat/completions", chatBodyText, map[string]string{HeaderParentProgram: "../x"}, HeaderParentProgram},
		{"model", "member", "/v1/chat/completions", `{"model":"` + long + `","messages":[{"role":"user"}]}`, nil, "model"},
		{"adapter", "member", "/v1/chat/completions", `{"model":"a","adapter":"` + long + `","messages":[{"role":"user"}]}`, nil, "adapter"},
		{"host", "operator", "/admin/v1/drain", `{"host":"../x"}`, nil, "host"},
		{"reason", "operator", "/admin/v1/drain", `{"host":"a","reason":"` + strings.Repeat("x", maxReasonBytes+1) + `"}`, nil, "reason"},
		{"reason of another type", "operator", "/admin/v1/drain", `{"host":"a","reason":1}`, nil, "reason"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, text := do(t, newTestServer(&fakeDaemon{}), test.key, "POST", test.path, test.body, test.headers)
			var body errorBody
			if err := json.Unmarshal([]byte(text), &body); err != nil {
				t.Fatalf("%v: %s", err, text)
			}
			if field := fmt.Sprintf("%q", test.field); !strings.Contains(body.Error.Message, field) && !strings.Contains(body.Error.Message, "drainBody."+test.field) {
				t.Errorf("message %q does not name the field %s", body.Error.Message, field)
			}
		})
	}
}

// Guards against headers that are lost between the caller and the daemon.
func TestCallHeaders(t *testing.T) {
	daemon := &fakeDaemon{finalResponse: Response{Outcome: OutcomeDone, Program: "nl-ams-1", Step: 3, Text: "yes"}}
	response, _ := do(t, newTestServer(daemon), "member", "POST", "/v1/chat/completions", chatBodyText, map[string]string{
		HeaderProgram: "nl-ams-1", HeaderStep: "3", HeaderIdempotencyKey: "k", HeaderDeadline: "900", HeaderBudgetTokens: "10",
		HeaderBudgetCost: "1.5", HeaderBudgetTurns: "2", HeaderEndProgram: "true",
	})
	want := Call{
		Client: "members", Service: "drafter", Model: "draft-7b", Kind: KindModel, Program: "nl-ams-1", Step: 3, IdempotencyKey: "k",
		RemainingMs: 900, Budget: Budget{Tokens: 10, Cost: 1.5, Turns: 2}, EndProgram: true, BodyBytes: len(chatBodyText),
		Messages: []provider.ChatMessage{{Role: "user", Content: "hi"}}, ID: daemon.calls[0].ID,
	}
	if diff := cmp.Diff([]Call{want}, daemon.calls); diff != "" {
		t.Errorf("call (-want +got):\n%s", diff)
	}
	got := []string{response.Header.Get(HeaderProgram), response.Header.Get(HeaderStep), response.Header.Get(HeaderOutcome), response.Header.Get(HeaderCallID)}
	if diff := cmp.Diff([]string{"nl-ams-1", "3", OutcomeDone, daemon.calls[0].ID}, got); diff != "" {
		t.Errorf("headers (-want +got):\n%s", diff)
	}
}

// Guards against streams that end without an outcome, idle streams without
// heartbeats, and rejections with status 200.
func TestStreams(t *testing.T) {
	tests := []struct {
		name     string
		daemon   fakeDaemon
		status   int
		contains []string
	}{
		{"done", fakeDaemon{chunks: []Chunk{{Program: "nl-ams-1"}, {Text: "a\nb"}}, finalResponse: Response{Outcome: OutcomeDone, Program: "nl-ams-1", Step: 1}},
			200, []string{`"content":"a\nb"`, `"outcome":"done"`, "data: [DONE]\n\n"}},
		{"rejected", fakeDaemon{finalResponse: Response{Outcome: OutcomeNotRun, Code: CodeOverloaded, RetryAfterMs: 1500}},
			429, []string{`"retryAfterMs":1500`}},
		{"slow", fakeDaemon{delay: 30 * time.Millisecond, finalResponse: Response{Outcome: OutcomeUnknown, Code: "notDurable"}},
			200, []string{": heartbeat\n\n", `"outcome":"unknown"`, `"code":"notDurable"`, "data: [DONE]\n\n"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(&test.daemon)
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

// Guards against taking the operator's name from the request instead of the key, and
// against losing a drain because of a concurrent change.
func TestDrain(t *testing.T) {
	daemon := &fakeDaemon{conflicts: 2}
	response, text := do(t, newTestServer(daemon), "operator", "POST", "/admin/v1/drain", `{"host":"drafter-3","reason":"fan"}`, nil)
	if response.StatusCode != 200 || text != `{"version":5}` {
		t.Fatalf("status %d: %s", response.StatusCode, text)
	}
	got := []any{daemon.proposal.Operator, daemon.proposal.Action, daemon.proposal.From, publisher.Drained(daemon.proposal.Document)}
	if diff := cmp.Diff([]any{"anna", "drain", 4, []string{"drafter-3"}}, got); diff != "" {
		t.Errorf("proposal (-want +got):\n%s", diff)
	}
	daemon.conflicts = maxDrainAttempts
	response, text = do(t, newTestServer(daemon), "operator", "POST", "/admin/v1/drain", `{"host":"drafter-3"}`, nil)
	if response.StatusCode != 409 || !strings.Contains(text, `"operator":"other"`) {
		t.Errorf("status %d: %s; want 409 with the audit record of the conflicting change", response.StatusCode, text)
	}
}

// Guards against reading a body over the limit into memory, and against closing the
// connection without a response.
func TestBodyTooLarge(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	daemon := &fakeDaemon{}
	s := newTestServer(daemon)
	var group conc.WaitGroup
	group.Go(func() { _ = s.Serve(listener) })
	defer group.Wait()
	defer listener.CloseAll()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	// The server responds although the body is never sent.
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer member\r\nContent-Length: %d\r\n\r\n", maxBodyBytes+1)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusRequestEntityTooLarge || len(daemon.calls) != 0 {
		t.Errorf("status %d after %d calls, want 413 after none", response.StatusCode, len(daemon.calls))
	}
}
