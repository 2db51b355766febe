package controller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap/zaptest"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/publisher"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// bed is an in-memory platform with one engine and one service.
type bed struct {
	t       *testing.T
	tables  *emulator.TableStore
	objects *emulator.ObjectStore
	hosts   *emulator.HostList
	engine  *emulator.Engine
	// engines are further engines by address.
	engines map[string]provider.Engine
	service *emulator.Service
	ledger  *emulator.Ledger
	group   conc.WaitGroup
	// timing and wrap apply to daemons that are started later.
	timing parser.Timing
	wrap   func(host string, tables provider.TableStore) provider.TableStore
	// target replaces the engine.
	target provider.Engine
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := emulator.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func newBed(t *testing.T) *bed {
	ledger := emulator.NewLedger()
	b := &bed{
		t: t, engines: map[string]provider.Engine{}, tables: emulator.NewTableStore(emulator.TableStoreOptions{}, emulator.NewFaults(1)),
		objects: emulator.NewObjectStore(emulator.NewFaults(1)),
		service: emulator.NewService(emulator.ServiceOptions{Name: "ledger-1"}, ledger), ledger: ledger,
	}
	b.engine = emulator.NewEngine(emulator.EngineOptions{
		Name: "drafter-1", Models: []string{"quill"}, Objects: b.objects.ForCaller("drafter-1"),
	})
	b.hosts = emulator.NewHostList([]provider.Member{
		{Host: "drafter-1", Address: "drafter-1", FailureDomain: "nl-ams", Region: "nl", Role: "drafter"},
		{Host: "ledger-1", Address: "ledger-1", FailureDomain: "nl-ams", Region: "nl", Role: "ledger"},
	})
	t.Cleanup(func() {
		b.service.Close()
		b.group.Wait()
		b.engine.Close()
	})
	drafter := encoder.Service{Name: "drafter", Workspace: "lichtbeeld", Kind: "model", Models: []encoder.Model{{Name: "quill"}}}
	ledgerService := encoder.Service{
		Name: "ledger", Workspace: "lichtbeeld", Kind: "plain",
		NonRepeatable: []encoder.Pattern{{Path: "/invoices"}},
	}
	for _, s := range []*encoder.Service{&drafter, &ledgerService} {
		parser.FillDefaults(s)
	}
	b.publish(drafter, ledgerService)
	return b
}

// addEngine starts a further engine; start no daemon before. list lists it.
func (b *bed) addEngine(options emulator.EngineOptions) *emulator.Engine {
	engine := emulator.NewEngine(options)
	b.t.Cleanup(engine.Close)
	b.engines[options.Name] = engine
	return engine
}

func (b *bed) list(target, role string, leaving bool) {
	b.hosts.Put(provider.Member{
		Host: target, Address: target, FailureDomain: "nl-ams", Region: "nl", Role: role, Leaving: leaving,
	})
}

func (b *bed) publish(services ...encoder.Service) {
	b.t.Helper()
	store := publisher.New(b.tables.ForCaller("test"), systemClock{})
	current, err := store.Document(b.t.Context())
	if err != nil {
		b.t.Fatal(err)
	}
	_, err = store.Publish(b.t.Context(), publisher.Proposal{
		From: current.Version, Operator: "test", Action: publisher.ActionPublish,
		Document: publisher.ReplaceServices(current, services, nil),
	})
	if err != nil {
		b.t.Fatal(err)
	}
}

// start runs a daemon until the test's end and waits until it is ready.
func (b *bed) start(host string) (*Daemon, string) {
	b.t.Helper()
	d := b.launch(host)
	members, err := b.hosts.List(b.t.Context())
	if err != nil {
		b.t.Fatal(err)
	}
	targets := 0
	for _, member := range members {
		if member.Role != roleDaemon {
			targets++
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	for {
		s := d.snapshot.Load()
		if s.ready && len(s.view.Targets) == targets {
			return d, "http://" + d.settings.CallerAddress
		}
		if time.Now().After(deadline) {
			b.t.Fatal("the daemon did not get ready")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// launch runs a daemon until the test's end.
func (b *bed) launch(host string) *Daemon {
	b.t.Helper()
	sum := sha256.Sum256([]byte("caller-key"))
	settings := parser.Settings{
		Host: host, FailureDomain: "nl-ams", Region: "nl",
		CallerAddress: freeAddress(b.t), PeerAddress: freeAddress(b.t), MetricsAddress: freeAddress(b.t),
		Platform: parser.Platform{Tables: "memory", Objects: "memory", HostList: "memory"},
		Domains:  []parser.Domain{{Name: "nl-ams", Region: "nl"}},
		Timing:   b.timing,
		Keys:     []parser.Key{{Client: "members", Role: parser.RoleCaller, SHA256: hex.EncodeToString(sum[:])}},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		b.t.Fatal(err)
	}
	if settings, err = parser.ParseSettings("test", data); err != nil {
		b.t.Fatal(err)
	}
	b.hosts.Put(provider.Member{
		Host: host, Address: settings.PeerAddress, FailureDomain: "nl-ams", Region: "nl", Role: roleDaemon,
	})
	tables := b.tables.ForCaller(host)
	if b.wrap != nil {
		tables = b.wrap(host, tables)
	}
	d, err := New(settings, Platform{
		Tables: tables, Objects: b.objects.ForCaller(host), Hosts: b.hosts,
		Engine: func(address string) provider.Engine {
			if b.target != nil {
				return b.target
			}
			if engine := b.engines[address]; engine != nil {
				return engine
			}
			return b.engine
		},
		Service: func(string) provider.Service { return b.service },
	}, zaptest.NewLogger(b.t))
	if err != nil {
		b.t.Fatal(err)
	}
	b.group.Go(func() {
		if err := d.Run(context.Background()); err != nil {
			b.t.Error(err)
		}
	})
	b.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := d.Shutdown(ctx); err != nil {
			b.t.Error(err)
		}
	})
	return d
}

func (b *bed) post(url, body string, headers ...string) (*http.Response, string) {
	b.t.Helper()
	request, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer caller-key")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	return response, string(data)
}

// streamText joins the text of a stream's events and checks that it ends properly.
func streamText(t *testing.T, body string) string {
	t.Helper()
	var text strings.Builder
	done := false
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatalf("%v in %s", err, data)
		}
		for _, c := range event.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if !done {
		t.Errorf("the stream does not end with [DONE]: %s", body)
	}
	return text.String()
}

// Guards against answers that are cut short, repeated or given to another request
// on the way from the engine to the caller, streamed or not.
func TestChatAnswersTheCallersRequest(t *testing.T) {
	b := newBed(t)
	_, url := b.start("ams-1")
	messages := []provider.ChatMessage{{Role: "user", Content: "Draft an invoice for the harbour shoot."}}
	want := emulator.ResponseDigest(messages)
	for _, stream := range []string{"false", "true"} {
		body := `{"model":"drafter","max_tokens":40,"stream":` + stream +
			`,"messages":[{"role":"user","content":"Draft an invoice for the harbour shoot."}]}`
		response, text := b.post(url+"/v1/chat/completions", body)
		if response.StatusCode != http.StatusOK {
			t.Fatalf("status %d: %s", response.StatusCode, text)
		}
		if stream == "true" {
			text = streamText(t, text)
		} else {
			var c struct {
				Choices []struct{ Message provider.ChatMessage }
			}
			if err := json.Unmarshal([]byte(text), &c); err != nil || len(c.Choices) != 1 {
				t.Fatalf("%v: %s", err, text)
			}
			text = c.Choices[0].Message.Content
		}
		words := strings.Fields(text)
		if len(words) < 20 || len(words) > 40 || words[0] != want {
			t.Errorf("stream %s: got %d words starting %q, want 20 to 40 starting %q", stream, len(words), words[:1], want)
		}
	}
}

// Guards against a plain call that runs twice or whose answer is another one's.
func TestInvokeRunsOnce(t *testing.T) {
	b := newBed(t)
	_, url := b.start("ams-1")
	response, text := b.post(url+"/v1/services/ledger/invoices", `{"client":"gallery"}`, server.HeaderIdempotencyKey, "invoice-1")
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d: %s", response.StatusCode, text)
	}
	var answer emulator.ServiceResponse
	if err := json.Unmarshal([]byte(text), &answer); err != nil {
		t.Fatal(err)
	}
	if want := emulator.BodyDigest([]byte(`{"client":"gallery"}`)); answer.Digest != want || answer.Path != "/invoices" {
		t.Errorf("got %+v, want digest %s of path /invoices", answer, want)
	}
	for key, runs := range b.ledger.Runs() {
		if runs != 1 {
			t.Errorf("key %s ran %d times", key, runs)
		}
	}
}
