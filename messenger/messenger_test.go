package messenger

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"go.uber.org/zap"
)

// Guards against goroutines that still run after Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeHandler sends a number of events and then returns a result; with hang it waits for
// cancellation before that.
type fakeHandler struct {
	events    int
	hang      bool
	cancelled chan struct{}
}

func (h *fakeHandler) Handle(_ context.Context, from, method string, _ json.RawMessage) (any, error) {
	if method == MethodProbe {
		return encoder.ProbeResult{Host: "b", State: "ready"}, nil
	}
	return encoder.Heartbeat{Host: "b", State: from}, nil
}

func (h *fakeHandler) HandleCall(ctx context.Context, _ string, _ encoder.ForwardedCall, emit Emit) (encoder.CallResult, error) {
	for i := range h.events {
		if err := emit("chunk", json.RawMessage(fmt.Sprint(i))); err != nil {
			return encoder.CallResult{}, err
		}
	}
	if h.hang {
		<-ctx.Done()
		close(h.cancelled)
		return encoder.CallResult{Outcome: "unknown"}, nil
	}
	return encoder.CallResult{Outcome: "done", Result: json.RawMessage(`"x"`)}, nil
}

// newPair returns messenger "a", a serving messenger "b", the Peer of b and their network.
func newPair(t *testing.T, change func(a, b *Settings), handler Handler) (*Messenger, *Messenger, Peer, *MemoryNetwork) {
	t.Helper()
	network := NewMemoryNetwork()
	fast := Settings{PingInterval: 20 * time.Millisecond, StallTimeout: 150 * time.Millisecond, DialTimeout: 300 * time.Millisecond, InitialBackoff: 10 * time.Millisecond}
	a, b := fast, fast
	a.Host, b.Host = "a", "b"
	a.Dial, b.Dial = network.Dialer("a"), network.Dialer("b")
	if change != nil {
		change(&a, &b)
	}
	ma, mb := New(a, handler, zap.NewNop()), New(b, handler, zap.NewNop())
	listener := network.Listen("b")
	served := make(chan error, 1)
	go func() { served <- mb.Serve(listener) }()
	t.Cleanup(func() {
		ma.Close()
		mb.Close()
		if err := <-served; err != nil {
			t.Errorf("Serve() = %v", err)
		}
	})
	return ma, mb, Peer{Host: "b", Address: "b"}, network
}

func sendHeartbeat(m *Messenger, peer Peer, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := Call[encoder.Heartbeat](ctx, m, peer, MethodHeartbeat, encoder.Heartbeat{Host: "a"})
	return err
}

// Guards against lost, repeated or reordered events of a forwarded call, and against
// bytes that are not counted.
func TestForwardStreams(t *testing.T) {
	a, b, peer, _ := newPair(t, nil, &fakeHandler{events: 1_000})
	var got []string
	result, err := a.Forward(context.Background(), peer, encoder.ForwardedCall{Call: "c", Request: json.RawMessage("{}")},
		func(event encoder.CallEvent) error { got = append(got, string(event.Data)); return nil })
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for i := range 1_000 {
		want = append(want, fmt.Sprint(i))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events differ (-want +got):\n%s", diff)
	}
	if result.Outcome != "done" || result.Events != 1_000 {
		t.Errorf("result = %+v", result)
	}
	if sent, received := b.Counters().SentBytes, a.Counters().ReceivedBytes; sent != received || sent < 10_000 {
		t.Errorf("owner sent %d bytes, entry received %d", sent, received)
	}
}

// Guards against a large request on a slow connection that is taken for a stall, and
// against heartbeats that are delayed by it.
func TestLargeRequestOnSlowConnection(t *testing.T) {
	a, _, peer, network := newPair(t, func(a, b *Settings) { a.StallTimeout, b.StallTimeout = 600*time.Millisecond, 600*time.Millisecond }, &fakeHandler{})
	network.SetDelay(func(from, _ string) time.Duration {
		if from == "a" {
			return 100 * time.Millisecond // for each write of 64 KB
		}
		return 0
	})
	request, err := json.Marshal(strings.Repeat("x", 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	started := time.Now()
	go func() {
		_, err := a.Forward(context.Background(), peer, encoder.ForwardedCall{Call: "c", Request: request},
			func(encoder.CallEvent) error { return nil })
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	if err := sendHeartbeat(a, peer, 800*time.Millisecond); err != nil {
		t.Errorf("heartbeat during a large call: %v", err)
	}
	if err := <-done; err != nil {
		t.Errorf("large call: %v", err)
	}
	if took := time.Since(started); took < 1200*time.Millisecond {
		t.Errorf("the call took %v, too short to test the stall timeout", took)
	}
}

// slowWriter delays large writes only, like a link that a large message fills.
type slowWriter struct{ net.Conn }

func (w slowWriter) Write(p []byte) (int, error) {
	if len(p) > 32<<10 {
		time.Sleep(60 * time.Millisecond)
	}
	return w.Conn.Write(p)
}

// Guards against a connection that is taken for stalled right after a long write: the time of the
// write, in which the receiver had nothing to reply to, counted toward the stall timeout.
func TestReplyAfterLongWriteIsNoStall(t *testing.T) {
	a, _, peer, network := newPair(t, func(a, b *Settings) {
		a.StallTimeout, b.StallTimeout = 600*time.Millisecond, 600*time.Millisecond
		a.DialTimeout, b.DialTimeout = 2*time.Second, 2*time.Second
		dial := a.Dial
		a.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dial(ctx, address)
			return slowWriter{c}, err
		}
	}, &fakeHandler{})
	network.SetDelay(func(from, _ string) time.Duration {
		if from == "a" {
			return 0
		}
		return 250 * time.Millisecond
	})
	request, err := json.Marshal(strings.Repeat("x", 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	_, err = a.Forward(t.Context(), peer, encoder.ForwardedCall{Call: "c", Request: request}, func(encoder.CallEvent) error { return nil })
	if err != nil {
		t.Errorf("large call: %v", err)
	}
}

// Guards against gaps and duplicates in the sequence of events that the caller gets.
func TestIncomingSequence(t *testing.T) {
	tests := []struct {
		name      string
		sequences []int
		want      int
		failure   Kind
	}{
		{"in order", []int{1, 2, 3}, 3, KindNone},
		{"repeat", []int{1, 2, 2, 1, 3}, 3, KindNone},
		{"gap", []int{1, 3}, 1, KindMissingEvents},
		{"after a gap", []int{2, 1}, 0, KindMissingEvents},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in := &eventBuffer{signal: make(chan struct{}, 1)}
			for _, sequence := range test.sequences {
				in.add(encoder.CallEvent{Sequence: sequence}, new(counters))
			}
			events, failure := in.takeAll()
			if len(events) != test.want || failure != test.failure {
				t.Errorf("got %d events, failure %v; want %d, %v", len(events), failure, test.want, test.failure)
			}
		})
	}
}

// Guards against a call that waits forever on a stalled connection, and against reuse of
// a stalled connection.
func TestStalledConnectionIsReplaced(t *testing.T) {
	a, _, peer, network := newPair(t, nil, &fakeHandler{hang: true, cancelled: make(chan struct{})})
	if err := sendHeartbeat(a, peer, time.Second); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := a.Forward(context.Background(), peer, encoder.ForwardedCall{Call: "c", Request: json.RawMessage("{}")},
			func(encoder.CallEvent) error { return nil })
		done <- err
	}()
	time.Sleep(250 * time.Millisecond) // longer than the stall timeout: pings keep a call without events alive
	select {
	case err := <-done:
		t.Fatalf("call ended on a healthy connection: %v", err)
	default:
	}
	network.BlackholeConnections("b", "a")
	select {
	case err := <-done:
		if KindOf(err) != KindClosed {
			t.Errorf("error = %v, want closed", err)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("call still waits on a stalled connection")
	}
	// Heartbeats use a separate connection, which has stalled too. The first heartbeat
	// detects that.
	if err := sendHeartbeat(a, peer, time.Second); KindOf(err) != KindClosed {
		t.Errorf("heartbeat on the stalled connection: %v, want closed", err)
	}
	if err := sendHeartbeat(a, peer, time.Second); err != nil {
		t.Errorf("heartbeat on a new connection: %v", err)
	}
}

// Guards against a call that still runs at the owner after the entry daemon cancelled it.
func TestCancelReachesOwner(t *testing.T) {
	handler := &fakeHandler{events: 1, hang: true, cancelled: make(chan struct{})}
	a, _, peer, _ := newPair(t, nil, handler)
	ctx, cancel := context.WithCancel(context.Background())
	_, err := a.Forward(ctx, peer, encoder.ForwardedCall{Call: "c", Request: json.RawMessage("{}")},
		func(encoder.CallEvent) error { cancel(); return nil })
	if KindOf(err) != KindTimeout {
		t.Errorf("error = %v, want timeout", err)
	}
	select {
	case <-handler.cancelled:
	case <-time.After(time.Second):
		t.Error("call was not cancelled at the owner")
	}
}

// Guards against daemons that accept a peer with a wrong token or send requests to a host
// other than the one named.
// waitingHandler replies to a heartbeat after a while.
type waitingHandler struct{ fakeHandler }

func (h *waitingHandler) Handle(ctx context.Context, from, method string, params json.RawMessage) (any, error) {
	time.Sleep(100 * time.Millisecond)
	return h.fakeHandler.Handle(ctx, from, method, params)
}

// Guards against a caller that gives up a request at once and thereby ends all other requests on the
// connection.
func TestCancelledRequestKeepsConnection(t *testing.T) {
	a, _, peer, _ := newPair(t, func(a, b *Settings) { a.PingInterval, b.PingInterval = time.Second, time.Second }, &waitingHandler{})
	if _, err := Call[encoder.Heartbeat](t.Context(), a, peer, MethodHeartbeat, encoder.Heartbeat{}); err != nil {
		t.Fatal(err)
	}
	result := make(chan error)
	go func() {
		_, err := Call[encoder.Heartbeat](t.Context(), a, peer, MethodHeartbeat, encoder.Heartbeat{})
		result <- err
	}()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := Call[encoder.Heartbeat](ctx, a, peer, MethodHeartbeat, encoder.Heartbeat{}); KindOf(err) != KindTimeout {
		t.Errorf("cancelled request: error %v, want kind %s", err, KindTimeout)
	}
	if err := <-result; err != nil {
		t.Errorf("other request on the connection: %v", err)
	}
}

func TestUnauthenticatedPeerIsRejected(t *testing.T) {
	tests := []struct {
		name   string
		change func(a, b *Settings)
		host   string
		want   Kind
	}{
		{"same token", func(a, b *Settings) { a.Token, b.Token = "s", "s" }, "b", KindNone},
		{"no token", func(_, b *Settings) { b.Token = "s" }, "b", KindUnauthenticated},
		{"wrong token", func(a, b *Settings) { a.Token, b.Token = "t", "s" }, "b", KindUnauthenticated},
		{"another host", nil, "c", KindUnauthenticated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a, _, _, _ := newPair(t, test.change, &fakeHandler{})
			if err := sendHeartbeat(a, Peer{Host: test.host, Address: "b"}, time.Second); KindOf(err) != test.want {
				t.Errorf("heartbeat error = %v, want %v", err, test.want)
			}
		})
	}
}

// Guards against a method that is served before the peer has authenticated.
func TestFirstMessageMustBeHello(t *testing.T) {
	a, b, _, network := newPair(t, nil, &fakeHandler{})
	conn, err := network.dial(context.Background(), "a", "b")
	if err != nil {
		t.Fatal(err)
	}
	l, err := a.newPeerConn(conn, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = l.request(context.Background(), MethodHeartbeat, encoder.Heartbeat{}, nil)
	if KindOf(err) != KindUnauthenticated || b.Counters().Rejected != 1 {
		t.Errorf("error = %v, rejected connections = %d; want unauthenticated, 1", err, b.Counters().Rejected)
	}
}

// Guards against a connection that is counted as rejected for each of its messages, and against a
// peer that is accepted after its rejection.
func TestRejectedConnectionStaysRejected(t *testing.T) {
	a, b, _, network := newPair(t, func(_, b *Settings) { b.Token = "s" }, &fakeHandler{})
	conn, err := network.dial(context.Background(), "a", "b")
	if err != nil {
		t.Fatal(err)
	}
	l, err := a.newPeerConn(conn, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, token := range []string{"wrong", "wrong", "s"} {
		if err := l.request(context.Background(), methodHello, encoder.Hello{Host: "a", Token: token}, nil); err == nil {
			t.Errorf("hello with token %q was accepted after a rejection", token)
		}
	}
	if diff := cmp.Diff([]int64{1, 0}, []int64{b.Counters().Rejected, b.Counters().Accepted}); diff != "" {
		t.Errorf("rejected and accepted connections (-want +got):\n%s", diff)
	}
}

// Guards against dials without backoff, and against a peer that stays unreachable after
// the network recovers.
func TestReconnect(t *testing.T) {
	a, _, peer, network := newPair(t, func(a, _ *Settings) { a.InitialBackoff = 50 * time.Millisecond }, &fakeHandler{})
	network.SetBlocked("a", "b", true)
	for range 3 {
		if err := sendHeartbeat(a, peer, 10*time.Millisecond); KindOf(err) != KindUnreachable {
			t.Fatalf("error = %v, want unreachable", err)
		}
	}
	if dials := a.Counters().Dials; dials != 1 {
		t.Errorf("%d dials during the backoff, want 1", dials)
	}
	network.SetBlocked("a", "b", false)
	deadline := time.Now().Add(2 * time.Second)
	for sendHeartbeat(a, peer, time.Second) != nil {
		if time.Now().After(deadline) {
			t.Fatal("peer still unreachable after the network recovered")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a peer that is accepted with a certificate of another authority or of
// another host.
func TestMutualTLS(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	tests := []struct {
		name   string
		client *tls.Config
		want   Kind
	}{
		{"valid", own.config(t, "a"), KindNone},
		{"another authority", func() *tls.Config {
			c := other.config(t, "a")
			c.RootCAs = own.pool
			return c
		}(), KindUnreachable},
		{"another host", own.config(t, "x"), KindUnauthenticated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a, _, peer, _ := newPair(t, func(a, b *Settings) { a.TLS, b.TLS = test.client, own.config(t, "b") }, &fakeHandler{})
			if err := sendHeartbeat(a, peer, time.Second); KindOf(err) != test.want {
				t.Errorf("heartbeat error = %v, want %v", err, test.want)
			}
		})
	}
}

type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	pool        *x509.CertPool
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return authority{key: key, certificate: certificate, pool: pool}
}

func (a authority) config(t *testing.T, host string) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(2), DNSNames: []string{host}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, RootCAs: a.pool, ClientCAs: a.pool,
	}
}

// Guards against failures that occur only with TCP sockets.
func TestOverTCP(t *testing.T) {
	_, b, _, _ := newPair(t, nil, &fakeHandler{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go b.Serve(listener)
	a := New(Settings{Host: "a"}, &fakeHandler{}, zap.NewNop())
	defer a.Close()
	peer := Peer{Host: "b", Address: listener.Addr().String()}
	if err := sendHeartbeat(a, peer, time.Second); err != nil {
		t.Error(err)
	}
	result, err := a.Probe(context.Background(), peer)
	if err != nil || result.Host != "b" {
		t.Errorf("Probe() = %+v, %v", result, err)
	}
}

// FuzzMessage sends bytes as the body of a message, before and after the peer has authenticated. The
// messenger must go on serving others.
func FuzzMessage(f *testing.F) {
	for _, text := range []string{
		"{", "null", "[]", "[null]", `{"jsonrpc":"2.0"}`, `{"jsonrpc":"2.0","id":1,"method":"hello","params":7}`, `{"jsonrpc":"2.0","method":"hello"}`,
		`{"jsonrpc":"2.0","id":1,"method":"call","params":{"call":"c"}}`, `{"jsonrpc":"2.0","method":"callEvent","params":null}`,
		`{"jsonrpc":"2.0","method":"cancelCall"}`, `{"jsonrpc":"2.0","id":0,"result":null}`, `{"jsonrpc":"2.0","id":null,"error":null}`,
		`{"jsonrpc":"2.0","id":0,"error":{"code":1}}`, strings.Repeat("[", 100_000),
	} {
		f.Add([]byte(text))
	}
	network := NewMemoryNetwork()
	server := New(Settings{Host: "b"}, &fakeHandler{}, zap.NewNop())
	listener := network.Listen("b")
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	client := New(Settings{Host: "a", Dial: network.Dialer("a")}, &fakeHandler{}, zap.NewNop())
	f.Cleanup(func() {
		client.Close()
		server.Close()
		<-served
	})
	f.Fuzz(func(t *testing.T, message []byte) {
		frame := func(data []byte) []byte { return append(binary.AppendUvarint(nil, uint64(len(data))), data...) }
		hello := []byte(`{"jsonrpc":"2.0","id":1,"method":"` + methodHello + `","params":{"host":"x"}}`)
		for _, messages := range [][][]byte{{message}, {hello, message}} {
			conn, err := network.dial(t.Context(), "x", "b")
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range messages {
				_ = conn.SetDeadline(time.Now().Add(time.Second))
				_, _ = conn.Write(frame(m))
			}
			_ = conn.Close()
		}
		if err := sendHeartbeat(client, Peer{Host: "b", Address: "b"}, 5*time.Second); err != nil {
			t.Errorf("heartbeat after the message: %v", err)
		}
	})
}
