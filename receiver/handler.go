package receiver

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/limiter"
	"github.com/dogwoodweir/dogwoodweir/recorder"
)

// callHandler serves one call.
type callHandler struct {
	receiver *Receiver
	writer   http.ResponseWriter
	request  *http.Request
	call     forwarder.Call
	arrival  time.Time
	// timeout is the time from the arrival within which the response must end.
	timeout time.Duration
	route   *follower.Route
	service follower.Service
	// workspace holds the key of the call. It is nil if the route needs none.
	workspace *follower.Workspace
	// bodyMemory and responseMemory are the call's shares of the memory.
	bodyMemory     memoryShare
	responseMemory memoryShare
	// bodyRead is true once the request body was read to its end.
	bodyRead bool
	// bodyTimedOut is true if the body did not arrive in time.
	bodyTimedOut bool
	// callerBody is the caller's request body, targetBody the one sent to the target.
	callerBody []byte
	targetBody forwarder.Body
	chain      []*historian.Turn
	// reservation holds the tokens of the turn. At the end of the call, unused ones are returned.
	reservation *recorder.Reservation
	// generatedTokens is the number of tokens sent to the caller. streamTokens and streamBytes are the
	// size of the stream so far, with the events that the caller already had.
	generatedTokens int
	streamTokens    int
	streamBytes     int
	// output is the data of the events so far, for the history.
	output []byte
	// lastEventID is the ID of the last event of the stream so far.
	lastEventID string
	// skippingKnownEvents is true while the events of a stream that was generated again from its start
	// are those that the caller received before it resumed the stream.
	skippingKnownEvents bool
	// writeWait is the progress of the response, nil before it begins.
	writeWait *callerWait
	// headWritten is true once the head of the response has been sent to the caller.
	headWritten bool
	record      CallRecord
}

// reasonCallerLeft is the reason of a call whose caller has closed its connection.
const reasonCallerLeft = "callerLeft"

// errRejected ends the handling of a call whose rejection has been written.
var errRejected = errors.New("call rejected")

// serve runs the steps of a call. A step that fails has rejected the call and returns
// errRejected.
func (h *callHandler) serve() {
	for _, step := range []func() error{h.matchRoute, h.admit, h.readRequest, h.loadHistory, h.reserveTokens} {
		if step() != nil {
			return
		}
	}
	if h.reservation != nil {
		defer func() { h.receiver.deps.Recorder.Finish(*h.reservation, h.generatedTokens) }()
	}
	h.sendToTargets()
}

// elapsed returns the time since the request arrived, including suspensions of the host.
func (h *callHandler) elapsed() time.Duration { return h.receiver.deps.Clock.Now().Sub(h.arrival) }

// remaining returns the time left until the response must end.
func (h *callHandler) remaining() time.Duration {
	left := h.timeout - h.elapsed()
	if untilStop, stopping := h.receiver.untilStop(); stopping {
		left = min(left, untilStop)
	}
	return left
}

// logCall completes the record of the call and passes it to the log.
func (h *callHandler) logCall() {
	h.record.Duration = h.elapsed()
	h.record.StoreUp = h.receiver.deps.Recorder.Up()
	h.record.GeneratedTokens = h.generatedTokens
	h.receiver.deps.CallLog.LogCall(&h.record)
}

// reject writes an error response of the scheduler's own and returns errRejected.
func (h *callHandler) reject(status int, reason string, retryAfter time.Duration, err error) error {
	h.record.Status, h.record.Reason, h.record.RetryAfter, h.record.Err = status, reason, retryAfter, err
	// The HTTP library also ends the context when the deadline for reading the body has passed.
	if h.request.Context().Err() != nil && !h.bodyTimedOut {
		h.record.Reason = reasonCallerLeft
		return errRejected
	}
	if !h.bodyRead && h.request.ContentLength != 0 {
		// The HTTP library reads a part of the rest, which may never arrive, before it sends the response.
		_ = http.NewResponseController(h.writer).SetReadDeadline(time.Now().Add(h.receiver.options.UnreadBodyTimeout))
	}
	h.receiver.deps.Dialect.SetRejectionHeader(h.writer.Header(), h.call.ID, retryAfter)
	http.Error(h.writer, reason, status)
	return errRejected
}

// matchRoute finds the route and the service of the call and sets its timeout.
func (h *callHandler) matchRoute() error {
	h.receiver.deps.AwaitCurrent(h.request.Context())
	c := h.receiver.configuration.Load()
	if c == nil {
		return h.reject(http.StatusServiceUnavailable, "noConfiguration", h.receiver.options.StartRetryAfter, nil)
	}
	h.record.ConfigurationVersion, h.record.FeedAge = c.Version, h.receiver.deps.FeedAge()
	h.route = c.Match(h.request.Host, sentPath(h.request))
	if h.route == nil {
		return h.rejectUnknown(http.StatusNotFound, "noRoute")
	}
	h.record.Route = h.route.Name
	if err := h.authenticate(c); err != nil {
		return err
	}
	h.service = c.Services[h.route.ChooseService(h.splitKey())]
	if h.service.Name == "" {
		return h.reject(http.StatusServiceUnavailable, "noService", h.receiver.options.StartRetryAfter, nil)
	}
	h.timeout = h.call.Timeout
	if h.timeout <= 0 {
		h.timeout = h.receiver.options.DefaultTimeout
	}
	if h.route.Timeout > 0 {
		h.timeout = min(h.timeout, h.route.Timeout)
	}
	_ = http.NewResponseController(h.writer).SetWriteDeadline(time.Now().Add(h.remaining() + h.receiver.options.ResponseMargin))
	if h.receiver.isTooLate(h.timeout) {
		return h.reject(http.StatusServiceUnavailable, "stopping", h.receiver.options.PeerRetryAfter, nil)
	}
	return nil
}

// authenticate finds the workspace that holds the key of the call.
func (h *callHandler) authenticate(c *follower.Configuration) error {
	if !c.NeedsKey(h.route) {
		return nil
	}
	limit := h.receiver.options.MaxKeyAge
	if limit > 0 && h.receiver.deps.ConfigurationAge() > limit {
		return h.reject(http.StatusServiceUnavailable, "keysStale", h.receiver.options.StartRetryAfter, nil)
	}
	h.workspace = c.WorkspaceOf(h.call.KeyHash)
	if h.workspace == nil {
		return h.rejectUnknown(http.StatusUnauthorized, "unknownKey")
	}
	h.record.Workspace = h.workspace.Name
	return nil
}

// admit rejects a call that exceeds the quota of its workspace, before its body is read.
func (h *callHandler) admit() error {
	if h.workspace == nil || !h.workspace.Limited() {
		return nil
	}
	h.record.Quota = h.receiver.deps.Limiter.Admit(h.request.Context(), limiter.Request{Workspace: h.workspace.Name, Program: h.call.Program})
	if h.record.Quota.Admitted {
		return nil
	}
	return h.reject(http.StatusTooManyRequests, h.record.Quota.Reason, h.record.Quota.RetryAfter, nil)
}

// admitAgain makes sure that an attempt falls into the time for which the call was admitted: calls that
// wait, for instance for a slow body, would otherwise reach targets all at once. It returns false if it has
// ended the call.
func (h *callHandler) admitAgain(a *attempts) bool {
	d := &h.record.Quota
	repeated := a.possibleRuns > a.admittedRuns
	if !d.Limited || !repeated && h.receiver.deps.Clock.Now().Before(d.Expires) {
		return true
	}
	a.admittedRuns = a.possibleRuns
	if h.headWritten || a.possibleRuns > 0 {
		*d = h.receiver.deps.Limiter.Admit(h.request.Context(), limiter.Request{Workspace: h.workspace.Name, Program: h.call.Program})
		if !d.Admitted {
			h.fail(a, http.StatusBadGateway, d.Reason)
		}
		return d.Admitted
	}
	return h.admit() == nil
}

// workspaceName returns the name of the call's workspace, empty if it has none.
func (h *callHandler) workspaceName() string {
	if h.workspace == nil {
		return ""
	}
	return h.workspace.Name
}

// rejectUnknown rejects a call whose route or key the configuration does not have. If the
// configuration has not been confirmed for too long, it may have been added since.
func (h *callHandler) rejectUnknown(status int, reason string) error {
	limit := h.receiver.options.MaxConfigurationAge
	if limit > 0 && h.receiver.deps.ConfigurationAge() > limit {
		return h.reject(http.StatusServiceUnavailable, "configurationStale", h.receiver.options.StartRetryAfter, nil)
	}
	return h.reject(status, reason, 0, nil)
}

// splitKey returns a number that selects the side of a split. It is the same for all calls of
// a program, so that they reach the prompt caches that hold its history.
func (h *callHandler) splitKey() uint64 {
	if h.call.Program == "" {
		return rand.Uint64()
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(h.call.Program))
	return hash.Sum64()
}

// requestHeadBytes returns a lower bound of the size of the request head as it was received.
func requestHeadBytes(r *http.Request) int {
	// A request line has two spaces and a line ending besides its fields, a header line a colon
	// and a line ending.
	const requestLine, headerLine = 4, 3
	bytes := len(r.Method) + len(r.RequestURI) + len(r.Proto) + requestLine + len("Host") + len(r.Host) + headerLine
	for name, values := range r.Header {
		for _, value := range values {
			bytes += len(name) + len(value) + headerLine
		}
	}
	return bytes
}

// readRequest reads the request body and enforces the limits on the size of the request.
func (h *callHandler) readRequest() error {
	limit := h.receiver.options.MaxBodyBytes
	limits := h.receiver.configuration.Load().Limits
	if limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	if limits.HeaderBytes > 0 && requestHeadBytes(h.request) > limits.HeaderBytes {
		return h.reject(http.StatusRequestHeaderFieldsTooLarge, "headTooLarge", 0, nil)
	}
	if h.request.ContentLength == 0 {
		return nil
	}
	if h.request.ContentLength > int64(limit) {
		return h.reject(http.StatusRequestEntityTooLarge, "bodyTooLarge", 0, nil)
	}
	if err := h.awaitBodyMemory(int(h.request.ContentLength)); err != nil {
		return err
	}
	// A caller that sends its body too slowly must not keep the call open past its deadline. The
	// deadline is cleared for the server's own reads, which notice that the caller has left.
	controller := http.NewResponseController(h.writer)
	err := controller.SetReadDeadline(time.Now().Add(h.remaining()))
	if err != nil {
		return h.reject(http.StatusBadRequest, "bodyBroken", 0, err)
	}
	wait := h.receiver.waits.add(true, &h.bodyMemory, &h.responseMemory, func() { _ = controller.SetReadDeadline(pastDeadline) })
	h.callerBody, err = h.readBody(pacedReader{http.MaxBytesReader(h.writer, h.request.Body, int64(limit)), wait}, limit)
	h.receiver.waits.remove(wait)
	h.targetBody = forwarder.Bytes(h.callerBody)
	h.bodyRead = err == nil
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	if err == nil {
		return nil
	}
	if errors.Is(err, errRejected) {
		return err
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		// The rest of the body would be taken for the next call.
		h.writer.Header().Set("Connection", "close")
		return h.reject(http.StatusRequestEntityTooLarge, "bodyTooLarge", 0, nil)
	}
	if wait.dropped.Load() {
		h.record.Reason, h.record.Err = "bodyTooSlow", err
		panic(http.ErrAbortHandler)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		h.bodyTimedOut = true
		h.writer.Header().Set("Connection", "close")
		return h.reject(http.StatusRequestTimeout, "bodyTooSlow", 0, err)
	}
	return h.reject(http.StatusBadRequest, "bodyBroken", 0, err)
}

// awaitBodyMemory waits for the memory of a body before the body is read.
func (h *callHandler) awaitBodyMemory(size int) error {
	ctx, cancel := context.WithTimeout(h.request.Context(), min(h.receiver.options.MemoryWait, h.remaining()/3))
	defer cancel()
	if err := h.bodyMemory.await(ctx, size); err != nil {
		// The body is not read, and would be taken for the next call.
		h.writer.Header().Set("Connection", "close")
		return h.rejectForMemory(err)
	}
	return nil
}

// rejectForMemory rejects a call for which there is no memory. The retries are spread.
func (h *callHandler) rejectForMemory(err error) error {
	wait := h.receiver.options.MemoryRetryAfter
	return h.reject(http.StatusServiceUnavailable, "memoryExhausted", wait+rand.N(wait), err)
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// minBufferBytes is the first size of a buffer for a body or a response of unknown length.
const minBufferBytes = 2 << 10

// readBody reads a body of known length into one allocation. A body in chunks gets the memory of the
// largest one once it is no longer small.
func (h *callHandler) readBody(r io.Reader, limit int) ([]byte, error) {
	if h.request.ContentLength >= 0 {
		body := make([]byte, h.request.ContentLength)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var body []byte
	// One byte more than the limit shows that a body exceeds it.
	for size := min(minBufferBytes, limit+1); ; size = min(2*size, limit+1) {
		reserved := size
		if size > smallBytes {
			reserved = limit
		}
		if err := h.awaitBodyMemory(reserved); err != nil {
			return nil, err
		}
		var err error
		body, err = fill(r, body, size)
		if err == io.EOF {
			h.bodyMemory.shrink(cap(body))
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// fill returns the content in a buffer of a size, with as much of the reader as fits. The error is that of the
// reader, io.EOF at its end.
func fill(r io.Reader, content []byte, size int) ([]byte, error) {
	buffer := make([]byte, size)
	filled := copy(buffer, content)
	for filled < size {
		n, err := r.Read(buffer[filled:])
		filled += n
		if err != nil {
			return buffer[:filled], err
		}
	}
	return buffer, nil
}

// loadHistory puts the history of the chain in front of the caller's body.
func (h *callHandler) loadHistory() error {
	if !h.route.KeepsHistory {
		return nil
	}
	h.skippingKnownEvents = h.call.LastEventID != ""
	if h.call.Previous == "" {
		return nil
	}
	options := &h.receiver.options
	timeout := min(options.ChainTimeout, h.remaining()/2)
	ctx, cancel := context.WithTimeout(h.request.Context(), timeout)
	defer cancel()
	chain, err := h.receiver.deps.Recorder.Chain(ctx, h.call.Previous, historyMemory{h})
	switch {
	case err == nil && len(chain) > 0 && chain[0].Workspace != h.workspaceName():
		return h.reject(http.StatusNotFound, "turnOfOtherWorkspace", 0, nil)
	case recorder.IsNotFound(err):
		return h.reject(http.StatusNotFound, "noSuchTurn", 0, err)
	case recorder.KindOf(err) == recorder.KindTooLarge:
		// Another daemon may have more memory.
		h.writer.Header().Set("Connection", "close")
		return h.reject(http.StatusServiceUnavailable, "historyTooLarge", options.PeerRetryAfter, err)
	case recorder.KindOf(err) == recorder.KindNoMemory:
		return h.rejectForMemory(err)
	case err != nil:
		return h.reject(http.StatusServiceUnavailable, "historyUnavailable", h.storeRetryAfter(), err)
	}
	h.chain = chain
	h.record.ChainTurns = len(chain)
	h.targetBody = historian.NewHistory(chain, h.callerBody)
	return nil
}

// historyMemory is the part of a call's share of the memory for bodies that its history takes.
type historyMemory struct{ call *callHandler }

// Resize implements recorder.Memory.
func (m historyMemory) Resize(ctx context.Context, bytes int) error {
	size := len(m.call.callerBody) + bytes
	m.call.bodyMemory.shrink(size)
	return m.call.bodyMemory.await(ctx, size)
}

// storeRetryAfter returns the retry delay after a rejection because of the store. If this
// daemon is alone, it also makes the caller close its connection. Outages
// last for seconds, and callers wait for at most a third of their remaining time: with a
// long delay the store is more often up at the retry. Jitter spreads the retries.
func (h *callHandler) storeRetryAfter() time.Duration {
	wait := max(h.remaining()/3, h.receiver.options.StoreRetryAfter)
	if h.receiver.deps.Alone() {
		// The caller's next connection goes to another daemon.
		wait = h.receiver.options.PeerRetryAfter
		h.writer.Header().Set("Connection", "close")
	}
	return wait - rand.N(wait/8+1)
}

// maxTurnTokens returns the largest number of tokens that the turn can generate. Events are counted as
// a whole, so that the last one may exceed the caller's limit.
func (h *callHandler) maxTurnTokens() int {
	tokens := h.call.MaxTokens
	if tokens <= 0 {
		tokens = h.receiver.options.DefaultMaxTokens
	}
	if h.service.Engine == nil || h.service.Engine.TokensPerEvent <= 0 {
		return tokens
	}
	eventTokens := h.service.Engine.TokensPerEvent
	return (tokens + eventTokens - 1) / eventTokens * eventTokens
}

// reserveTokens takes the tokens of the turn from the program's budget.
func (h *callHandler) reserveTokens() error {
	if !h.call.HasBudget || h.call.Program == "" || !h.route.Streaming {
		return nil
	}
	ctx, cancel := context.WithTimeout(h.request.Context(), h.remaining()/2)
	defer cancel()
	reservation := h.receiver.deps.Recorder.Reserve(ctx, recorder.Request{
		Program: h.budgetName(), Budget: h.call.Budget, Tokens: h.maxTurnTokens(), MaxOverdraft: h.call.MaxTokens, ProgramStarted: h.call.Previous != "",
	})
	h.record.BudgetVersion, h.record.BudgetGranted = reservation.Version, reservation.Granted
	switch reservation.Verdict {
	case accountant.Admitted:
		h.reservation = &reservation
		return nil
	case accountant.Spent:
		return h.reject(http.StatusPaymentRequired, "budgetSpent", 0, nil)
	case accountant.Contended:
		return h.reject(http.StatusServiceUnavailable, "budgetContended", h.receiver.options.ContendedRetryAfter, nil)
	}
	return h.reject(http.StatusServiceUnavailable, "budgetUnavailable", h.storeRetryAfter(), nil)
}
