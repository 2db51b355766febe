package commander

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// fakeDaemon serves the operators' interface over a table service in memory.
type fakeDaemon struct {
	store    *publisher.Store
	programs int
	posts    int
}

func newFakeDaemon(t *testing.T) (*fakeDaemon, string) {
	t.Helper()
	tables := emulator.NewTableStore(emulator.TableStoreOptions{}, emulator.NewFaults(1)).ForCaller("test")
	d := &fakeDaemon{store: publisher.New(tables, wallClock{})}
	server := httptest.NewServer(d)
	t.Cleanup(server.Close)
	return d, server.URL
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	respond := func(value any, err error) {
		if err != nil {
			w.WriteHeader(http.StatusConflict)
			value = map[string]any{"error": map[string]any{"code": publisher.KindOf(err).String(), "message": err.Error(), "outcome": "notRun"}}
		}
		json.NewEncoder(w).Encode(value)
	}
	switch path := strings.TrimPrefix(r.URL.Path, adminPath); {
	case path == "config" && r.Method == http.MethodPost:
		d.posts++
		var proposal publisher.Proposal
		if err := json.NewDecoder(r.Body).Decode(&proposal); err != nil {
			respond(nil, err)
			return
		}
		version, err := d.store.Publish(r.Context(), proposal)
		respond(map[string]int{"version": version}, err)
	case path == "config":
		respond(d.store.Document(r.Context()))
	case path == "config/0":
		respond(d.store.DocumentAt(r.Context(), 0))
	case path == "audit":
		respond(d.store.AuditRecords(r.Context(), 0, 100))
	case path == "services":
		respond([]map[string]any{{"name": "a", "programs": d.programs}}, nil)
	case path == "status":
		respond(map[string]any{"host": "h1", "configVersion": 1}, nil)
	default:
		w.WriteHeader(http.StatusNotFound)
		w.Write([]byte(`{"error":{"code":"notFound","message":"no such program","outcome":"notRun"}}`))
	}
}

func writeService(t *testing.T, name, content string) string {
	t.Helper()
	directory := filepath.Join(t.TempDir(), name)
	if err := os.MkdirAll(directory, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, "dogwoodweir.json"), []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
	return directory
}

// runTool runs the command line and returns the exit code and the combined output.
func runTool(t *testing.T, daemon string, arguments ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	environment := NewEnvironment(&out, &out, func(name string) string {
		return map[string]string{daemonVariable: daemon, keyVariable: "k"}[name]
	})
	code := Run(t.Context(), environment, append([]string{"dogwoodweir"}, arguments...))
	return code, out.String()
}

const serviceA = `{"name":"a","kind":"plain","workspace":"w","targets":{}}`

// Guards against exit codes that do not match the outcome, on which scripts rely.
func TestExitCodes(t *testing.T) {
	d, url := newFakeDaemon(t)
	valid := writeService(t, "a", serviceA)
	invalid := writeService(t, "b", `{"name":"a","kind":"plain","workspace":"w","targets":{},"limit":1}`)
	other := writeService(t, "c", `{"name":"c","kind":"plain","workspace":"w","targets":{}}`)
	tests := []struct {
		name      string
		daemon    string
		arguments []string
		programs  int
		want      int
		contains  string
	}{
		{"validate", "", []string{"validate", valid}, 0, 0, "plain"},
		{"validate names the field", "", []string{"validate", invalid}, 0, 5, `field "limit"`},
		{"no folder", "", []string{"validate"}, 0, 2, "folder"},
		{"no daemon", "", []string{"hosts"}, 0, 2, "DOGWOODWEIR_DAEMON"},
		{"unreachable", "http://127.0.0.1:1", []string{"hosts"}, 0, 4, "refused"},
		{"first daemon unreachable", "http://127.0.0.1:1," + url, []string{"services"}, 0, 0, "NAME"},
		{"dry run", url, []string{"publish", "-dry-run", valid}, 0, 0, "service/a"},
		{"publish", url, []string{"publish", "-wait", valid}, 0, 0, "version 1 is in force"},
		{"conflict", url, []string{"publish", "-from", "0", other}, 0, 3, "version 1 is in force and differs"},
		{"removed service has programs", url, []string{"publish", other}, 2, 1, "2 programs under way"},
		{"history", url, []string{"history"}, 0, 0, "publish"},
		{"audit", url, []string{"audit"}, 0, 0, "service/a"},
		{"diff", url, []string{"diff", "0"}, 0, 0, "added"},
		{"rollback", url, []string{"rollback", "0"}, 0, 0, "version 2 is in force"},
		{"no such program", url, []string{"programs", "show", "x"}, 0, 1, "no such program"},
		{"unknown command", url, []string{"explode"}, 0, 2, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d.programs = test.programs
			code, out := runTool(t, test.daemon, test.arguments...)
			if code != test.want || !strings.Contains(out, test.contains) {
				t.Errorf("exit code %d, want %d; output:\n%s\nwant in it: %s", code, test.want, out, test.contains)
			}
		})
	}
	if d.posts != 3 {
		t.Errorf("daemon got %d changes, want 3: dry runs and rejected changes must not be sent", d.posts)
	}
}

// Guards against a stream that ends early and is reported as a complete response.
func TestRunRequiresFinalEvent(t *testing.T) {
	delta := `data: {"choices":[{"delta":{"content":"hello"}}]}` + "\n\n"
	tests := []struct {
		name string
		body string
		want int
	}{
		{"complete", delta + `data: {"outcome":"done","choices":[]}` + "\n\ndata: [DONE]\n\n", 0},
		{"ended early", delta, 6},
		{"error event", delta + `data: {"error":{"code":"notDurable","message":"m","outcome":"unknown"}}` + "\n\n", 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Write([]byte(test.body))
			}))
			defer server.Close()
			if code, out := runTool(t, server.URL, "run", "-service", "a", "hi"); code != test.want {
				t.Errorf("exit code %d, want %d; output:\n%s", code, test.want, out)
			}
		})
	}
}

// Guards against text lines in the output of -json, which scripts then cannot parse.
func TestJSONOutput(t *testing.T) {
	_, url := newFakeDaemon(t)
	directory := writeService(t, "a", serviceA)
	if code, out := runTool(t, url, "publish", "-json", directory); code != 0 || !json.Valid([]byte(out)) {
		t.Errorf("exit code %d, output is not JSON:\n%s", code, out)
	}
	code, out := runTool(t, url, "audit", "-json")
	var records []encoder.AuditRecord
	if err := json.Unmarshal([]byte(out), &records); code != 0 || err != nil {
		t.Fatalf("exit code %d: %v\n%s", code, err, out)
	}
	if diff := cmp.Diff([]string{"service/a"}, []string{records[0].Changes[0].Section}); diff != "" {
		t.Errorf("changed sections (-want +got):\n%s", diff)
	}
}
