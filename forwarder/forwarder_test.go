package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/forwarder"
)

// dialect translates only the call ID.
type dialect struct{}

func (dialect) ParseCall(r *http.Request) forwarder.Call {
	return forwarder.Call{ID: r.Header.Get("Call-Id")}
}
func (dialect) RequestHeader(caller http.Header, _ *forwarder.Attempt) http.Header { return caller }
func (dialect) ParseResponse(r *http.Response) forwarder.ResponseHead {
	return forwarder.ResponseHead{Status: r.StatusCode, ID: r.Header.Get("Call-Id")}
}
func (dialect) CopyResponseHeader(http.Header, http.Header)           {}
func (dialect) SetRejectionHeader(http.Header, string, time.Duration) {}

// unlimited allows an event reader any size.
func unlimited(int) bool { return true }

func TestEvents(t *testing.T) {
	tests := []struct {
		name, stream string
		want         []string
		fails        bool
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1=a", "2=b"}, false},
		{"several lines of data", "id: 1\ndata: a\ndata: b\n\n", []string{"1=a\nb"}, false},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []string{"1=a"}, false},
		{"other fields", "x-versions: 3\nid: 1\nevent: e\ndata:a\n\n", []string{"1=a"}, false},
		{"empty lines at the end", "id: 1\ndata: a\n\n\n", []string{"1=a"}, false},
		{"empty stream", "", []string{}, false},
		{"interrupted within an event", "id: 1\ndata: a\n\nid: 2\nda", []string{"1=a"}, true},
		{"interrupted before the empty line", "id: 1\ndata: a\n", []string{}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader, got := forwarder.NewEventReader(strings.NewReader(test.stream), unlimited), []string{}
			for {
				event, err := reader.Next()
				if err != nil {
					if (err != io.EOF) != test.fails {
						t.Errorf("stream ended with %v", err)
					}
					break
				}
				got = append(got, event.ID+"="+string(event.Data))
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("events differ (-want +got):\n%s", diff)
			}
		})
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		reader := forwarder.NewEventReader(strings.NewReader(stream), unlimited)
		total := 0
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			total += len(event.Raw)
		}
		if total > len(stream) {
			t.Errorf("events have %d bytes of a stream of %d", total, len(stream))
		}
	})
}

// fakeTarget is a target that writes given bytes after each request.
type fakeTarget struct {
	listener net.Listener
	accepted chan struct{}
}

// startTarget starts a target that responds to the nth request of a connection with the nth
// text; "" closes the connection.
func startTarget(t *testing.T, responses ...string) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	target := &fakeTarget{listener: l, accepted: make(chan struct{}, 100)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			target.accepted <- struct{}{}
			go serve(conn, responses)
		}
	}()
	return target
}

func serve(conn net.Conn, responses []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, response := range responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if response == "" {
			return
		}
		_, _ = io.WriteString(conn, response)
	}
	// Wait until the client closes the connection.
	_, _ = reader.ReadByte()
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nCall-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(ctx context.Context, f *forwarder.Forwarder, target *fakeTarget, id string) (string, error) {
	e, err := f.Send(ctx, forwarder.Request{
		Method: http.MethodGet, URL: &url.URL{Path: "/x"}, URI: "/x", Host: "h", Header: http.Header{"Call-Id": {id}},
		CallID: id, MaxIdleConnections: 4, Attempt: forwarder.Attempt{Target: "i-1", Address: target.listener.Addr().String(), Remaining: time.Second, QueuePriority: -1},
	})
	if err != nil {
		return "", err
	}
	defer e.Close()
	body, err := io.ReadAll(e)
	return string(body), err
}

// TestConnections replays responses of misbehaving targets on connections that are kept.
func TestConnections(t *testing.T) {
	tests := []struct {
		name      string
		responses []string
		// want has the response bodies of calls 1, 2 and so on.
		want        []string
		connections int
	}{
		{"kept", []string{response("1", "a"), response("2", "b")}, []string{"a", "b"}, 1},
		{"two responses to one call", []string{response("1", "a") + response("1", "a"), response("2", "b")}, []string{"a", "a"}, 2},
		{"late response to an earlier call", []string{response("1", "a"), response("1", "old") + response("2", "b")}, []string{"a", "b"}, 1},
		{"closing", []string{strings.Replace(response("1", "a"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)}, []string{"a", "a"}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := startTarget(t, test.responses...)
			f := forwarder.New(dialect{}, forwarder.DefaultOptions())
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			got := []string{}
			for i := range test.want {
				// On a new connection the target's first response has the ID of the first call.
				id := fmt.Sprint(i + 1)
				if test.connections > 1 {
					id = "1"
				}
				body, err := send(ctx, f, target, id)
				if err != nil {
					t.Fatal(err)
				}
				got = append(got, body)
				// Bytes that follow a response need a moment to arrive.
				time.Sleep(20 * time.Millisecond)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("bodies differ (-want +got):\n%s", diff)
			}
			if n := len(target.accepted); n != test.connections {
				t.Errorf("%d connections were opened, want %d", n, test.connections)
			}
		})
	}
}

func TestKinds(t *testing.T) {
	closed := startTarget(t)
	_ = closed.listener.Close()
	tests := []struct {
		name   string
		target *fakeTarget
		want   forwarder.Kind
	}{
		{"closed port", closed, forwarder.KindGone},
		{"closed without a response", startTarget(t, ""), forwarder.KindUncertain},
		{"not an HTTP response", startTarget(t, "garbage\r\n\r\n"), forwarder.KindUncertain},
		{"body cut", startTarget(t, "HTTP/1.1 200 OK\r\nCall-Id: 1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nabc", ""), forwarder.KindUncertain},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := send(ctx, forwarder.New(dialect{}, forwarder.DefaultOptions()), test.target, "1")
			if got := forwarder.KindOf(err); got != test.want {
				t.Errorf("error %v is %s, want %s", err, got, test.want)
			}
		})
	}
}

// TestLongLateResponse guards against taking bytes within a late response to an earlier call for the
// response to this one: the earlier response was skipped up to a limit, and what followed was read as a
// head.
func TestLongLateResponse(t *testing.T) {
	const skipped = 1 << 20
	late := response("1", strings.Repeat("x", skipped)+response("2", "forged"))
	target := startTarget(t, response("1", "a"), late+response("2", "b"))
	f := forwarder.New(dialect{}, forwarder.DefaultOptions())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := send(ctx, f, target, "1"); err != nil {
		t.Fatal(err)
	}
	if body, err := send(ctx, f, target, "2"); forwarder.KindOf(err) != forwarder.KindUncertain {
		t.Errorf("got %q with error %v, want an uncertain outcome", body, err)
	}
}

// TestIdleConnectionsAreBounded guards against a target that resets new connections because
// connections of daemons that have lost power still count as open.
func TestIdleConnectionsAreBounded(t *testing.T) {
	target := startTarget(t, response("1", "a"))
	f := forwarder.New(dialect{}, forwarder.DefaultOptions())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var exchanges []*forwarder.Exchange
	for range 3 {
		e, err := f.Send(ctx, forwarder.Request{
			Method: http.MethodGet, URL: &url.URL{Path: "/x"}, URI: "/x", Host: "h", CallID: "1", MaxIdleConnections: 1, NewConnection: true,
			Attempt: forwarder.Attempt{Target: "i-1", Address: target.listener.Addr().String(), QueuePriority: -1},
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(e); err != nil {
			t.Fatal(err)
		}
		exchanges = append(exchanges, e)
	}
	for _, e := range exchanges {
		e.Close()
	}
	if n := f.IdleConnections("i-1"); n != 1 {
		t.Errorf("%d idle connections are kept, want 1", n)
	}
}

// TestConnectionsAreBounded guards against a process that runs out of descriptors because it keeps idle
// connections to many targets, and against calls that fail although an idle connection could be closed.
func TestConnectionsAreBounded(t *testing.T) {
	first, second := startTarget(t, response("1", "a")), startTarget(t, response("1", "b"))
	options := forwarder.DefaultOptions()
	options.MaxConnections = 2
	f := forwarder.New(dialect{}, options)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	open := func(id string, target *fakeTarget) (*forwarder.Exchange, error) {
		return f.Send(ctx, forwarder.Request{
			Method: http.MethodGet, URL: &url.URL{Path: "/x"}, URI: "/x", Host: "h", CallID: "1", MaxIdleConnections: 4,
			Attempt: forwarder.Attempt{Target: id, Address: target.listener.Addr().String(), QueuePriority: -1},
		})
	}
	for range 3 {
		e, err := open("i-1", first)
		if err != nil {
			t.Fatal(err)
		}
		// The connection becomes idle once its response is read.
		if _, err := io.ReadAll(e); err != nil {
			t.Fatal(err)
		}
		e.Close()
		f.CloseIdle("i-1")
		if e, err = open("i-1", first); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(e); err != nil {
			t.Fatal(err)
		}
		e.Close()
		var used []*forwarder.Exchange
		for range 2 {
			if e, err = open("i-2", second); err != nil {
				t.Fatalf("no connection beside an idle one: %v", err)
			}
			used = append(used, e)
		}
		if _, err := open("i-1", first); forwarder.KindOf(err) != forwarder.KindNotSent {
			t.Errorf("error %v while all connections are in use, want one of a call that was not sent", err)
		}
		for _, e := range used {
			e.Close()
		}
		if n := f.OpenConnections(); n != 0 {
			t.Errorf("%d connections are open, want none", n)
		}
	}
}

// TestCancelClosesTheConnection guards against targets that continue to work for callers
// that have disconnected.
func TestCancelClosesTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	closed := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = reader.ReadByte()
		}
		close(closed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err = send(ctx, forwarder.New(dialect{}, forwarder.DefaultOptions()), &fakeTarget{listener: l}, "1")
	if forwarder.KindOf(err) != forwarder.KindCancelled || !errors.Is(err, context.Canceled) {
		t.Errorf("the call ended with %v", err)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the target's connection stayed open")
	}
}

// FuzzResponse feeds the parser of targets' responses. The target closes its connection after the
// bytes, so that responses may have neither a length nor chunks.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(response("1", "a")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nCall-Id: 1\r\nLeaving: 1\r\n\r\nid: 1\ndata: a\n\nid: 2\nda"))
	f.Add([]byte("HTTP/1.0 503 Full\r\nNot-Run: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early\r\nLeaving: 1\r\n\r\n" + response("2", "late") + response("1", "a")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nCall-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	var current atomic.Pointer[[]byte]
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = conn.Write(*current.Load())
			}
			_ = conn.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, bytes []byte) {
		current.Store(&bytes)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		heads := 0
		e, err := forwarder.New(dialect{}, forwarder.DefaultOptions()).Send(ctx, forwarder.Request{
			Method: http.MethodGet, URL: &url.URL{Path: "/x"}, URI: "/x", Host: "h", Header: http.Header{}, CallID: "1",
			OnHead:  func(forwarder.ResponseHead) { heads++ },
			Attempt: forwarder.Attempt{Target: "i-1", Address: l.Addr().String(), QueuePriority: -1},
		})
		if err != nil {
			return
		}
		defer e.Close()
		if id := e.Head().ID; heads == 0 || id != "1" && id != "" {
			t.Errorf("%d heads were reported, the response is to call %q", heads, id)
		}
		body, err := io.ReadAll(e)
		if length := e.Response().ContentLength; err == nil && length >= 0 && int64(len(body)) != length {
			t.Errorf("a body of %d bytes is complete with %d bytes", length, len(body))
		}
	})
}
