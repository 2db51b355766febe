package messenger

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// Methods between daemons. Their parameters and results are types of package
// encoder.
const (
	MethodHeartbeat    = "heartbeat"
	MethodProbe        = "probe"
	MethodConfigDelta  = "configDelta"
	MethodListChanges  = "listChanges"
	MethodCall         = "call"
	MethodCancelCall   = "cancelCall"
	MethodHandover     = "handover"
	MethodLeaving      = "leaving"
	MethodStoreState   = "storeState"
	MethodStoreApply   = "storeApply"
	MethodStoreRange   = "storeRange"
	MethodReadTurn     = "turn"
	MethodBorrowTokens = "tokens"

	methodHello     = "hello"
	methodPing      = "ping"
	methodCallEvent = "callEvent"
)

// Defaults of Settings.
const (
	DefaultPingInterval    = time.Second
	DefaultStallTimeout    = 3500 * time.Millisecond
	DefaultIdleTimeout     = time.Minute
	DefaultDialTimeout     = time.Second
	DefaultInitialBackoff  = 100 * time.Millisecond
	DefaultMaxBackoff      = 2 * time.Second
	DefaultMaxMessageBytes = 8 << 20
	DefaultMaxConnections  = 2_048
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Settings of a Messenger; zero fields get the defaults.
type Settings struct {
	// Host is the name of this host.
	Host string
	// Token authenticates hosts to each other when TLS is nil.
	Token string
	// TLS has this host's certificate, RootCAs and ClientCAs. Certificates name
	// the host as a DNS name.
	TLS *tls.Config
	// Dial opens connections; nil means TCP.
	Dial Dialer
	// PingInterval is the time between pings on a connection on which an answer
	// is due and nothing else is sent.
	PingInterval time.Duration
	// StallTimeout is the time without a byte received after which a connection on
	// which an answer is due is closed. It is over three ping intervals, so that
	// one late ping does not end a call.
	StallTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
	// DialTimeout bounds opening a connection with authentication.
	DialTimeout time.Duration
	// InitialBackoff is the mean pause after a first failed dial; it doubles up to
	// MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxMessageBytes bounds one message.
	MaxMessageBytes int
	// MaxConnections bounds accepted connections.
	MaxConnections int
}

func (s Settings) withDefaults() Settings {
	durations := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.PingInterval, DefaultPingInterval}, {&s.StallTimeout, DefaultStallTimeout}, {&s.IdleTimeout, DefaultIdleTimeout},
		{&s.DialTimeout, DefaultDialTimeout}, {&s.InitialBackoff, DefaultInitialBackoff}, {&s.MaxBackoff, DefaultMaxBackoff},
	}
	for _, d := range durations {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if s.MaxMessageBytes == 0 {
		s.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if s.MaxConnections == 0 {
		s.MaxConnections = DefaultMaxConnections
	}
	if s.Dial == nil {
		s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	return s
}

// Peer names another daemon and its peer address.
type Peer struct {
	Host    string
	Address string
}

// Handler serves the requests of other daemons. Its methods are called on their
// own goroutines.
type Handler interface {
	// Handle answers every method but MethodCall with a result for encoding/json.
	Handle(ctx context.Context, from, method string, params json.RawMessage) (any, error)
	// HandleCall serves a forwarded call. Send events with emit, which blocks
	// while the connection is congested and fails once it is gone. The context
	// ends when the entry daemon cancels the call, not when its connection
	// breaks: the call then continues. Call and Events of the result are set by
	// the messenger.
	HandleCall(ctx context.Context, from string, call encoder.ForwardedCall, emit Emit) (encoder.CallResult, error)
}

// Emit sends one event of a streamed answer.
type Emit func(kind string, data json.RawMessage) error

// Counters are totals since New.
type Counters struct {
	SentBytes, ReceivedBytes            int64
	SentMessages, ReceivedMessages      int64
	Dials, Accepted, Rejected           int64
	Stalled, DuplicateEvents, EventGaps int64
}

type counters struct {
	sentBytes, receivedBytes, sentMessages, receivedMessages   atomic.Int64
	dials, accepted, refused, silent, repeats, gaps, accepting atomic.Int64
}

// Messenger holds the connections of one daemon.
type Messenger struct {
	settings Settings
	handler  Handler
	logger   *zap.Logger
	counters counters
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    *conc.WaitGroup

	mu     sync.Mutex
	slots  map[string]*slot
	closed bool

	// serving has the cancel functions of calls being served, by peer and call.
	serving sync.Map
}

// New returns a messenger; call Close when done with it.
func New(settings Settings, handler Handler, logger *zap.Logger) *Messenger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		settings: settings.withDefaults(), handler: handler, logger: logger,
		ctx: ctx, cancel: cancel, tasks: conc.NewWaitGroup(), slots: map[string]*slot{},
	}
}

// Counters returns the totals so far.
func (m *Messenger) Counters() Counters {
	c := &m.counters
	return Counters{
		SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load(),
		SentMessages: c.sentMessages.Load(), ReceivedMessages: c.receivedMessages.Load(),
		Dials: c.dials.Load(), Accepted: c.accepted.Load(), Rejected: c.refused.Load(),
		Stalled: c.silent.Load(), DuplicateEvents: c.repeats.Load(), EventGaps: c.gaps.Load(),
	}
}

// spawn runs a task that Close waits for; it reports false after Close.
func (m *Messenger) spawn(task func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.tasks.Go(task)
	return true
}

// Close ends all connections, cancels running handlers and waits for them.
func (m *Messenger) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.tasks.Wait()
}
