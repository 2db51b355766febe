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
	s.setListener(listener)
	go s.serve()
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
type slowListener struct {
	*net.TCPListener
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(l.delay)
	return l.TCPListener.Accept()
}

// Guards against calls without a response at a planned stop under load: their connections waited to
// be accepted when the listener closed, or had been accepted and their bytes were not read yet.
func TestShutdownServesAcceptedConnections(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) { testShutdownServesAcceptedConnections(t, delay) })
	}
}

func testShutdownServesAcceptedConnections(t *testing.T, acceptDelay time.Duration) {
	const callers = 12
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) }), zap.NewNop())
	s.setListener(slowListener{listener.(*net.TCPListener), acceptDelay})
	go s.serve()
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

// stage is a step on the way of a call's bytes to the server.
type stage string

const (
	beforeServe        stage = "before the server accepts"
	connectionAccepted stage = "connection accepted"
	beforeRead         stage = "before the first read"
	afterRead          stage = "after the first read"
)

// pausingListener accepts connections that signal on reached at one stage and wait there for resume.
type pausingListener struct {
	*net.TCPListener
	stage           stage
	reached, resume chan struct{}
	once            *sync.Once
}

func (l pausingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.pause(connectionAccepted)
	return pausingConnection{c, l.pause}, nil
}

func (l pausingListener) pause(s stage) {
	if s == l.stage {
		l.once.Do(func() {
			close(l.reached)
			<-l.resume
		})
	}
}

type pausingConnection struct {
	*net.TCPConn
	pause func(stage)
}

func (c pausingConnection) Read(p []byte) (int, error) {
	c.pause(beforeRead)
	defer c.pause(afterRead)
	return c.TCPConn.Read(p)
}

func (c pausingConnection) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return pausingRawConnection{raw, c.pause}, err
}

type pausingRawConnection struct {
	syscall.RawConn
	pause func(stage)
}

func (c pausingRawConnection) Read(read func(fd uintptr) bool) error {
	c.pause(beforeRead)
	defer c.pause(afterRead)
	return c.RawConn.Read(read)
}

// Guards against the loss of a call at a planned stop whose server had not begun to accept, whose
// connection was accepted and not registered yet, whose bytes were not read yet, or whose bytes had
// just been read while the connection was not marked as reading a head.
func TestShutdownServesCallAtEachStage(t *testing.T) {
	for _, stage := range []stage{beforeServe, connectionAccepted, beforeRead, afterRead} {
		t.Run(string(stage), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			pausing := pausingListener{listener.(*net.TCPListener), stage, make(chan struct{}), make(chan struct{}), new(sync.Once)}
			s := newCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), zap.NewNop())
			s.setListener(pausing)
			go func() {
				pausing.pause(beforeServe)
				s.serve()
			}()
			t.Cleanup(func() { _ = s.close() })
			c, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			fmt.Fprint(c, "GET /call HTTP/1.1\r\nHost: x\r\n\r\n")
			<-pausing.reached
			s.beginShutdown()
			ended := make(chan error, 1)
			go func() { ended <- s.shutdown(t.Context()) }()
			select {
			case err := <-ended:
				t.Errorf("shutdown ended before the call: %v", err)
				ended <- nil
			case <-time.After(100 * time.Millisecond):
			}
			close(pausing.resume)
			readResponse(t, bufio.NewReader(c))
			if err := <-ended; err != nil {
				t.Errorf("shutdown: %v", err)
			}
		})
	}
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
