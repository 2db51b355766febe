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
	"github.com/dogwoodweir/dogwoodweir/limiter"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/recorder"
)

// Recorder stores histories and budgets; see package recorder.
type Recorder interface {
	Up() bool
	Reserve(ctx context.Context, request recorder.Request) recorder.Reservation
	Finish(reservation recorder.Reservation, used int)
	Chain(ctx context.Context, id string, memory recorder.Memory) ([]*historian.Turn, error)
	Commit(ctx context.Context, draft historian.Draft, chain []*historian.Turn, retention time.Duration) error
}

// Limiter decides whether a call of a workspace is within its quota.
type Limiter interface {
	Admit(ctx context.Context, request limiter.Request) limiter.Decision
}

// CallLog logs how calls ended. It must not block.
type CallLog interface {
	LogCall(r *CallRecord)
}

// CallRecord describes how a call ended, and the inputs of the decisions about it.
type CallRecord struct {
	Call  *forwarder.Call
	Route string
	// Workspace is the name of the workspace that holds the call's key.
	Workspace string
	// ConfigurationVersion is the version of the configuration that contains the route.
	ConfigurationVersion int64
	// FeedAge is the age of the configuration or of the list of targets, whichever the store
	// confirmed longer ago.
	FeedAge time.Duration
	Status  int
	// Reason is empty for complete responses of targets.
	Reason string
	// Target is the last target of the call; Attempts counts the attempts.
	Target   string
	Attempts int
	// CachedTokens, ExpectedFirstEvent and InFlight are the inputs of the last placement.
	CachedTokens       int
	ExpectedFirstEvent time.Duration
	InFlight           int
	// Session is the session of the call, 0 if it has none. PreviousTarget is the target that responded
	// to its last turn at this daemon, empty if it is not known; Moved is set if it is another one.
	Session        dispatcher.SessionID
	PreviousTarget string
	Moved          bool
	// BudgetVersion and BudgetGranted are the last known state of the budget row.
	BudgetVersion int64
	BudgetGranted int
	ChainTurns    int
	// Quota is the last decision about the call's quota.
	Quota limiter.Decision
	// GeneratedTokens is the number of tokens sent to the caller.
	GeneratedTokens  int
	TimeToFirstEvent time.Duration
	Duration         time.Duration
	RetryAfter       time.Duration
	StoreUp          bool
	Err              error
}

// Dependencies are the objects that a Receiver works with.
type Dependencies struct {
	Dialect   forwarder.Dialect
	Forwarder *forwarder.Forwarder
	Recorder  Recorder
	Limiter   Limiter
	CallLog   CallLog
	// Alone reports whether this daemon reaches neither the store nor a peer. Other daemons
	// may still reach the store.
	Alone func() bool
	// AwaitCurrent waits for a short time after a pause of the process until the configuration and
	// the list of targets are current again.
	AwaitCurrent func(ctx context.Context)
	// FeedAge returns the time since the store confirmed both the configuration and the list of
	// targets.
	FeedAge func() time.Duration
	// ConfigurationAge returns the time since the store confirmed the configuration.
	ConfigurationAge func() time.Duration
	// TargetLeaving is told of each target that announces in a response that it leaves. It must not
	// block.
	TargetLeaving func(id string, startedAt int64)
	// DaemonCount returns the number of daemons that share the targets.
	DaemonCount func() int
	// Clock includes the time for which the host is suspended.
	Clock provider.Clock
}

// Receiver serves the requests of callers. It is safe for concurrent use.
type Receiver struct {
	deps          Dependencies
	options       Options
	configuration atomic.Pointer[follower.Configuration]
	// mutex guards the dispatcher, whose updates take microseconds.
	mutex      sync.Mutex
	dispatcher *dispatcher.State
	inFlight   atomic.Int64
	// stopPlan is set when a planned stop begins, callsEnded ends with the plan.
	stopPlan   atomic.Pointer[stopPlan]
	callsEnded context.Context
	endCalls   context.CancelFunc
	// bodyMemory is the memory of request bodies, responseMemory that of responses.
	bodyMemory     *memoryPool
	responseMemory *memoryPool
	// smallBodyMemory and smallResponseMemory hold those of up to smallBytes.
	smallBodyMemory     *memoryPool
	smallResponseMemory *memoryPool
	// waits holds the calls that wait for their callers.
	waits *callerWaits
}

// New returns a Receiver without a configuration.
func New(deps Dependencies, state *dispatcher.State, options Options) *Receiver {
	callsEnded, endCalls := context.WithCancel(context.Background())
	return &Receiver{
		deps: deps, options: options, dispatcher: state, callsEnded: callsEnded, endCalls: endCalls,
		bodyMemory: newMemoryPool(options.MemoryBytes), responseMemory: newMemoryPool(options.MemoryBytes),
		smallBodyMemory: newMemoryPool(options.SmallBodyBytes), smallResponseMemory: newMemoryPool(options.SmallResponseBytes),
		waits: newCallerWaits(options.Pace),
	}
}

// SetConfiguration sets the configuration for all calls that follow.
func (r *Receiver) SetConfiguration(c *follower.Configuration) { r.configuration.Store(c) }

// InFlightCalls returns the number of calls that are being served.
func (r *Receiver) InFlightCalls() int64 { return r.inFlight.Load() }

// UpdateDispatcher passes a message to the dispatcher and returns its commands.
func (r *Receiver) UpdateDispatcher(m dispatcher.Message) []dispatcher.Command {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dispatcher.Update(time.Now(), m)
}

// EngineCalls returns this daemon's calls in flight at engines of its failure domain, by target ID.
func (r *Receiver) EngineCalls() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dispatcher.EngineCalls()
}

// recordLeaving records that a target has announced that it leaves. It gets no new calls from now on.
func (r *Receiver) recordLeaving(t *follower.Target) {
	r.UpdateDispatcher(dispatcher.TargetLeaving{ID: t.ID, StartedAt: t.StartedAt})
	r.deps.TargetLeaving(t.ID, t.StartedAt)
}

// CloseSlow ends the calls whose bodies arrive too slowly. It is called at an interval.
func (r *Receiver) CloseSlow(interval time.Duration) { r.waits.closeSlow(time.Now(), interval) }

// DropSlowestBody ends the call whose caller sends its body the slowest, and closes its connection without a
// response. It reports whether there was one that may be ended.
func (r *Receiver) DropSlowestBody() bool {
	return r.waits.evictSlowest(time.Now(), func(w *callerWait) bool {
		return w.reading
	}, func(w *callerWait) { w.dropped.Store(true) }) != nil
}

// reclaimMemory ends the calls with the slowest callers whose shares are in the pool, until they return the bytes.
func (r *Receiver) reclaimMemory(share func(w *callerWait) *memoryShare, kind poolKind, bytes int64) {
	isIn := func(w *callerWait) bool { return poolKind(share(w).kind.Load()) == kind }
	for bytes > 0 {
		w := r.waits.evictSlowest(time.Now(), isIn, nil)
		if w == nil {
			return
		}
		bytes -= max(1, share(w).taken.Load())
	}
}

func (r *Receiver) reclaimBodyMemory(kind poolKind, bytes int64) {
	r.reclaimMemory(func(w *callerWait) *memoryShare { return w.bodyMemory }, kind, bytes)
}

func (r *Receiver) reclaimResponseMemory(kind poolKind, bytes int64) {
	r.reclaimMemory(func(w *callerWait) *memoryShare { return w.responseMemory }, kind, bytes)
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	h := &callHandler{
		receiver: r, writer: w, request: request, arrival: r.deps.Clock.Now(), targetBody: forwarder.Bytes(nil),
		bodyMemory:     memoryShare{pool: r.bodyMemory, small: r.smallBodyMemory, reclaim: r.reclaimBodyMemory},
		responseMemory: memoryShare{pool: r.responseMemory, small: r.smallResponseMemory, reclaim: r.reclaimResponseMemory},
	}
	// A caller that does not read its response must not hold its connection. Test doubles have no deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(r.options.DefaultTimeout))
	h.call = r.deps.Dialect.ParseCall(request)
	h.record.Call = &h.call
	defer h.logCall()
	defer h.bodyMemory.release()
	defer h.responseMemory.release()
	defer func() {
		if h.writeWait != nil {
			r.waits.remove(h.writeWait)
		}
	}()
	h.serve()
	if h.record.Reason == reasonCallerLeft {
		// The HTTP library would send an empty response with status 200 to a caller that still reads.
		panic(http.ErrAbortHandler)
	}
}
