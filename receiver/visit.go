package receiver

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/forwarder"
	"github.com/dogwoodweir/dogwoodweir/historian"
	"github.com/dogwoodweir/dogwoodweir/recorder"
)

// visit is one attempt of a caller.
type visit struct {
	receiver *Receiver
	writer   http.ResponseWriter
	request  *http.Request
	call     forwarder.Call
	arrival  time.Time
	// limit is the time after the arrival by which the caller has an answer.
	limit   time.Duration
	route   *follower.Route
	service follower.Service
	// input is the caller's body, body what the target gets.
	input []byte
	body  []byte
	chain []*historian.Turn
	// reservation holds the tokens of the turn. At the end they are returned, but for those
	// that were generated.
	reservation *recorder.Reservation
	generated   int
	// output is what the turn has said so far, for its history.
	output []byte
	// lastEvent is the ID of the last event that the caller got.
	lastEvent string
	began     bool
	event     CallRecord
}

// errRefused ends a visit whose answer has been written.
var errRefused = errors.New("refused")

func (v *visit) serve() {
	for _, step := range []func() error{v.match, v.read, v.recall, v.reserve} {
		if step() != nil {
			return
		}
	}
	if v.reservation != nil {
		defer func() { v.receiver.parts.Recorder.Finish(*v.reservation, v.generated) }()
	}
	v.run()
}

// elapsed is the time since the request arrived, the host's suspensions included.
func (v *visit) elapsed() time.Duration { return v.receiver.parts.Clock.Now().Sub(v.arrival) }

// left is the time that is left for an answer.
func (v *visit) left() time.Duration { return v.limit - v.elapsed() }

func (v *visit) log() {
	v.event.Duration = v.elapsed()
	v.event.StoreUp = v.receiver.parts.Recorder.Up()
	v.event.GeneratedTokens = v.generated
	v.receiver.parts.CallLog.LogCall(&v.event)
}

// refuse answers with a status of the scheduler's own.
func (v *visit) refuse(status int, reason string, retryAfter time.Duration, err error) error {
	v.event.Status, v.event.Reason, v.event.RetryAfter, v.event.Err = status, reason, retryAfter, err
	if v.request.Context().Err() != nil {
		v.event.Reason = "callerLeft"
		return errRefused
	}
	v.receiver.parts.Dialect.SetRejectionHeader(v.writer.Header(), v.call.ID, retryAfter)
	http.Error(v.writer, reason, status)
	return errRefused
}

func (v *visit) match() error {
	c := v.receiver.configuration.Load()
	if c == nil {
		return v.refuse(http.StatusServiceUnavailable, "noConfiguration", v.receiver.options.StartRetryAfter, nil)
	}
	v.event.ConfigurationVersion = c.Version
	v.route = c.Match(v.request.Host, v.request.URL.Path)
	if v.route == nil {
		return v.refuse(http.StatusNotFound, "noRoute", 0, nil)
	}
	v.event.Route = v.route.Name
	v.service = c.Services[v.route.ChooseService(v.splitNumber())]
	if v.service.Name == "" {
		return v.refuse(http.StatusServiceUnavailable, "noService", v.receiver.options.StartRetryAfter, nil)
	}
	v.limit = v.call.Timeout
	if v.limit <= 0 {
		v.limit = v.receiver.options.DefaultTimeout
	}
	if v.route.Timeout > 0 {
		v.limit = min(v.limit, v.route.Timeout)
	}
	return nil
}

// splitNumber keeps the calls of a program on one side of a split, where the prompt
// caches have its history.
func (v *visit) splitNumber() uint64 {
	if v.call.Program == "" {
		return rand.Uint64()
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(v.call.Program))
	return h.Sum64()
}

// headBytes returns the least number of bytes that the head of a request had.
func headBytes(r *http.Request) int {
	// What lines need besides their words: two spaces and a line end, a colon and a line end.
	const requestLine, headerLine = 4, 3
	bytes := len(r.Method) + len(r.RequestURI) + len(r.Proto) + requestLine + len("Host") + len(r.Host) + headerLine
	for name, values := range r.Header {
		for _, value := range values {
			bytes += len(name) + len(value) + headerLine
		}
	}
	return bytes
}

func (v *visit) read() error {
	limit := v.receiver.options.MaxBodyBytes
	limits := v.receiver.configuration.Load().Limits
	if limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	if limits.HeaderBytes > 0 && headBytes(v.request) > limits.HeaderBytes {
		return v.refuse(http.StatusRequestHeaderFieldsTooLarge, "headTooLarge", 0, nil)
	}
	if v.request.ContentLength == 0 {
		return nil
	}
	if v.request.ContentLength > int64(limit) {
		return v.refuse(http.StatusRequestEntityTooLarge, "bodyTooLarge", 0, nil)
	}
	var err error
	v.input, err = readBody(http.MaxBytesReader(v.writer, v.request.Body, int64(limit)), v.request.ContentLength)
	v.body = v.input
	if err == nil {
		return nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return v.refuse(http.StatusRequestEntityTooLarge, "bodyTooLarge", 0, nil)
	}
	return v.refuse(http.StatusBadRequest, "bodyBroken", 0, err)
}

// readBody reads a body of known length into one allocation.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// recall puts the history of the chain in front of the input.
func (v *visit) recall() error {
	if !v.route.KeepsHistory {
		return nil
	}
	options := &v.receiver.options
	if v.call.Previous == "" {
		return nil
	}
	patience := min(options.ChainTimeout, v.left()/2)
	ctx, cancel := context.WithTimeout(v.request.Context(), patience)
	defer cancel()
	chain, err := v.receiver.parts.Recorder.Chain(ctx, v.call.Previous)
	switch {
	case recorder.IsNotFound(err):
		return v.refuse(http.StatusNotFound, "noSuchTurn", 0, err)
	case err != nil:
		return v.refuse(http.StatusServiceUnavailable, "historyUnavailable", v.storeRetryAfter(), err)
	}
	v.chain = chain
	v.event.ChainTurns = len(chain)
	v.body = historian.Join(chain, v.input)
	return nil
}

// storeRetryAfter is when a caller may come back after a refusal because of the store.
// Outages last for seconds, and callers wait for at most a third of their time: coming
// back late finds the store up more often. Jitter keeps them apart.
func (v *visit) storeRetryAfter() time.Duration {
	wait := max(v.left()/3, v.receiver.options.StoreRetryAfter)
	if v.receiver.parts.Alone() {
		// The caller's next connection goes to another daemon.
		wait = v.receiver.options.PeerRetryAfter
		v.writer.Header().Set("Connection", "close")
	}
	return wait - rand.N(wait/8+1)
}

// reserve takes the tokens of the turn from the program's budget.
func (v *visit) reserve() error {
	if !v.call.HasBudget || v.call.Program == "" || !v.route.Streaming {
		return nil
	}
	tokens := v.call.MaxTokens
	if tokens <= 0 {
		tokens = v.receiver.options.DefaultMaxTokens
	}
	ctx, cancel := context.WithTimeout(v.request.Context(), v.left()/2)
	defer cancel()
	d := v.receiver.parts.Recorder.Reserve(ctx, v.call.Program, v.call.Budget, tokens, v.call.Previous != "")
	v.event.BudgetVersion, v.event.BudgetGranted = d.Version, d.Granted
	switch d.Verdict {
	case accountant.Admitted:
		v.reservation = &d
		return nil
	case accountant.Spent:
		return v.refuse(http.StatusPaymentRequired, "budgetSpent", 0, nil)
	case accountant.Contended:
		return v.refuse(http.StatusServiceUnavailable, "budgetContended", v.receiver.options.ContendedRetryAfter, nil)
	}
	return v.refuse(http.StatusServiceUnavailable, "budgetUnavailable", v.storeRetryAfter(), nil)
}
