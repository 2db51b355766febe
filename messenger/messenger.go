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

// RPC methods. Their parameters and results are types of package encoder.
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
	MethodStoreFeed    = "storeFeed"
	MethodReplica      = "replica"
	MethodReadTurn     = "turn"
	MethodBorrowTokens = "tokens"
	MethodLoanNotice   = "loanNotice"
	MethodLoanQuestion = "loanQuestion"
	MethodFindHolders  = "holders"
	MethodPermits      = "permits"
	MethodQuotaNotice  = "quotaNotice"
	MethodTargetLoad   = "targetLoad"
	MethodBudgetRow    = "budgetRow"

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

// Settings configures a Messenger; zero fields get the defaults.
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
	// PingInterval is the time between pings on a connection that has pending
	// requests and sends nothing else.
	PingInterval time.Duration
	// StallTimeout is the time without received data after which a connection with
	// pending requests is closed; it also bounds each write. It must be over three
	// ping intervals, so that one late ping does not end a call.
	StallTimeout time.Duration
	// IdleTimeout is the time after which a connection without requests is closed.
	IdleTimeout time.Duration
	// DialTimeout bounds opening and authenticating a connection.
	DialTimeout time.Duration
	// InitialBackoff is the mean backoff after a first failed dial; it doubles with
	// each further one, up to MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxMessageBytes bounds the size of one message.
	MaxMessageBytes int
	// MaxConnections bounds the number of open accepted connections.
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

// Peer is another daemon: its host name and the address that it listens on for
// peers.
type Peer struct {
	Host    string
	Address string
}

// Result is a result with a function that is called once the reply has been written or dropped, for instance to
// release memory.
type Result struct {
	Value any
	Done  func()
}

// Handler serves the requests of peers. Each request runs on its own goroutine.
type Handler interface {
	// Handle serves every method but MethodCall and returns a result for encoding/json, or a Result with one.
	Handle(ctx context.Context, from, method string, params json.RawMessage) (any, error)
	// HandleCall serves a forwarded call. It sends events with emit, which blocks
	// while the send queue is full and fails once the connection is closed. The
	// context is cancelled when the entry daemon cancels the call, but not when the
	// connection breaks: the call then continues. The messenger sets Call and Events
	// of the result.
	HandleCall(ctx context.Context, from string, call encoder.ForwardedCall, emit Emit) (encoder.CallResult, error)
}

// Emit sends one event of a forwarded call to the entry daemon.
type Emit func(kind string, data json.RawMessage) error

// Counters are totals since New. Stalled counts the connections that were closed after
// the stall timeout; DuplicateEvents and EventGaps count received call events that were
// repeated and gaps in their sequence.
type Counters struct {
	SentBytes, ReceivedBytes            int64
	SentMessages, ReceivedMessages      int64
	Dials, Accepted, Rejected           int64
	Stalled, DuplicateEvents, EventGaps int64
}

type counters struct {
	sentBytes, receivedBytes, sentMessages, receivedMessages             atomic.Int64
	dials, accepted, rejected, stalled, duplicateEvents, eventGaps, open atomic.Int64
}

// Messenger sends and serves the requests between one daemon and its peers.
type Messenger struct {
	settings Settings
	handler  Handler
	logger   *zap.Logger
	counters counters
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    *conc.WaitGroup

	mu     sync.Mutex
	pool   map[string]*poolEntry
	closed bool

	// callCancels maps "peer/call ID" to the context.CancelFunc of each call being
	// served.
	callCancels sync.Map
}

// New returns a messenger. The caller must call Close.
func New(settings Settings, handler Handler, logger *zap.Logger) *Messenger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		settings: settings.withDefaults(), handler: handler, logger: logger,
		ctx: ctx, cancel: cancel, tasks: conc.NewWaitGroup(), pool: map[string]*poolEntry{},
	}
}

// Counters returns the totals so far.
func (m *Messenger) Counters() Counters {
	c := &m.counters
	return Counters{
		SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load(),
		SentMessages: c.sentMessages.Load(), ReceivedMessages: c.receivedMessages.Load(),
		Dials: c.dials.Load(), Accepted: c.accepted.Load(), Rejected: c.rejected.Load(),
		Stalled: c.stalled.Load(), DuplicateEvents: c.duplicateEvents.Load(), EventGaps: c.eventGaps.Load(),
	}
}

// spawn runs a task on a goroutine that Close waits for. After Close it returns false
// and runs nothing.
func (m *Messenger) spawn(task func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.tasks.Go(task)
	return true
}

// Close closes all connections, cancels running handlers and waits for them.
func (m *Messenger) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.tasks.Wait()
}
