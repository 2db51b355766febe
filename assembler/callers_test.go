package assembler

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/follower"
)

// startServer starts a server for callers and returns a connection on which one call has
// been served.
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
		t.Fatalf("read response: %v", err)
	}
	_ = response.Body.Close()
	return response
}

// Guards against a lost response when the daemon is asked to stop while the head of a call is
// being read: the HTTP library closed the connection as idle, and the call ran without a
// response.
func TestStopWhileHeadIsRead(t *testing.T) {
	for _, stage := range []string{"shutdown delay", "shutdown"} {
		t.Run(stage, func(t *testing.T) {
			s, c, reader := startServer(t, func(http.ResponseWriter, *http.Request) {})
			fmt.Fprint(c, "GET /second HTTP/1.1\r\nHo")
			time.Sleep(50 * time.Millisecond) // for the server to read the bytes
			s.beginShutdown()
			ended := make(chan error, 1)
			if stage == "shutdown" {
				go func() { ended <- s.shutdown(t.Context()) }()
				time.Sleep(50 * time.Millisecond)
			}
			fmt.Fprint(c, "st: x\r\n\r\n")
			if response := readResponse(t, reader); !response.Close {
				t.Error("response does not tell the caller to close the connection")
			}
			if stage == "shutdown" {
				if err := <-ended; err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// Guards against the closing of idle connections during the shutdown delay, in which callers
// may still send calls on them.
func TestIdleConnectionServesWhileLingering(t *testing.T) {
	s, c, reader := startServer(t, func(http.ResponseWriter, *http.Request) {})
	s.beginShutdown()
	time.Sleep(20 * time.Millisecond)
	fmt.Fprint(c, "GET /second HTTP/1.1\r\nHost: x\r\n\r\n")
	if response := readResponse(t, reader); !response.Close {
		t.Error("response does not tell the caller to close the connection")
	}
}

// Guards against a shutdown that waits for connections without a call, or that ends before a
// running call.
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

// slowListener accepts connections slowly, like a process that gets little processor time.
type slowListener struct{ *net.TCPListener }

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(10 * time.Millisecond)
	return l.TCPListener.Accept()
}

// Guards against calls without a response at a planned stop under load: their connections waited to
// be accepted when the listener closed, or had been accepted and their bytes were not read yet.
func TestShutdownServesAcceptedConnections(t *testing.T) {
	const callers = 12
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) }), zap.NewNop())
	go s.serve(slowListener{listener.(*net.TCPListener)})
	t.Cleanup(func() { _ = s.close() })
	var connections []net.Conn
	for range callers {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprint(c, "GET /call HTTP/1.1\r\nHost: x\r\n\r\n")
		connections = append(connections, c)
	}
	s.beginShutdown()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.shutdown(ctx) }()
	for _, c := range connections {
		if response := readResponse(t, bufio.NewReader(c)); !response.Close {
			t.Error("response does not tell the caller to close the connection")
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// pausingListener accepts connections that signal on taken and wait for resume after their first
// read.
type pausingListener struct {
	*net.TCPListener
	taken, resume chan struct{}
}

func (l pausingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	var once sync.Once
	pause := func() {
		once.Do(func() {
			close(l.taken)
			<-l.resume
		})
	}
	return pausingConnection{c, pause}, nil
}

type pausingConnection struct {
	*net.TCPConn
	pause func()
}

func (c pausingConnection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.pause()
	return n, err
}

func (c pausingConnection) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return pausingRawConnection{raw, c.pause}, err
}

type pausingRawConnection struct {
	syscall.RawConn
	pause func()
}

func (c pausingRawConnection) Read(read func(fd uintptr) bool) error {
	err := c.RawConn.Read(read)
	c.pause()
	return err
}

// Guards against the closing of a connection whose call has just been taken from the socket: nothing
// was left to read, and the connection was not marked as reading a head yet.
func TestShutdownKeepsCallThatHasJustBeenRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pausing := pausingListener{listener.(*net.TCPListener), make(chan struct{}), make(chan struct{})}
	s := newCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), zap.NewNop())
	go s.serve(pausing)
	t.Cleanup(func() { _ = s.close() })
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprint(c, "GET /call HTTP/1.1\r\nHost: x\r\n\r\n")
	<-pausing.taken
	s.beginShutdown()
	s.closeIdle()
	close(pausing.resume)
	readResponse(t, bufio.NewReader(c))
}

// Guards against the closing of a connection whose idle timeout has passed while the head of a
// call is being read. A configuration with a shorter timeout affects many connections at once.
func TestIdleTimeoutKeepsCallsBeingRead(t *testing.T) {
	s, c, reader := startServer(t, func(http.ResponseWriter, *http.Request) {})
	s.setLimits(follower.CallerLimits{IdleTimeout: time.Second})
	fmt.Fprint(c, "GET /second HTTP/1.1\r\nHo")
	time.Sleep(50 * time.Millisecond) // for the server to read the bytes
	s.closeTimedOut(time.Now().Add(2 * time.Second))
	fmt.Fprint(c, "st: x\r\n\r\n")
	readResponse(t, reader)
	time.Sleep(50 * time.Millisecond) // for the connection to become idle again
	s.closeTimedOut(time.Now().Add(2 * time.Second))
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("read from an idle connection returned %v, want io.EOF", err)
	}
}

// Guards against a connection that stays open although its first call is never completed.
func TestHeaderTimeoutClosesSilentConnections(t *testing.T) {
	s, c, _ := startServer(t, func(http.ResponseWriter, *http.Request) {})
	silent, err := net.Dial("tcp", c.RemoteAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	fmt.Fprint(silent, "GET /first HT")
	time.Sleep(50 * time.Millisecond) // for the server to read the bytes
	s.setLimits(follower.CallerLimits{HeaderTimeout: time.Second, IdleTimeout: time.Minute})
	s.closeTimedOut(time.Now().Add(2 * time.Second))
	_ = silent.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read from a silent connection returned %v, want io.EOF", err)
	}
}
