package receiver

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/recorder"
)

// Recorder keeps histories and budgets; see package recorder.
type Recorder interface {
	Up() bool
	Reserve(ctx context.Context, program string, budget, tokens int, underWay bool) recorder.Reservation
	Finish(reservation recorder.Reservation, used int)
	Chain(ctx context.Context, id string) ([]*historian.Turn, error)
	Commit(ctx context.Context, turn *historian.Turn, chain []*historian.Turn, retention time.Duration) error
}

// CallLog notes how calls ended. It never blocks.
type CallLog interface {
	LogCall(e *CallRecord)
}

// CallRecord says how a caller's attempt ended, and the inputs that decided it.
type CallRecord struct {
	Call   *forwarder.Call
	Route  string
	Domain string
	// ConfigurationVersion is the version that the route was taken from.
	ConfigurationVersion int64
	Status               int
	// Reason is empty for whole answers of targets.
	Reason string
	// Target served the call last; Attempts counts the targets that it was sent to.
	Target   string
	Attempts int
	// CachedTokens, Expected and InFlight are the inputs of the last placing.
	CachedTokens       int
	ExpectedFirstEvent time.Duration
	InFlight           int
	// BudgetVersion and BudgetGranted are the budget's row as it was last seen.
	BudgetVersion int64
	BudgetGranted int
	ChainTurns    int
	// GeneratedTokens is the number of tokens that the caller got.
	GeneratedTokens  int
	TimeToFirstEvent time.Duration
	Duration         time.Duration
	RetryAfter       time.Duration
	StoreUp          bool
	Err              error
}

// Dependencies are what a Receiver works with.
type Dependencies struct {
	Dialect   forwarder.Dialect
	Forwarder *forwarder.Forwarder
	Recorder  Recorder
	CallLog   CallLog
	// Alone reports that this daemon has lost the store while others may reach it.
	Alone func() bool
	// DaemonCount is the number of daemons that share the targets.
	DaemonCount func() int
	// Clock counts the time for which the host is suspended.
	Clock provider.Clock
}

// Receiver serves callers. It is safe for concurrent use.
type Receiver struct {
	parts         Dependencies
	options       Options
	configuration atomic.Pointer[follower.Configuration]
	// mutex guards the dispatcher, whose updates take microseconds.
	mutex      sync.Mutex
	dispatcher *dispatcher.State
	serving    atomic.Int64
}

// New returns a receiver that knows no configuration yet.
func New(parts Dependencies, state *dispatcher.State, options Options) *Receiver {
	return &Receiver{parts: parts, options: options, dispatcher: state}
}

// SetConfiguration puts a configuration into force for the calls that follow.
func (r *Receiver) SetConfiguration(c *follower.Configuration) { r.configuration.Store(c) }

// InFlightCalls returns the number of calls that are being served.
func (r *Receiver) InFlightCalls() int64 { return r.serving.Load() }

// UpdateDispatcher passes a message to the dispatcher.
func (r *Receiver) UpdateDispatcher(m dispatcher.Message) []dispatcher.Command {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dispatcher.Update(time.Now(), m)
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.serving.Add(1)
	defer r.serving.Add(-1)
	v := &visit{receiver: r, writer: w, request: request, arrival: r.parts.Clock.Now()}
	v.call = r.parts.Dialect.ParseCall(request)
	v.event.Call = &v.call
	defer v.log()
	v.serve()
}
