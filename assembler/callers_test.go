package assembler

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/follower"
)

// startServer starts a callers' server and returns a connection on which one call was answered.
func startServer(t *testing.T, handler http.HandlerFunc) (*callerServer, net.Conn, *bufio.Reader) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newCallerServer(handler, zap.NewNop())
	go s.serve(listener)
	t.Cleanup(func() { _ = s.close() })
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(c)
	fmt.Fprint(c, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
	readResponse(t, reader)
	return s, c, reader
}

func readResponse(t *testing.T, reader *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = response.Body.Close()
	return response
}

// Guards against a call that is being read when the daemon is asked to stop: the HTTP library
// closed its connection as idle, and the call ran without an answer.
func TestStopWhileHeadIsRead(t *testing.T) {
	for _, when := range []string{"asked to stop", "shutting down"} {
		t.Run(when, func(t *testing.T) {
			s, c, reader := startServer(t, func(http.ResponseWriter, *http.Request) {})
			fmt.Fprint(c, "GET /second HTTP/1.1\r\nHo")
			time.Sleep(50 * time.Millisecond) // the bytes are read
			s.beginShutdown()
			ended := make(chan error, 1)
			if when == "shutting down" {
				go func() { ended <- s.shutdown(t.Context()) }()
				time.Sleep(50 * time.Millisecond)
			}
			fmt.Fprint(c, "st: x\r\n\r\n")
			if response := readResponse(t, reader); !response.Close {
				t.Error("the answer does not tell the caller to use another connection")
			}
			if when == "shutting down" {
				if err := <-ended; err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// Guards against calls on kept connections that are refused although the daemon still serves.
func TestIdleConnectionServesWhileLingering(t *testing.T) {
	s, c, reader := startServer(t, func(http.ResponseWriter, *http.Request) {})
	s.beginShutdown()
	time.Sleep(20 * time.Millisecond)
	fmt.Fprint(c, "GET /second HTTP/1.1\r\nHost: x\r\n\r\n")
	if response := readResponse(t, reader); !response.Close {
		t.Error("the answer does not tell the caller to use another connection")
	}
}

// Guards against a shutdown that waits for callers who send nothing, or that ends before the
// call of a busy one.
func TestShutdown(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	s, c, reader := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(began)
			<-release
		}
	})
	silent, err := net.Dial("tcp", c.RemoteAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	fmt.Fprint(c, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	<-began
	s.beginShutdown()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.shutdown(ctx) }()
	select {
	case err := <-ended:
		t.Fatalf("shutdown ended during a call: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	readResponse(t, reader)
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// Guards against a call that is being read when its connection has been idle for too long,
// which happens to many at once when a configuration shortens the time.
func TestSweepSparesCallsBeingRead(t *testing.T) {
	s, c, reader := startServer(t, func(http.ResponseWriter, *http.Request) {})
	s.setLimits(follower.CallerLimits{IdleTimeout: time.Second})
	fmt.Fprint(c, "GET /second HTTP/1.1\r\nHo")
	time.Sleep(50 * time.Millisecond) // the bytes are read
	s.closeTimedOut(time.Now().Add(2 * time.Second))
	fmt.Fprint(c, "st: x\r\n\r\n")
	readResponse(t, reader)
	time.Sleep(50 * time.Millisecond) // the connection is idle again
	s.closeTimedOut(time.Now().Add(2 * time.Second))
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection gives %v, want its end", err)
	}
}

// Guards against a connection that is never closed although its first call does not come.
func TestSweepClosesSilentConnections(t *testing.T) {
	s, c, _ := startServer(t, func(http.ResponseWriter, *http.Request) {})
	silent, err := net.Dial("tcp", c.RemoteAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	fmt.Fprint(silent, "GET /first HT")
	time.Sleep(50 * time.Millisecond) // the bytes are read
	s.setLimits(follower.CallerLimits{HeaderTimeout: time.Second, IdleTimeout: time.Minute})
	s.closeTimedOut(time.Now().Add(2 * time.Second))
	_ = silent.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the silent connection gives %v, want its end", err)
	}
}
