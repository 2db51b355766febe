package allocator

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// Table holds one row for each partition, which names its owner. The row is in the partition of the
	// same name, so that a transaction with second rows stays within one partition.
	Table = "budgetOwners"
	// OwnerKey is the key of that row.
	OwnerKey = "owner"
	// tickInterval is the interval at which what is due is done.
	tickInterval = 100 * time.Millisecond
	// orderInterval is the interval at which the candidates of the partitions are computed anew.
	orderInterval = 5 * time.Second
	// startGrace is the time after the list of daemons has been read in which a daemon claims only the
	// partitions of the earlier process on its host, since the list is not complete yet.
	startGrace = 3 * time.Second
	// transactionTimeout bounds a transaction of an owner and a read of the owner, loadTimeout the
	// reading of all second rows of a partition.
	transactionTimeout = 600 * time.Millisecond
	loadTimeout        = 5 * time.Second
	// askTimeout bounds the wait for a reply of an owner. silentTime is the time for which an owner that
	// did not reply is not asked again.
	askTimeout = 100 * time.Millisecond
	silentTime = 500 * time.Millisecond
	// pendingAfter is the time after which an owner that waits for the store says so. requestTimeout is the
	// time for which a daemon waits for such an owner, as it waits for the store itself.
	pendingAfter   = 50 * time.Millisecond
	requestTimeout = 1200 * time.Millisecond
	// maxHops bounds the daemons that are asked for one request.
	maxHops = 3
	// releasePollInterval is the interval at which a stopping daemon checks whether all is released.
	releasePollInterval = 10 * time.Millisecond
)

// Dependencies are what a Runner needs.
type Dependencies struct {
	Store provider.RowStore
	// Clock counts the time in which the process is frozen.
	Clock     provider.Clock
	Messenger *messenger.Messenger
	Identity  Identity
	// Domain is the failure domain of this daemon. Others returns the other daemons, and Listed is closed
	// when their list has been read.
	Domain string
	Others func() []Member
	Listed <-chan struct{}
	// RowTable is the table of the second rows, Partitions are its partitions.
	RowTable   string
	Partitions []string
	// IsSecondRow reports whether a key of the table may be that of a second row.
	IsSecondRow func(key string) bool
}

// Stats describes the partitions that a daemon owns.
type Stats struct {
	Owned, FromMemory, Blocked int
	// Unwritten is the number of rows that the store does not have yet as the owner has them.
	Unwritten int
	// MemoryWrites, Asked and Unanswered count the rows changed in memory, the requests to owners and
	// those that no owner answered.
	MemoryWrites, Asked, Unanswered int64
}

// owner is the state of one partition with the replies that are due.
type owner struct {
	partition string
	mutex     sync.Mutex
	state     *State
	waiting   map[Ticket]chan Reply
	rank      int
	// order is the order in which the daemons are to own the partition.
	order []Member
	// known is the host that was last seen to own it, silentUntil is when an owner may be asked again.
	known       string
	silentUntil time.Time
	// loadFailed is set once a read of all rows has failed, so that it is logged once for each ownership.
	loadFailed atomic.Bool
}

// Runner runs the states of all partitions of a daemon. It is safe for concurrent use.
type Runner struct {
	dependencies Dependencies
	log          *zap.Logger
	owners       map[string]*owner
	active       atomic.Bool
	context      atomic.Pointer[context.Context]
	tickets      atomic.Uint64
	// taskMutex guards ended, after which no task is started: tasks are being waited for.
	taskMutex sync.Mutex
	ended     bool
	tasks     conc.WaitGroup

	memoryWrites, asked, unanswered atomic.Int64
}

// NewRunner returns a Runner that owns nothing. It makes no requests before the first call of Activate, or
// the first request of a peer.
func NewRunner(dependencies Dependencies, options Options, log *zap.Logger) *Runner {
	r := &Runner{dependencies: dependencies, log: log, owners: map[string]*owner{}}
	for _, partition := range dependencies.Partitions {
		r.owners[partition] = &owner{
			partition: partition, state: New(options, dependencies.Identity), waiting: map[Ticket]chan Reply{}, rank: -1,
		}
	}
	background := context.Background()
	r.context.Store(&background)
	return r
}

// Activate makes the runner take part in the ownership of partitions: programs use budgets with second rows.
func (r *Runner) Activate() { r.active.Store(true) }

// Run does what is due until the context ends.
func (r *Runner) Run(ctx context.Context) {
	r.context.Store(&ctx)
	defer r.endTasks()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var listedAt, orderedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !r.active.Load() {
			continue
		}
		now := time.Now()
		select {
		case <-r.dependencies.Listed:
			if listedAt.IsZero() {
				listedAt = now
			}
		default:
		}
		mayClaim := !listedAt.IsZero() && now.Sub(listedAt) >= startGrace
		// The list of daemons has grown during the grace time.
		graceEnded := mayClaim && orderedAt.Before(listedAt.Add(startGrace))
		if !listedAt.IsZero() && (graceEnded || now.Sub(orderedAt) >= orderInterval) {
			orderedAt = now
			r.updateOrder(slices.Collect(maps.Values(r.owners))...)
		}
		for _, o := range r.owners {
			rank := -1
			if mayClaim {
				rank = o.currentRank()
			}
			r.update(o, Tick{Rank: rank, UnixNow: now.Unix()})
		}
	}
}

// start runs a function in a goroutine of its own, unless the runner has ended.
func (r *Runner) start(task func()) {
	r.taskMutex.Lock()
	defer r.taskMutex.Unlock()
	if !r.ended {
		r.tasks.Go(task)
	}
}

// endTasks waits for the requests in progress.
func (r *Runner) endTasks() {
	r.taskMutex.Lock()
	r.ended = true
	r.taskMutex.Unlock()
	r.tasks.Wait()
}

func (o *owner) currentRank() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.rank
}

// update applies a message to the state of a partition and runs the commands that follow.
func (r *Runner) update(o *owner, m Message) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, c := range o.state.Update(r.dependencies.Clock.Now(), m) {
		r.execute(o, c)
	}
}

// execute runs a command. Requests to the store run in goroutines of their own.
func (r *Runner) execute(o *owner, c Command) {
	ctx := *r.context.Load()
	switch c := c.(type) {
	case Reply:
		if reply := o.waiting[c.Ticket]; reply != nil {
			delete(o.waiting, c.Ticket)
			reply <- c
		}
	case ReadOwner:
		r.start(func() { r.update(o, r.readOwner(ctx, o)) })
	case ReadRows:
		r.start(func() { r.update(o, r.readRows(ctx, o, c)) })
	case Apply:
		r.start(func() { r.update(o, r.apply(ctx, o, c)) })
	case OwnershipChanged:
		o.loadFailed.Store(false)
		r.log.Info("ownership of budget rows changed", zap.String("part", o.partition), zap.Bool("owned", c.Owned),
			zap.String("other", c.Other), zap.Duration("blocked", c.Blocked), zap.Int("lost", c.Rows))
	case MemoryChanged:
		r.memoryWrites.Add(int64(c.Writes))
		r.log.Info("granting of second budget halves from memory changed", zap.String("part", o.partition), zap.Bool("active", c.Active),
			zap.Int("writes", c.Writes), zap.Duration("sinceRenewal", c.SinceRenewal))
	}
}

func (r *Runner) readOwner(ctx context.Context, o *owner) OwnerRead {
	ctx, cancel := context.WithTimeout(ctx, transactionTimeout)
	defer cancel()
	page, err := r.dependencies.Store.Range(ctx, provider.RowRange{
		Table: Table, Partition: o.partition, From: OwnerKey, To: OwnerKey + "\x00", Limit: 1,
	})
	if err != nil {
		return OwnerRead{Kind: provider.KindUnavailable}
	}
	if len(page.Rows) == 0 {
		return OwnerRead{}
	}
	return OwnerRead{Row: &page.Rows[0]}
}

func (r *Runner) readRows(ctx context.Context, o *owner, c ReadRows) RowsRead {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	all, err := provider.ReadAll(
		provider.RowRange{Table: r.dependencies.RowTable, Partition: o.partition}, provider.Ranges(ctx, r.dependencies.Store))
	if err != nil {
		if !o.loadFailed.Swap(true) {
			r.log.Warn("cannot read the second budget rows of an own partition; trying again", zap.String("part", o.partition), zap.Error(err))
		}
		return RowsRead{Sequence: c.Sequence, Kind: provider.KindUnavailable}
	}
	read := RowsRead{Sequence: c.Sequence}
	for _, row := range all.Rows {
		if r.dependencies.IsSecondRow(row.Key) {
			read.Rows = append(read.Rows, row)
		}
	}
	return read
}

// apply runs a transaction of an owner.
func (r *Runner) apply(ctx context.Context, o *owner, c Apply) Applied {
	ctx, cancel := context.WithTimeout(ctx, transactionTimeout)
	defer cancel()
	ownerKey := provider.RowKey{Table: Table, Partition: o.partition, Key: OwnerKey}
	// The type has only numbers, strings and flags, so encoding cannot fail.
	value, _ := json.Marshal(c.Owner)
	t := provider.RowTransaction{
		Conditions: []provider.RowCondition{{RowKey: ownerKey, Version: c.Version}},
		Writes:     []provider.RowWrite{{RowKey: ownerKey, Value: value}},
	}
	for _, change := range c.Changes {
		key := provider.RowKey{Table: r.dependencies.RowTable, Partition: o.partition, Key: change.Key}
		t.Conditions = append(t.Conditions, provider.RowCondition{RowKey: key, Version: change.Version})
		t.Writes = append(t.Writes, provider.RowWrite{RowKey: key, Value: change.Value})
	}
	version, err := r.dependencies.Store.Apply(ctx, t)
	applied := Applied{Sequence: c.Sequence, Kind: provider.KindOf(err), Version: version}
	var conflict *provider.RowConflictError
	if !errors.As(err, &conflict) {
		if applied.Kind == provider.KindConflict {
			applied.Kind = provider.KindUnknown
		}
		return applied
	}
	complete := false
	for _, row := range conflict.Rows {
		if row.RowKey == ownerKey {
			applied.Owner, complete = row, true
			continue
		}
		applied.Rows = append(applied.Rows, row)
	}
	if !complete {
		applied.Kind = provider.KindUnavailable
	}
	return applied
}

// Read returns a second row from its owner. Kind is KindNone or KindUnavailable.
func (r *Runner) Read(ctx context.Context, key provider.RowKey) (provider.VersionedRow, provider.Kind) {
	row, kind := r.request(ctx, key, Request{Key: key.Key})
	if kind != provider.KindNone {
		kind = provider.KindUnavailable
	}
	return row, kind
}

// Write makes the owner write a second row if it has the version. Versions are those that Read and Write
// return. After a conflict, the current row is returned.
func (r *Runner) Write(ctx context.Context, key provider.RowKey, version int64, value []byte) (provider.VersionedRow, provider.Kind) {
	return r.request(ctx, key, Request{Key: key.Key, Version: version, Value: value})
}

// request asks the owner of a row's partition: this daemon, the owner that is known, or the daemons that
// are to own it. Each may name another one.
func (r *Runner) request(ctx context.Context, key provider.RowKey, m Request) (provider.VersionedRow, provider.Kind) {
	r.Activate()
	r.asked.Add(1)
	o := r.owners[key.Partition]
	now := r.dependencies.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply := r.ask(ctx, o, m)
	host := reply.Owner
	for hop := 0; reply.NotOwner && hop < maxHops; hop++ {
		if !o.knows(host) {
			// The daemon may have started since the last update.
			r.updateOrder(o)
		}
		peer, ok := o.nextPeer(now, host, hop)
		if !ok {
			break
		}
		for pending, repeated := true, false; pending; repeated = true {
			reply, pending = r.askPeer(ctx, o, peer, key, m)
			// An owner that has just replied lives, so that one late reply does not end the request.
			pending = (pending || repeated && reply.Kind == provider.KindUnknown) && ctx.Err() == nil
		}
		host = reply.Owner
	}
	if reply.Kind == provider.KindUnavailable || reply.Kind == provider.KindUnknown {
		r.unanswered.Add(1)
	}
	return provider.VersionedRow{RowKey: key, Version: reply.Version, Value: reply.Value}, reply.Kind
}

// ask passes a request to the own state of the partition.
func (r *Runner) ask(ctx context.Context, o *owner, m Request) Reply {
	reply := make(chan Reply, 1)
	m.Ticket = Ticket(r.tickets.Add(1))
	o.mutex.Lock()
	o.waiting[m.Ticket] = reply
	for _, c := range o.state.Update(r.dependencies.Clock.Now(), m) {
		r.execute(o, c)
	}
	o.mutex.Unlock()
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		o.mutex.Lock()
		delete(o.waiting, m.Ticket)
		o.mutex.Unlock()
		return Reply{Kind: provider.KindUnknown}
	}
}

// askPeer passes a request to a peer, which may be the owner. If the owner waits for the store, the request
// is pending and has to be repeated.
func (r *Runner) askPeer(
	ctx context.Context, o *owner, peer messenger.Peer, key provider.RowKey, m Request,
) (reply Reply, pending bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	question := encoder.BudgetRowQuestion{Part: key.Partition, Key: key.Key, Version: int(m.Version), Value: string(m.Value)}
	answer, err := messenger.Call[encoder.BudgetRowAnswer](ctx, r.dependencies.Messenger, peer, messenger.MethodBudgetRow, question)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if err != nil {
		o.known, o.silentUntil = "", r.dependencies.Clock.Now().Add(silentTime)
		kind := provider.KindUnknown
		if messenger.KindOf(err).NotRun() {
			kind = provider.KindUnavailable
		}
		return Reply{Kind: kind}, false
	}
	o.silentUntil = time.Time{}
	switch {
	case !answer.NotOwner:
		o.known = peer.Host
	case o.known == peer.Host || answer.Owner != "":
		o.known = answer.Owner
	}
	reply = Reply{
		Kind: provider.ParseKind(answer.Kind), Version: int64(answer.Version), NotOwner: answer.NotOwner, Owner: answer.Owner,
	}
	if answer.Version != int(provider.VersionAbsent) {
		reply.Value = []byte(answer.Value)
	}
	return reply, answer.Pending
}

// Handle serves the requests of peers. It reports whether the method is one of them.
func (r *Runner) Handle(ctx context.Context, method string, params json.RawMessage) (any, bool, error) {
	if method != messenger.MethodBudgetRow {
		return nil, false, nil
	}
	var question encoder.BudgetRowQuestion
	if err := json.Unmarshal(params, &question); err != nil {
		return nil, true, err
	}
	r.Activate()
	o := r.owners[question.Part]
	if o == nil {
		return encoder.BudgetRowAnswer{Kind: provider.KindInvalid.String()}, true, nil
	}
	m := Request{Key: question.Key, Version: int64(question.Version)}
	if question.Value != "" {
		m.Value = []byte(question.Value)
	}
	ctx, cancel := context.WithTimeout(ctx, pendingAfter)
	defer cancel()
	reply := r.ask(ctx, o, m)
	if reply.Kind == provider.KindUnknown {
		return encoder.BudgetRowAnswer{Kind: reply.Kind.String(), Pending: true}, true, nil
	}
	return encoder.BudgetRowAnswer{
		Kind: reply.Kind.String(), Version: int(reply.Version), Value: string(reply.Value), NotOwner: reply.NotOwner, Owner: reply.Owner,
	}, true, nil
}

// Release writes back all grants and gives up all partitions, so that other daemons take them over at
// once. It returns when that is done or the context ends. Nothing is served afterwards.
func (r *Runner) Release(ctx context.Context) error {
	for _, o := range r.owners {
		r.update(o, Stopping{})
	}
	ticker := time.NewTicker(releasePollInterval)
	defer ticker.Stop()
	for {
		if !slices.ContainsFunc(r.dependencies.Partitions, func(p string) bool { return !r.stopped(r.owners[p]) }) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{operation: "release", kind: KindTimeout, cause: ctx.Err()}
		case <-ticker.C:
		}
	}
}

func (r *Runner) stopped(o *owner) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.state.Stopped()
}

// Stats describes the partitions that this daemon owns.
func (r *Runner) Stats() Stats {
	s := Stats{MemoryWrites: r.memoryWrites.Load(), Asked: r.asked.Load(), Unanswered: r.unanswered.Load()}
	for _, o := range r.owners {
		o.mutex.Lock()
		if o.state.Owned() {
			s.Owned++
		}
		if o.state.FromMemory() {
			s.FromMemory++
		}
		if o.state.Blocked() {
			s.Blocked++
		}
		s.Unwritten += o.state.Unwritten()
		o.mutex.Unlock()
	}
	return s
}
