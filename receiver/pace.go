package receiver

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// callerWait is a call that waits for its caller, who sends a body or reads a response.
type callerWait struct {
	began time.Time
	// waitingSince is when the wait for the next bytes began, in nanoseconds after began, and negative while the
	// call does not wait.
	waitingSince atomic.Int64
	bytes        atomic.Int64
	// reading is set while the body is read, and not set for a response.
	reading bool
	// bodyMemory and responseMemory are the shares that the call returns when it ends. They may be nil.
	bodyMemory, responseMemory *memoryShare
	// evicted is set once the call was ended because of its caller.
	evicted atomic.Bool
	// dropped is set if its connection is closed without a response.
	dropped atomic.Bool
	// abort ends the wait with an error.
	abort func()
}

// notWaiting is the value of waitingSince while a call does not wait.
const notWaiting = -1

func (w *callerWait) begin() { w.waitingSince.Store(int64(time.Since(w.began))) }

func (w *callerWait) end(bytes int) {
	w.bytes.Add(int64(bytes))
	w.waitingSince.Store(notWaiting)
}

// pace is the progress of a call that waits for its caller.
type pace struct {
	// stalled is how long the caller has sent or read nothing.
	stalled time.Duration
	// age is how long the body has been read or the response written, and bytes how much of it.
	age   time.Duration
	bytes int64
}

// pace returns the progress, and false if the call does not wait for its caller.
func (w *callerWait) pace(now time.Time) (pace, bool) {
	since := w.waitingSince.Load()
	if since < 0 {
		return pace{}, false
	}
	age := now.Sub(w.began)
	return pace{stalled: age - time.Duration(since), age: age, bytes: w.bytes.Load()}, true
}

// isTooSlow reports whether a body arrives more slowly than the limits allow.
func (l PaceLimits) isTooSlow(p pace) bool {
	allowed := l.BodyGrace + time.Duration(float64(p.bytes)/float64(l.MinBodyRate)*float64(time.Second))
	return p.stalled > l.MaxBodyStall || p.age > min(allowed, l.MaxBodyTime)
}

// isEvictable reports whether a call may be ended in favor of others while memory or connections are short.
func (l PaceLimits) isEvictable(p pace) bool { return p.age > l.EvictableAfter }

// slower reports whether a caller is slower than another one: those that have stalled for a while come
// first, the longest stalled one before others, then those with the lowest rate.
func (l PaceLimits) slower(a, b pace) bool {
	aStalled, bStalled := a.stalled > l.EvictableAfter, b.stalled > l.EvictableAfter
	if aStalled != bStalled {
		return aStalled
	}
	if aStalled {
		return a.stalled > b.stalled
	}
	return float64(a.bytes)*float64(b.age) < float64(b.bytes)*float64(a.age)
}

// PaceLimits bound how slowly callers may send bodies, and determine which ones make room for others.
type PaceLimits struct {
	// MaxBodyStall is the longest time without a byte of a body.
	MaxBodyStall time.Duration
	// A body must arrive with MinBodyRate bytes a second on average after BodyGrace, and within MaxBodyTime.
	BodyGrace   time.Duration
	MinBodyRate int
	MaxBodyTime time.Duration
	// EvictableAfter is the age from which a body or a response that waits for its caller may be ended while
	// memory or connections are short.
	EvictableAfter time.Duration
}

// callerWaits holds the calls that wait for their callers. It is safe for concurrent use.
type callerWaits struct {
	limits PaceLimits
	mutex  sync.Mutex
	waits  map[*callerWait]bool
	// lastCheck is when closeSlow was called last.
	lastCheck time.Time
}

func newCallerWaits(limits PaceLimits) *callerWaits {
	return &callerWaits{limits: limits, waits: map[*callerWait]bool{}}
}

func (c *callerWaits) add(reading bool, body, response *memoryShare, abort func()) *callerWait {
	w := &callerWait{began: time.Now(), reading: reading, bodyMemory: body, responseMemory: response, abort: abort}
	w.waitingSince.Store(notWaiting)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waits[w] = true
	return w
}

// remove forgets a call. Its abort is not called afterwards.
func (c *callerWaits) remove(w *callerWait) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waits, w)
}

// evict ends a call. The mutex must be held.
func (c *callerWaits) evict(w *callerWait) {
	w.evicted.Store(true)
	delete(c.waits, w)
	w.abort()
}

// evictSlowest ends the call with the slowest caller of those that accept selects, after prepare, which may be
// nil. It returns the call, or nil if there was none.
func (c *callerWaits) evictSlowest(now time.Time, accept func(w *callerWait) bool, prepare func(w *callerWait)) *callerWait {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var slowest *callerWait
	var slowestPace pace
	for w := range c.waits {
		p, waiting := w.pace(now)
		if !waiting || !c.limits.isEvictable(p) || !accept(w) {
			continue
		}
		if slowest == nil || c.limits.slower(p, slowestPace) {
			slowest, slowestPace = w, p
		}
	}
	if slowest == nil {
		return nil
	}
	if prepare != nil {
		prepare(slowest)
	}
	c.evict(slowest)
	return slowest
}

// closeSlow ends the calls whose bodies are too slow. It does nothing if its last call is more than twice the
// interval ago: the process stood still, and bytes that arrived meanwhile have not been read yet.
func (c *callerWaits) closeSlow(now time.Time, interval time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	late := now.Sub(c.lastCheck) > 2*interval
	c.lastCheck = now
	if late {
		return
	}
	for w := range c.waits {
		if p, waiting := w.pace(now); waiting && w.reading && c.limits.isTooSlow(p) {
			c.evict(w)
		}
	}
}

// pacedReader reads a body and records the progress.
type pacedReader struct {
	io.Reader
	wait *callerWait
}

// Read implements io.Reader.
func (r pacedReader) Read(p []byte) (int, error) {
	r.wait.begin()
	n, err := r.Reader.Read(p)
	r.wait.end(n)
	return n, err
}

// pacedWriter writes a response and records the progress.
type pacedWriter struct {
	http.ResponseWriter
	wait *callerWait
}

// Write implements io.Writer.
func (w pacedWriter) Write(p []byte) (int, error) {
	w.wait.begin()
	n, err := w.ResponseWriter.Write(p)
	w.wait.end(n)
	return n, err
}

// FlushError is used by http.ResponseController.
func (w pacedWriter) FlushError() error {
	w.wait.begin()
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.wait.end(0)
	return err
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w pacedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
