package committer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// storeTimeout bounds one request to a store, in case the store's client has no
// time-out of its own.
const storeTimeout = 3 * time.Second

// maxObjectWrites bounds the concurrent writes and deletions of objects.
const maxObjectWrites = 4

// Stores are the platform's stores that a Runner uses.
type Stores struct {
	Tables  provider.TableStore
	Objects provider.ObjectStore
}

// Runner executes the commands of a State.
type Runner struct {
	state   *State
	stores  Stores
	clock   provider.Clock
	deliver func(Command)
	options Options

	mutex   sync.Mutex
	inbox   []Message
	stopped bool
	wake    chan struct{}

	pendingRecords, pendingBytes atomic.Int64
	leaseUntil                   atomic.Pointer[time.Time]
	objectWriteSlots             chan struct{}
	tasks                        *conc.WaitGroup
}

// NewRunner returns a runner that takes over state; the caller must no longer use it.
// The runner calls deliver from the goroutine of Run with the commands that report
// outcomes; deliver must not block.
func NewRunner(state *State, stores Stores, clock provider.Clock, deliver func(Command)) *Runner {
	return &Runner{
		state: state, stores: stores, clock: clock, deliver: deliver, options: state.options,
		wake:             make(chan struct{}, 1),
		objectWriteSlots: make(chan struct{}, maxObjectWrites),
		tasks:            conc.NewWaitGroup(),
	}
}

// Append requests a durable write without blocking. When it returns an error, nothing
// was requested: the kind is KindFull when the bounds on pending requests would be
// exceeded and KindStopped when Run has returned.
func (r *Runner) Append(request AppendRequested) error {
	var bytes int64
	for i := range request.Records {
		bytes += int64(recordSize(&request.Records[i]))
	}
	records := int64(len(request.Records))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.stopped {
		return &Error{operation: "append", kind: KindStopped}
	}
	full := r.pendingRecords.Load()+records > int64(r.options.MaxPendingRecords) ||
		r.pendingBytes.Load()+bytes > int64(r.options.MaxPendingBytes)
	if full && records > 0 {
		return &Error{operation: "append", kind: KindFull}
	}
	r.pendingRecords.Add(records)
	r.pendingBytes.Add(bytes)
	r.enqueue(request)
	return nil
}

// Send queues a message other than AppendRequested for the state. It has no effect
// after Run has returned.
func (r *Runner) Send(message Message) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.enqueue(message)
}

// enqueue adds a message to the inbox and wakes Run. The caller holds mutex.
func (r *Runner) enqueue(message Message) {
	if r.stopped {
		return
	}
	r.inbox = append(r.inbox, message)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// BacklogRatio returns pending records as a fraction of their bound, by number or by
// bytes, whichever is larger.
func (r *Runner) BacklogRatio() float64 {
	return max(float64(r.pendingRecords.Load())/float64(r.options.MaxPendingRecords),
		float64(r.pendingBytes.Load())/float64(r.options.MaxPendingBytes))
}

// LeaseValid reports whether the lease is held now. Call it immediately before an
// action that only an owner may take: the lease can expire while the process is
// paused.
func (r *Runner) LeaseValid() bool {
	until := r.leaseUntil.Load()
	return until != nil && r.clock.Now().Before(*until)
}

// Run executes commands until ctx is done or the lease has been released. Requests to
// the store are cancelled when ctx is done; their outcomes stay unknown.
func (r *Runner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.tasks.Wait()
	defer cancel()
	defer r.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
			r.Send(Tick{})
		}
		for _, message := range r.takeInbox() {
			if r.update(ctx, message) {
				return
			}
		}
		r.resetTimer(timer)
	}
}

func (r *Runner) stop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stopped = true
}

// takeInbox empties the inbox and returns its messages.
func (r *Runner) takeInbox() []Message {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	messages := r.inbox
	r.inbox = nil
	return messages
}

// resetTimer sets the timer to the time of the next Tick, if the state needs one.
func (r *Runner) resetTimer(timer *time.Timer) {
	timer.Stop()
	if next := r.state.Next(); !next.IsZero() {
		timer.Reset(max(0, next.Sub(r.clock.Now())))
	}
}

// update passes one message to the state and executes its commands. It reports
// whether the lease has been released.
func (r *Runner) update(ctx context.Context, message Message) bool {
	recordsBefore, bytesBefore := r.state.Pending()
	commands := r.state.Update(r.clock.Now(), message)
	r.adjustPending(message, recordsBefore, bytesBefore)
	released := false
	for _, command := range commands {
		switch c := command.(type) {
		case CommitTransaction:
			r.tasks.Go(func() { r.commit(ctx, c.Transaction) })
		case ReadLeaseRow:
			r.tasks.Go(func() { r.readLease(ctx) })
		case PutObject:
			r.tasks.Go(func() { r.putObject(ctx, c) })
		case DeleteObject:
			r.tasks.Go(func() { r.deleteObject(ctx, c) })
		case LeaseRenewed:
			until := c.SentAt.Add(HolderLease(r.options.Lease, r.options.ClockRateError))
			r.leaseUntil.Store(&until)
			r.deliver(c)
		case LeaseLost:
			r.leaseUntil.Store(nil)
			r.deliver(c)
		case LeaseReleased:
			r.leaseUntil.Store(nil)
			released = true
			r.deliver(c)
		default:
			r.deliver(c)
		}
	}
	return released
}

// adjustPending subtracts the records that the state has finished from the counts to
// which Append adds.
func (r *Runner) adjustPending(message Message, recordsBefore, bytesBefore int) {
	records, bytes := r.state.Pending()
	if request, ok := message.(AppendRequested); ok {
		for i := range request.Records {
			recordsBefore++
			bytesBefore += recordSize(&request.Records[i])
		}
	}
	r.pendingRecords.Add(int64(records - recordsBefore))
	r.pendingBytes.Add(int64(bytes - bytesBefore))
}

func (r *Runner) commit(ctx context.Context, transaction provider.Transaction) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result, err := r.stores.Tables.Commit(ctx, transaction)
	r.Send(CommitFinished{ID: transaction.ID, Kind: provider.KindOf(err), Versions: result.Versions})
}

func (r *Runner) readLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := r.stores.Tables.Read(ctx, TableLeases, r.options.Host)
	r.Send(LeaseRowRead{Row: row, Kind: provider.KindOf(err)})
}

func (r *Runner) putObject(ctx context.Context, put PutObject) {
	r.objectWriteSlots <- struct{}{}
	defer func() { <-r.objectWriteSlots }()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := r.stores.Objects.Put(ctx, put.Name, put.Value)
	r.Send(PutFinished{Name: put.Name, Kind: provider.KindOf(err)})
}

// deleteObject makes a single attempt. Package recoverer deletes an object that is
// left behind once the whole log of the incarnation has been replaced.
func (r *Runner) deleteObject(ctx context.Context, object DeleteObject) {
	r.objectWriteSlots <- struct{}{}
	defer func() { <-r.objectWriteSlots }()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_ = r.stores.Objects.Delete(ctx, object.Name)
}
