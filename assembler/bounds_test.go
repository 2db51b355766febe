package assembler

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/follower"
)

// Guards against limits with which the connections of callers and targets leave no descriptors to peers and the
// store, or that a small host does not have the memory for.
func TestHostBounds(t *testing.T) {
	const mb = 1 << 20
	tests := []struct {
		name        string
		memory      int64
		descriptors int
		want        bounds
	}{
		{"smallest host", 112 * mb, 3075, bounds{CallerConnections: 716, TargetConnections: 1294, CallBytes: 17616076, SmallBodyBytes: 11744051, SmallResponseBytes: 5872025, HistoryWorkBytes: 7046430, HistoryLendBytes: 3523215, ProgramBytes: 4697620, QueuedBytes: 11744051}},
		{"few descriptors", 164 * mb, 700, bounds{CallerConnections: 225, TargetConnections: 225, CallBytes: 25794969, SmallBodyBytes: 17196646, SmallResponseBytes: 8598323, HistoryWorkBytes: 10317987, HistoryLendBytes: 5158993, ProgramBytes: 6878658, QueuedBytes: 17196646}},
		{"unknown descriptors", 256 * mb, 0, bounds{CallerConnections: 1638, CallBytes: 40265318, SmallBodyBytes: 26843545, SmallResponseBytes: 13421772, HistoryWorkBytes: 16106127, HistoryLendBytes: 8053063, ProgramBytes: 10737418, QueuedBytes: 26843545}},
		{"fewer descriptors than are reserved", 64 * mb, 100, bounds{CallerConnections: 16, TargetConnections: 16, CallBytes: 10066329, SmallBodyBytes: 6710886, SmallResponseBytes: 3355443, HistoryWorkBytes: 4026531, HistoryLendBytes: 2013265, ProgramBytes: 2684354, QueuedBytes: 6710886}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, hostBounds(test.memory, test.descriptors)); diff != "" {
				t.Errorf("bounds (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against closing the connection of a call that a target serves, or an idle one of an ordinary caller
// before those that never sent a call or have stalled.
func TestEvictionOrder(t *testing.T) {
	// The states are in the order in which they are closed.
	inOrder := []connectionState{
		{phase: inCall, served: true, writing: 9 * time.Second},
		{phase: waitingForCall, waited: 2 * time.Second},
		{phase: readingHead, served: true, waited: 1500 * time.Millisecond},
		{phase: readingHead, waited: 300 * time.Millisecond},
		{phase: waitingForCall, served: true, waited: 12 * time.Second},
		{phase: waitingForCall, served: true, waited: time.Second},
	}
	staying := []connectionState{
		{phase: inCall},
		{phase: inCall, served: true, writing: 500 * time.Millisecond},
		{phase: waitingForCall, waited: 100 * time.Millisecond},
		{phase: readingHead, served: true, waited: 500 * time.Millisecond},
	}
	for i := range inOrder[1:] {
		if !inOrder[i].closedBefore(inOrder[i+1]) || inOrder[i+1].closedBefore(inOrder[i]) {
			t.Errorf("%+v is not closed before %+v", inOrder[i], inOrder[i+1])
		}
	}
	for _, s := range staying {
		if rank, _ := s.rank(); rank != mustStay {
			t.Errorf("%+v has rank %d, want that it stays", s, rank)
		}
	}
}

// startBoundedServer starts a server with a bound on its connections and returns its address.
func startBoundedServer(t *testing.T, maxConnections int, handler http.HandlerFunc) (*callerServer, string) {
	t.Helper()
	listener, err := listen("127.0.0.1:0", callerBufferBytes)
	if err != nil {
		t.Fatal(err)
	}
	s := newCallerServer(handler, zap.NewNop())
	s.maxConnections = maxConnections
	s.setLimits(follower.CallerLimits{HeaderBytes: 16384})
	s.setListener(listener)
	go s.serve()
	t.Cleanup(func() { _ = s.close() })
	return s, listener.Addr().String()
}

// dial opens a connection and sends the text on it.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a caller that gets no connection because others hold all of them without a call, and against
// closing a connection with a call that is served.
func TestConnectionsMakeRoom(t *testing.T) {
	const limit = 8
	const call = "GET /%s HTTP/1.1\r\nHost: x\r\n\r\n"
	began, release := make(chan struct{}), make(chan struct{})
	s, address := startBoundedServer(t, limit, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(began)
			<-release
		}
	})
	long := dial(t, address, fmt.Sprintf(call, "long"))
	<-began
	for range 3 * limit {
		dial(t, address, "")
	}
	if _, err := io.ReadFull(dial(t, address, fmt.Sprintf(call, "short")), make([]byte, len("HTTP/1.1 200"))); err != nil {
		t.Errorf("a call beside silent connections got no response: %v", err)
	}
	if n := s.connectionCount(); n > limit {
		t.Errorf("%d connections are open, want at most %d", n, limit)
	}
	close(release)
	if _, err := io.ReadFull(long, make([]byte, len("HTTP/1.1 200"))); err != nil {
		t.Errorf("the call that was being served got no response: %v", err)
	}
	if closed := s.takeClosed(); closed["stalled"] == 0 {
		t.Errorf("closed connections %v, want some that had stalled", closed)
	}
}

// Guards against request heads that fill the memory: the HTTP library keeps 64 KB of each.
func TestHeadsFarOverLimit(t *testing.T) {
	tests := []struct{ name, repeated string }{
		{"line", strings.Repeat("f", 1000)},
		{"lines", strings.Repeat("X-Filler: f\r\n", 80)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, address := startBoundedServer(t, 0, func(http.ResponseWriter, *http.Request) {})
			c := dial(t, address, "GET / HTTP/1.1\r\nHost: x\r\nX-Filler: ")
			for sent := 0; sent < 1<<20; sent += len(test.repeated) {
				if _, err := io.WriteString(c, test.repeated); err != nil {
					break
				}
				time.Sleep(time.Millisecond)
			}
			if closed := s.takeClosed(); closed["head"] != 1 {
				t.Errorf("closed connections %v, want this one because of its head", closed)
			}
		})
	}
}

// Guards against the system's memory that fills up with responses that are not read, and against closing a
// connection whose caller has just not read yet.
func TestQueuedBytesAreBounded(t *testing.T) {
	s, address := startBoundedServer(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 8<<20)) // fails once the connection is closed
	})
	s.maxQueuedBytes = 8 << 10
	dial(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	time.Sleep(100 * time.Millisecond) // for the buffers to fill
	s.limitQueued(time.Now())
	if closed := s.takeClosed(); len(closed) > 0 {
		t.Errorf("closed connections %v at once, want none", closed)
	}
	s.limitQueued(time.Now().Add(2 * minStall))
	if diff := cmp.Diff(map[string]int64{"queue": 1}, s.takeClosed()); diff != "" {
		t.Errorf("closed connections (-want +got):\n%s", diff)
	}
}

// Guards against log lines that fill the memory of the queue with the texts of callers.
func TestLoggedText(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"short", "short"},
		{strings.Repeat("é", 200), strings.Repeat("é", maxLoggedText/2) + "..."},
	} {
		if diff := cmp.Diff(test.want, logged("id", test.text).String); diff != "" {
			t.Errorf("logged text (-want +got):\n%s", diff)
		}
	}
}
