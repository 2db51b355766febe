package committer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// ioTimeout bounds one request to the store if its client does not.
const ioTimeout = 3 * time.Second

// maxObjectWrites bounds the objects that are written at the same time.
const maxObjectWrites = 4

// Stores are the platform's stores as the runner uses them.
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

	records, bytes atomic.Int64
	leaseUntil     atomic.Pointer[time.Time]
	objectWrites   chan struct{}
	tasks          *conc.WaitGroup
}

// NewRunner returns a runner of the state, which it owns from now on. deliver is
// called from the runner's goroutine with the commands that report outcomes and
// must not block.
func NewRunner(state *State, stores Stores, clock provider.Clock, deliver func(Command)) *Runner {
	return &Runner{
		state: state, stores: stores, clock: clock, deliver: deliver, options: state.options,
		wake:         make(chan struct{}, 1),
		objectWrites: make(chan struct{}, maxObjectWrites),
		tasks:        conc.NewWaitGroup(),
	}
}

// Append requests a durable write without blocking. It fails with KindFull when
// the bounds on pending requests are exceeded; then nothing was requested.
func (r *Runner) Append(request AppendRequested) error {
	var bytes int64
	for i := range request.Records {
		bytes += int64(recordBytes(&request.Records[i]))
	}
	records := int64(len(request.Records))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.stopped {
		return &Error{operation: "append", kind: KindStopped}
	}
	full := r.records.Load()+records > int64(r.options.MaxPendingRecords) ||
		r.bytes.Load()+bytes > int64(r.options.MaxPendingBytes)
	if full && records > 0 {
		return &Error{operation: "append", kind: KindFull}
	}
	r.records.Add(records)
	r.bytes.Add(bytes)
	r.post(request)
	return nil
}

// Send passes a message other than AppendRequested to the state.
func (r *Runner) Send(message Message) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.post(message)
}

func (r *Runner) post(message Message) {
	if r.stopped {
		return
	}
	r.inbox = append(r.inbox, message)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// BacklogRatio returns the share of the bounds on pending requests that is in use.
func (r *Runner) BacklogRatio() float64 {
	return max(float64(r.records.Load())/float64(r.options.MaxPendingRecords),
		float64(r.bytes.Load())/float64(r.options.MaxPendingBytes))
}

// LeaseValid reports whether the lease is held now. Call it immediately before an
// act that only an owner may do; a paused process finds its lease expired.
func (r *Runner) LeaseValid() bool {
	until := r.leaseUntil.Load()
	return until != nil && r.clock.Now().Before(*until)
}

// Run executes commands until the context ends or the lease has been released. The
// context's end interrupts requests to the store; their outcomes stay unknown.
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
		for _, message := range r.take() {
			if r.update(ctx, message) {
				return
			}
		}
		r.arm(timer)
	}
}

func (r *Runner) stop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stopped = true
}

func (r *Runner) take() []Message {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	messages := r.inbox
	r.inbox = nil
	return messages
}

func (r *Runner) arm(timer *time.Timer) {
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
	r.count(message, recordsBefore, bytesBefore)
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

// count subtracts what the state has finished from what Append has added.
func (r *Runner) count(message Message, recordsBefore, bytesBefore int) {
	records, bytes := r.state.Pending()
	if request, ok := message.(AppendRequested); ok {
		for i := range request.Records {
			recordsBefore++
			bytesBefore += recordBytes(&request.Records[i])
		}
	}
	r.records.Add(int64(records - recordsBefore))
	r.bytes.Add(int64(bytes - bytesBefore))
}

func (r *Runner) commit(ctx context.Context, transaction provider.Transaction) {
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	result, err := r.stores.Tables.Commit(ctx, transaction)
	r.Send(CommitFinished{ID: transaction.ID, Kind: provider.KindOf(err), Versions: result.Versions})
}

func (r *Runner) readLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	row, err := r.stores.Tables.Read(ctx, TableLeases, r.options.Host)
	r.Send(LeaseRowRead{Row: row, Kind: provider.KindOf(err)})
}

func (r *Runner) putObject(ctx context.Context, put PutObject) {
	r.objectWrites <- struct{}{}
	defer func() { <-r.objectWrites }()
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	err := r.stores.Objects.Put(ctx, put.Name, put.Value)
	r.Send(PutFinished{Name: put.Name, Kind: provider.KindOf(err)})
}

// deleteObject makes one attempt: an object that stays is found by the collector of
// package recoverer when the whole log of the incarnation has been replaced.
func (r *Runner) deleteObject(ctx context.Context, object DeleteObject) {
	r.objectWrites <- struct{}{}
	defer func() { <-r.objectWrites }()
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	_ = r.stores.Objects.Delete(ctx, object.Name)
}
