package soaker

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/emulator"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/tallier"
)

// Guards against a schedule that differs between runs of the same seed, and against kinds of
// faults that are never drawn.
func TestScheduleFollowsSeed(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(30) {
		faults := schedule(seed, time.Minute)
		if diff := cmp.Diff(faults, schedule(seed, time.Minute)); diff != "" {
			t.Fatalf("schedules of seed %d differ:\n%s", seed, diff)
		}
		for _, f := range faults {
			kinds[f.Kind] = true
		}
	}
	for _, kind := range faultKinds {
		if !kinds[kind] {
			t.Errorf("no schedule has fault %q", kind)
		}
	}
}

// Guards against checks that cannot fail. Each case violates one guarantee in the calls that
// targets receive or the responses that callers get.
func TestInspectorReportsViolations(t *testing.T) {
	user := func(label string, turn int) provider.ChatMessage {
		return provider.ChatMessage{Role: "user", Content: messageContent(label, turn, "")}
	}
	assistant := provider.ChatMessage{Role: "assistant", Content: "reply"}
	generate := func(i *inspector, messages ...provider.ChatMessage) {
		i.observeGenerate("drafter-0", &host{}, provider.GenerateRequest{Program: "p", Messages: messages})
	}
	pay := func(i *inspector, ledger *emulator.Service, key string) {
		request := provider.InvokeRequest{IdempotencyKey: key, Body: []byte("body")}
		i.observeInvoke("ledger-0", &host{}, request)
		_, _ = ledger.Invoke(context.Background(), request)
	}
	tests := []struct {
		name    string
		violate func(i *inspector, service *emulator.Service)
		want    string
	}{
		{"nothing", func(i *inspector, _ *emulator.Service) {
			i.recordTurn(&program{id: "p"}, user("a", 1), assistant, 1)
			generate(i, user("a", 1), assistant, user("a", 2))
		}, ""},
		{"a turn is missing", func(i *inspector, _ *emulator.Service) { generate(i, user("a", 2)) }, checkOrder},
		{"another program's turn", func(i *inspector, _ *emulator.Service) { generate(i, user("a", 1), assistant, user("b", 2)) }, checkHistory},
		{"another response than the caller's", func(i *inspector, _ *emulator.Service) {
			i.recordTurn(&program{id: "p"}, user("a", 1), provider.ChatMessage{Role: "assistant", Content: "other"}, 1)
			generate(i, user("a", 1), assistant, user("a", 2))
		}, checkHistory},
		{"an overspent budget", func(i *inspector, _ *emulator.Service) {
			p := &program{id: "p", rootID: "p", budget: 10}
			i.recordTurn(p, user("a", 1), assistant, 6)
			i.recordTurn(p, user("a", 2), assistant, 6)
		}, checkBudget},
		{"a repeated payment", func(i *inspector, s *emulator.Service) {
			pay(i, s, "k")
			pay(i, s, "k")
			i.checkRuns()
		}, checkAtMostOnce},
		{"a payment under two keys", func(i *inspector, s *emulator.Service) {
			pay(i, s, "k")
			pay(i, s, "l")
		}, checkAtMostOnce},
		{"a call to a leaving target", func(i *inspector, _ *emulator.Service) {
			i.leavingSince["drafter-0"] = time.Now().Add(-2 * leavingBound)
			generate(i, user("a", 1))
		}, checkLeaving},
		{"memory of an ended program", func(i *inspector, _ *emulator.Service) {
			engine := emulator.NewEngine(emulator.EngineOptions{Name: "drafter-0"})
			defer engine.Close()
			_ = engine.Order(context.Background(), provider.Order{Kind: "hold", Program: "p"})
			i.recordProgramEnd("p")
			i.checkMemory([]*emulator.Engine{engine})
		}, checkMemory},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := emulator.NewLedger()
			service := emulator.NewService(emulator.ServiceOptions{Name: "ledger-0", DelayMs: 1}, ledger)
			defer service.Close()
			c := tallier.New(0)
			test.violate(newInspector(c, ledger), service)
			got := ""
			for _, violation := range c.Snapshot().Violations {
				got = violation
			}
			if len(got) < len(test.want) || got[:len(test.want)] != test.want || test.want == "" && got != "" {
				t.Errorf("last violation is %q, want one of %q", got, test.want)
			}
		})
	}
}

// Guards against missing reports of a daemon whose version falls or is applied too late, or whose
// planned stop interrupts a request.
func TestHostChecksReportViolations(t *testing.T) {
	b := &testbed{tally: tallier.New(0)}
	now := time.Now()
	checker := newConfigChecker(b)
	h := &host{testbed: b, name: "h", run: 1}
	checker.acceptedAt[7] = now.Add(-2 * time.Second)
	checker.checkVersion(h, 1, now.Add(-time.Hour), now, 6)
	if r := b.tally.Snapshot(); len(r.Violations) != 0 {
		t.Errorf("violations for a version within configBound: %v", r.Violations)
	}
	checker.checkVersion(h, 1, now.Add(-time.Hour), now.Add(2*time.Second), 6)
	checker.checkVersion(h, 1, now, now, 5)
	if r := b.tally.Snapshot(); len(r.Violations) != 2 {
		t.Errorf("violations for a late and a falling version: %v, want 2", r.Violations)
	}
	start := requestStart{run: 1, at: now.Add(-time.Second)}
	got := []bool{h.interruptedByStop(start)}
	h.stopStarted = now
	got = append(got, h.interruptedByStop(start), h.interruptedByStop(requestStart{run: 1, at: now}))
	h.killed = true
	got = append(got, h.interruptedByStop(start))
	if diff := cmp.Diff([]bool{false, true, false, false}, got); diff != "" {
		t.Errorf("interrupted differs (-want +got):\n%s", diff)
	}
}

// Guards against a cut that lets data through, on a connection that was open before the cut or
// on a new one.
func TestNetworkCut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	n := newNetwork()
	n.hostNames[listener.Addr().String()] = "b"
	dial := func() (net.Conn, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		return n.dialer("a")(ctx, listener.Addr().String())
	}
	conn, err := dial()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	n.setCut("b", "a", true)
	if _, err := dial(); err == nil {
		t.Error("a new connection opened during the cut")
	}
	n.setCut("b", "a", false)
	_, _ = conn.Write([]byte("lost"))
	_ = peer.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if got, _ := peer.Read(make([]byte, 8)); got != 0 {
		t.Errorf("%d bytes passed on a connection that was open during the cut", got)
	}
	if _, err := dial(); err != nil {
		t.Errorf("dial after the cut: %v", err)
	}
}

// Guards against violated guarantees of daemons under load and faults. The seeds draw crashes
// during calls, pauses longer than the lease, network partitions and store faults.
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{4, 9} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			report, err := Run(t.Context(), Options{Seed: seed, Duration: 6 * time.Second, Callers: 8})
			if err != nil {
				t.Fatal(err)
			}
			if len(report.Violations) > 0 || report.Counts["outcome done"] < 100 {
				t.Errorf("violations, or too little load:\n%s", report)
			}
		})
	}
}
